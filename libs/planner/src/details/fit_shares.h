// Computes flow shares that use each engine as evenly as possible over its whole range.
#pragma once

#include <optional>
#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

// Tokens/s by position in the list of range classes, then by segment - (first segment of the
// class).
using segment_shares = std::vector<std::vector<double>>;

// Initially each range class in `ranges` runs its whole-range rate through all its segments. Then
// segments are rescaled to `tokens_per_second` and classes to their capacity in turn (iterative
// proportional fitting). Even use gives routes with few stages; a maximum flow alone may use an
// engine on small parts of its range. Only the shares of `segments` are set; the others stay zero.
// Returns nullopt for large problems and when a capacity is still exceeded by more than 0.2% at the
// iteration limit; a smaller excess is removed by lowering all shares.
std::optional<segment_shares> FitShares(const planning_problem& problem,
                                        const std::vector<uint32_t>& ranges,
                                        const std::vector<uint32_t>& segments,
                                        double tokens_per_second);

}  // namespace balsambay::planner::details
