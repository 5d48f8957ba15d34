// Flags of the command line.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace balsambay::ctl {

// Values of all flags; each is described where it is defined in options.cc.
struct options {
  std::vector<std::string> daemons;  // each IP:PORT
  std::string admin_token;
  bool json = false;
  duration timeout{};
  int64_t base_version = -1;  // -1: the version in force when the command starts
  bool document = false;
  std::string workspace;
  std::string model;
  std::string service;
  std::string prompt;
  bool follow = false;
  duration interval{};
  int polls = 0;  // 0: until interrupted
};

struct parsed_arguments {
  std::vector<std::string> positional;
  std::vector<std::string> flags;  // names of the flags that were given
};

// Sets the Abseil flags named by `arguments`, which may stand between positional arguments; "-" and
// "_" are the same in names. A repeated --daemon adds to the list. absl::ParseCommandLine is not
// used, because it exits with status 1 on a usage error and keeps only the last of repeated flags.
// Errors: kInvalidArgument for unknown flags and values of the wrong type.
result<parsed_arguments> ParseArguments(std::span<const std::string> arguments);

// The current values of the flags. Errors: kInvalidArgument for values out of range.
result<options> OptionsFromFlags();

// Splits at commas; empty parts are dropped.
std::vector<std::string> SplitList(std::string_view text);

// Errors: kInvalidArgument unless each address is IP:PORT.
result<void> CheckAddresses(std::span<const std::string> addresses);

// Names of the flags that every command takes, and the help text of a flag.
std::span<const std::string_view> CommonFlags();
std::string FlagHelp(std::string_view name);

}  // namespace balsambay::ctl
