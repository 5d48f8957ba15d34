// The exact bound when links limit it.
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
  uint64_t operations = 0;               // spent
  double bound = 0;                      // tokens/s; valid also when the search ended early
  std::vector<double> group_price = {};  // dual prices; positive means saturated
  std::vector<double> link_price = {};   // by topology::links
};

// Multiplications and comparisons that improving one plan may take in all; keeps 500 engines within
// 50 ms and 10,000 within 2 s (see README).
uint64_t RouteLpOperationLimit(const planning_problem& problem);

// `upper_bound` is the bound without link limits, in tokens/s and positive; the search starts from
// the routes `initial` and ends after `limit` operations. Empty when the problem is too large for a
// dense basis; `is_optimal` is false when the search ended early or revisits are forbidden and
// would help.
std::optional<route_lp_solution> SolveRouteLp(const planning_problem& problem, double upper_bound,
                                              const std::vector<group_route>& initial,
                                              group_reentry mode, uint64_t limit);

}  // namespace balsambay::planner::details
