// Construction of the compact planning problem.
#include "details/problem.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace balsambay::planner::details {
namespace {

std::vector<int> CollectBoundaries(const topology& topo, std::span<const uint8_t> usable) {
  std::vector<int> boundaries = {0, topo.model.layers};
  for (size_t i = 0; i < usable.size(); ++i) {
    if (usable[i] == 0) continue;
    boundaries.push_back(topo.endpoints[i].layers.first);
    boundaries.push_back(topo.endpoints[i].layers.end);
  }
  std::ranges::sort(boundaries);
  boundaries.erase(std::unique(boundaries.begin(), boundaries.end()), boundaries.end());
  return boundaries;
}

int FindSegmentStartingAt(const planning_problem& problem, int layer) {
  return static_cast<int>(std::ranges::lower_bound(problem.boundaries, layer) -
                          problem.boundaries.begin());
}

using range_key = std::pair<int, int>;
// First segment, end segment, zone, and VM or -1. The VM is part of the key only when it has its
// own links.
using group_key = std::tuple<int, int, uint32_t, int64_t>;

struct problem_index {
  std::map<range_key, uint32_t> ranges;
  std::map<group_key, uint32_t> groups;
};

uint32_t FindOrAddRange(planning_problem& problem, problem_index& index, int first, int end) {
  const auto next_index = static_cast<uint32_t>(problem.ranges.size());
  const auto [entry, added] = index.ranges.emplace(range_key{first, end}, next_index);
  if (added) problem.ranges.push_back({.first = first, .end = end});
  return entry->second;
}

void AddEndpoint(planning_problem& problem, problem_index& index, endpoint_index i) {
  const topology_endpoint& endpoint = problem.topo->endpoints[i];
  const int first = FindSegmentStartingAt(problem, endpoint.layers.first);
  const int end = FindSegmentStartingAt(problem, endpoint.layers.end);
  const bool has_vm_links = problem.topo->vm_has_links[endpoint.vm] != 0;
  const int64_t vm = has_vm_links ? int64_t{endpoint.vm} : -1;
  const uint32_t range = FindOrAddRange(problem, index, first, end);
  const auto next_index = static_cast<uint32_t>(problem.groups.size());
  const auto [entry, added] =
      index.groups.emplace(group_key{first, end, endpoint.zone, vm}, next_index);
  if (added) {
    problem.groups.push_back({.range = range,
                              .first = first,
                              .end = end,
                              .representative = i,
                              .zone = endpoint.zone,
                              .has_vm_links = has_vm_links});
  }
  engine_group& group = problem.groups[entry->second];
  group.members.push_back(i);
  group.capacity += WorkCapacity(endpoint);
  problem.ranges[range].capacity += WorkCapacity(endpoint);
}

}  // namespace

double WorkCapacity(const topology_endpoint& endpoint) {
  return endpoint.tokens_per_second * (endpoint.layers.end - endpoint.layers.first);
}

planning_problem BuildProblem(const topology& topo, std::span<const uint8_t> usable) {
  planning_problem problem;
  problem.topo = &topo;
  problem.boundaries = CollectBoundaries(topo, usable);
  problem_index index;
  for (endpoint_index i = 0; i < usable.size(); ++i) {
    if (usable[i] != 0) AddEndpoint(problem, index, i);
  }
  problem.groups_by_segment.resize(problem.SegmentCount());
  for (uint32_t g = 0; g < problem.groups.size(); ++g) {
    for (int s = problem.groups[g].first; s < problem.groups[g].end; ++s) {
      problem.groups_by_segment[s].push_back(g);
    }
  }
  return problem;
}

std::vector<inventory::layer_range> MergeSegments(const planning_problem& problem,
                                                  const std::vector<uint8_t>& marked) {
  std::vector<inventory::layer_range> merged;
  for (size_t s = 0; s < marked.size(); ++s) {
    if (marked[s] == 0) continue;
    if (merged.empty() || merged.back().end != problem.boundaries[s]) {
      merged.push_back({problem.boundaries[s], problem.boundaries[s + 1]});
    } else {
      merged.back().end = problem.boundaries[s + 1];
    }
  }
  return merged;
}

std::vector<inventory::layer_range> FindUncoveredLayers(const planning_problem& problem) {
  std::vector<uint8_t> uncovered(problem.SegmentCount(), 0);
  for (size_t s = 0; s < uncovered.size(); ++s) {
    uncovered[s] = problem.groups_by_segment[s].empty() ? 1 : 0;
  }
  return MergeSegments(problem, uncovered);
}

int32_t FindGroupLink(const planning_problem& problem, uint32_t source_group,
                      uint32_t target_group) {
  if (source_group == target_group && problem.groups[source_group].has_vm_links) return -1;
  const engine_group& source = problem.groups[source_group];
  const engine_group& target = problem.groups[target_group];
  const bool different_zones = source.zone != target.zone;
  if (!different_zones && !source.has_vm_links) {
    // Members are on different VMs of the zone, so a link of the zone to itself limits them.
    return problem.topo->zone_links[source.zone * problem.topo->zones.size() + target.zone];
  }
  const topology_link* link = FindLink(*problem.topo, source.representative, target.representative);
  return link == nullptr ? -1 : static_cast<int32_t>(link - problem.topo->links.data());
}

}  // namespace balsambay::planner::details
