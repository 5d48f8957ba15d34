// Iterative proportional fitting of range classes to segments.
#include "details/fit_shares.h"

#include <algorithm>

namespace balsambay::planner::details {
namespace {

constexpr int kMaxIterations = 400;
// Accepted excess of work over capacity, as a fraction: the first ends the iteration early, the
// second applies at the iteration limit.
constexpr double kConvergenceTolerance = 1e-5;
constexpr double kMaxExcess = 2e-3;

// Maximum number of shares. For larger problems (engines with many different ranges) even shares
// would split the plan into more routes than can be built in time, and the caller uses another
// method.
constexpr size_t kMaxShares = 3000;

struct fitting_state {
  const planning_problem& problem;
  const std::vector<uint32_t>& ranges;
  const std::vector<uint32_t>& segments;
  segment_shares shares = {};
};

bool Holds(const range_class& r, uint32_t segment) {
  return r.first <= static_cast<int>(segment) && static_cast<int>(segment) < r.end;
}

fitting_state MakeInitialShares(const planning_problem& problem,
                                const std::vector<uint32_t>& ranges,
                                const std::vector<uint32_t>& segments) {
  fitting_state state{.problem = problem, .ranges = ranges, .segments = segments};
  state.shares.reserve(ranges.size());
  for (const uint32_t index : ranges) {
    const range_class& r = problem.ranges[index];
    const double rate = r.capacity / (problem.boundaries[r.end] - problem.boundaries[r.first]);
    state.shares.emplace_back(r.end - r.first, 0.0);
    for (const uint32_t s : segments) {
      if (Holds(r, s)) state.shares.back()[s - r.first] = rate;
    }
  }
  return state;
}

// Scales the shares of each segment so that they sum to `target_rate` (tokens/s).
void ScaleSegments(fitting_state& state, double target_rate) {
  std::vector<double> sum(state.problem.SegmentCount(), 0);
  for (size_t i = 0; i < state.ranges.size(); ++i) {
    const int first = state.problem.ranges[state.ranges[i]].first;
    for (size_t k = 0; k < state.shares[i].size(); ++k) sum[first + k] += state.shares[i][k];
  }
  for (size_t i = 0; i < state.ranges.size(); ++i) {
    const int first = state.problem.ranges[state.ranges[i]].first;
    for (size_t k = 0; k < state.shares[i].size(); ++k) {
      if (state.shares[i][k] > 0) state.shares[i][k] *= target_rate / sum[first + k];
    }
  }
}

// Work of the range class at position `i` divided by its capacity.
double Utilisation(const fitting_state& state, size_t i) {
  const range_class& r = state.problem.ranges[state.ranges[i]];
  double work = 0;
  for (size_t k = 0; k < state.shares[i].size(); ++k) {
    work += state.shares[i][k] * state.problem.SegmentLayers(r.first + k);
  }
  return work / r.capacity;
}

void ScaleRangeClass(fitting_state& state, size_t i, double factor) {
  for (double& share : state.shares[i]) share *= factor;
}

// Returns the largest utilisation after the last call of ScaleSegments.
double FitIteratively(fitting_state& state, double target_rate) {
  double max_utilisation = 0;
  for (int iteration = 0; iteration < kMaxIterations; ++iteration) {
    ScaleSegments(state, target_rate);
    max_utilisation = 0;
    std::vector<double> utilisation(state.ranges.size());
    for (size_t i = 0; i < utilisation.size(); ++i) {
      utilisation[i] = Utilisation(state, i);
      max_utilisation = std::max(max_utilisation, utilisation[i]);
    }
    if (max_utilisation <= 1 + kConvergenceTolerance || iteration + 1 == kMaxIterations) break;
    for (size_t i = 0; i < utilisation.size(); ++i) {
      if (utilisation[i] > 1) ScaleRangeClass(state, i, 1 / utilisation[i]);
    }
  }
  return max_utilisation;
}

size_t CountShares(const fitting_state& state) {
  size_t count = 0;
  for (const std::vector<double>& row : state.shares) count += row.size();
  return count;
}

}  // namespace

std::optional<segment_shares> FitShares(const planning_problem& problem,
                                        const std::vector<uint32_t>& ranges,
                                        const std::vector<uint32_t>& segments,
                                        double tokens_per_second) {
  fitting_state state = MakeInitialShares(problem, ranges, segments);
  if (CountShares(state) > kMaxShares) return std::nullopt;
  const double max_utilisation = FitIteratively(state, tokens_per_second);
  if (max_utilisation > 1 + kMaxExcess) return std::nullopt;
  if (max_utilisation > 1) {
    for (size_t i = 0; i < ranges.size(); ++i) ScaleRangeClass(state, i, 1 / max_utilisation);
  }
  return std::move(state.shares);
}

}  // namespace balsambay::planner::details
