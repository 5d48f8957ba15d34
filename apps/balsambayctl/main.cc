// Entry point: passes arguments, environment and streams to Run().
#include <cstdlib>
#include <iostream>

#include "run.h"

namespace {

std::string Environment(const char* name) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? "" : value;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
  const balsambay::ctl::environment env{.daemon = Environment("BALSAMBAY_DAEMON"),
                                        .admin_token = Environment("BALSAMBAY_ADMIN_TOKEN")};
  return balsambay::ctl::Run(arguments, env, std::cout, std::cerr);
}
