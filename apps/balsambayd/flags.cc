// Flag definitions and checks.
#include "flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, id, "", "unique id of this daemon among all entry daemons; required");
ABSL_FLAG(std::string, zone, "", "availability zone of this VM; required");
ABSL_FLAG(std::string, listen, "127.0.0.1:8080", "IP:PORT for callers, operators and metrics");
ABSL_FLAG(std::string, peer_listen, "",
          "IP:PORT for other entry daemons; empty runs without peers");
ABSL_FLAG(std::string, peer_advertise, "",
          "IP:PORT that other entry daemons use; default: peer_listen");
ABSL_FLAG(std::string, peers, "", "IP:PORT of other entry daemons, separated by commas");
ABSL_FLAG(std::string, peer_key, "",
          "shared secret of all entry daemons; required with peer_listen");
ABSL_FLAG(std::string, platform, "", "IP:PORT of the platform's service");
ABSL_FLAG(std::string, admin_token, "", "bearer token of the admin API; empty closes the API");
ABSL_FLAG(std::string, config_file, "", "fixed configuration for trials without a platform");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");
ABSL_FLAG(int, max_body_kb, 1024, "largest request body, KiB (1 to 65536)");
ABSL_FLAG(int, body_timeout_ms, 10000, "time for a request body to arrive, ms (100 to 600000)");
ABSL_FLAG(int, max_header_bytes, 65536,
          "largest header section of a request, and trailers of its body, bytes (4096 to 65536)");
ABSL_FLAG(int, max_header_lines, 32768,
          "most lines of a header section, and of trailers (64 to 65536)");
ABSL_FLAG(int, header_timeout_ms, 10000,
          "time for a header section to arrive, from its first byte, ms (100 to 600000)");
ABSL_FLAG(int, max_connections, 4000,
          "open connections of callers; at the limit, the one that waits longest for a request is "
          "closed for a new one (8 to 1000000)");
ABSL_FLAG(int, max_connections_per_address, 0,
          "open connections of callers of one address; further ones are refused; 0: no limit "
          "(0 to 1000000)");
ABSL_FLAG(int, first_token_timeout_ms, 5000,
          "an attempt without a token for this long has stalled, ms");
ABSL_FLAG(int, token_timeout_ms, 1000, "largest pause between two tokens of an attempt, ms");
ABSL_FLAG(int, unready_delay_ms, 2000,
          "how long requests are still taken after SIGTERM, ms (0 to 60000)");
ABSL_FLAG(int, memory_limit_mb, 1000,
          "memory at which the process would be ended, MB (64 to 1000000); requests and replies "
          "hold a quarter of it at most");
ABSL_FLAG(int, shards, 8, "shards of at-most-once records; the same for all daemons (1 to 1024)");
ABSL_FLAG(int, metrics_port, 0,
          "balsambayd platform: port of the VM's address for GET /metrics; 0 serves none");
ABSL_FLAG(uint64_t, seed, 0, "seed of random choices; 0 takes one from the system");

