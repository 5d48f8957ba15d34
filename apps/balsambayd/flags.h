// Settings of the daemon from flags and environment variables.
#pragma once

#include <absl/flags/declare.h>

#include <string>
#include <vector>

#include "router/settings.h"

ABSL_DECLARE_FLAG(int, metrics_port);

namespace balsambay::app {

// Reads `--name` from the command line and BALSAMBAY_NAME from the environment; the command line
// wins. Exits for
// --help and for flags that do not parse.
void ParseFlags(int argc, char** argv);

// The settings and everything that is wrong with them, one sentence each.
struct settings_outcome {
  router::settings settings;
  std::string log_level;
  std::vector<std::string> errors;
};

settings_outcome ReadSettings();

}  // namespace balsambay::app
