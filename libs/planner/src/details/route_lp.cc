// Solves the route packing program by column generation.
#include "details/route_lp.h"

#include <algorithm>
#include <numeric>

#include "details/cheapest_route.h"
#include "details/simplex.h"

namespace balsambay::planner::details {
namespace {

// A dense inverse of this many rows takes 18 MB.
constexpr size_t kMaxRows = 1500;

// Terms of RouteLpOperationLimit.
constexpr uint64_t kBaseOperations = 2'000'000;
constexpr uint64_t kOperationsPerEngine = 16'000;

// A comparison in the route search takes about as long as three multiplications of a pivot.
constexpr uint64_t kOperationsPerComparison = 3;

// Gains and scaled flows up to this value are treated as zero (rounding errors).
constexpr double kTolerance = 1e-9;

// Scale factors of the rows. Rows are scaled so that every right-hand side is 1, and flows so that
// the bound without links is 1.
struct row_scales {
  std::vector<double> group = {};  // by group, per layer and token
  std::vector<double> link = {};   // by topology::links, per token
};

// The restricted master problem: the linear program over the routes generated so far.
struct restricted_master {
  const planning_problem& problem;
  row_scales scale = {};
  simplex_state lp = {};
  std::vector<std::vector<group_stage>> columns = {};  // routes by column id
  uint64_t search_operations = 0;
  double bound = 1;  // in units of the bound without links; decreases as prices improve
};

restricted_master MakeMaster(const planning_problem& problem, double upper_bound) {
  restricted_master master{.problem = problem};
  for (const engine_group& g : problem.groups) {
    master.scale.group.push_back(upper_bound / g.capacity);
  }
  for (const topology_link& l : problem.topo->links) {
    master.scale.link.push_back(upper_bound / l.tokens_per_second);
  }
  master.lp = MakeSlackBasis(problem.groups.size() + problem.topo->links.size());
  return master;
}

std::vector<sparse_entry> MakeColumn(const restricted_master& master,
                                     const std::vector<group_stage>& stages) {
  std::vector<sparse_entry> column;
  for (size_t i = 0; i < stages.size(); ++i) {
    const int layers =
        master.problem.boundaries[stages[i].end] - master.problem.boundaries[stages[i].first];
    column.push_back(
        {.row = stages[i].group, .value = master.scale.group[stages[i].group] * layers});
    if (i == 0) continue;
    const int32_t link = FindGroupLink(master.problem, stages[i - 1].group, stages[i].group);
    if (link < 0) continue;
    const auto row = static_cast<uint32_t>(master.problem.groups.size() + link);
    column.push_back({.row = row, .value = master.scale.link[link]});
  }
  return column;
}

route_prices CurrentPrices(const restricted_master& master) {
  route_prices prices;
  const size_t groups = master.problem.groups.size();
  for (size_t i = 0; i < master.lp.prices.size(); ++i) {
    const double price = std::max(0.0, master.lp.prices[i]);
    if (i < groups) {
      prices.group.push_back(price * master.scale.group[i]);
    } else {
      prices.link.push_back(price * master.scale.link[i - groups]);
    }
  }
  return prices;
}

void EnterRoute(restricted_master& master, std::vector<group_stage> stages) {
  const std::vector<sparse_entry> column = MakeColumn(master, stages);
  double gain = 1;
  for (const sparse_entry& e : column) gain -= master.lp.prices[e.row] * e.value;
  if (gain <= kTolerance) return;
  EnterColumn(master.lp, static_cast<int64_t>(master.columns.size()), column, gain);
  master.columns.push_back(std::move(stages));
  RemoveNegativePrices(master.lp);
}

// Lowers the bound by the current prices: dividing all prices by the cost of the cheapest route
// makes them feasible for the dual problem (Farley's bound).
void TightenBound(restricted_master& master, double cheapest_cost) {
  if (cheapest_cost <= 0) return;
  const double total = std::accumulate(master.lp.prices.begin(), master.lp.prices.end(), 0.0);
  master.bound = std::min(master.bound, total / std::min(cheapest_cost, 1.0));
}

priced_route FindEnteringRoute(restricted_master& master, group_reentry mode) {
  priced_route cheapest = FindCheapestRoute(master.problem, CurrentPrices(master), mode);
  master.search_operations += kOperationsPerComparison * cheapest.operations;
  return cheapest;
}

// Enters routes until the optimum, the operation limit or, with group_reentry::kLimited, a state
// without an improving route is reached. Returns whether the optimum was reached.
bool GenerateColumns(restricted_master& master, group_reentry mode, uint64_t operation_limit) {
  while (master.lp.operations + master.search_operations < operation_limit) {
    priced_route entering = FindEnteringRoute(master, group_reentry::kUnlimited);
    TightenBound(master, entering.cost);
    if (entering.cost >= 1 - kTolerance) return true;
    if (mode == group_reentry::kLimited && ExceedsEntryLimit(master.problem, entering.stages)) {
      entering = FindEnteringRoute(master, mode);
    }
    if (entering.cost >= 1 - kTolerance) return false;
    EnterRoute(master, std::move(entering.stages));
  }
  return false;
}

std::vector<group_route> ExtractRoutes(const restricted_master& master, double upper_bound) {
  std::vector<group_route> routes;
  for (size_t i = 0; i < master.lp.basis.size(); ++i) {
    if (master.lp.basis[i] < 0 || master.lp.values[i] <= kTolerance) continue;
    routes.push_back(
        {.stages = master.columns[master.lp.basis[i]], .flow = master.lp.values[i] * upper_bound});
  }
  return routes;
}

}  // namespace

uint64_t RouteLpOperationLimit(const planning_problem& problem) {
  return kBaseOperations + kOperationsPerEngine * problem.topo->endpoints.size();
}

std::optional<route_lp_solution> SolveRouteLp(const planning_problem& problem, double upper_bound,
                                              const std::vector<group_route>& initial,
                                              group_reentry mode, uint64_t operation_limit) {
  if (problem.groups.size() + problem.topo->links.size() > kMaxRows) return std::nullopt;
  restricted_master master = MakeMaster(problem, upper_bound);
  for (const group_route& r : initial) {
    if (master.lp.operations < operation_limit / 2) EnterRoute(master, r.stages);
  }
  route_lp_solution solution;
  solution.is_optimal = GenerateColumns(master, mode, operation_limit);
  solution.routes = ExtractRoutes(master, upper_bound);
  solution.bound = master.bound * upper_bound;
  solution.operations = master.lp.operations + master.search_operations;
  const auto groups = static_cast<std::ptrdiff_t>(problem.groups.size());
  solution.group_price.assign(master.lp.prices.begin(), master.lp.prices.begin() + groups);
  solution.link_price.assign(master.lp.prices.begin() + groups, master.lp.prices.end());
  return solution;
}

}  // namespace balsambay::planner::details
