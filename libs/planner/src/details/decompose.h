// Decomposes the coverage flow into routes over engine groups.
#pragma once

#include <vector>

#include "details/coverage_flow.h"
#include "details/problem.h"

namespace balsambay::planner::details {

// Processes the segments in order and extends each path with flow of the next segment: first within
// its group, then to groups of the same zone, then to groups of other zones, up to the rates of the
// links. Flow that cannot be extended is dropped, so the sum of the route flows can be below the
// bound. A route enters a group again only while the group has members that are not on the route.
std::vector<group_route> DecomposeCoverage(const planning_problem& problem,
                                           const coverage_flow& coverage);

}  // namespace balsambay::planner::details
