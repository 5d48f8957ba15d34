// Load and latency estimates.
#include "details/load.h"

#include <algorithm>
#include <chrono>

namespace balsambay::routing {
namespace {

// A report of this age counts half as much as a fresh one.
constexpr double kHalfWeightAgeUs = 500'000;

// A full endpoint keeps this part of its weight, so that it is drawn seldom but is not lost when
// all are full.
constexpr double kFullEndpointWeight = 0.1;

// Prefill shares the engine with decoding and other prompts, which take at most about as long
// again: in the policy experiment at 80% load the median of estimated to measured first token was
// 0.60 without this and 1.43 with 2.
constexpr double kMaxPrefillSlowdown = 1;

duration FromSeconds(double seconds) {
  // Longer than any deadline; keeps the conversion in range.
  constexpr double kMaxSeconds = 1e6;
  return duration(static_cast<duration::rep>(std::min(seconds, kMaxSeconds) * 1e6));
}

double HeadLinkSeconds(const route_graph& graph, endpoint_index head) {
  if (graph.entry_zone == planner::kNoZone) return 0;
  const size_t zones = graph.topo->zones.size();
  return graph.zone_latency[graph.entry_zone * zones + graph.topo->endpoints[head].zone];
}

}  // namespace

double EstimateInFlight(const endpoint_view& view) {
  // The report includes this daemon's requests, but not those sent since.
  const int others = std::max(0, view.reported_requests - view.own_requests);
  const int reported = view.report_age == kNoReport ? 0 : others;
  const int peers = view.peer_age == kNoReport ? 0 : view.peer_requests;
  // Weights are 1 / (half weight age + age). Brought to one division and without branches, because
  // this runs for every endpoint in each choice. The age kNoReport gives a weight of practically
  // zero.
  const double report_term = kHalfWeightAgeUs + static_cast<double>(view.report_age.count());
  const double peer_term = kHalfWeightAgeUs + static_cast<double>(view.peer_age.count());
  return view.own_requests +
         (peer_term * reported + report_term * peers) / (report_term + peer_term);
}

route_estimate EstimateRoute(const route_graph& graph, std::span<const planner::stage> stages,
                             const route_request& request, int cached_tokens,
                             std::span<const endpoint_view> views) {
  if (stages.empty()) return {};
  const double entry_link = HeadLinkSeconds(graph, stages.front().endpoint);
  double first = 2 * entry_link;
  double each = 0;
  for (size_t i = 0; i < stages.size(); ++i) {
    details::stage_cost_input in = details::DescribeStage(*graph.topo, stages[i]);
    in.uncached_tokens = std::max(0, request.prompt_tokens - cached_tokens);
    in.output_tokens = request.output_tokens;
    const details::stage_cost cost =
        details::EstimateStage(in, details::MeasureLoad(views[stages[i].endpoint]));
    // Hidden states travel along the stages; the last stage's token returns to the head.
    const bool last = i + 1 == stages.size();
    const endpoint_index from = stages[i].endpoint;
    const endpoint_index to = stages[last ? 0 : i + 1].endpoint;
    const int prompt_states = last ? 0 : in.uncached_tokens;
    first += cost.wait + cost.prefill + details::LinkSeconds(*graph.topo, from, to, prompt_states);
    each += cost.step + details::LinkSeconds(*graph.topo, from, to, last ? 0 : 1);
  }
  return {.time_to_first_token = FromSeconds(first), .time_per_token = FromSeconds(each)};
}

namespace details {

endpoint_load MeasureLoad(const endpoint_view& view) {
  const double in_flight = EstimateInFlight(view);
  const double slots = std::max(1, view.max_runs);
  const double excess = std::max(0.0, in_flight + 1 - slots);
  const double usable = view.usable ? std::max(0.0, view.slow_start) : 0;
  const double room = excess > 0 ? kFullEndpointWeight : 1;
  return {.in_flight = static_cast<float>(in_flight),
          .excess = static_cast<float>(excess / slots),
          .weight = static_cast<float>(usable * room)};
}

stage_cost EstimateStage(const stage_cost_input& in, const endpoint_load& load) {
  // Each other run has one token in the pipeline, and that token is at this stage for about the
  // stage's share of the model.
  const double ahead = load.in_flight * in.model_share;
  const double step = in.seconds_per_token * (1 + ahead);
  const double wait = load.excess > 0 ? load.excess * in.output_tokens * step / in.model_share : 0;
  const double slowdown = 1 + std::min(ahead, kMaxPrefillSlowdown);
  return {.wait = wait,
          .prefill = in.uncached_tokens * in.seconds_per_prefill * slowdown,
          .step = step};
}

stage_cost_input DescribeStage(const planner::topology& topo, const planner::stage& stage) {
  const planner::planned_endpoint& e = topo.endpoints[stage.endpoint];
  const double layers = stage.layers.end - stage.layers.first;
  const double part = layers / std::max(1, e.layers.end - e.layers.first);
  return {.seconds_per_token = part / e.tokens_per_second,
          .seconds_per_prefill = part / e.prefill_tokens_per_second,
          .model_share = layers / topo.model.layers};
}

double LinkSeconds(const planner::topology& topo, endpoint_index from, endpoint_index to,
                   int tokens) {
  const planner::planned_link* link = planner::FindLink(topo, from, to);
  if (link == nullptr) return 0;
  return link->latency_us * 1e-6 + tokens / link->hidden_states_per_second;
}

}  // namespace details
}  // namespace balsambay::routing
