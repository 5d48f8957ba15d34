// Assembly of plans from the coverage flow and, where links limit it, the route program.
#include "planner/planner.h"

#include <algorithm>
#include <optional>

#include "details/coverage_flow.h"
#include "details/decompose.h"
#include "details/expand.h"
#include "details/problem.h"
#include "details/route_lp.h"

namespace balsambay::planner {
namespace {

using details::coverage_flow;
using details::group_route;
using details::planning_problem;

// A greedy plan this close to the bound counts as complete.
constexpr double kComplete = 0.997;

// Dual prices below this are rounding noise.
constexpr double kPriceNoise = 1e-7;

void AddMembers(const details::engine_group& group, limiting_cut& cut) {
  cut.endpoints.insert(cut.endpoints.end(), group.members.begin(), group.members.end());
}

limiting_cut CoverageCut(const planning_problem& problem, const coverage_flow& coverage) {
  limiting_cut cut{.layers = details::MergeSegments(problem, coverage.cut_segments)};
  for (const details::engine_group& group : problem.groups) {
    const auto first = coverage.cut_segments.begin() + group.first;
    const auto end = coverage.cut_segments.begin() + group.end;
    if (std::find(first, end, 1) != end) AddMembers(group, cut);
  }
  std::ranges::sort(cut.endpoints);
  return cut;
}

limiting_cut PriceCut(const planning_problem& problem, const details::route_lp_solution& solution) {
  limiting_cut cut;
  std::vector<uint8_t> marked(problem.SegmentCount(), 0);
  for (size_t s = 0; s < marked.size(); ++s) {
    marked[s] = std::ranges::all_of(problem.groups_by_segment[s], [&](uint32_t g) {
      return solution.group_price[g] > kPriceNoise;
    });
  }
  cut.layers = details::MergeSegments(problem, marked);
  for (size_t g = 0; g < problem.groups.size(); ++g) {
    if (solution.group_price[g] > kPriceNoise) AddMembers(problem.groups[g], cut);
  }
  for (uint32_t l = 0; l < solution.link_price.size(); ++l) {
    if (solution.link_price[l] > kPriceNoise) cut.links.push_back(l);
  }
  std::ranges::sort(cut.endpoints);
  return cut;
}

// Expands the routes and keeps them when they carry more than the plan's present ones.
void Offer(const planning_problem& problem, const std::vector<group_route>& routes, plan& out) {
  plan candidate;
  candidate.bound = out.bound;
  candidate.routes = details::ExpandRoutes(problem, routes, out.bound);
  details::ComputeFlows(*problem.topo, candidate);
  if (candidate.planned_tokens_per_second <= out.planned_tokens_per_second) return;
  out.routes = std::move(candidate.routes);
  out.stages = std::move(candidate.stages);
  out.hops = std::move(candidate.hops);
  out.planned_tokens_per_second = candidate.planned_tokens_per_second;
}

bool IsComplete(const plan& candidate) {
  return candidate.planned_tokens_per_second >= candidate.bound * kComplete;
}

// The flow that the coverage brings through every segment; links can only lower what a plan carries
// of it.
double CoveredFlow(const planning_problem& problem, const coverage_flow& coverage) {
  std::vector<double> sum(problem.SegmentCount(), 0);
  for (size_t r = 0; r < problem.ranges.size(); ++r) {
    const auto first = static_cast<size_t>(problem.ranges[r].first);
    for (size_t k = 0; k < coverage.share[r].size(); ++k) sum[first + k] += coverage.share[r][k];
  }
  return *std::ranges::min_element(sum);
}

// Whether links took flow from the greedy plan, so that the bound without links may be too high.
bool IsLimitedByLinks(const planning_problem& problem, const coverage_flow& coverage,
                      const plan& out) {
  constexpr double kRounding = 1e-7;
  return !problem.topo->links.empty() &&
         out.planned_tokens_per_second < CoveredFlow(problem, coverage) * (1 - kRounding);
}

// Lowers the bound to what links allow, and scales the weights, which are relative to it.
void ApplyLinkBound(const planning_problem& problem, const details::route_lp_solution& solution,
                    plan& out) {
  out.bound_is_exact = out.bound_is_exact || solution.is_optimal;
  if (solution.bound >= out.bound) return;
  for (weighted_route& r : out.routes) r.weight *= out.bound / solution.bound;
  out.bound = solution.bound;
  out.cut = PriceCut(problem, solution);
}

// Solves with what is left of `budget` and offers the routes.
std::optional<details::route_lp_solution> SolveAndOffer(const planning_problem& problem,
                                                        const std::vector<group_route>& initial,
                                                        details::group_reentry mode,
                                                        uint64_t& budget, plan& out) {
  auto solution = details::SolveRouteLp(problem, out.bound, initial, mode, budget);
  if (!solution.has_value()) return solution;
  budget -= std::min(budget, solution->operations);
  if (!problem.topo->links.empty() && mode == details::group_reentry::kUnlimited) {
    ApplyLinkBound(problem, *solution, out);
  }
  Offer(problem, solution->routes, out);
  return solution;
}

// Improves a greedy plan that is short of the bound because of links or revisits. Optima differ in
// how many revisits they contain, so a second start and then a search without revisits can do
// better.
void Improve(const planning_problem& problem, const std::vector<group_route>& greedy, plan& out) {
  using details::group_reentry;
  uint64_t budget = details::RouteLpOperationLimit(problem);
  if (!problem.topo->links.empty()) {
    out.bound_is_exact = false;
    SolveAndOffer(problem, greedy, group_reentry::kUnlimited, budget, out);
  }
  if (!IsComplete(out)) SolveAndOffer(problem, {}, group_reentry::kUnlimited, budget, out);
  if (!IsComplete(out)) SolveAndOffer(problem, greedy, group_reentry::kLimited, budget, out);
}

std::vector<uint8_t> SelectZone(const topology& topo, std::span<const uint8_t> usable,
                                uint32_t zone) {
  std::vector<uint8_t> selected(usable.begin(), usable.end());
  if (zone == kNoZone) return selected;
  for (size_t i = 0; i < selected.size(); ++i) {
    if (topo.endpoints[i].zone != zone) selected[i] = 0;
  }
  return selected;
}

std::string DescribeRange(const inventory::layer_range& range) {
  const std::string first = std::to_string(range.first);
  return range.end - range.first == 1 ? first : first + "-" + std::to_string(range.end - 1);
}

std::string Join(const std::vector<std::string>& parts, std::string_view separator) {
  std::string joined;
  for (const std::string& part : parts) {
    if (!joined.empty()) joined += separator;
    joined += part;
  }
  return joined;
}

}  // namespace

result<plan> MakePlan(const topology& topo, std::span<const uint8_t> usable,
                      const plan_options& options) {
  if (usable.size() != topo.endpoints.size()) {
    return Failure(errc::kInvalidArgument,
                   "`usable` has " + std::to_string(usable.size()) + " entries for " +
                       std::to_string(topo.endpoints.size()) + " endpoints");
  }
  if (options.only_zone != kNoZone && options.only_zone >= topo.zones.size()) {
    return Failure(errc::kInvalidArgument, "zone index out of range");
  }
  const planning_problem problem =
      details::BuildProblem(topo, SelectZone(topo, usable, options.only_zone));
  plan out;
  out.uncovered = details::FindUncoveredLayers(problem);
  if (!out.uncovered.empty()) return out;
  const coverage_flow coverage = details::SolveCoverageFlow(problem);
  out.bound = coverage.bound;
  out.cut = CoverageCut(problem, coverage);
  const std::vector<group_route> greedy = details::DecomposeCoverage(problem, coverage);
  Offer(problem, greedy, out);
  if (!IsComplete(out) || IsLimitedByLinks(problem, coverage, out)) Improve(problem, greedy, out);
  return out;
}

plan WithoutUnusable(const topology& topo, const plan& old_plan, std::span<const uint8_t> usable) {
  plan reduced{.bound = old_plan.bound,
               .bound_is_exact = old_plan.bound_is_exact,
               .cut = old_plan.cut,
               .uncovered = old_plan.uncovered};
  std::ranges::copy_if(old_plan.routes, std::back_inserter(reduced.routes),
                       [&](const weighted_route& r) {
                         return std::ranges::all_of(
                             r.stages, [&](const stage& s) { return usable[s.endpoint] != 0; });
                       });
  details::ComputeFlows(topo, reduced);
  return reduced;
}

std::string DescribeLayers(std::span<const inventory::layer_range> layers) {
  std::vector<std::string> parts;
  std::ranges::transform(layers, std::back_inserter(parts), DescribeRange);
  return "layers " + Join(parts, ", ");
}

std::string DescribeCut(const topology& topo, const limiting_cut& cut) {
  std::vector<std::string> ids;
  for (const endpoint_index e : cut.endpoints) ids.push_back(topo.endpoints[e].id);
  std::vector<std::string> parts;
  if (!cut.layers.empty()) parts.push_back(DescribeLayers(cut.layers));
  if (!ids.empty()) parts.push_back("endpoints " + Join(ids, ", "));
  for (const uint32_t l : cut.links) {
    parts.push_back("link " + topo.links[l].from + " -> " + topo.links[l].to);
  }
  return Join(parts, "; ");
}

}  // namespace balsambay::planner
