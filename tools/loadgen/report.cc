// Percentiles and rates.
#include "report.h"

#include <algorithm>
#include <cmath>

namespace balsambay::loadgen {
namespace {

using nlohmann::json;

double Milliseconds(duration value) { return static_cast<double>(value.count()) / 1000; }

// `values` is sorted. The nearest-rank percentile.
double Percentile(const std::vector<double>& values, double fraction) {
  if (values.empty()) return 0;
  const auto rank = static_cast<size_t>(std::ceil(fraction * static_cast<double>(values.size())));
  return values[std::clamp<size_t>(rank, 1, values.size()) - 1];
}

json Percentiles(std::vector<double> values) {
  std::ranges::sort(values);
  return {{"p50", Percentile(values, 0.5)},
          {"p95", Percentile(values, 0.95)},
          {"p99", Percentile(values, 0.99)},
          {"max", values.empty() ? 0 : values.back()}};
}

json SummariseSamples(const std::vector<sample>& samples, double seconds) {
  std::vector<double> first;
  std::vector<double> total;
  std::vector<double> gap;
  std::map<std::string, int> reasons;
  size_t measured = 0;
  size_t whole = 0;
  uint64_t tokens = 0;
  for (const sample& item : samples) {
    if (!item.measured) continue;
    ++measured;
    tokens += item.tokens;
    if (!item.whole) {
      ++reasons[item.reason];
      continue;
    }
    ++whole;
    first.push_back(Milliseconds(item.first - item.scheduled));
    total.push_back(Milliseconds(item.last - item.scheduled));
    if (item.tokens > 1) gap.push_back(Milliseconds(item.last - item.first) / (item.tokens - 1));
  }
  return {{"requests", measured},
          {"whole", whole},
          {"requests_per_second", static_cast<double>(whole) / seconds},
          {"tokens_per_second", static_cast<double>(tokens) / seconds},
          {"first_token_ms", Percentiles(std::move(first))},
          {"total_ms", Percentiles(std::move(total))},
          {"per_token_ms", Percentiles(std::move(gap))},
          {"not_whole_by_reason", reasons}};
}

}  // namespace

json Summarise(const settings& settings, const outcome& run) {
  const double seconds = std::chrono::duration<double>(settings.length).count();
  std::vector<sample> all;
  json by_workspace = json::object();
  for (const workspace_result& workspace : run.workspaces) {
    all.insert(all.end(), workspace.samples.begin(), workspace.samples.end());
    by_workspace[workspace.name] = SummariseSamples(workspace.samples, seconds);
  }
  json out = SummariseSamples(all, seconds);
  out["seed"] = settings.seed;
  out["seconds"] = seconds;
  if (run.workspaces.size() > 1) out["workspaces"] = by_workspace;
  return out;
}

std::string Series(const outcome& run) {
  std::string out = "seconds,tokens_per_second\n";
  if (run.tokens_by_interval.empty()) return out;
  const int64_t last = run.tokens_by_interval.rbegin()->first;
  for (int64_t i = 0; i <= last; ++i) {
    const auto it = run.tokens_by_interval.find(i);
    const uint64_t tokens = it == run.tokens_by_interval.end() ? 0 : it->second;
    out += std::to_string(static_cast<double>(i) / 10) + "," + std::to_string(tokens * 10) + "\n";
  }
  return out;
}

}  // namespace balsambay::loadgen
