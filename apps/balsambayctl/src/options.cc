// Definition and parsing of flags.
#include "options.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <gio/gio.h>

#include <algorithm>
#include <array>
#include <optional>

ABSL_FLAG(std::vector<std::string>, daemon, {},
          "IP:PORT of a daemon's HTTP port; repeatable or separated by commas");
ABSL_FLAG(std::string, admin_token, "",
          "token of the admin API; prefer the environment variable, because arguments are visible "
          "to other users");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");
ABSL_FLAG(int, timeout_ms, 10000, "longest wait for a daemon in ms, rounded up to seconds");
ABSL_FLAG(int64_t, base_version, -1,
          "version that the change is based on; default: the version in force");
ABSL_FLAG(bool, document, false, "print the document of the first daemon that answers");
ABSL_FLAG(std::string, workspace, "", "workspace of the request to explain");
ABSL_FLAG(std::string, model, "", "model of the request to explain");
ABSL_FLAG(std::string, service, "", "service of the request to explain");
ABSL_FLAG(std::string, prompt, "", "prompt of the request to explain");
ABSL_FLAG(bool, follow, false, "go on and print what changes");
ABSL_FLAG(int, interval_ms, 1000, "time between two polls of --follow in ms");
ABSL_FLAG(int, polls, 0, "end --follow after so many polls; 0: when interrupted");

namespace balsambay::ctl {
namespace {

constexpr std::array<std::string_view, 4> kCommonFlags = {"daemon", "admin_token", "json",
                                                          "timeout_ms"};
constexpr int kMaxTimeoutMs = 600000;

struct flag_argument {
  std::string name;
  std::optional<std::string> value;
};

// "--base-version=3" is the flag base_version with the value 3.
flag_argument SplitFlag(std::string_view text) {
  text.remove_prefix(2);
  const size_t equals = text.find('=');
  flag_argument out{.name = std::string(text.substr(0, equals)), .value = std::nullopt};
  std::ranges::replace(out.name, '-', '_');
  if (equals != std::string_view::npos) out.value = std::string(text.substr(equals + 1));
  return out;
}

// Abseil keeps only the last value of a repeated flag, so the list so far is put before it.
std::string WithEarlierDaemons(const parsed_arguments& parsed, const flag_argument& flag,
                               const absl::CommandLineFlag& target) {
  const bool repeated = std::ranges::find(parsed.flags, flag.name) != parsed.flags.end();
  if (flag.name != "daemon" || !repeated) return *flag.value;
  return target.CurrentValue() + "," + *flag.value;
}

// Sets one flag. `next` is the argument after it, or null; returns whether it was used as the
// value.
result<bool> SetFlag(flag_argument flag, const std::string* next, parsed_arguments& parsed) {
  absl::CommandLineFlag* target = absl::FindCommandLineFlag(flag.name);
  if (target == nullptr) return Failure(errc::kInvalidArgument, "unknown flag --" + flag.name);
  bool used_next = false;
  if (!flag.value && target->IsOfType<bool>()) {
    flag.value = "true";
  } else if (!flag.value) {
    if (next == nullptr) return Failure(errc::kInvalidArgument, "--" + flag.name + " has no value");
    flag.value = *next;
    used_next = true;
  }
  std::string problem;
  if (!target->ParseFrom(WithEarlierDaemons(parsed, flag, *target), &problem)) {
    return Failure(errc::kInvalidArgument, "--" + flag.name + ": " + problem);
  }
  parsed.flags.push_back(flag.name);
  return used_next;
}

bool IsIpAndPort(const std::string& text) {
  GSocketConnectable* parsed = g_network_address_parse(text.c_str(), 0, nullptr);
  if (parsed == nullptr) return false;
  auto* address = G_NETWORK_ADDRESS(parsed);
  const bool ok = g_network_address_get_port(address) != 0 &&
                  g_hostname_is_ip_address(g_network_address_get_hostname(address));
  g_object_unref(parsed);
  return ok;
}

result<void> CheckRange(std::string_view name, int value, int min, int max) {
  if (value >= min && value <= max) return Success();
  return Failure(errc::kInvalidArgument, "--" + std::string(name) + " must be between " +
                                             std::to_string(min) + " and " + std::to_string(max));
}

}  // namespace

result<parsed_arguments> ParseArguments(std::span<const std::string> arguments) {
  parsed_arguments out;
  bool flags_ended = false;
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    if (flags_ended || !argument.starts_with("--")) {
      out.positional.push_back(argument);
    } else if (argument == "--") {
      flags_ended = true;
    } else {
      const std::string* next = i + 1 < arguments.size() ? &arguments[i + 1] : nullptr;
      BOOST_OUTCOME_TRY(used_next, SetFlag(SplitFlag(argument), next, out));
      if (used_next) ++i;
    }
  }
  return out;
}

result<options> OptionsFromFlags() {
  const int timeout_ms = absl::GetFlag(FLAGS_timeout_ms);
  const int interval_ms = absl::GetFlag(FLAGS_interval_ms);
  BOOST_OUTCOME_TRY(CheckRange("timeout_ms", timeout_ms, 1, kMaxTimeoutMs));
  BOOST_OUTCOME_TRY(CheckRange("interval_ms", interval_ms, 10, kMaxTimeoutMs));
  options out;
  out.daemons = absl::GetFlag(FLAGS_daemon);
  std::erase(out.daemons, "");
  out.admin_token = absl::GetFlag(FLAGS_admin_token);
  out.json = absl::GetFlag(FLAGS_json);
  out.timeout = std::chrono::milliseconds(timeout_ms);
  out.base_version = absl::GetFlag(FLAGS_base_version);
  if (out.base_version < -1) return Failure(errc::kInvalidArgument, "--base_version is negative");
  out.document = absl::GetFlag(FLAGS_document);
  out.workspace = absl::GetFlag(FLAGS_workspace);
  out.model = absl::GetFlag(FLAGS_model);
  out.service = absl::GetFlag(FLAGS_service);
  out.prompt = absl::GetFlag(FLAGS_prompt);
  out.follow = absl::GetFlag(FLAGS_follow);
  out.interval = std::chrono::milliseconds(interval_ms);
  out.polls = absl::GetFlag(FLAGS_polls);
  if (out.polls < 0) return Failure(errc::kInvalidArgument, "--polls is negative");
  return out;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> out;
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(','));
    if (!part.empty()) out.emplace_back(part);
    text.remove_prefix(std::min(text.size(), part.size() + 1));
  }
  return out;
}

result<void> CheckAddresses(std::span<const std::string> addresses) {
  const auto wrong =
      std::ranges::find_if(addresses, [](const std::string& text) { return !IsIpAndPort(text); });
  if (wrong == addresses.end()) return Success();
  return Failure(errc::kInvalidArgument, "\"" + *wrong + "\" is not an address IP:PORT");
}

std::span<const std::string_view> CommonFlags() { return kCommonFlags; }

std::string FlagHelp(std::string_view name) {
  const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(std::string(name));
  return flag == nullptr ? "" : flag->Help();
}

}  // namespace balsambay::ctl
