// Generated and recorded load.
#include "load.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <numeric>

namespace balsambay::experiment {
namespace {

constexpr int kWorkspaces = 10;
constexpr int kPrefixesPerWorkspace = 3;

double Exponential(random_generator& rng, double mean) {
  return -mean * std::log(1 - UniformUnit(rng));
}

double LogNormal(random_generator& rng, double median, double sigma) {
  const double radius = std::sqrt(-2 * std::log(1 - UniformUnit(rng)));
  return median * std::exp(sigma * radius * std::cos(2 * 3.14159265358979 * UniformUnit(rng)));
}

int Length(random_generator& rng, double median, double sigma, int most) {
  return std::clamp(static_cast<int>(LogNormal(rng, median, sigma)), 1, most);
}

load_request MakeRequest(random_generator& rng, double arrival, int workspace,
                         const std::vector<int>& prefix_lengths) {
  // The first prefix of a workspace takes half of its requests.
  const uint64_t draw = UniformBelow(rng, 4);
  const auto which = static_cast<uint32_t>(draw < 2 ? 0 : draw - 1);
  const uint32_t prefix = static_cast<uint32_t>(workspace) * kPrefixesPerWorkspace + which;
  const int own = Length(rng, 250, 1.0, 5000);
  return {.arrival = arrival,
          .workspace = workspace,
          .prefix = prefix,
          .prefix_tokens = prefix_lengths[prefix],
          .prompt_tokens = prefix_lengths[prefix] + own,
          .output_tokens = Length(rng, 120, 0.9, 1500)};
}

// Arrivals of one workspace: calm at 0.75 of its rate for 8 s on average, then twice its rate for 2
// s.
void AddWorkspace(random_generator& rng, int workspace, double rate, double end,
                  const std::vector<int>& prefix_lengths, std::vector<load_request>& load) {
  double now = 0;
  bool burst = false;
  while (now < end) {
    const double phase_end = now + Exponential(rng, burst ? 2 : 8);
    const double phase_rate = rate * (burst ? 2.0 : 0.75);
    now += Exponential(rng, 1 / phase_rate);
    for (; now < phase_end; now += Exponential(rng, 1 / phase_rate)) {
      load.push_back(MakeRequest(rng, now, workspace, prefix_lengths));
    }
    now = phase_end;
    burst = !burst;
  }
}

}  // namespace

std::vector<load_request> GenerateLoad(size_t count, random_generator& rng) {
  std::vector<int> prefix_lengths;
  prefix_lengths.reserve(static_cast<size_t>(kWorkspaces) * kPrefixesPerWorkspace);
  for (int i = 0; i < kWorkspaces * kPrefixesPerWorkspace; ++i) {
    prefix_lengths.push_back(64 * (2 + static_cast<int>(UniformBelow(rng, 15))));
  }
  double harmonic = 0;
  for (int w = 1; w <= kWorkspaces; ++w) harmonic += 1.0 / w;
  // The rate keeps burst lengths near 2 s after scaling to the cluster's size.
  constexpr double kRequestsPerSecond = 60;
  const double end = static_cast<double>(count) / kRequestsPerSecond;
  std::vector<load_request> load;
  for (int w = 0; w < kWorkspaces; ++w) {
    const double rate = kRequestsPerSecond / (w + 1) / harmonic;
    AddWorkspace(rng, w, rate, end, prefix_lengths, load);
  }
  std::ranges::sort(load, {}, &load_request::arrival);
  return load;
}

std::string WriteLoad(const std::vector<load_request>& load) {
  std::string text = "{\"trace_format\":1}\n";
  for (const load_request& r : load) {
    const nlohmann::json line = {r.arrival,       r.workspace,     r.prefix,
                                 r.prefix_tokens, r.prompt_tokens, r.output_tokens};
    text += nlohmann::json{{"request", line}}.dump();
    text += '\n';
  }
  return text;
}

result<std::vector<load_request>> ReadLoad(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  if (!std::getline(file, line) || line != "{\"trace_format\":1}") {
    return Failure(errc::kInvalidArgument, "no trace of format 1: " + path);
  }
  std::vector<load_request> load;
  while (std::getline(file, line)) {
    const auto fields = nlohmann::json::parse(line, nullptr, false);
    if (!fields.is_object() || !fields.contains("request") || fields["request"].size() != 6) {
      std::string detail = "bad line in trace: ";
      detail += line;
      return Failure(errc::kInvalidArgument, std::move(detail));
    }
    const auto& r = fields["request"];
    load.push_back({r[0], r[1], r[2], r[3], r[4], r[5]});
  }
  return load;
}

double EquivalentTokens(int output_tokens, int prefill_tokens, double prefill_speedup) {
  return output_tokens + prefill_tokens / prefill_speedup;
}

void ScaleToRate(std::vector<load_request>& load, double tokens_per_second,
                 double prefill_speedup) {
  const double work =
      std::accumulate(load.begin(), load.end(), 0.0, [&](double sum, const load_request& r) {
        return sum + EquivalentTokens(r.output_tokens, r.prompt_tokens, prefill_speedup);
      });
  const double factor = work / tokens_per_second / load.back().arrival;
  for (load_request& r : load) r.arrival *= factor;
}

}  // namespace balsambay::experiment
