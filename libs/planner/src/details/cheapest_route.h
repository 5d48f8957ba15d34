// The cheapest route through the segments when groups and links have prices.
#pragma once

#include <vector>

#include "details/problem.h"

namespace balsambay::planner::details {

struct route_prices {
  std::vector<double> group = {};  // per layer run
  std::vector<double> link = {};   // per token, by topology::links
};

struct priced_route {
  std::vector<group_stage> stages = {};
  double cost = 0;
  uint64_t operations = 0;  // comparisons made
};

enum class group_reentry {
  kUnlimited,  // the true minimum over all routes
  kLimited,    // no group is entered more often than its members can share; a good route, not
               // always the cheapest
};

// Precondition: prices are not negative and every segment is held by a group. The cost is infinite
// when the search finds no route without revisits.
priced_route FindCheapestRoute(const planning_problem& problem, const route_prices& prices,
                               group_reentry mode);

// Whether some group is entered more often than its members can share.
bool ExceedsEntryLimit(const planning_problem& problem, const std::vector<group_stage>& stages);

}  // namespace balsambay::planner::details
