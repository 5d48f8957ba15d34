// Turns routes over groups into routes over single endpoints.
#pragma once

#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

// Shares the flow of each group among its members in proportion to their capacity. Returns about as
// many routes as there are members and group routes together. A route that would need one endpoint
// twice is dropped.
std::vector<weighted_route> ExpandRoutes(const planning_problem& problem,
                                         const std::vector<group_route>& routes, double bound);

// Fills stages and hops from the routes.
void ComputeFlows(const topology& topo, plan& out);

}  // namespace balsambay::planner::details
