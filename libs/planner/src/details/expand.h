// Expands routes over engine groups into routes over single endpoints.
#pragma once

#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

// Divides the flow of each group among its members in proportion to their capacity. Returns about
// as many routes as there are members and group routes together. A route that would need one
// endpoint twice is dropped. Weights are relative to `bound` (tokens/s).
std::vector<weighted_route> ExpandRoutes(const planning_problem& problem,
                                         const std::vector<group_route>& routes, double bound);

// Computes `stages`, `hops` and `planned_tokens_per_second` of `target` from its routes and its
// bound. Precondition: `stages` and `hops` are empty.
void ComputeFlows(const topology& topo, plan& target);

}  // namespace balsambay::planner::details
