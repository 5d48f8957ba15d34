// Assignment of group flows to members, and sums over routes.
#include "details/expand.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace balsambay::planner::details {
namespace {

// Budgets below this fraction are rounding noise.
constexpr double kNoise = 1e-12;

// Routes that return to a group are split into this many parts, to use its members evenly.
constexpr double kPartsOfReturningRoute = 4;

// A member's part of the group's planned work. Members are filled one after the other, so that few
// routes are needed.
struct group_budget {
  std::vector<double> left = {};  // layers * tokens/s, by member
  size_t next = 0;                // first member with budget left
  double noise = 0;
};

std::vector<group_budget> ShareWork(const planning_problem& problem,
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
    budgets[g].noise = work[g] * kNoise;
    for (const endpoint_index member : group.members) {
      const double part = WorkCapacity(problem.topo->endpoints[member]) / group.capacity;
      budgets[g].left.push_back(work[g] * part);
    }
  }
  return budgets;
}

bool IsOn(const route& so_far, endpoint_index endpoint) {
  return std::ranges::any_of(so_far, [&](const stage& s) { return s.endpoint == endpoint; });
}

// The member to use next in `group`, skipping those already on the route; SIZE_MAX when none is
// left.
size_t PickNext(const planning_problem& problem, group_budget& budget, uint32_t group,
                const route& so_far) {
  const auto& members = problem.groups[group].members;
  while (budget.next < members.size() && budget.left[budget.next] <= budget.noise) ++budget.next;
  for (size_t m = budget.next; m < members.size(); ++m) {
    if (budget.left[m] > budget.noise && !IsOn(so_far, members[m])) return m;
  }
  return SIZE_MAX;
}

// Like PickNext, but takes the member with the most budget, so that several members last until the
// end.
size_t PickLargest(const planning_problem& problem, const group_budget& budget, uint32_t group,
                   const route& so_far) {
  const auto& members = problem.groups[group].members;
  size_t best = SIZE_MAX;
  for (size_t m = 0; m < members.size(); ++m) {
    if (budget.left[m] <= budget.noise || IsOn(so_far, members[m])) continue;
    if (best == SIZE_MAX || budget.left[m] > budget.left[best]) best = m;
  }
  return best;
}

// Assigns one endpoint to each stage and takes as much flow as all of them have budget for. Returns
// zero when a stage has no member left.
double TakeRoute(const planning_problem& problem, const group_route& from,
                 std::vector<group_budget>& budgets, double wanted, bool returns, route& out) {
  std::vector<double*> used;
  double flow = wanted;
  for (const group_stage& s : from.stages) {
    group_budget& budget = budgets[s.group];
    const size_t member = returns ? PickLargest(problem, budget, s.group, out)
                                  : PickNext(problem, budget, s.group, out);
    if (member == SIZE_MAX) return 0;
    const inventory::layer_range layers = problem.LayerRange(s.first, s.end);
    out.push_back({.endpoint = problem.groups[s.group].members[member], .layers = layers});
    used.push_back(&budget.left[member]);
    flow = std::min(flow, *used.back() / (layers.end - layers.first));
  }
  for (size_t i = 0; i < used.size(); ++i) {
    *used[i] -= flow * (out[i].layers.end - out[i].layers.first);
  }
  return flow;
}

// How many stages return to a group that the route has left before.
size_t CountReturns(const group_route& r) {
  std::vector<uint32_t> groups;
  for (const group_stage& s : r.stages) groups.push_back(s.group);
  std::ranges::sort(groups);
  return static_cast<size_t>(groups.end() - std::unique(groups.begin(), groups.end()));
}

// Routes that need several members of one group come first, while several have budget left.
std::vector<const group_route*> OrderByReturns(const std::vector<group_route>& routes) {
  std::vector<std::pair<size_t, const group_route*>> counted;
  counted.reserve(routes.size());
  for (const group_route& r : routes) counted.emplace_back(CountReturns(r), &r);
  std::ranges::stable_sort(counted, std::greater(), [](const auto& c) { return c.first; });
  std::vector<const group_route*> ordered;
  ordered.reserve(routes.size());
  for (const auto& [returns, r] : counted) ordered.push_back(r);
  return ordered;
}

// Sort keys in one word, because plans with many different ranges have hundreds of thousands of
// stages. Layers fit in 16 bits (kMaxLayers).
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
  size_t kept = 0;
  for (size_t i = 0; i < flows.size(); ++i) {
    if (kept > 0 && key(flows[kept - 1]) == key(flows[i])) {
      flows[kept - 1].tokens_per_second += flows[i].tokens_per_second;
    } else {
      flows[kept++] = flows[i];
    }
  }
  flows.resize(kept);
  flows.shrink_to_fit();
}

}  // namespace

std::vector<weighted_route> ExpandRoutes(const planning_problem& problem,
                                         const std::vector<group_route>& routes, double bound) {
  std::vector<group_budget> budgets = ShareWork(problem, routes);
  std::vector<weighted_route> expanded;
  for (const group_route* ordered : OrderByReturns(routes)) {
    const group_route& from = *ordered;
    const bool returns = CountReturns(from) > 0;
    const double largest = returns ? from.flow / kPartsOfReturningRoute : from.flow;
    double left = from.flow;
    while (left > from.flow * kNoise) {
      weighted_route next;
      const double flow =
          TakeRoute(problem, from, budgets, std::min(left, largest), returns, next.stages);
      if (flow <= 0) break;
      left -= flow;
      next.weight = flow / bound;
      expanded.push_back(std::move(next));
    }
  }
  return expanded;
}

void ComputeFlows(const topology& topo, plan& out) {
  out.planned_tokens_per_second = 0;
  for (const weighted_route& r : out.routes) {
    const double flow = r.weight * out.bound;
    out.planned_tokens_per_second += flow;
    for (size_t i = 0; i < r.stages.size(); ++i) {
      out.stages.push_back({.stage = r.stages[i], .tokens_per_second = flow});
      if (i == 0) continue;
      out.hops.push_back({.layer = r.stages[i].layers.first,
                          .from_zone = topo.endpoints[r.stages[i - 1].endpoint].zone,
                          .to_zone = topo.endpoints[r.stages[i].endpoint].zone,
                          .tokens_per_second = flow});
    }
  }
  SortAndMerge(out.stages, StageKey);
  SortAndMerge(out.hops, HopKey);
}

}  // namespace balsambay::planner::details
