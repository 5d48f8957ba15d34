// The planning problem in compact form. Layers between two neighbouring range ends are equal for
// every engine and form one segment; engines that no constraint tells apart form one group.
#pragma once

#include <span>
#include <vector>

#include "planner/planner.h"

namespace balsambay::planner::details {

// Engines with the same layer range, in any zone.
struct range_class {
  int first = 0;  // segments [first, end)
  int end = 0;
  double capacity = 0;  // layers * tokens/s
};

// Engines with the same range in the same zone, and on the same VM when that VM has its own links.
struct engine_group {
  uint32_t range = 0;  // index into problem::ranges
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
  std::vector<int> boundaries =
      {};  // layer at which segment i starts; one more entry than segments
  std::vector<range_class> ranges = {};
  std::vector<engine_group> groups = {};
  std::vector<std::vector<uint32_t>> groups_by_segment = {};

  size_t SegmentCount() const { return boundaries.size() - 1; }
  int SegmentLayers(size_t segment) const { return boundaries[segment + 1] - boundaries[segment]; }
  inventory::layer_range LayerRange(int first, int end) const {
    return {boundaries[first], boundaries[end]};
  }
};

// The work per second that an engine can do, in layers * tokens/s.
double WorkCapacity(const planned_endpoint& endpoint);

planning_problem BuildProblem(const topology& topo, std::span<const uint8_t> usable);

// Maximal layer ranges that no group holds.
std::vector<inventory::layer_range> FindUncoveredLayers(const planning_problem& problem);

// Merges marked segments into maximal layer ranges.
std::vector<inventory::layer_range> MergeSegments(const planning_problem& problem,
                                                  const std::vector<uint8_t>& marked);

// The limited link from one group to another, or -1.
int32_t FindGroupLink(const planning_problem& problem, uint32_t from_group, uint32_t to_group);

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
