// Assigns group flows to group members, and sums flows over routes.
#include "details/expand.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace balsambay::planner::details {
namespace {

// Work and flow up to this fraction of the total are treated as zero (rounding errors).
constexpr double kTolerance = 1e-12;

// Routes that enter a group more than once are split into this many routes, to use its members
// evenly.
constexpr double kPartsOfReenteringRoute = 4;

// The planned work of a group that is not yet assigned to routes, by member. Members are used one
// after the other, so that few routes are needed.
struct group_budget {
  std::vector<double> remaining = {};  // layers * tokens/s, by member
  size_t next = 0;                     // first member with remaining budget
  double tolerance = 0;                // smaller budgets are treated as zero
};

std::vector<group_budget> DivideWork(const planning_problem& problem,
                                     const std::vector<group_route>& routes) {
  std::vector<double> work(problem.groups.size(), 0);
  for (const group_route& r : routes) {
    for (const group_stage& s : r.stages) {
      work[s.group] += r.flow * (problem.boundaries[s.end] - problem.boundaries[s.first]);
    }
  }
  std::vector<group_budget> budgets(problem.groups.size());
  for (size_t g = 0; g < budgets.size(); ++g) {
    const engine_group& group = problem.groups[g];
    budgets[g].tolerance = work[g] * kTolerance;
    for (const endpoint_index member : group.members) {
      const double part = WorkCapacity(problem.topo->endpoints[member]) / group.capacity;
      budgets[g].remaining.push_back(work[g] * part);
    }
  }
  return budgets;
}

bool IsOnRoute(const route& partial_route, endpoint_index endpoint) {
  return std::ranges::any_of(partial_route, [&](const stage& s) { return s.endpoint == endpoint; });
}

// Returns the position of the next member of `group` with remaining budget that is not yet on the
// route, or SIZE_MAX when there is none.
size_t FindNextMember(const planning_problem& problem, group_budget& budget, uint32_t group,
                      const route& partial_route) {
  const auto& members = problem.groups[group].members;
  while (budget.next < members.size() && budget.remaining[budget.next] <= budget.tolerance)
    ++budget.next;
  for (size_t m = budget.next; m < members.size(); ++m) {
    if (budget.remaining[m] > budget.tolerance && !IsOnRoute(partial_route, members[m])) return m;
  }
  return SIZE_MAX;
}

// Like FindNextMember, but returns the member with the largest remaining budget, so that several
// members keep budget until the end.
size_t FindLargestBudget(const planning_problem& problem, const group_budget& budget,
                         uint32_t group, const route& partial_route) {
  const auto& members = problem.groups[group].members;
  size_t largest = SIZE_MAX;
  for (size_t m = 0; m < members.size(); ++m) {
    if (budget.remaining[m] <= budget.tolerance || IsOnRoute(partial_route, members[m])) continue;
    if (largest == SIZE_MAX || budget.remaining[m] > budget.remaining[largest]) largest = m;
  }
  return largest;
}

// Appends one endpoint for each stage of `source` to `expanded` and deducts the flow from their
// budgets. Returns the flow: at most `max_flow` and what each endpoint has budget for, or zero when
// no member is available for a stage.
double AssignMembers(const planning_problem& problem, const group_route& source,
                     std::vector<group_budget>& budgets, double max_flow, bool has_reentries,
                     route& expanded) {
  std::vector<double*> used_budgets;
  double flow = max_flow;
  for (const group_stage& s : source.stages) {
    group_budget& budget = budgets[s.group];
    const size_t member = has_reentries ? FindLargestBudget(problem, budget, s.group, expanded)
                                        : FindNextMember(problem, budget, s.group, expanded);
    if (member == SIZE_MAX) return 0;
    const inventory::layer_range layers = problem.LayerRange(s.first, s.end);
    expanded.push_back({.endpoint = problem.groups[s.group].members[member], .layers = layers});
    used_budgets.push_back(&budget.remaining[member]);
    flow = std::min(flow, *used_budgets.back() / (layers.end - layers.first));
  }
  for (size_t i = 0; i < used_budgets.size(); ++i) {
    *used_budgets[i] -= flow * (expanded[i].layers.end - expanded[i].layers.first);
  }
  return flow;
}

// Number of stages in a group that an earlier stage of the route has entered already.
size_t CountReentries(const group_route& r) {
  std::vector<uint32_t> groups;
  for (const group_stage& s : r.stages) groups.push_back(s.group);
  std::ranges::sort(groups);
  return static_cast<size_t>(groups.end() - std::unique(groups.begin(), groups.end()));
}

// Sorts routes that need several members of one group to the front, while several members have
// remaining budget.
std::vector<const group_route*> SortByReentries(const std::vector<group_route>& routes) {
  std::vector<std::pair<size_t, const group_route*>> counted;
  counted.reserve(routes.size());
  for (const group_route& r : routes) counted.emplace_back(CountReentries(r), &r);
  std::ranges::stable_sort(counted, std::greater(), [](const auto& c) { return c.first; });
  std::vector<const group_route*> ordered;
  ordered.reserve(routes.size());
  for (const auto& [reentries, r] : counted) ordered.push_back(r);
  return ordered;
}

// Sort keys are single 64-bit integers for speed, because plans with many different ranges have
// hundreds of thousands of stages. Layers fit in 16 bits (kMaxLayers).
uint64_t StageKey(const stage_flow& s) {
  const auto first = static_cast<uint64_t>(s.stage.layers.first);
  const auto end = static_cast<uint64_t>(s.stage.layers.end);
  return first << 48 | end << 32 | s.stage.endpoint;
}

uint64_t HopKey(const hop_flow& h) {
  return static_cast<uint64_t>(h.layer) << 48 | uint64_t{h.from_zone} << 24 | h.to_zone;
}

// Sorts by key and adds up the flows of equal keys.
template <class Flow, class Key>
void SortAndMerge(std::vector<Flow>& flows, Key key) {
  std::ranges::sort(flows, {}, key);
  size_t merged_count = 0;
  for (size_t i = 0; i < flows.size(); ++i) {
    if (merged_count > 0 && key(flows[merged_count - 1]) == key(flows[i])) {
      flows[merged_count - 1].tokens_per_second += flows[i].tokens_per_second;
    } else {
      flows[merged_count++] = flows[i];
    }
  }
  flows.resize(merged_count);
  flows.shrink_to_fit();
}

}  // namespace

