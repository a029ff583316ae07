// Entry point of the cowsliphill binary. Exit codes: 0 success, 1 failure, 2 usage or input errors.

#include <csignal>

#include "src/cli/commands.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return cowsliphill::RunCommand({argv, argv + argc});
}
