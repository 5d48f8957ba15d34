// balsambay-load: flags and output.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <cstdio>
#include <fstream>
#include <iostream>

#include "report.h"

ABSL_FLAG(std::string, targets, "", "IP:PORT of entry daemons, separated by commas");
ABSL_FLAG(std::string, workspaces, "w1:secret:10",
          "NAME:TOKEN:REQUESTS_PER_SECOND, separated by commas");
ABSL_FLAG(double, seconds, 10, "measured time");
ABSL_FLAG(double, warm_up_seconds, 1, "time before the measured time");
ABSL_FLAG(double, drain_seconds, 10, "time for the last answers");
ABSL_FLAG(std::string, model, "m1", "model");
ABSL_FLAG(std::string, service, "", "call this service in place of a model");
ABSL_FLAG(bool, direct, false,
          "--targets are endpoints of the service: a baseline without a daemon");
ABSL_FLAG(uint32_t, max_tokens, 64, "tokens of an answer; the mean with --heavy_tail");
ABSL_FLAG(bool, heavy_tail, false, "draw lengths from a Pareto distribution");
ABSL_FLAG(uint32_t, prompt_bytes, 64, "own part of each prompt");
ABSL_FLAG(uint32_t, shared_prefix_bytes, 0, "part of the prompt that is the same for all requests");
ABSL_FLAG(int, timeout_ms, 20000, "deadline of each request");
ABSL_FLAG(bool, stream, true, "streamed answers");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals, lengths and prompts");
ABSL_FLAG(std::string, series, "", "file for a CSV with one row per 100 ms");

namespace balsambay::loadgen {
namespace {

duration Seconds(double value) { return duration(static_cast<int64_t>(value * 1e6)); }

settings ReadFlags() {
  settings out;
  out.targets = absl::StrSplit(absl::GetFlag(FLAGS_targets), ',', absl::SkipEmpty());
  const std::string workspaces = absl::GetFlag(FLAGS_workspaces);
  for (const std::string& entry : std::vector<std::string>(absl::StrSplit(workspaces, ','))) {
    const std::vector<std::string> parts = absl::StrSplit(entry, ':');
    if (parts.size() == 3) out.workspaces.push_back({parts[0], parts[1], std::stod(parts[2])});
  }
  out.length = Seconds(absl::GetFlag(FLAGS_seconds));
  out.warm_up = Seconds(absl::GetFlag(FLAGS_warm_up_seconds));
  out.drain = Seconds(absl::GetFlag(FLAGS_drain_seconds));
  out.model = absl::GetFlag(FLAGS_model);
  out.service = absl::GetFlag(FLAGS_service);
  out.direct = absl::GetFlag(FLAGS_direct);
  out.max_tokens = absl::GetFlag(FLAGS_max_tokens);
  out.heavy_tail = absl::GetFlag(FLAGS_heavy_tail);
  out.prompt_bytes = absl::GetFlag(FLAGS_prompt_bytes);
  out.shared_prefix_bytes = absl::GetFlag(FLAGS_shared_prefix_bytes);
  out.timeout_ms = absl::GetFlag(FLAGS_timeout_ms);
  out.stream = absl::GetFlag(FLAGS_stream);
  out.seed = absl::GetFlag(FLAGS_seed);
  return out;
}

int Run() {
  const settings config = ReadFlags();
  if (config.targets.empty() || config.workspaces.empty()) {
    std::cerr << "--targets and --workspaces are required\n";
    return 2;
  }
  net::loop loop;
  const outcome run = RunLoad(config, loop);
  std::cout << Summarise(config, run).dump() << "\n";
  const std::string series = absl::GetFlag(FLAGS_series);
  if (!series.empty()) std::ofstream(series) << Series(run);
  return 0;
}

}  // namespace
}  // namespace balsambay::loadgen

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("open-loop load against entry daemons; prints one JSON object");
  absl::ParseCommandLine(argc, argv);
  return balsambay::loadgen::Run();
}