namespace balsambay::app {
namespace {

constexpr std::array kFlagNames = {"id",
                                   "zone",
                                   "listen",
                                   "peer_listen",
                                   "peer_advertise",
                                   "peers",
                                   "peer_key",
                                   "platform",
                                   "admin_token",
                                   "metrics_port",
                                   "config_file",
                                   "log_level",
                                   "max_body_kb",
                                   "body_timeout_ms",
                                   "max_header_bytes",
                                   "max_header_lines",
                                   "header_timeout_ms",
                                   "max_connections",
                                   "max_connections_per_address",
                                   "first_token_timeout_ms",
                                   "token_timeout_ms",
                                   "unready_delay_ms",
                                   "memory_limit_mb",
                                   "shards",
                                   "seed"};

std::string EnvironmentName(std::string_view flag) {
  std::string out = "BALSAMBAY_";
  std::ranges::transform(flag, std::back_inserter(out),
                         [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return out;
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size() && port <= 65535;
}

void CheckAddress(std::string_view flag, const std::string& value, bool required,
                  std::vector<std::string>& errors) {
  if (value.empty() && !required) return;
  if (!IsAddress(value))
    errors.push_back("--" + std::string(flag) + ": \"" + value + "\" is not IP:PORT");
}

int CheckRange(std::string_view flag, int value, int low, int high,
               std::vector<std::string>& errors) {
  if (value < low || value > high) {
    errors.push_back("--" + std::string(flag) + ": " + std::to_string(value) + " is not between " +
                     std::to_string(low) + " and " + std::to_string(high));
  }
  return value;
}

std::vector<std::string> SplitList(const std::string& text) {
  return absl::StrSplit(text, ',', absl::SkipEmpty());
}

duration Milliseconds(int value) { return std::chrono::milliseconds(value); }

void ReadAddresses(settings_outcome& out) {
  router::settings& settings = out.settings;
  settings.listen = absl::GetFlag(FLAGS_listen);
  settings.peer_listen = absl::GetFlag(FLAGS_peer_listen);
  settings.peer_advertise = absl::GetFlag(FLAGS_peer_advertise);
  if (settings.peer_advertise.empty()) settings.peer_advertise = settings.peer_listen;
  settings.peers = SplitList(absl::GetFlag(FLAGS_peers));
  settings.platform = absl::GetFlag(FLAGS_platform);
  CheckAddress("listen", settings.listen, true, out.errors);
  CheckAddress("peer_listen", settings.peer_listen, false, out.errors);
  CheckAddress("peer_advertise", settings.peer_advertise, false, out.errors);
  CheckAddress("platform", settings.platform, false, out.errors);
  for (const std::string& peer : settings.peers) CheckAddress("peers", peer, true, out.errors);
}

void ReadLimits(settings_outcome& out) {
  router::settings& settings = out.settings;
  auto& errors = out.errors;
  settings.max_body_bytes =
      static_cast<size_t>(
          CheckRange("max_body_kb", absl::GetFlag(FLAGS_max_body_kb), 1, 65536, errors)) *
      1024;
  settings.body_timeout = Milliseconds(
      CheckRange("body_timeout_ms", absl::GetFlag(FLAGS_body_timeout_ms), 100, 600000, errors));
  settings.max_header_bytes = static_cast<size_t>(
      CheckRange("max_header_bytes", absl::GetFlag(FLAGS_max_header_bytes), 4096, 65536, errors));
  settings.max_header_lines = static_cast<size_t>(
      CheckRange("max_header_lines", absl::GetFlag(FLAGS_max_header_lines), 64, 65536, errors));
  settings.header_timeout = Milliseconds(
      CheckRange("header_timeout_ms", absl::GetFlag(FLAGS_header_timeout_ms), 100, 600000, errors));
  settings.max_connections = static_cast<size_t>(
      CheckRange("max_connections", absl::GetFlag(FLAGS_max_connections), 8, 1'000'000, errors));
  settings.max_connections_per_address = static_cast<size_t>(
      CheckRange("max_connections_per_address", absl::GetFlag(FLAGS_max_connections_per_address), 0,
                 1'000'000, errors));
  settings.first_token_timeout = Milliseconds(CheckRange(
      "first_token_timeout_ms", absl::GetFlag(FLAGS_first_token_timeout_ms), 10, 600000, errors));
  settings.token_timeout = Milliseconds(
      CheckRange("token_timeout_ms", absl::GetFlag(FLAGS_token_timeout_ms), 10, 600000, errors));
  settings.unready_delay = Milliseconds(
      CheckRange("unready_delay_ms", absl::GetFlag(FLAGS_unready_delay_ms), 0, 60000, errors));
  constexpr size_t kBytesPerMb = 1'000'000;
  settings.memory_limit_bytes =
      static_cast<size_t>(CheckRange("memory_limit_mb", absl::GetFlag(FLAGS_memory_limit_mb), 64,
                                     1'000'000, errors)) *
      kBytesPerMb;
  settings.shards =
      static_cast<uint32_t>(CheckRange("shards", absl::GetFlag(FLAGS_shards), 1, 1024, errors));
}

}  // namespace

void ParseFlags(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "entry daemon of balsambay.\n\nEach flag can be given as an environment variable as well: "
      "--peer_key is\n"
      "BALSAMBAY_PEER_KEY. Exit codes: 0 graceful stop, 1 cannot start, 2 wrong settings, 3 forced "
      "stop that cut\n"
      "requests. SIGTERM stops gracefully, a second one at once.");
  bool valid = true;
  for (const char* name : kFlagNames) {
    const std::string variable = EnvironmentName(name);
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr) continue;
    std::string detail;
    if (absl::FindCommandLineFlag(name)->ParseFrom(value, &detail)) continue;
    std::fprintf(stderr, "%s: \"%s\" is not valid: %s\n", variable.c_str(), value, detail.c_str());
    valid = false;
  }
  if (!valid) std::exit(2);
  absl::ParseCommandLine(argc, argv);
}

settings_outcome ReadSettings() {
  settings_outcome out;
  router::settings& settings = out.settings;
  settings.id = absl::GetFlag(FLAGS_id);
  settings.zone = absl::GetFlag(FLAGS_zone);
  settings.peer_key = absl::GetFlag(FLAGS_peer_key);
  settings.admin_token = absl::GetFlag(FLAGS_admin_token);
  settings.config_file = absl::GetFlag(FLAGS_config_file);
  settings.seed = absl::GetFlag(FLAGS_seed);
  out.log_level = absl::GetFlag(FLAGS_log_level);
  if (settings.id.empty()) out.errors.emplace_back("--id: required");
  if (settings.zone.empty()) out.errors.emplace_back("--zone: required");
  constexpr std::array kLevels = {"debug", "info", "warning", "error"};
  if (std::ranges::find(kLevels, out.log_level) == kLevels.end()) {
    out.errors.push_back("--log_level: \"" + out.log_level +
                         "\" is not debug, info, warning or error");
  }
  ReadAddresses(out);
  ReadLimits(out);
  if (!settings.peer_listen.empty() && settings.peer_key.empty()) {
    out.errors.emplace_back("--peer_key: required with --peer_listen");
  }
  if (settings.platform.empty() && settings.config_file.empty()) {
    out.errors.emplace_back("--platform or --config_file: one of them is required");
  }
  return out;
}

}  // namespace balsambay::app
