// The command explain-route: asks an entry VM where a request would be sent now.

#ifndef COWSLIPHILL_CLI_EXPLAIN_COMMAND_H_
#define COWSLIPHILL_CLI_EXPLAIN_COMMAND_H_

#include <cxxopts.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace cowsliphill {

void AddExplainRouteOptions(cxxopts::Options& options);
// Returns the exit code.
int RunExplainRoute(const cxxopts::ParseResult& options);

// Formats the answer of an entry VM as text.
std::string FormatExplanation(const nlohmann::json& answer);

}  // namespace cowsliphill

#endif  // COWSLIPHILL_CLI_EXPLAIN_COMMAND_H_