std::vector<weighted_route> ExpandRoutes(const planning_problem& problem,
                                         const std::vector<group_route>& routes, double bound) {
  std::vector<group_budget> budgets = DivideWork(problem, routes);
  std::vector<weighted_route> expanded_routes;
  for (const group_route* ordered : SortByReentries(routes)) {
    const group_route& source = *ordered;
    const bool has_reentries = CountReentries(source) > 0;
    const double max_flow_per_route =
        has_reentries ? source.flow / kPartsOfReenteringRoute : source.flow;
    double remaining = source.flow;
    while (remaining > source.flow * kTolerance) {
      weighted_route expanded_route;
      const double flow =
          AssignMembers(problem, source, budgets, std::min(remaining, max_flow_per_route),
                        has_reentries, expanded_route.stages);
      if (flow <= 0) break;
      remaining -= flow;
      expanded_route.weight = flow / bound;
      expanded_routes.push_back(std::move(expanded_route));
    }
  }
  return expanded_routes;
}

void ComputeFlows(const topology& topo, plan& target) {
  target.planned_tokens_per_second = 0;
  for (const weighted_route& r : target.routes) {
    const double flow = r.weight * target.bound;
    target.planned_tokens_per_second += flow;
    for (size_t i = 0; i < r.stages.size(); ++i) {
      target.stages.push_back({.stage = r.stages[i], .tokens_per_second = flow});
      if (i == 0) continue;
      target.hops.push_back({.layer = r.stages[i].layers.first,
                             .from_zone = topo.endpoints[r.stages[i - 1].endpoint].zone,
                             .to_zone = topo.endpoints[r.stages[i].endpoint].zone,
                             .tokens_per_second = flow});
    }
  }
  SortAndMerge(target.stages, StageKey);
  SortAndMerge(target.hops, HopKey);
}

}  // namespace balsambay::planner::details
