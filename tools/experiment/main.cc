// Compares the four routing policies against the plan's bound. Prints JSON lines for each run and
// writes a CSV summary with medians and spread. Usage: experiment [SUMMARY.csv [RUNS]]
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>

#include "scenario.h"
#include "simulation.h"

namespace balsambay::experiment {
namespace {

constexpr double kWarmUpSeconds = 10;
constexpr double kMeasuredSeconds = 20;
constexpr double kKillAt = 15;
constexpr double kRecoverySeconds = 2;  // target: 90% of the new bound this long after the loss
// Enough to keep all engines busy: about 12 for each, below their batch slots.
constexpr int kRunsInFlight = 500;
constexpr size_t kGeneratedRequests = 20'000;

struct policy_name {
  routing::routing_policy how;
  const char* name;
};

constexpr policy_name kPolicies[] = {{routing::routing_policy::kRoundRobin, "round_robin"},
                                     {routing::routing_policy::kLeastInFlight, "least_in_flight"},
                                     {routing::routing_policy::kPowerOfTwo, "power_of_two"},
                                     {routing::routing_policy::kWeighted, "weighted"}};

using figures = std::map<std::string, double>;

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<size_t>(at)];
}

double RateBetween(const simulation_result& r, double from, double to) {
  const auto first = r.work.begin() + std::lround(from / kBucketSeconds);
  const auto last = r.work.begin() + std::lround(to / kBucketSeconds);
  return std::accumulate(first, last, 0.0) / (to - from);
}

// Bound from the plan for the endpoints that are left.
double BoundWithout(const planner::topology& topo, planner::endpoint_index lost) {
  std::vector<uint8_t> usable(topo.endpoints.size(), 1);
  if (lost < usable.size()) usable[lost] = 0;
  return planner::MakePlan(topo, usable).value().bound;
}

figures MeasureSaturation(const planner::topology& topo, std::vector<load_request> load,
                          simulation_options options) {
  options.runs_in_flight = kRunsInFlight;
  options.seconds = kWarmUpSeconds + kMeasuredSeconds;
  const simulation_result r = Simulate(topo, load, options);
  const double rate = RateBetween(r, kWarmUpSeconds, options.seconds);
  return {{"rate", rate},
          {"bound_ratio", rate / BoundWithout(topo, UINT32_MAX)},
          {"prefix_hit_ratio", r.cached_tokens / r.prompt_tokens}};
}

figures MeasureLoss(const planner::topology& topo, std::vector<load_request> load,
                    simulation_options options) {
  options.runs_in_flight = kRunsInFlight;
  options.kill_at = kKillAt;
  options.victim = PickVictim(topo);
  options.seconds = kKillAt + kRecoverySeconds + 6;
  const simulation_result r = Simulate(topo, load, options);
  const double bound = BoundWithout(topo, options.victim);
  const double at = kKillAt + kRecoverySeconds;
  return {{"old_bound", BoundWithout(topo, UINT32_MAX)},
          {"new_bound", bound},
          {"ratio_in_first_2s", RateBetween(r, kKillAt, at) / bound},
          {"ratio_2_to_3s", RateBetween(r, at, at + 1) / bound},
          {"ratio_3_to_8s", RateBetween(r, at + 1, at + 6) / bound},
          {"attempts_lost", r.attempts_lost},
          {"refused", r.refused}};
}

