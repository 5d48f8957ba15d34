// Iterative proportional fitting.
#include "details/fit_shares.h"

#include <algorithm>

namespace balsambay::planner::details {
namespace {

constexpr int kMaxIterations = 400;
constexpr double kGoodEnough = 1e-5;
constexpr double kAcceptable = 2e-3;

// Larger problems (engines with many different ranges) are left to the caller: even shares would
// split the plan into more routes than can be made in time.
constexpr size_t kMaxEntries = 3000;

struct fitting {
  const planning_problem& problem;
  const std::vector<uint32_t>& ranges;
  const std::vector<uint32_t>& segments;
  segment_shares shares = {};
};

bool Holds(const range_class& r, uint32_t segment) {
  return r.first <= static_cast<int>(segment) && static_cast<int>(segment) < r.end;
}

fitting Start(const planning_problem& problem, const std::vector<uint32_t>& ranges,
              const std::vector<uint32_t>& segments) {
  fitting f{.problem = problem, .ranges = ranges, .segments = segments};
  f.shares.reserve(ranges.size());
  for (const uint32_t index : ranges) {
    const range_class& r = problem.ranges[index];
    const double rate = r.capacity / (problem.boundaries[r.end] - problem.boundaries[r.first]);
    f.shares.emplace_back(r.end - r.first, 0.0);
    for (const uint32_t s : segments) {
      if (Holds(r, s)) f.shares.back()[s - r.first] = rate;
    }
  }
  return f;
}

void ScaleSegments(fitting& f, double wanted) {
  std::vector<double> sum(f.problem.SegmentCount(), 0);
  for (size_t i = 0; i < f.ranges.size(); ++i) {
    const int first = f.problem.ranges[f.ranges[i]].first;
    for (size_t k = 0; k < f.shares[i].size(); ++k) sum[first + k] += f.shares[i][k];
  }
  for (size_t i = 0; i < f.ranges.size(); ++i) {
    const int first = f.problem.ranges[f.ranges[i]].first;
    for (size_t k = 0; k < f.shares[i].size(); ++k) {
      if (f.shares[i][k] > 0) f.shares[i][k] *= wanted / sum[first + k];
    }
  }
}

// Work of a class divided by its capacity.
double Utilisation(const fitting& f, size_t i) {
  const range_class& r = f.problem.ranges[f.ranges[i]];
  double work = 0;
  for (size_t k = 0; k < f.shares[i].size(); ++k)
    work += f.shares[i][k] * f.problem.SegmentLayers(r.first + k);
  return work / r.capacity;
}

void ScaleClass(fitting& f, size_t i, double factor) {
  for (double& share : f.shares[i]) share *= factor;
}

// The largest utilisation after ScaleSegments.
double Iterate(fitting& f, double wanted) {
  double most = 0;
  for (int n = 0; n < kMaxIterations; ++n) {
    ScaleSegments(f, wanted);
    most = 0;
    std::vector<double> used(f.ranges.size());
    for (size_t i = 0; i < used.size(); ++i) {
      used[i] = Utilisation(f, i);
      most = std::max(most, used[i]);
    }
    if (most <= 1 + kGoodEnough || n + 1 == kMaxIterations) break;
    for (size_t i = 0; i < used.size(); ++i) {
      if (used[i] > 1) ScaleClass(f, i, 1 / used[i]);
    }
  }
  return most;
}

size_t CountEntries(const fitting& f) {
  size_t entries = 0;
  for (const std::vector<double>& row : f.shares) entries += row.size();
  return entries;
}

}  // namespace

std::optional<segment_shares> FitShares(const planning_problem& problem,
                                        const std::vector<uint32_t>& ranges,
                                        const std::vector<uint32_t>& segments,
                                        double tokens_per_second) {
  fitting f = Start(problem, ranges, segments);
  if (CountEntries(f) > kMaxEntries) return std::nullopt;
  const double most = Iterate(f, tokens_per_second);
  if (most > 1 + kAcceptable) return std::nullopt;
  if (most > 1) {
    for (size_t i = 0; i < ranges.size(); ++i) ScaleClass(f, i, 1 / most);
  }
  return std::move(f.shares);
}

}  // namespace balsambay::planner::details
