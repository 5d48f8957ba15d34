// The planning problem in compact form. Layers between two consecutive boundaries of engine ranges
// are held by the same engines and form one segment; engines with identical constraints form one
// group.
#pragma once

#include <span>
#include <vector>

#include "planner/planner.h"

namespace balsambay::planner::details {

// All engines with the same layer range, in any zone.
struct range_class {
  int first = 0;  // segments [first, end)
  int end = 0;
  double capacity = 0;  // layers * tokens/s, sum of the engines
};

// Engines with the same range in the same zone, and on the same VM when that VM has its own links.
struct engine_group {
  uint32_t range = 0;  // index into planning_problem::ranges
  int first = 0;       // segments [first, end)
  int end = 0;
  endpoint_index representative = 0;  // one member; all members have the same links
  uint32_t zone = 0;
  bool has_vm_links = false;
  double capacity = 0;  // layers * tokens/s, sum of the members
  std::vector<endpoint_index> members = {};
};

struct planning_problem {
  const topology* topo = nullptr;
  // boundaries[i] is the first layer of segment i; the last entry is the number of layers.
  std::vector<int> boundaries = {};
  std::vector<range_class> ranges = {};
  std::vector<engine_group> groups = {};
  std::vector<std::vector<uint32_t>> groups_by_segment = {};

  size_t SegmentCount() const { return boundaries.size() - 1; }
  // The number of layers of one segment.
  int SegmentLayers(size_t segment) const { return boundaries[segment + 1] - boundaries[segment]; }
  // The layers of the segments [first, end).
  inventory::layer_range LayerRange(int first, int end) const {
    return {boundaries[first], boundaries[end]};
  }
};

// The work per second that an engine can do, in layers * tokens/s.
double WorkCapacity(const topology_endpoint& endpoint);

// `usable` has one entry for each of topo.endpoints; 0 excludes the endpoint. The result keeps a
// pointer to `topo`.
planning_problem BuildProblem(const topology& topo, std::span<const uint8_t> usable);

// Maximal layer ranges that no group holds.
std::vector<inventory::layer_range> FindUncoveredLayers(const planning_problem& problem);

// Merges the segments with a non-zero entry in `marked` into maximal layer ranges.
std::vector<inventory::layer_range> MergeSegments(const planning_problem& problem,
                                                  const std::vector<uint8_t>& marked);

// Index into topology::links of the link that limits traffic from one group to another, or -1 when
// it is unlimited.
int32_t FindGroupLink(const planning_problem& problem, uint32_t source_group,
                      uint32_t target_group);

// A route over groups instead of single endpoints.
struct group_stage {
  uint32_t group = 0;
  int first = 0;  // segments [first, end)
  int end = 0;
};

struct group_route {
  std::vector<group_stage> stages = {};
  double flow = 0;  // tokens/s
};

}  // namespace balsambay::planner::details
