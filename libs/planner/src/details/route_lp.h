// Computes the throughput bound with link limits, and routes that reach it.
//
// A link is shared by all layer boundaries, and an engine by all parts of its range, so the joint
// problem is a fractional packing of routes and not a single-commodity flow. It is solved by the
// simplex method with column generation: the rows are groups and links, a column is a route, and
// the entering column is the cheapest route under the dual prices, found by dynamic programming
// over segments.
#pragma once

#include <optional>
#include <vector>

#include "details/cheapest_route.h"
#include "details/problem.h"

namespace balsambay::planner::details {

struct route_lp_solution {
  std::vector<group_route> routes = {};
  bool is_optimal = false;
  uint64_t operations = 0;  // multiplications and comparisons made
  double bound = 0;         // tokens/s; an upper bound also when the search ended early
  std::vector<double> group_price = {};  // dual prices by group; positive when saturated
  std::vector<double> link_price = {};   // dual prices by topology::links; positive when saturated
};

// Maximum number of multiplications and comparisons for improving one plan, in all solver runs
// together. Keeps planning within 50 ms for 500 engines and 2 s for 10,000 engines (see README).
uint64_t RouteLpOperationLimit(const planning_problem& problem);

// `upper_bound` is the bound without link limits, in tokens/s and positive. The search starts from
// the routes `initial` and ends after `operation_limit` operations. Returns nullopt when the
// problem is too large for a dense basis. `is_optimal` is false when the search ended early or when
// only routes beyond the entry limit of group_reentry::kLimited would improve the solution.
std::optional<route_lp_solution> SolveRouteLp(const planning_problem& problem, double upper_bound,
                                              const std::vector<group_route>& initial,
                                              group_reentry mode, uint64_t operation_limit);

}  // namespace balsambay::planner::details
