// Column generation over routes.
#include "details/route_lp.h"

#include <algorithm>
#include <numeric>

#include "details/cheapest_route.h"
#include "details/simplex.h"

namespace balsambay::planner::details {
namespace {

// A dense inverse of this many rows takes 18 MB.
constexpr size_t kMaxRows = 1500;

constexpr uint64_t kBaseOperations = 2'000'000;
constexpr uint64_t kOperationsPerEngine = 16'000;

// A comparison in the search takes about as long as three multiplications of a pivot.
constexpr uint64_t kSearchCost = 3;

constexpr double kTolerance = 1e-9;

// Rows are scaled so that every right-hand side is 1, and flows so that the bound without links
// is 1.
struct scaled_rows {
  std::vector<double> group = {};  // per layer run
  std::vector<double> link = {};   // per token
};

struct master {
  const planning_problem& problem;
  scaled_rows scale = {};
  simplex_state lp = {};
  std::vector<std::vector<group_stage>> columns = {};
  uint64_t search_operations = 0;
  double bound = 1;  // in units of the bound without links; falls as prices improve
};

master MakeMaster(const planning_problem& problem, double upper_bound) {
  master m{.problem = problem};
  for (const engine_group& g : problem.groups) m.scale.group.push_back(upper_bound / g.capacity);
  for (const planned_link& l : problem.topo->links) {
    m.scale.link.push_back(upper_bound / l.tokens_per_second);
  }
  m.lp = MakeSlackBasis(problem.groups.size() + problem.topo->links.size());
  return m;
}

std::vector<sparse_entry> MakeColumn(const master& m, const std::vector<group_stage>& stages) {
  std::vector<sparse_entry> column;
  for (size_t i = 0; i < stages.size(); ++i) {
    const int layers = m.problem.boundaries[stages[i].end] - m.problem.boundaries[stages[i].first];
    column.push_back({.row = stages[i].group, .value = m.scale.group[stages[i].group] * layers});
    if (i == 0) continue;
    const int32_t link = FindGroupLink(m.problem, stages[i - 1].group, stages[i].group);
    if (link < 0) continue;
    const auto row = static_cast<uint32_t>(m.problem.groups.size() + link);
    column.push_back({.row = row, .value = m.scale.link[link]});
  }
  return column;
}

route_prices CurrentPrices(const master& m) {
  route_prices prices;
  const size_t groups = m.problem.groups.size();
  for (size_t i = 0; i < m.lp.prices.size(); ++i) {
    const double price = std::max(0.0, m.lp.prices[i]);
    if (i < groups) {
      prices.group.push_back(price * m.scale.group[i]);
    } else {
      prices.link.push_back(price * m.scale.link[i - groups]);
    }
  }
  return prices;
}

void EnterRoute(master& m, std::vector<group_stage> stages) {
  const std::vector<sparse_entry> column = MakeColumn(m, stages);
  double gain = 1;
  for (const sparse_entry& e : column) gain -= m.lp.prices[e.row] * e.value;
  if (gain <= kTolerance) return;
  EnterColumn(m.lp, static_cast<int64_t>(m.columns.size()), column, gain);
  m.columns.push_back(std::move(stages));
  RemoveNegativePrices(m.lp);
}

// Dividing all prices by the cheapest route's cost makes them feasible for the dual problem
// (Farley's bound).
void TightenBound(master& m, double cheapest) {
  if (cheapest <= 0) return;
  const double total = std::accumulate(m.lp.prices.begin(), m.lp.prices.end(), 0.0);
  m.bound = std::min(m.bound, total / std::min(cheapest, 1.0));
}

priced_route Search(master& m, group_reentry mode) {
  priced_route found = FindCheapestRoute(m.problem, CurrentPrices(m), mode);
  m.search_operations += kSearchCost * found.operations;
  return found;
}

// Returns whether the optimum was reached.
bool Optimise(master& m, group_reentry mode, uint64_t limit) {
  while (m.lp.operations + m.search_operations < limit) {
    priced_route next = Search(m, group_reentry::kUnlimited);
    TightenBound(m, next.cost);
    if (next.cost >= 1 - kTolerance) return true;
    if (mode == group_reentry::kLimited && ExceedsEntryLimit(m.problem, next.stages))
      next = Search(m, mode);
    if (next.cost >= 1 - kTolerance) return false;
    EnterRoute(m, std::move(next.stages));
  }
  return false;
}

std::vector<group_route> ReadRoutes(const master& m, double upper_bound) {
  std::vector<group_route> routes;
  for (size_t i = 0; i < m.lp.basis.size(); ++i) {
    if (m.lp.basis[i] < 0 || m.lp.values[i] <= kTolerance) continue;
    routes.push_back({.stages = m.columns[m.lp.basis[i]], .flow = m.lp.values[i] * upper_bound});
  }
  return routes;
}

}  // namespace

uint64_t RouteLpOperationLimit(const planning_problem& problem) {
  return kBaseOperations + kOperationsPerEngine * problem.topo->endpoints.size();
}

std::optional<route_lp_solution> SolveRouteLp(const planning_problem& problem, double upper_bound,
                                              const std::vector<group_route>& initial,
                                              group_reentry mode, uint64_t limit) {
  if (problem.groups.size() + problem.topo->links.size() > kMaxRows) return std::nullopt;
  master m = MakeMaster(problem, upper_bound);
  for (const group_route& r : initial) {
    if (m.lp.operations < limit / 2) EnterRoute(m, r.stages);
  }
  route_lp_solution out;
  out.is_optimal = Optimise(m, mode, limit);
  out.routes = ReadRoutes(m, upper_bound);
  out.bound = m.bound * upper_bound;
  out.operations = m.lp.operations + m.search_operations;
  const auto groups = static_cast<std::ptrdiff_t>(problem.groups.size());
  out.group_price.assign(m.lp.prices.begin(), m.lp.prices.begin() + groups);
  out.link_price.assign(m.lp.prices.begin() + groups, m.lp.prices.end());
  return out;
}

}  // namespace balsambay::planner::details
