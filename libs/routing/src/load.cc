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

double AgeWeight(duration age) {
  if (age == kNoReport) return 0;
  const auto us = std::max(0.0, static_cast<double>(age.count()));
  return kHalfWeightAgeUs / (kHalfWeightAgeUs + us);
}

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
  const double report_weight = AgeWeight(view.report_age);
  const double peer_weight = AgeWeight(view.peer_age);
  const double total = report_weight + peer_weight;
  if (total <= 0) return view.own_requests;
  // The report includes this daemon's requests, but not those sent since.
  const double others = std::max(0, view.reported_requests - view.own_requests);
  return view.own_requests + (report_weight * others + peer_weight * view.peer_requests) / total;
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
  const bool usable = view.usable && view.slow_start > 0;
  const double weight = usable ? view.slow_start * (excess > 0 ? kFullEndpointWeight : 1) : 0;
  return {.in_flight = static_cast<float>(in_flight),
          .excess = static_cast<float>(excess / slots),
          .weight = static_cast<float>(weight)};
}

stage_cost EstimateStage(const stage_cost_input& in, const endpoint_load& load) {
  // Each other run has one token in the pipeline, and that token is at this stage for about the
  // stage's share of the model.
  const double step = in.seconds_per_token * (1 + load.in_flight * in.model_share);
  const double wait = load.excess > 0 ? load.excess * in.output_tokens * step / in.model_share : 0;
  return {.wait = wait, .prefill = in.uncached_tokens * in.seconds_per_prefill, .step = step};
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
