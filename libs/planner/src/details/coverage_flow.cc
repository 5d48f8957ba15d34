// Parametric maximum flow by Newton's method (Dinkelbach), with the Boykov-Kolmogorov solver.
#include "details/coverage_flow.h"

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/boykov_kolmogorov_max_flow.hpp>
#include <cmath>
#include <numeric>

#include "details/fit_shares.h"

namespace balsambay::planner::details {
namespace {

// Capacities are scaled to integers, because augmenting paths with floating-point residuals need
// not terminate. 2^50 leaves room for sums in 63 bits and resolves rates 10^9 times below the
// total.
constexpr double kTotalUnits = 0x1.0p50;
constexpr int64_t kUnlimited = int64_t{1} << 56;

// Utilisation is equalised separately within at most this many nested cuts; all remaining range
// classes belong to the last cut. Bounds planning time when all engines hold different ranges.
constexpr int kMaxCuts = 12;
constexpr int kMaxCutsOfLargeProblem = 3;
constexpr size_t kLargeProblemEdges = 6000;  // edges of the flow network

using traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using edge_properties = boost::property<
    boost::edge_capacity_t, int64_t,
    boost::property<boost::edge_residual_capacity_t, int64_t,
                    boost::property<boost::edge_reverse_t, traits::edge_descriptor>>>;
using vertex_properties =
    boost::property<boost::vertex_predecessor_t, traits::edge_descriptor,
                    boost::property<boost::vertex_color_t, boost::default_color_type,
                                    boost::property<boost::vertex_distance_t, int64_t>>>;
using flow_graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS,
                                         vertex_properties, edge_properties>;
using edge = traits::edge_descriptor;

// Range classes and segments that are not yet assigned to a cut.
struct unassigned_set {
  std::vector<uint32_t> ranges = {};
  std::vector<uint32_t> segments = {};
};

struct flow_network {
  flow_graph graph;
  size_t source = 0;
  size_t sink = 0;
  std::vector<size_t> segment_vertex = {};  // by segment of the problem; SIZE_MAX when assigned
  std::vector<edge> demand = {};            // by position in unassigned_set::segments
  std::vector<int64_t> capacity = {};       // integer units, by position in unassigned_set::ranges
};

edge AddEdge(flow_graph& graph, size_t from, size_t to, int64_t capacity) {
  const edge forward = boost::add_edge(from, to, graph).first;
  const edge backward = boost::add_edge(to, from, graph).first;
  boost::put(boost::edge_capacity, graph, forward, capacity);
  boost::put(boost::edge_capacity, graph, backward, 0);
  boost::put(boost::edge_reverse, graph, forward, backward);
  boost::put(boost::edge_reverse, graph, backward, forward);
  return forward;
}

void AddRangeClass(const planning_problem& problem, flow_network& network, uint32_t range,
                   size_t vertex, double scale) {
  const range_class& r = problem.ranges[range];
  const auto units = static_cast<int64_t>(std::floor(r.capacity * scale));
  network.capacity.push_back(units);
  AddEdge(network.graph, network.source, vertex, units);
  for (int s = r.first; s < r.end; ++s) {
    const size_t target = network.segment_vertex[s];
    if (target != SIZE_MAX) AddEdge(network.graph, vertex, target, kUnlimited);
  }
}

flow_network BuildNetwork(const planning_problem& problem, const unassigned_set& unassigned,
                          double scale) {
  flow_network network;
  network.graph = flow_graph(unassigned.ranges.size() + unassigned.segments.size() + 2);
  network.source = unassigned.ranges.size() + unassigned.segments.size();
  network.sink = network.source + 1;
  network.segment_vertex.assign(problem.SegmentCount(), SIZE_MAX);
  for (size_t i = 0; i < unassigned.segments.size(); ++i) {
    network.segment_vertex[unassigned.segments[i]] = unassigned.ranges.size() + i;
    network.demand.push_back(AddEdge(network.graph, unassigned.ranges.size() + i, network.sink, 0));
  }
  for (size_t i = 0; i < unassigned.ranges.size(); ++i) {
    AddRangeClass(problem, network, unassigned.ranges[i], i, scale);
  }
  return network;
}

int64_t TotalLayers(const planning_problem& problem, const std::vector<uint32_t>& segments) {
  return std::accumulate(segments.begin(), segments.end(), int64_t{0},
                         [&](int64_t sum, uint32_t s) { return sum + problem.SegmentLayers(s); });
}

// Whether the unassigned range classes can supply `units` per layer to every unassigned segment.
bool CanMeetDemand(const planning_problem& problem, const unassigned_set& unassigned,
                   flow_network& network, int64_t units) {
  for (size_t i = 0; i < unassigned.segments.size(); ++i) {
    boost::put(boost::edge_capacity, network.graph, network.demand[i],
               units * problem.SegmentLayers(unassigned.segments[i]));
  }
  const int64_t flow =
      boost::boykov_kolmogorov_max_flow(network.graph, network.source, network.sink);
  return flow == units * TotalLayers(problem, unassigned.segments);
}

// Segments on the sink side of the minimum cut: their demand exceeds the capacity that can reach
// them.
std::vector<uint32_t> FindSinkSide(const unassigned_set& unassigned, const flow_network& network) {
  const auto color = boost::get(boost::vertex_color, network.graph);
  const auto source_color = boost::get(color, network.source);
  std::vector<uint32_t> side;
  for (const uint32_t s : unassigned.segments) {
    if (boost::get(color, network.segment_vertex[s]) != source_color) side.push_back(s);
  }
  return side;
}

// Segments from which the sink can be reached in the residual graph: the smallest sink side of a
// minimum cut.
std::vector<uint32_t> FindSmallestSinkSide(const unassigned_set& unassigned,
                                           const flow_network& network) {
  const auto color = boost::get(boost::vertex_color, network.graph);
  const auto sink_color = boost::get(color, network.sink);
  std::vector<uint32_t> side;
  for (const uint32_t s : unassigned.segments) {
    if (boost::get(color, network.segment_vertex[s]) == sink_color) side.push_back(s);
  }
  return side;
}

bool Overlaps(const range_class& r, const std::vector<uint32_t>& segments) {
  const auto first = std::ranges::lower_bound(segments, static_cast<uint32_t>(r.first));
  return first != segments.end() && *first < static_cast<uint32_t>(r.end);
}

struct saturated_cut {
  std::vector<uint32_t> segments = {};  // ascending
  double bound = 0;                     // tokens/s
  int64_t units = 0;                    // integer capacity units per layer
};

// Lowers the demand to the ratio (capacity / layers) of the violated cut until the demand is met.
// Each step removes at least one cut, and the ratio of the last cut is the exact optimum.
saturated_cut FindTightestCut(const planning_problem& problem, const unassigned_set& unassigned,
                              flow_network& network) {
  saturated_cut cut{.segments = unassigned.segments};
  while (true) {
    int64_t units = 0;
    double capacity = 0;
    for (size_t i = 0; i < unassigned.ranges.size(); ++i) {
      if (!Overlaps(problem.ranges[unassigned.ranges[i]], cut.segments)) continue;
      units += network.capacity[i];
      capacity += problem.ranges[unassigned.ranges[i]].capacity;
    }
    const int64_t layers = TotalLayers(problem, cut.segments);
    cut.units = units / layers;
    cut.bound = capacity / static_cast<double>(layers);
    if (CanMeetDemand(problem, unassigned, network, cut.units)) return cut;
    cut.segments = FindSinkSide(unassigned, network);
  }
}

// Of several cuts with the same ratio, returns the one with the fewest layers, because its capacity
// has to be raised first. For each segment of the cut, lowers the demand of all segments slightly
// and raises the demand of that segment; the minimum cut is then the smallest saturated cut that
// contains it.
std::vector<uint32_t> FindNarrowestCut(const planning_problem& problem,
                                       const unassigned_set& unassigned, flow_network& network,
                                       const saturated_cut& cut) {
  // Integer capacity units (kTotalUnits in total). Both exceed the rounding of `units` and are far
  // below real differences in rate.
  constexpr int64_t kDemandIncrease = int64_t{1} << 27;
  constexpr int64_t kDemandDecrease = int64_t{1} << 10;
  // Large problems would need too many maximum flows.
  if (boost::num_edges(network.graph) > kLargeProblemEdges || cut.units <= kDemandDecrease) {
    return cut.segments;
  }
  std::vector<uint32_t> best = cut.segments;
  for (size_t raised = 0; raised < unassigned.segments.size(); ++raised) {
    if (!std::ranges::binary_search(cut.segments, unassigned.segments[raised])) continue;
    for (size_t i = 0; i < unassigned.segments.size(); ++i) {
      const int64_t demand =
          (cut.units - kDemandDecrease) * problem.SegmentLayers(unassigned.segments[i]);
      boost::put(boost::edge_capacity, network.graph, network.demand[i],
                 demand + (i == raised ? kDemandIncrease : 0));
    }
    boost::boykov_kolmogorov_max_flow(network.graph, network.source, network.sink);
    std::vector<uint32_t> side = FindSmallestSinkSide(unassigned, network);
    if (!side.empty() && TotalLayers(problem, side) < TotalLayers(problem, best)) {
      best = std::move(side);
    }
  }
  return best;
}

// Assigns capacity to the segments in order, always from the range class whose range ends first
// (Glover's rule for convex bipartite graphs). This meets every demand that a maximum flow meets
// and keeps each class on few adjacent segments; a flow solver may scatter it over distant
// segments, which forces routes to enter an engine twice.
void AssignSharesInOrder(const planning_problem& problem, const unassigned_set& unassigned,
                         std::vector<int64_t> capacity, const std::vector<uint32_t>& assigned,
                         int64_t units, coverage_flow& coverage) {
  const double tokens_per_unit = coverage.bound / static_cast<double>(units);
  std::vector<size_t> order(unassigned.ranges.size());
  std::iota(order.begin(), order.end(), size_t{0});
  const auto end = [&](size_t i) { return problem.ranges[unassigned.ranges[i]].end; };
  std::ranges::stable_sort(order, {}, end);
  for (const uint32_t s : assigned) {
    int64_t unmet_demand = units * problem.SegmentLayers(s);
    for (const size_t i : order) {
      const range_class& r = problem.ranges[unassigned.ranges[i]];
      if (static_cast<int>(s) < r.first || static_cast<int>(s) >= r.end) continue;
      const int64_t taken = std::min(unmet_demand, capacity[i]);
      capacity[i] -= taken;
      unmet_demand -= taken;
      coverage.share[unassigned.ranges[i]][s - r.first] =
          static_cast<double>(taken) / problem.SegmentLayers(s) * tokens_per_unit;
      if (unmet_demand == 0) break;
    }
  }
}

// Assigns even shares if the proportional fitting converges, otherwise the shares of Glover's rule.
void AssignShares(const planning_problem& problem, const unassigned_set& unassigned,
                  const flow_network& network, const std::vector<uint32_t>& assigned,
                  const saturated_cut& cut, coverage_flow& coverage) {
  // With zero units the rates differ by more than the integer scale resolves; no flow is planned.
  if (cut.units == 0) return;
  const auto fitted = FitShares(problem, unassigned.ranges, assigned, cut.bound);
  if (!fitted.has_value()) {
    return AssignSharesInOrder(problem, unassigned, network.capacity, assigned, cut.units,
                               coverage);
  }
  for (size_t i = 0; i < unassigned.ranges.size(); ++i) {
    const range_class& r = problem.ranges[unassigned.ranges[i]];
    for (const uint32_t s : assigned) {
      if (static_cast<int>(s) < r.first || static_cast<int>(s) >= r.end) continue;
      const double share = (*fitted)[i][s - r.first];
      coverage.share[unassigned.ranges[i]][s - r.first] = share * coverage.bound / cut.bound;
    }
  }
}

// Removes the segments of the cut and the range classes that overlap them; the cut uses these
// classes completely.
void RemoveCut(const planning_problem& problem, const std::vector<uint32_t>& cut,
               unassigned_set& unassigned) {
  std::erase_if(unassigned.ranges, [&](uint32_t r) { return Overlaps(problem.ranges[r], cut); });
  std::erase_if(unassigned.segments,
                [&](uint32_t s) { return std::ranges::binary_search(cut, s); });
}

template <class T>
std::vector<T> MakeSequence(size_t count) {
  std::vector<T> values(count);
  std::iota(values.begin(), values.end(), T{0});
  return values;
}

double TotalCapacity(const planning_problem& problem) {
  return std::accumulate(problem.ranges.begin(), problem.ranges.end(), 0.0,
                         [](double sum, const range_class& r) { return sum + r.capacity; });
}

}  // namespace

coverage_flow SolveCoverageFlow(const planning_problem& problem) {
  coverage_flow coverage;
  coverage.cut_segments.assign(problem.SegmentCount(), 0);
  for (const range_class& r : problem.ranges) coverage.share.emplace_back(r.end - r.first, 0.0);
  unassigned_set unassigned{MakeSequence<uint32_t>(problem.ranges.size()),
                            MakeSequence<uint32_t>(problem.SegmentCount())};
  const double scale = kTotalUnits / TotalCapacity(problem);
  for (int cut_count = 0; !unassigned.segments.empty(); ++cut_count) {
    flow_network network = BuildNetwork(problem, unassigned, scale);
    const saturated_cut cut = FindTightestCut(problem, unassigned, network);
    if (cut_count == 0) {
      coverage.bound = cut.bound;
      for (const uint32_t s : FindNarrowestCut(problem, unassigned, network, cut)) {
        coverage.cut_segments[s] = 1;
      }
    }
    const bool is_large = boost::num_edges(network.graph) > kLargeProblemEdges;
    const bool is_last = cut_count + 1 >= (is_large ? kMaxCutsOfLargeProblem : kMaxCuts);
    const std::vector<uint32_t>& assigned = is_last ? unassigned.segments : cut.segments;
    AssignShares(problem, unassigned, network, assigned, cut, coverage);
    RemoveCut(problem, std::vector<uint32_t>(assigned), unassigned);
  }
  return coverage;
}

}  // namespace balsambay::planner::details
