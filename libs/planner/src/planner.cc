// Builds plans from the coverage flow and, when that plan is short of the bound because of links or
// repeated entries into an engine group, from the route linear program (details/route_lp.h).
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

// Plans that carry at least this fraction of the bound are not improved further.
constexpr double kMinPlannedFraction = 0.997;

// Dual prices up to this value are treated as zero (rounding errors).
constexpr double kPriceTolerance = 1e-7;

void AddGroupMembers(const details::engine_group& group, limiting_cut& cut) {
  cut.endpoints.insert(cut.endpoints.end(), group.members.begin(), group.members.end());
}

limiting_cut MakeCutFromCoverage(const planning_problem& problem, const coverage_flow& coverage) {
  limiting_cut cut{.layers = details::MergeSegments(problem, coverage.cut_segments)};
  for (const details::engine_group& group : problem.groups) {
    const auto first = coverage.cut_segments.begin() + group.first;
    const auto end = coverage.cut_segments.begin() + group.end;
    if (std::find(first, end, 1) != end) AddGroupMembers(group, cut);
  }
  std::ranges::sort(cut.endpoints);
  return cut;
}

limiting_cut MakeCutFromPrices(const planning_problem& problem,
                               const details::route_lp_solution& solution) {
  limiting_cut cut;
  std::vector<uint8_t> is_saturated(problem.SegmentCount(), 0);
  for (size_t s = 0; s < is_saturated.size(); ++s) {
    is_saturated[s] = std::ranges::all_of(problem.groups_by_segment[s], [&](uint32_t g) {
      return solution.group_price[g] > kPriceTolerance;
    });
  }
  cut.layers = details::MergeSegments(problem, is_saturated);
  for (size_t g = 0; g < problem.groups.size(); ++g) {
    if (solution.group_price[g] > kPriceTolerance) AddGroupMembers(problem.groups[g], cut);
  }
  for (uint32_t l = 0; l < solution.link_price.size(); ++l) {
    if (solution.link_price[l] > kPriceTolerance) cut.links.push_back(l);
  }
  std::ranges::sort(cut.endpoints);
  return cut;
}

// Expands `routes` and replaces the routes and flows of `best` if the expanded routes carry more.
void ReplaceIfBetter(const planning_problem& problem, const std::vector<group_route>& routes,
                     plan& best) {
  plan candidate;
  candidate.bound = best.bound;
  candidate.routes = details::ExpandRoutes(problem, routes, best.bound);
  details::ComputeFlows(*problem.topo, candidate);
  if (candidate.planned_tokens_per_second <= best.planned_tokens_per_second) return;
  best.routes = std::move(candidate.routes);
  best.stages = std::move(candidate.stages);
  best.hops = std::move(candidate.hops);
  best.planned_tokens_per_second = candidate.planned_tokens_per_second;
}

bool IsComplete(const plan& candidate) {
  return candidate.planned_tokens_per_second >= candidate.bound * kMinPlannedFraction;
}

// The smallest total flow of a segment in the coverage flow, in tokens/s. Links can only lower the
// part of it that a plan carries.
double MinSegmentFlow(const planning_problem& problem, const coverage_flow& coverage) {
  std::vector<double> sum(problem.SegmentCount(), 0);
  for (size_t r = 0; r < problem.ranges.size(); ++r) {
    const auto first = static_cast<size_t>(problem.ranges[r].first);
    for (size_t k = 0; k < coverage.share[r].size(); ++k) sum[first + k] += coverage.share[r][k];
  }
  return *std::ranges::min_element(sum);
}

// Whether link limits reduced the flow of the greedy plan, so that the bound without links may be
// too high.
bool IsReducedByLinks(const planning_problem& problem, const coverage_flow& coverage,
                      const plan& best) {
  constexpr double kTolerance = 1e-7;
  return !problem.topo->links.empty() &&
         best.planned_tokens_per_second < MinSegmentFlow(problem, coverage) * (1 - kTolerance);
}

// Lowers the bound to the bound with link limits and rescales the weights, which are relative to
// it.
void ApplyLinkBound(const planning_problem& problem, const details::route_lp_solution& solution,
                    plan& best) {
  best.bound_is_exact = best.bound_is_exact || solution.is_optimal;
  if (solution.bound >= best.bound) return;
  for (weighted_route& r : best.routes) r.weight *= best.bound / solution.bound;
  best.bound = solution.bound;
  best.cut = MakeCutFromPrices(problem, solution);
}

