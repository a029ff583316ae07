// The commands of the cowsliphill binary.

#ifndef COWSLIPHILL_CLI_COMMANDS_H_
#define COWSLIPHILL_CLI_COMMANDS_H_

#include <string>
#include <vector>

namespace cowsliphill {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;  // The command is valid, but it failed.
inline constexpr int kExitUsage = 2;    // Usage or input errors.

// Runs the command line; the first argument is the program's name. Returns the exit code.
int RunCommand(const std::vector<std::string>& arguments);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_COMMANDS_H_
