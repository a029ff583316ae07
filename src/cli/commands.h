// The commands of the one binary.

#ifndef COWSLIPHILL_CLI_COMMANDS_H_
#define COWSLIPHILL_CLI_COMMANDS_H_

#include <string>
#include <vector>

namespace cowsliphill {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // It was understood and did not succeed.
inline constexpr int kExitUsage = 2;    // Usage or input errors.

// Runs the command line, the program's name first. Returns the exit code.
int RunCommand(const std::vector<std::string>& arguments);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_COMMANDS_H_