figures MeasureLatency(const planner::topology& topo, std::vector<load_request> load,
                       simulation_options options) {
  ScaleToRate(load, 0.8 * BoundWithout(topo, UINT32_MAX), kPrefillSpeedup);
  options.seconds = std::min(load.back().arrival, kWarmUpSeconds + 2 * kMeasuredSeconds);
  const simulation_result r = Simulate(topo, load, options);
  std::vector<double> first;
  std::vector<double> gaps;
  std::vector<double> error;
  for (const auto& f : r.first_tokens) {
    if (f.at < kWarmUpSeconds) continue;
    first.push_back(f.seconds);
    error.push_back(f.estimated / f.seconds);
  }
  for (const auto& g : r.gaps) {
    if (g.at >= kWarmUpSeconds) gaps.push_back(g.seconds);
  }
  return {{"first_token_p50_s", Quantile(first, 0.5)},
          {"first_token_p95_s", Quantile(first, 0.95)},
          {"gap_p50_s", Quantile(gaps, 0.5)},
          {"gap_p95_s", Quantile(gaps, 0.95)},
          {"estimate_ratio_p50", Quantile(error, 0.5)},
          {"estimate_ratio_p05", Quantile(error, 0.05)},
          {"estimate_ratio_p95", Quantile(error, 0.95)},
          {"prefix_hit_ratio", r.cached_tokens / r.prompt_tokens},
          {"rate_ratio",
           RateBetween(r, kWarmUpSeconds, options.seconds) / BoundWithout(topo, UINT32_MAX)}};
}

struct experiment_case {
  const char* name;
  figures (*measure)(const planner::topology&, std::vector<load_request>, simulation_options);
};

constexpr experiment_case kCases[] = {
    {"saturation", MeasureSaturation}, {"stage_loss", MeasureLoss}, {"load_80", MeasureLatency}};

std::vector<load_request> MakeLoad(const std::string& source, uint64_t seed) {
  if (source == "recorded") return ReadLoad(EXPERIMENT_DATA "/recorded_load.jsonl").value();
  random_generator rng(seed);
  return GenerateLoad(kGeneratedRequests, rng);
}

void WriteSummary(std::ostream& csv, const std::string& key,
                  const std::map<std::string, std::vector<double>>& series) {
  for (const auto& [name, values] : series) {
    csv << key << ',' << name << ',' << values.size() << ',' << Quantile(values, 0.5) << ','
        << *std::ranges::min_element(values) << ',' << *std::ranges::max_element(values) << '\n';
  }
}

void RunCase(const planner::topology& topo, const experiment_case& c, const policy_name& p,
             const std::string& source, uint64_t runs, std::ostream& csv) {
  std::map<std::string, std::vector<double>> series;
  for (uint64_t seed = 1; seed <= runs; ++seed) {
    simulation_options options;
    options.how = p.how;
    options.seed = seed;
    const figures f = c.measure(topo, MakeLoad(source, seed), options);
    for (const auto& [name, value] : f) series[name].push_back(value);
    std::cout << nlohmann::json{{"experiment", c.name},
                                {"policy", p.name},
                                {"load", source},
                                {"seed", seed},
                                {"warm_up_s", kWarmUpSeconds},
                                {"figures", f}}
              << std::endl;
  }
  WriteSummary(csv, std::string(c.name) + ',' + p.name + ',' + source, series);
}

int Main(int argc, char** argv) {
  std::ofstream csv(argc > 1 ? argv[1] : "experiment.csv");
  const uint64_t runs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 5;
  const auto topo = planner::BuildTopology(MakeCluster(), "m", kLinkLoad);
  if (!topo.has_value()) {
    std::cerr << topo.error().detail << '\n';
    return 1;
  }
  csv << "experiment,policy,load,figure,runs,median,min,max\n";
  for (const experiment_case& c : kCases) {
    for (const policy_name& p : kPolicies) {
      for (const char* source : {"generated", "recorded"}) {
        RunCase(topo.value(), c, p, source, runs, csv);
      }
    }
  }
  return 0;
}

}  // namespace
}  // namespace balsambay::experiment

int main(int argc, char** argv) {
  if (argc == 2 && std::string(argv[1]) == "--write-load") {
    balsambay::random_generator rng(20261204);
    std::cout << balsambay::experiment::WriteLoad(balsambay::experiment::GenerateLoad(4000, rng));
    return 0;
  }
  return balsambay::experiment::Main(argc, argv);
}
