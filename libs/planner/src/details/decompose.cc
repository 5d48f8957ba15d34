// Greedy decomposition of the coverage flow that prefers few hops and hops within a zone.
#include "details/decompose.h"

#include <algorithm>
#include <limits>

namespace balsambay::planner::details {
namespace {

// Flows up to this fraction of the bound are treated as zero (rounding errors).
constexpr double kFlowTolerance = 1e-9;

struct decomposition_state {
  const planning_problem& problem;
  double flow_tolerance = 0;                     // tokens/s; smaller flows are treated as zero
  std::vector<double> unused_link_rate = {};     // unused rate by topology::links, tokens/s
  std::vector<group_route> open_paths = {};      // paths that end before the current segment
  std::vector<group_route> extended_paths = {};  // paths that already cover the current segment
  std::vector<double> demand = {};  // by group: unassigned flow of the current segment, tokens/s
};

// Sets the demand of each group of the segment. The flow of a range class is divided among its
// groups in proportion to their capacity.
void SetDemand(decomposition_state& state, const coverage_flow& coverage, size_t segment) {
  for (const uint32_t g : state.problem.groups_by_segment[segment]) {
    const engine_group& group = state.problem.groups[g];
    const double part = group.capacity / state.problem.ranges[group.range].capacity;
    state.demand[g] = coverage.share[group.range][segment - group.first] * part;
  }
}

void ExtendPath(decomposition_state& state, group_route& path, uint32_t group, size_t segment,
                double flow) {
  group_route extended{.stages = path.stages, .flow = flow};
  const auto s = static_cast<int>(segment);
  if (!extended.stages.empty() && extended.stages.back().group == group) {
    extended.stages.back().end = s + 1;
  } else {
    extended.stages.push_back({.group = group, .first = s, .end = s + 1});
  }
  state.extended_paths.push_back(std::move(extended));
  path.flow -= flow;
  state.demand[group] -= flow;
}

// Whether the path uses all members of the group. An endpoint may be on a route only once.
bool UsesAllMembers(const decomposition_state& state, const group_route& path, uint32_t group) {
  const auto visits =
      std::ranges::count_if(path.stages, [&](const group_stage& s) { return s.group == group; });
  return visits >= std::ssize(state.problem.groups[group].members);
}

void ExtendWithinGroup(decomposition_state& state, size_t segment) {
  for (group_route& path : state.open_paths) {
    const uint32_t group = path.stages.back().group;
    if (state.problem.groups[group].end <= static_cast<int>(segment)) continue;
    const double flow = std::min(path.flow, state.demand[group]);
    if (flow > state.flow_tolerance) ExtendPath(state, path, group, segment, flow);
  }
}

void ExtendToGroup(decomposition_state& state, group_route& path, uint32_t group, size_t segment) {
  if (state.demand[group] <= state.flow_tolerance || UsesAllMembers(state, path, group)) return;
  const int32_t link = FindGroupLink(state.problem, path.stages.back().group, group);
  double flow = std::min(path.flow, state.demand[group]);
  if (link >= 0) flow = std::min(flow, state.unused_link_rate[link]);
  if (flow <= state.flow_tolerance) return;
  if (link >= 0) state.unused_link_rate[link] -= flow;
  ExtendPath(state, path, group, segment, flow);
}

// Extends open paths to groups for which `accepts(zone of the path, zone of the group)` is true.
template <class Accepts>
void ExtendToGroups(decomposition_state& state, size_t segment, Accepts accepts) {
  std::vector<uint32_t> groups_with_demand = state.problem.groups_by_segment[segment];
  for (group_route& path : state.open_paths) {
    if (path.flow <= state.flow_tolerance) continue;
    std::erase_if(groups_with_demand,
                  [&](uint32_t g) { return state.demand[g] <= state.flow_tolerance; });
    for (const uint32_t g : groups_with_demand) {
      if (path.flow <= state.flow_tolerance) break;
      const uint32_t path_zone = state.problem.groups[path.stages.back().group].zone;
      if (accepts(path_zone, state.problem.groups[g].zone)) ExtendToGroup(state, path, g, segment);
    }
  }
}

void StartPaths(decomposition_state& state) {
  for (const uint32_t g : state.problem.groups_by_segment[0]) {
    if (state.demand[g] <= state.flow_tolerance) continue;
    state.open_paths.push_back(
        {.stages = {{.group = g, .first = 0, .end = 1}}, .flow = state.demand[g]});
  }
}

}  // namespace

std::vector<group_route> DecomposeCoverage(const planning_problem& problem,
                                           const coverage_flow& coverage) {
  decomposition_state state{.problem = problem,
                            .flow_tolerance = coverage.bound * kFlowTolerance,
                            .demand = std::vector<double>(problem.groups.size())};
  for (const topology_link& link : problem.topo->links) {
    state.unused_link_rate.push_back(link.tokens_per_second);
  }
  SetDemand(state, coverage, 0);
  StartPaths(state);
  for (size_t s = 1; s < problem.SegmentCount(); ++s) {
    SetDemand(state, coverage, s);
    ExtendWithinGroup(state, s);
    ExtendToGroups(state, s,
                   [](uint32_t path_zone, uint32_t group_zone) { return path_zone == group_zone; });
    ExtendToGroups(state, s,
                   [](uint32_t path_zone, uint32_t group_zone) { return path_zone != group_zone; });
    state.open_paths = std::move(state.extended_paths);
    state.extended_paths.clear();
  }
  return std::move(state.open_paths);
}

}  // namespace balsambay::planner::details
