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

// Utilisation is made equal in at most this many nested cuts; the classes beyond share the last
// one. Bounds planning time when all engines hold different ranges.
constexpr int kMaxLevels = 12;
constexpr int kMaxLevelsOfLargeProblem = 3;
constexpr size_t kLargeProblemEdges = 6000;

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

// Segments and classes that are not yet assigned to a cut.
struct remainder_set {
  std::vector<uint32_t> ranges = {};
  std::vector<uint32_t> segments = {};
};

struct network {
  flow_graph graph;
  size_t source = 0;
  size_t sink = 0;
  std::vector<size_t> segment_vertex = {};  // by segment of the problem
  std::vector<edge> demand = {};            // by position in remainder_set::segments
  std::vector<int64_t> capacity = {};       // by position in remainder_set::ranges
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

void AddClass(const planning_problem& problem, network& net, uint32_t range, size_t vertex,
              double scale) {
  const range_class& r = problem.ranges[range];
  const auto units = static_cast<int64_t>(std::floor(r.capacity * scale));
  net.capacity.push_back(units);
  AddEdge(net.graph, net.source, vertex, units);
  for (int s = r.first; s < r.end; ++s) {
    const size_t target = net.segment_vertex[s];
    if (target != SIZE_MAX) AddEdge(net.graph, vertex, target, kUnlimited);
  }
}

network BuildNetwork(const planning_problem& problem, const remainder_set& rest, double scale) {
  network net;
  net.graph = flow_graph(rest.ranges.size() + rest.segments.size() + 2);
  net.source = rest.ranges.size() + rest.segments.size();
  net.sink = net.source + 1;
  net.segment_vertex.assign(problem.SegmentCount(), SIZE_MAX);
  for (size_t i = 0; i < rest.segments.size(); ++i) {
    net.segment_vertex[rest.segments[i]] = rest.ranges.size() + i;
    net.demand.push_back(AddEdge(net.graph, rest.ranges.size() + i, net.sink, 0));
  }
  for (size_t i = 0; i < rest.ranges.size(); ++i) AddClass(problem, net, rest.ranges[i], i, scale);
  return net;
}

int64_t TotalWidth(const planning_problem& problem, const std::vector<uint32_t>& segments) {
  return std::accumulate(segments.begin(), segments.end(), int64_t{0},
                         [&](int64_t sum, uint32_t s) { return sum + problem.SegmentLayers(s); });
}

// Whether `units` per layer can be supplied to every segment.
bool MeetsDemand(const planning_problem& problem, const remainder_set& rest, network& net,
                 int64_t units) {
  for (size_t i = 0; i < rest.segments.size(); ++i) {
    boost::put(boost::edge_capacity, net.graph, net.demand[i],
               units * problem.SegmentLayers(rest.segments[i]));
  }
  const int64_t flow = boost::boykov_kolmogorov_max_flow(net.graph, net.source, net.sink);
  return flow == units * TotalWidth(problem, rest.segments);
}

// Segments on the sink side of the minimum cut: their demand exceeds what can reach them.
std::vector<uint32_t> SinkSide(const remainder_set& rest, const network& net) {
  const auto color = boost::get(boost::vertex_color, net.graph);
  const auto source_color = boost::get(color, net.source);
  std::vector<uint32_t> side;
  for (const uint32_t s : rest.segments) {
    if (boost::get(color, net.segment_vertex[s]) != source_color) side.push_back(s);
  }
  return side;
}

// Segments from which the sink can still be reached: the smallest sink side of a minimum cut.
std::vector<uint32_t> SmallestSinkSide(const remainder_set& rest, const network& net) {
  const auto color = boost::get(boost::vertex_color, net.graph);
  const auto sink_color = boost::get(color, net.sink);
  std::vector<uint32_t> side;
  for (const uint32_t s : rest.segments) {
    if (boost::get(color, net.segment_vertex[s]) == sink_color) side.push_back(s);
  }
  return side;
}

bool Touches(const range_class& r, const std::vector<uint32_t>& segments) {
  const auto first = std::ranges::lower_bound(segments, static_cast<uint32_t>(r.first));
  return first != segments.end() && *first < static_cast<uint32_t>(r.end);
}

struct level {
  std::vector<uint32_t> cut = {};  // segments, ascending
  double bound = 0;                // tokens/s
  int64_t units = 0;               // per layer
};

// Lowers the demand to the ratio of the violated cut until the demand is met. Each step removes at
// least one cut, and the ratio of the last cut is the exact optimum.
level FindTightestCut(const planning_problem& problem, const remainder_set& rest, network& net) {
  level found{.cut = rest.segments};
  while (true) {
    int64_t units = 0;
    double capacity = 0;
    for (size_t i = 0; i < rest.ranges.size(); ++i) {
      if (!Touches(problem.ranges[rest.ranges[i]], found.cut)) continue;
      units += net.capacity[i];
      capacity += problem.ranges[rest.ranges[i]].capacity;
    }
    const int64_t width = TotalWidth(problem, found.cut);
    found.units = units / width;
    found.bound = capacity / static_cast<double>(width);
    if (MeetsDemand(problem, rest, net, found.units)) return found;
    found.cut = SinkSide(rest, net);
  }
}

// Of several cuts with the same ratio, the one with the fewest layers: it names what has to grow
// first. For each segment, a little more demand there and a little less everywhere shows the
// smallest full cut around it.
std::vector<uint32_t> NarrowCut(const planning_problem& problem, const remainder_set& rest,
                                network& net, const level& found) {
  // In units of kTotalUnits. Both exceed the rounding of `units`, and are far below real
  // differences in rate.
  constexpr int64_t kMore = int64_t{1} << 27;
  constexpr int64_t kLess = int64_t{1} << 10;
  // Large problems would need too many flows.
  if (boost::num_edges(net.graph) > kLargeProblemEdges || found.units <= kLess) return found.cut;
  std::vector<uint32_t> best = found.cut;
  for (size_t raised = 0; raised < rest.segments.size(); ++raised) {
    if (!std::ranges::binary_search(found.cut, rest.segments[raised])) continue;
    for (size_t i = 0; i < rest.segments.size(); ++i) {
      const int64_t demand = (found.units - kLess) * problem.SegmentLayers(rest.segments[i]);
      boost::put(boost::edge_capacity, net.graph, net.demand[i],
                 demand + (i == raised ? kMore : 0));
    }
    boost::boykov_kolmogorov_max_flow(net.graph, net.source, net.sink);
    std::vector<uint32_t> side = SmallestSinkSide(rest, net);
    if (!side.empty() && TotalWidth(problem, side) < TotalWidth(problem, best))
      best = std::move(side);
  }
  return best;
}

// Assigns supplies to the segments in order, always from the class whose range ends first (Glover's
// rule for convex bipartite graphs). It meets every demand that a maximum flow meets, and keeps
// each class on few neighbouring segments, where a flow solver may scatter it and force routes to
// return to an engine.
void TakeShares(const planning_problem& problem, const remainder_set& rest,
                std::vector<int64_t> capacity, const std::vector<uint32_t>& assigned, int64_t units,
                coverage_flow& out) {
  const double tokens_per_unit = out.bound / static_cast<double>(units);
  std::vector<size_t> order(rest.ranges.size());
  std::iota(order.begin(), order.end(), size_t{0});
  const auto end = [&](size_t i) { return problem.ranges[rest.ranges[i]].end; };
  std::ranges::stable_sort(order, {}, end);
  for (const uint32_t s : assigned) {
    int64_t wanted = units * problem.SegmentLayers(s);
    for (const size_t i : order) {
      const range_class& r = problem.ranges[rest.ranges[i]];
      if (static_cast<int>(s) < r.first || static_cast<int>(s) >= r.end) continue;
      const int64_t taken = std::min(wanted, capacity[i]);
      capacity[i] -= taken;
      wanted -= taken;
      out.share[rest.ranges[i]][s - r.first] =
          static_cast<double>(taken) / problem.SegmentLayers(s) * tokens_per_unit;
      if (wanted == 0) break;
    }
  }
}

// Even shares where the fitting converges, else those of Glover's rule.
void AssignShares(const planning_problem& problem, const remainder_set& rest, const network& net,
                  const std::vector<uint32_t>& assigned, const level& found, coverage_flow& out) {
  // Zero units: the rates differ by more than the scale resolves, and no flow is planned.
  if (found.units == 0) return;
  const auto fitted = FitShares(problem, rest.ranges, assigned, found.bound);
  if (!fitted.has_value())
    return TakeShares(problem, rest, net.capacity, assigned, found.units, out);
  for (size_t i = 0; i < rest.ranges.size(); ++i) {
    const range_class& r = problem.ranges[rest.ranges[i]];
    for (const uint32_t s : assigned) {
      if (static_cast<int>(s) < r.first || static_cast<int>(s) >= r.end) continue;
      const double share = (*fitted)[i][s - r.first];
      out.share[rest.ranges[i]][s - r.first] = share * out.bound / found.bound;
    }
  }
}

// Removes the cut's segments and the classes that touch them; those are fully used by the cut.
void RemoveCut(const planning_problem& problem, const std::vector<uint32_t>& cut,
               remainder_set& rest) {
  std::erase_if(rest.ranges, [&](uint32_t r) { return Touches(problem.ranges[r], cut); });
  std::erase_if(rest.segments, [&](uint32_t s) { return std::ranges::binary_search(cut, s); });
}

template <class T>
std::vector<T> Iota(size_t count) {
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
  coverage_flow out;
  out.cut_segments.assign(problem.SegmentCount(), 0);
  for (const range_class& r : problem.ranges) out.share.emplace_back(r.end - r.first, 0.0);
  remainder_set rest{Iota<uint32_t>(problem.ranges.size()), Iota<uint32_t>(problem.SegmentCount())};
  const double scale = kTotalUnits / TotalCapacity(problem);
  for (int depth = 0; !rest.segments.empty(); ++depth) {
    network net = BuildNetwork(problem, rest, scale);
    const level found = FindTightestCut(problem, rest, net);
    if (depth == 0) {
      out.bound = found.bound;
      for (const uint32_t s : NarrowCut(problem, rest, net, found)) out.cut_segments[s] = 1;
    }
    const bool large = boost::num_edges(net.graph) > kLargeProblemEdges;
    const bool last = depth + 1 >= (large ? kMaxLevelsOfLargeProblem : kMaxLevels);
    const std::vector<uint32_t>& assigned = last ? rest.segments : found.cut;
    AssignShares(problem, rest, net, assigned, found, out);
    RemoveCut(problem, std::vector<uint32_t>(assigned), rest);
  }
  return out;
}

}  // namespace balsambay::planner::details
