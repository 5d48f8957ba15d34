// Dynamic programming over segments; the state is the group that ran the last segment.
#include "details/cheapest_route.h"

#include <algorithm>
#include <limits>

namespace balsambay::planner::details {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
constexpr uint32_t kNone = UINT32_MAX;

// The cheapest way to have covered all segments up to `segment`, ending in `group`.
struct label {
  uint32_t group = 0;
  uint32_t segment = 0;
  uint32_t parent = kNone;  // index into search::labels
  double cost = kInfinite;
};

struct search {
  const planning_problem& problem;
  const route_prices& prices;
  group_reentry mode = group_reentry::kUnlimited;
  uint64_t operations = 0;
  std::vector<label> labels = {};
  std::vector<uint32_t> current = {};       // label of each group at the last segment, or kNone
  std::vector<uint32_t> best_in_zone = {};  // cheapest label per zone among groups without VM links
  std::vector<uint32_t> best_by_zone = {};  // cheapest label that reaches each zone by zone links
  std::vector<double> reach_cost = {};      // cost of best_by_zone with the link
  std::vector<uint32_t> vm_labels = {};     // labels of groups with VM links
};

double LinkPrice(const search& s, int32_t link) { return link < 0 ? 0 : s.prices.link[link]; }

double Cost(const search& s, uint32_t index) {
  return index == kNone ? kInfinite : s.labels[index].cost;
}

// Prepares the cheapest entry into each zone, so that groups need not be compared pairwise.
void PrepareZones(search& s, size_t first_label) {
  const size_t zones = s.problem.topo->zones.size();
  s.best_in_zone.assign(zones, kNone);
  s.vm_labels.clear();
  for (size_t i = first_label; i < s.labels.size(); ++i) {
    const engine_group& group = s.problem.groups[s.labels[i].group];
    const auto index = static_cast<uint32_t>(i);
    if (group.has_vm_links) {
      s.vm_labels.push_back(index);
    } else if (s.labels[i].cost < Cost(s, s.best_in_zone[group.zone])) {
      s.best_in_zone[group.zone] = index;
    }
  }
  s.best_by_zone.assign(zones, kNone);
  s.reach_cost.assign(zones, kInfinite);
  for (size_t to = 0; to < zones; ++to) {
    for (size_t from = 0; from < zones; ++from) {
      const double cost = Cost(s, s.best_in_zone[from]) +
                          LinkPrice(s, s.problem.topo->zone_links[from * zones + to]);
      if (cost >= s.reach_cost[to]) continue;
      s.reach_cost[to] = cost;
      s.best_by_zone[to] = s.best_in_zone[from];
    }
  }
}

// How often a route may enter a group when revisits are forbidden. Members have different rates, so
// flow that needs all of them at once is limited by the slowest; half of them can always be filled
// evenly.
size_t MaxEntries(const engine_group& group) { return (group.members.size() + 1) / 2; }

// Whether the path that ends in `last` has entered `group` as often as it may.
bool IsUsedUp(const search& s, uint32_t last, uint32_t group) {
  size_t entries = 0;
  bool inside = false;
  for (uint32_t i = last; i != kNone; i = s.labels[i].parent) {
    const bool now_inside = s.labels[i].group == group;
    if (now_inside && !inside) ++entries;
    inside = now_inside;
  }
  return entries >= MaxEntries(s.problem.groups[group]);
}

// Makes `parent` the predecessor when that is cheaper and allowed; tells whether it was not
// allowed.
bool IsRefused(const search& s, label& best, uint32_t parent, double cost) {
  if (cost >= best.cost) return false;
  const bool stays = s.labels[parent].group == best.group;
  if (s.mode == group_reentry::kLimited && !stays && IsUsedUp(s, parent, best.group)) return true;
  best.cost = cost;
  best.parent = parent;
  return false;
}

// Compares all labels of the previous segment.
void ScanLabels(search& s, label& best, size_t first_label) {
  for (auto from = static_cast<uint32_t>(first_label); from < s.labels.size(); ++from) {
    if (s.labels[from].segment == best.segment) break;
    const int32_t link = FindGroupLink(s.problem, s.labels[from].group, best.group);
    IsRefused(s, best, from, s.labels[from].cost + LinkPrice(s, link));
    ++s.operations;
  }
}

// The cheapest predecessor of `group`, cost without the group's own price.
label BestEntry(search& s, uint32_t group, size_t segment, size_t first_label) {
  label best{.group = group, .segment = static_cast<uint32_t>(segment)};
  IsRefused(s, best, s.current[group], Cost(s, s.current[group]));
  const engine_group& to = s.problem.groups[group];
  const bool refused =
      !to.has_vm_links && IsRefused(s, best, s.best_by_zone[to.zone], s.reach_cost[to.zone]);
  if (to.has_vm_links || refused) {
    ScanLabels(s, best, first_label);
    return best;
  }
  for (const uint32_t from : s.vm_labels) {
    const int32_t link = FindGroupLink(s.problem, s.labels[from].group, group);
    IsRefused(s, best, from, s.labels[from].cost + LinkPrice(s, link));
  }
  s.operations += 1 + s.vm_labels.size();
  return best;
}

// Adds the labels of one segment and returns the index of the first of them.
size_t AddSegment(search& s, size_t segment, size_t first_label) {
  const size_t first = s.labels.size();
  std::vector<uint32_t> next(s.problem.groups.size(), kNone);
  for (const uint32_t g : s.problem.groups_by_segment[segment]) {
    label l{.group = g, .segment = static_cast<uint32_t>(segment), .cost = 0};
    if (segment > 0) l = BestEntry(s, g, segment, first_label);
    l.cost += s.prices.group[g] * s.problem.SegmentLayers(segment);
    next[g] = static_cast<uint32_t>(s.labels.size());
    s.labels.push_back(l);
  }
  s.current = std::move(next);
  PrepareZones(s, first);
  s.operations += s.best_by_zone.size() * s.best_by_zone.size() + s.problem.groups.size();
  return first;
}

std::vector<group_stage> Trace(const search& s, uint32_t last) {
  std::vector<group_stage> stages;
  for (uint32_t i = last; i != kNone; i = s.labels[i].parent) {
    const label& l = s.labels[i];
    const auto segment = static_cast<int>(l.segment);
    if (!stages.empty() && stages.back().group == l.group) {
      stages.back().first = segment;
    } else {
      stages.push_back({.group = l.group, .first = segment, .end = segment + 1});
    }
  }
  std::ranges::reverse(stages);
  return stages;
}

}  // namespace

priced_route FindCheapestRoute(const planning_problem& problem, const route_prices& prices,
                               group_reentry mode) {
  search s{.problem = problem, .prices = prices, .mode = mode};
  size_t first = 0;
  for (size_t segment = 0; segment < problem.SegmentCount(); ++segment) {
    first = AddSegment(s, segment, first);
  }
  uint32_t best = kNone;
  for (auto i = static_cast<uint32_t>(first); i < s.labels.size(); ++i) {
    if (s.labels[i].cost < Cost(s, best)) best = i;
  }
  if (best == kNone) return {.cost = kInfinite, .operations = s.operations};
  return {.stages = Trace(s, best), .cost = s.labels[best].cost, .operations = s.operations};
}

bool ExceedsEntryLimit(const planning_problem& problem, const std::vector<group_stage>& stages) {
  return std::ranges::any_of(stages, [&](const group_stage& s) {
    const auto entries = std::ranges::count(stages, s.group, &group_stage::group);
    return static_cast<size_t>(entries) > MaxEntries(problem.groups[s.group]);
  });
}

}  // namespace balsambay::planner::details
