// Construction of the compact planning problem.
#include "details/problem.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace balsambay::planner::details {
namespace {

std::vector<int> CollectBoundaries(const topology& topo, std::span<const uint8_t> usable) {
  std::vector<int> layers = {0, topo.model.layers};
  for (size_t i = 0; i < usable.size(); ++i) {
    if (usable[i] == 0) continue;
    layers.push_back(topo.endpoints[i].layers.first);
    layers.push_back(topo.endpoints[i].layers.end);
  }
  std::ranges::sort(layers);
  layers.erase(std::unique(layers.begin(), layers.end()), layers.end());
  return layers;
}

int SegmentAt(const problem& p, int layer) {
  return static_cast<int>(std::ranges::lower_bound(p.boundaries, layer) - p.boundaries.begin());
}

using range_key = std::pair<int, int>;
// The VM is part of the key only when it has its own links.
using group_key = std::tuple<int, int, uint32_t, int64_t>;

struct indices {
  std::map<range_key, uint32_t> ranges;
  std::map<group_key, uint32_t> groups;
};

uint32_t FindOrAddRange(problem& p, indices& index, int first, int end) {
  const auto next = static_cast<uint32_t>(p.ranges.size());
  const auto [entry, added] = index.ranges.emplace(range_key{first, end}, next);
  if (added) p.ranges.push_back({.first = first, .end = end});
  return entry->second;
}

void AddEndpoint(problem& p, indices& index, endpoint_index i) {
  const planned_endpoint& endpoint = p.topo->endpoints[i];
  const int first = SegmentAt(p, endpoint.layers.first);
  const int end = SegmentAt(p, endpoint.layers.end);
  const bool has_vm_links = p.topo->vm_has_link[endpoint.vm] != 0;
  const int64_t vm = has_vm_links ? int64_t{endpoint.vm} : -1;
  const uint32_t range = FindOrAddRange(p, index, first, end);
  const auto next = static_cast<uint32_t>(p.groups.size());
  const auto [entry, added] = index.groups.emplace(group_key{first, end, endpoint.zone, vm}, next);
  if (added) {
    p.groups.push_back({.range = range,
                        .first = first,
                        .end = end,
                        .any = i,
                        .zone = endpoint.zone,
                        .has_vm_links = has_vm_links});
  }
  engine_group& group = p.groups[entry->second];
  group.members.push_back(i);
  group.capacity += Capacity(endpoint);
  p.ranges[range].capacity += Capacity(endpoint);
}

}  // namespace

double Capacity(const planned_endpoint& endpoint) {
  return endpoint.tokens_per_second * (endpoint.layers.end - endpoint.layers.first);
}

problem BuildProblem(const topology& topo, std::span<const uint8_t> usable) {
  problem p;
  p.topo = &topo;
  p.boundaries = CollectBoundaries(topo, usable);
  indices index;
  for (endpoint_index i = 0; i < usable.size(); ++i) {
    if (usable[i] != 0) AddEndpoint(p, index, i);
  }
  p.groups_by_segment.resize(p.Segments());
  for (uint32_t g = 0; g < p.groups.size(); ++g) {
    for (int s = p.groups[g].first; s < p.groups[g].end; ++s) p.groups_by_segment[s].push_back(g);
  }
  return p;
}

std::vector<inventory::layer_range> MergeSegments(const problem& p,
                                                  const std::vector<uint8_t>& marked) {
  std::vector<inventory::layer_range> merged;
  for (size_t s = 0; s < marked.size(); ++s) {
    if (marked[s] == 0) continue;
    if (merged.empty() || merged.back().end != p.boundaries[s]) {
      merged.push_back({p.boundaries[s], p.boundaries[s + 1]});
    } else {
      merged.back().end = p.boundaries[s + 1];
    }
  }
  return merged;
}

std::vector<inventory::layer_range> FindUncovered(const problem& p) {
  std::vector<uint8_t> missing(p.Segments(), 0);
  for (size_t s = 0; s < missing.size(); ++s) missing[s] = p.groups_by_segment[s].empty() ? 1 : 0;
  return MergeSegments(p, missing);
}

int32_t LinkBetween(const problem& p, uint32_t from_group, uint32_t to_group) {
  if (from_group == to_group && p.groups[from_group].has_vm_links) return -1;
  const engine_group& from = p.groups[from_group];
  const engine_group& to = p.groups[to_group];
  const bool different_zones = from.zone != to.zone;
  if (!different_zones && !from.has_vm_links) {
    // Members on different VMs of the zone; a link of the zone to itself limits them.
    return p.topo->zone_links[from.zone * p.topo->zones.size() + to.zone];
  }
  const planned_link* link = FindLink(*p.topo, from.any, to.any);
  return link == nullptr ? -1 : static_cast<int32_t>(link - p.topo->links.data());
}

}  // namespace balsambay::planner::details
