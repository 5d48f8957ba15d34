// Shares of flow that use engines on their whole ranges as evenly as possible.
#pragma once

#include <optional>
#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

// by position in `ranges`, then by segment - ranges[r].first: tokens/s.
using segment_shares = std::vector<std::vector<double>>;

// Starts from each class carrying its whole-range rate through all its segments and rescales
// segments to `tokens_per_second` and classes to their capacity in turn (iterative proportional
// fitting). Even use gives routes with few stages; a maximum flow alone may use an engine on small
// parts of its range. Only `segments` are filled. Empty for large problems and when the capacities
// are still exceeded by more than 0.2% at the iteration limit; within it, all shares are lowered to
// meet them.
std::optional<segment_shares> FitShares(const planning_problem& problem,
                                        const std::vector<uint32_t>& ranges,
                                        const std::vector<uint32_t>& segments,
                                        double tokens_per_second);

}  // namespace balsambay::planner::details
