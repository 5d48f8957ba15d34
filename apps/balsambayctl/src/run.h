// The command line as a function, so that tests run it without a process.
#pragma once

#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace balsambay::ctl {

// Values of the environment variables BALSAMBAY_DAEMON and BALSAMBAY_ADMIN_TOKEN; flags take
// precedence.
struct environment {
  std::string daemon;
  std::string admin_token;
};

// Runs one command and returns the exit code of the process. `arguments` does not contain the
// program's name. Sets Abseil flags, which are global.
int Run(std::span<const std::string> arguments, const environment& env, std::ostream& out,
        std::ostream& err);

}  // namespace balsambay::ctl