// Solves the route program with the remaining operations of `operation_budget`, and applies the
// solution to `best` if it is better.
std::optional<details::route_lp_solution> SolveAndReplaceIfBetter(
    const planning_problem& problem, const std::vector<group_route>& initial_routes,
    details::group_reentry mode, uint64_t& operation_budget, plan& best) {
  auto solution =
      details::SolveRouteLp(problem, best.bound, initial_routes, mode, operation_budget);
  if (!solution.has_value()) return solution;
  operation_budget -= std::min(operation_budget, solution->operations);
  if (!problem.topo->links.empty() && mode == details::group_reentry::kUnlimited) {
    ApplyLinkBound(problem, *solution, best);
  }
  ReplaceIfBetter(problem, solution->routes, best);
  return solution;
}

// Improves a greedy plan that is short of the bound because of links or because routes enter a
// group again. Optimal solutions differ in the number of such entries, so a second run without
// initial routes and then a run with limited entries can give a better plan.
void ImprovePlan(const planning_problem& problem, const std::vector<group_route>& greedy_routes,
                 plan& best) {
  using details::group_reentry;
  uint64_t operation_budget = details::RouteLpOperationLimit(problem);
  if (!problem.topo->links.empty()) {
    best.bound_is_exact = false;
    SolveAndReplaceIfBetter(problem, greedy_routes, group_reentry::kUnlimited, operation_budget,
                            best);
  }
  if (!IsComplete(best)) {
    SolveAndReplaceIfBetter(problem, {}, group_reentry::kUnlimited, operation_budget, best);
  }
  if (!IsComplete(best)) {
    SolveAndReplaceIfBetter(problem, greedy_routes, group_reentry::kLimited, operation_budget,
                            best);
  }
}

std::vector<uint8_t> RestrictToZone(const topology& topo, std::span<const uint8_t> usable,
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
    return Failure(errc::kInvalidArgument, "`only_zone` is not an index of a zone");
  }
  const planning_problem problem =
      details::BuildProblem(topo, RestrictToZone(topo, usable, options.only_zone));
  plan best;
  best.uncovered_layers = details::FindUncoveredLayers(problem);
  if (!best.uncovered_layers.empty()) return best;
  const coverage_flow coverage = details::SolveCoverageFlow(problem);
  best.bound = coverage.bound;
  best.cut = MakeCutFromCoverage(problem, coverage);
  const std::vector<group_route> greedy_routes = details::DecomposeCoverage(problem, coverage);
  ReplaceIfBetter(problem, greedy_routes, best);
  if (!IsComplete(best) || IsReducedByLinks(problem, coverage, best)) {
    ImprovePlan(problem, greedy_routes, best);
  }
  return best;
}

plan RemoveUnusableRoutes(const topology& topo, const plan& old_plan,
                          std::span<const uint8_t> usable) {
  plan reduced{.bound = old_plan.bound,
               .bound_is_exact = old_plan.bound_is_exact,
               .cut = old_plan.cut,
               .uncovered_layers = old_plan.uncovered_layers};
  std::ranges::copy_if(old_plan.routes, std::back_inserter(reduced.routes),
                       [&](const weighted_route& r) {
                         return std::ranges::all_of(
                             r.stages, [&](const stage& s) { return usable[s.endpoint] != 0; });
                       });
  details::ComputeFlows(topo, reduced);
  return reduced;
}

std::string FormatLayerRanges(std::span<const inventory::layer_range> layers) {
  std::vector<std::string> ranges;
  std::ranges::transform(layers, std::back_inserter(ranges), DescribeRange);
  return "layers " + Join(ranges, ", ");
}

std::string FormatCut(const topology& topo, const limiting_cut& cut) {
  std::vector<std::string> ids;
  for (const endpoint_index e : cut.endpoints) ids.push_back(topo.endpoints[e].id);
  std::vector<std::string> parts;
  if (!cut.layers.empty()) parts.push_back(FormatLayerRanges(cut.layers));
  if (!ids.empty()) parts.push_back("endpoints " + Join(ids, ", "));
  for (const uint32_t l : cut.links) {
    parts.push_back("link " + topo.links[l].from + " -> " + topo.links[l].to);
  }
  return Join(parts, "; ");
}

}  // namespace balsambay::planner
