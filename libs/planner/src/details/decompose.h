// Decomposition of the coverage flow into routes over engine groups.
#pragma once

#include <vector>

#include "details/coverage_flow.h"
#include "details/problem.h"

namespace balsambay::planner::details {

// Walks the segments in order and extends each open path with flow of the next segment: first in
// the same group, then in the same zone, then elsewhere as far as links carry it. Paths that cannot
// be extended are dropped, so the sum of the flows can be below the bound. A route returns to a
// group only while the group has members that are not on the route.
std::vector<group_route> DecomposeCoverage(const planning_problem& problem,
                                           const coverage_flow& coverage);

}  // namespace balsambay::planner::details
