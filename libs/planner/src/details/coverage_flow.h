// Computes the throughput bound without link limits by maximum flow.
//
// An engine that runs part of its range for a token spends proportionally less time on it. So an
// engine supplies work (layers * tokens/s) to the segments of its range, and a segment of w layers
// demands w * T to carry T tokens/s. T is feasible when a flow from engines to segments meets every
// demand. By the max-flow min-cut theorem the largest T is the minimum, over sets of segments, of
// the capacity of all engines that hold a segment of the set divided by the layers in the set.
#pragma once

#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

struct coverage_flow {
  double bound = 0;                        // tokens/s
  std::vector<uint8_t> cut_segments = {};  // by segment: 1 when in the limiting cut
  // share[r][s - ranges[r].first]: tokens/s that range class r runs through segment s. Sums to
  // `bound` over the range classes of each segment. Utilisation is equal where the cuts allow it.
  std::vector<std::vector<double>> share = {};
};

// Precondition: every segment is held by at least one range class.
coverage_flow SolveCoverageFlow(const planning_problem& problem);

}  // namespace balsambay::planner::details
