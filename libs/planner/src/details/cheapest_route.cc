// Finds the cheapest route by dynamic programming over segments; the state is the group that runs
// the last segment.
#include "details/cheapest_route.h"

#include <algorithm>
#include <limits>

namespace balsambay::planner::details {
namespace {

constexpr double kInfinite = std::numeric_limits<double>::infinity();
constexpr uint32_t kNoLabel = UINT32_MAX;

// The cheapest partial route that covers all segments up to `segment` and ends in `group`.
struct route_label {
  uint32_t group = 0;
  uint32_t segment = 0;
  uint32_t parent = kNoLabel;  // index into route_search::labels
  double cost = kInfinite;
};

struct route_search {
  const planning_problem& problem;
  const route_prices& prices;
  group_reentry mode = group_reentry::kUnlimited;
  uint64_t operations = 0;
  std::vector<route_label> labels = {};
  std::vector<uint32_t> current_labels = {};  // by group: label at the last segment, or kNoLabel
  std::vector<uint32_t> best_in_zone = {};    // by zone: cheapest label of a group without VM links
  std::vector<uint32_t> best_into_zone = {};  // by zone: cheapest predecessor over zone links
  std::vector<double> zone_entry_cost = {};   // by zone: cost of best_into_zone with the link
  std::vector<uint32_t> vm_labels = {};       // labels of groups with VM links
};

double LinkPrice(const route_search& search, int32_t link) {
  return link < 0 ? 0 : search.prices.link[link];
}

double LabelCost(const route_search& search, uint32_t index) {
  return index == kNoLabel ? kInfinite : search.labels[index].cost;
}

// Finds the cheapest predecessor for each zone, so that groups need not be compared pairwise.
void FindZoneEntries(route_search& search, size_t first_label) {
  const size_t zones = search.problem.topo->zones.size();
  search.best_in_zone.assign(zones, kNoLabel);
  search.vm_labels.clear();
  for (size_t i = first_label; i < search.labels.size(); ++i) {
    const engine_group& group = search.problem.groups[search.labels[i].group];
    const auto index = static_cast<uint32_t>(i);
    if (group.has_vm_links) {
      search.vm_labels.push_back(index);
    } else if (search.labels[i].cost < LabelCost(search, search.best_in_zone[group.zone])) {
      search.best_in_zone[group.zone] = index;
    }
  }
  search.best_into_zone.assign(zones, kNoLabel);
  search.zone_entry_cost.assign(zones, kInfinite);
  for (size_t target = 0; target < zones; ++target) {
    for (size_t source = 0; source < zones; ++source) {
      const double cost =
          LabelCost(search, search.best_in_zone[source]) +
          LinkPrice(search, search.problem.topo->zone_links[source * zones + target]);
      if (cost >= search.zone_entry_cost[target]) continue;
      search.zone_entry_cost[target] = cost;
      search.best_into_zone[target] = search.best_in_zone[source];
    }
  }
}

// Maximum number of entries into a group with group_reentry::kLimited. Members have different
// rates, so flow that needs all of them at once is limited by the slowest; half of them can always
// be loaded evenly.
size_t MaxEntries(const engine_group& group) { return (group.members.size() + 1) / 2; }

// Whether the partial route that ends in `last` has reached the entry limit of `group`.
bool IsEntryLimitReached(const route_search& search, uint32_t last, uint32_t group) {
  size_t entries = 0;
  bool inside = false;
  for (uint32_t i = last; i != kNoLabel; i = search.labels[i].parent) {
    const bool now_inside = search.labels[i].group == group;
    if (now_inside && !inside) ++entries;
    inside = now_inside;
  }
  return entries >= MaxEntries(search.problem.groups[group]);
}

// Makes `parent` the predecessor of `best` if that is cheaper and within the entry limit. Returns
// true if it is cheaper but exceeds the entry limit.
bool RelaxOrRefuse(const route_search& search, route_label& best, uint32_t parent, double cost) {
  if (cost >= best.cost) return false;
  const bool stays_in_group = search.labels[parent].group == best.group;
  if (search.mode == group_reentry::kLimited && !stays_in_group &&
      IsEntryLimitReached(search, parent, best.group)) {
    return true;
  }
  best.cost = cost;
  best.parent = parent;
  return false;
}

// Compares all labels of the previous segment as predecessors of `best`.
void RelaxFromAllLabels(route_search& search, route_label& best, size_t first_label) {
  for (auto source = static_cast<uint32_t>(first_label); source < search.labels.size(); ++source) {
    if (search.labels[source].segment == best.segment) break;
    const int32_t link = FindGroupLink(search.problem, search.labels[source].group, best.group);
    RelaxOrRefuse(search, best, source, search.labels[source].cost + LinkPrice(search, link));
    ++search.operations;
  }
}

// Returns a label for `group` with its cheapest predecessor; the cost excludes the price of the
// group.
route_label FindBestPredecessor(route_search& search, uint32_t group, size_t segment,
                                size_t first_label) {
  route_label best{.group = group, .segment = static_cast<uint32_t>(segment)};
  RelaxOrRefuse(search, best, search.current_labels[group],
                LabelCost(search, search.current_labels[group]));
  const engine_group& target = search.problem.groups[group];
  const bool refused =
      !target.has_vm_links && RelaxOrRefuse(search, best, search.best_into_zone[target.zone],
                                            search.zone_entry_cost[target.zone]);
  if (target.has_vm_links || refused) {
    RelaxFromAllLabels(search, best, first_label);
    return best;
  }
  for (const uint32_t source : search.vm_labels) {
    const int32_t link = FindGroupLink(search.problem, search.labels[source].group, group);
    RelaxOrRefuse(search, best, source, search.labels[source].cost + LinkPrice(search, link));
  }
  search.operations += 1 + search.vm_labels.size();
  return best;
}

// Adds the labels of one segment and returns the index of the first of them.
size_t AddSegment(route_search& search, size_t segment, size_t first_label) {
  const size_t first = search.labels.size();
  std::vector<uint32_t> next_labels(search.problem.groups.size(), kNoLabel);
  for (const uint32_t g : search.problem.groups_by_segment[segment]) {
    route_label label{.group = g, .segment = static_cast<uint32_t>(segment), .cost = 0};
    if (segment > 0) label = FindBestPredecessor(search, g, segment, first_label);
    label.cost += search.prices.group[g] * search.problem.SegmentLayers(segment);
    next_labels[g] = static_cast<uint32_t>(search.labels.size());
    search.labels.push_back(label);
  }
  search.current_labels = std::move(next_labels);
  FindZoneEntries(search, first);
  search.operations +=
      search.best_into_zone.size() * search.best_into_zone.size() + search.problem.groups.size();
  return first;
}

std::vector<group_stage> CollectStages(const route_search& search, uint32_t last) {
  std::vector<group_stage> stages;
  for (uint32_t i = last; i != kNoLabel; i = search.labels[i].parent) {
    const route_label& label = search.labels[i];
    const auto segment = static_cast<int>(label.segment);
    if (!stages.empty() && stages.back().group == label.group) {
      stages.back().first = segment;
    } else {
      stages.push_back({.group = label.group, .first = segment, .end = segment + 1});
    }
  }
  std::ranges::reverse(stages);
  return stages;
}

}  // namespace

priced_route FindCheapestRoute(const planning_problem& problem, const route_prices& prices,
                               group_reentry mode) {
  route_search search{.problem = problem, .prices = prices, .mode = mode};
  size_t first = 0;
  for (size_t segment = 0; segment < problem.SegmentCount(); ++segment) {
    first = AddSegment(search, segment, first);
  }
  uint32_t best = kNoLabel;
  for (auto i = static_cast<uint32_t>(first); i < search.labels.size(); ++i) {
    if (search.labels[i].cost < LabelCost(search, best)) best = i;
  }
  if (best == kNoLabel) return {.cost = kInfinite, .operations = search.operations};
  return {.stages = CollectStages(search, best),
          .cost = search.labels[best].cost,
          .operations = search.operations};
}

bool ExceedsEntryLimit(const planning_problem& problem, const std::vector<group_stage>& stages) {
  return std::ranges::any_of(stages, [&](const group_stage& stage) {
    const auto entries = std::ranges::count(stages, stage.group, &group_stage::group);
    return static_cast<size_t>(entries) > MaxEntries(problem.groups[stage.group]);
  });
}

}  // namespace balsambay::planner::details
