// Finds the cheapest route through the segments for given prices of groups and links.
#pragma once

#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

struct route_prices {
  std::vector<double> group = {};  // by group: price of one layer for one token
  std::vector<double> link = {};   // by topology::links: price of one token
};

struct priced_route {
  std::vector<group_stage> stages = {};
  double cost = 0;
  uint64_t operations = 0;  // comparisons made
};

// How often a route may enter the same engine group.
enum class group_reentry {
  kUnlimited,  // any number of times; the result is the minimum over all routes
  kLimited,    // only as often as its members can share the flow; the result is a good route, not
               // always the cheapest within the limit
};

// Precondition: prices are not negative and every segment is held by a group. The cost is infinite
// when the search finds no route within the entry limit.
priced_route FindCheapestRoute(const planning_problem& problem, const route_prices& prices,
                               group_reentry mode);

// Whether the route enters a group more often than group_reentry::kLimited allows.
bool ExceedsEntryLimit(const planning_problem& problem, const std::vector<group_stage>& stages);

}  // namespace balsambay::planner::details
