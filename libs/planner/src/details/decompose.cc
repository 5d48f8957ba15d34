// Greedy decomposition that prefers few hops and short links.
#include "details/decompose.h"

#include <algorithm>
#include <limits>

namespace balsambay::planner::details {
namespace {

// Flows below this fraction of the bound are rounding noise.
constexpr double kNoise = 1e-9;

struct walker {
  const planning_problem& problem;
  double noise = 0;                        // tokens/s
  std::vector<double> link_left = {};      // by topology::links, tokens/s
  std::vector<group_route> open = {};      // paths that end at the current segment
  std::vector<group_route> extended = {};  // paths that already cover the current segment
  std::vector<double> demand = {};         // by group: unassigned flow of the current segment
};

// The flow of a class is shared by its groups in proportion to their capacity.
void LoadSegment(walker& w, const coverage_flow& coverage, size_t segment) {
  for (const uint32_t g : w.problem.groups_by_segment[segment]) {
    const engine_group& group = w.problem.groups[g];
    const double part = group.capacity / w.problem.ranges[group.range].capacity;
    w.demand[g] = coverage.share[group.range][segment - group.first] * part;
  }
}

void Extend(walker& w, group_route& path, uint32_t group, size_t segment, double flow) {
  group_route longer{.stages = path.stages, .flow = flow};
  const auto s = static_cast<int>(segment);
  if (!longer.stages.empty() && longer.stages.back().group == group) {
    longer.stages.back().end = s + 1;
  } else {
    longer.stages.push_back({.group = group, .first = s, .end = s + 1});
  }
  w.extended.push_back(std::move(longer));
  path.flow -= flow;
  w.demand[group] -= flow;
}

// Whether the path has used all members of the group. (An endpoint may be on a route only once.)
bool IsUsedUp(const walker& w, const group_route& path, uint32_t group) {
  const auto visits =
      std::ranges::count_if(path.stages, [&](const group_stage& s) { return s.group == group; });
  return visits >= std::ssize(w.problem.groups[group].members);
}

void StayInGroup(walker& w, size_t segment) {
  for (group_route& path : w.open) {
    const uint32_t group = path.stages.back().group;
    if (w.problem.groups[group].end <= static_cast<int>(segment)) continue;
    const double flow = std::min(path.flow, w.demand[group]);
    if (flow > w.noise) Extend(w, path, group, segment, flow);
  }
}

void MoveAlong(walker& w, group_route& path, uint32_t group, size_t segment) {
  if (w.demand[group] <= w.noise || IsUsedUp(w, path, group)) return;
  const int32_t link = FindGroupLink(w.problem, path.stages.back().group, group);
  double flow = std::min(path.flow, w.demand[group]);
  if (link >= 0) flow = std::min(flow, w.link_left[link]);
  if (flow <= w.noise) return;
  if (link >= 0) w.link_left[link] -= flow;
  Extend(w, path, group, segment, flow);
}

// Moves open flow to groups for which `accepts(path's zone, group's zone)` holds.
template <class Accepts>
void MoveToGroups(walker& w, size_t segment, Accepts accepts) {
  std::vector<uint32_t> wanting = w.problem.groups_by_segment[segment];
  for (group_route& path : w.open) {
    if (path.flow <= w.noise) continue;
    std::erase_if(wanting, [&](uint32_t g) { return w.demand[g] <= w.noise; });
    for (const uint32_t g : wanting) {
      if (path.flow <= w.noise) break;
      const uint32_t zone = w.problem.groups[path.stages.back().group].zone;
      if (accepts(zone, w.problem.groups[g].zone)) MoveAlong(w, path, g, segment);
    }
  }
}

void StartPaths(walker& w) {
  for (const uint32_t g : w.problem.groups_by_segment[0]) {
    if (w.demand[g] <= w.noise) continue;
    w.open.push_back({.stages = {{.group = g, .first = 0, .end = 1}}, .flow = w.demand[g]});
  }
}

}  // namespace

std::vector<group_route> DecomposeCoverage(const planning_problem& problem,
                                           const coverage_flow& coverage) {
  walker w{.problem = problem,
           .noise = coverage.bound * kNoise,
           .demand = std::vector<double>(problem.groups.size())};
  for (const planned_link& link : problem.topo->links)
    w.link_left.push_back(link.tokens_per_second);
  LoadSegment(w, coverage, 0);
  StartPaths(w);
  for (size_t s = 1; s < problem.SegmentCount(); ++s) {
    LoadSegment(w, coverage, s);
    StayInGroup(w, s);
    MoveToGroups(w, s, [](uint32_t from, uint32_t to) { return from == to; });
    MoveToGroups(w, s, [](uint32_t from, uint32_t to) { return from != to; });
    w.open = std::move(w.extended);
    w.extended.clear();
  }
  return std::move(w.open);
}

}  // namespace balsambay::planner::details
