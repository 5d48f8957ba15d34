// Estimates of the load of an endpoint and of the latency of a stage or route.
#include "details/load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace balsambay::routing {
namespace {

// A report of this age has half the weight of a fresh one.
constexpr float kHalfWeightAgeUs = 500'000;

// Factor on the weight of an endpoint without a free batch slot. It is not zero, so that full
// endpoints are drawn rarely, but can still be drawn when all endpoints are full.
constexpr float kFullEndpointWeight = 0.1F;

// Estimated requests in flight. It is written without branches and with one division, because it
// runs for every endpoint in each choice. A report has the weight 1 / (kHalfWeightAgeUs + age); for
// the age kNoReport this is practically zero.
inline float InFlight(const endpoint_view& view) {
  // The report includes the requests of this daemon, except those dispatched after it.
  const int requests_of_others = std::max(0, view.reported_requests - view.own_requests);
  const int reported = view.report_age == kNoReport ? 0 : requests_of_others;
  const int peers = view.peer_summary_age == kNoReport ? 0 : view.peer_requests;
  const float report_term = kHalfWeightAgeUs + static_cast<float>(view.report_age.count());
  const float peer_term = kHalfWeightAgeUs + static_cast<float>(view.peer_summary_age.count());
  const float weighted_sum =
      peer_term * static_cast<float>(reported) + report_term * static_cast<float>(peers);
  return static_cast<float>(view.own_requests) + weighted_sum / (report_term + peer_term);
}

duration FromSeconds(double seconds) {
  // Longer than any deadline; it keeps the conversion to integer microseconds in range.
  constexpr double kMaxSeconds = 1e6;
  return duration(std::llround(std::min(seconds, kMaxSeconds) * 1e6));
}

// One-way latency between the daemon and the first endpoint of a route.
double EntryLinkSeconds(const route_graph& graph, endpoint_index first_endpoint) {
  if (graph.entry_zone == planner::kNoZone) return 0;
  const size_t zones = graph.topo->zones.size();
  return graph.zone_latency[graph.entry_zone * zones + graph.topo->endpoints[first_endpoint].zone];
}

}  // namespace

double EstimateInFlight(const endpoint_view& view) { return InFlight(view); }

route_estimate EstimateRouteLatency(const route_graph& graph,
                                    std::span<const planner::stage> stages,
                                    const route_request& request, int cached_tokens,
                                    std::span<const endpoint_view> views) {
  if (stages.empty()) return {};
  const double entry_link = EntryLinkSeconds(graph, stages.front().endpoint);
  double first_token_seconds = 2 * entry_link;
  double seconds_per_output_token = 0;
  for (size_t i = 0; i < stages.size(); ++i) {
    details::stage_cost_input input = details::DescribeStage(*graph.topo, stages[i]);
    input.uncached_tokens = std::max(0, request.prompt_tokens - cached_tokens);
    input.output_tokens = request.output_tokens;
    const details::stage_cost cost =
        details::EstimateStage(input, details::MeasureLoad(views[stages[i].endpoint]));
    // Each stage sends its hidden states to the next one. The last stage sends the new token back
    // to the first one.
    const bool is_last = i + 1 == stages.size();
    const endpoint_index sender = stages[i].endpoint;
    const endpoint_index receiver = stages[is_last ? 0 : i + 1].endpoint;
    const int prompt_states = is_last ? 0 : input.uncached_tokens;
    first_token_seconds += cost.wait + cost.prefill +
                           details::LinkSeconds(*graph.topo, sender, receiver, prompt_states);
    seconds_per_output_token +=
        cost.step + details::LinkSeconds(*graph.topo, sender, receiver, is_last ? 0 : 1);
  }
  return {.time_to_first_token = FromSeconds(first_token_seconds),
          .time_per_token = FromSeconds(seconds_per_output_token)};
}

namespace details {

endpoint_load MeasureLoad(const endpoint_view& view) {
  const float in_flight = InFlight(view);
  const auto slots = static_cast<float>(std::max(1, view.max_runs));
  const float excess = std::max(0.0F, in_flight + 1 - slots);
  const float slow_start_factor =
      view.usable ? std::max(0.0F, static_cast<float>(view.slow_start)) : 0;
  const float slot_factor = excess > 0 ? kFullEndpointWeight : 1;
  return {.in_flight = in_flight,
          .slot_excess = excess / slots,
          .weight = slow_start_factor * slot_factor};
}

void MeasureLoads(std::span<const endpoint_view> views, std::span<endpoint_load> loads) {
  std::transform(views.begin(), views.end(), loads.begin(), MeasureLoad);
}

stage_cost_input DescribeStage(const planner::topology& topo, const planner::stage& stage) {
  const planner::topology_endpoint& e = topo.endpoints[stage.endpoint];
  const double layers = stage.layers.end - stage.layers.first;
  const double range_fraction = layers / std::max(1, e.layers.end - e.layers.first);
  return {
      .decode_seconds_per_token = static_cast<float>(range_fraction / e.tokens_per_second),
      .prefill_seconds_per_token = static_cast<float>(range_fraction / e.prefill_tokens_per_second),
      .layer_fraction = static_cast<float>(layers / topo.model.layers)};
}

double LinkSeconds(const planner::topology& topo, endpoint_index sender, endpoint_index receiver,
                   int tokens) {
  const planner::topology_link* link = planner::FindLink(topo, sender, receiver);
  if (link == nullptr) return 0;
  return link->latency_us * 1e-6 + tokens / link->hidden_states_per_second;
}

}  // namespace details
}  // namespace balsambay::routing
