// Load and latency estimates.
#include "details/load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace balsambay::routing {
namespace {

// A report of this age counts half as much as a fresh one.
constexpr float kHalfWeightAgeUs = 500'000;

// A full endpoint keeps this part of its weight, so that it is drawn seldom but is not lost when
// all are full.
constexpr float kFullEndpointWeight = 0.1F;

// Free of branches and with one division, because it runs for every endpoint in each choice.
// Reports weigh 1 / (half weight age + age); the age kNoReport gives a weight of practically zero.
inline float InFlight(const endpoint_view& view) {
  // The report includes this daemon's requests, but not those sent since.
  const int others = std::max(0, view.reported_requests - view.own_requests);
  const int reported = view.report_age == kNoReport ? 0 : others;
  const int peers = view.peer_age == kNoReport ? 0 : view.peer_requests;
  const float report_term = kHalfWeightAgeUs + static_cast<float>(view.report_age.count());
  const float peer_term = kHalfWeightAgeUs + static_cast<float>(view.peer_age.count());
  const float both =
      peer_term * static_cast<float>(reported) + report_term * static_cast<float>(peers);
  return static_cast<float>(view.own_requests) + both / (report_term + peer_term);
}

duration FromSeconds(double seconds) {
  // Longer than any deadline; keeps the conversion in range.
  constexpr double kMaxSeconds = 1e6;
  return duration(std::llround(std::min(seconds, kMaxSeconds) * 1e6));
}

double HeadLinkSeconds(const route_graph& graph, endpoint_index head) {
  if (graph.entry_zone == planner::kNoZone) return 0;
  const size_t zones = graph.topo->zones.size();
  return graph.zone_latency[graph.entry_zone * zones + graph.topo->endpoints[head].zone];
}

}  // namespace

double EstimateInFlight(const endpoint_view& view) { return InFlight(view); }

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
  const float in_flight = InFlight(view);
  const auto slots = static_cast<float>(std::max(1, view.max_runs));
  const float excess = std::max(0.0F, in_flight + 1 - slots);
  const float usable = view.usable ? std::max(0.0F, static_cast<float>(view.slow_start)) : 0;
  const float room = excess > 0 ? kFullEndpointWeight : 1;
  return {.in_flight = in_flight, .excess = excess / slots, .weight = usable * room};
}

void MeasureLoads(std::span<const endpoint_view> views, std::span<endpoint_load> loads) {
  std::transform(views.begin(), views.end(), loads.begin(), MeasureLoad);
}

stage_cost_input DescribeStage(const planner::topology& topo, const planner::stage& stage) {
  const planner::planned_endpoint& e = topo.endpoints[stage.endpoint];
  const double layers = stage.layers.end - stage.layers.first;
  const double part = layers / std::max(1, e.layers.end - e.layers.first);
  return {.seconds_per_token = static_cast<float>(part / e.tokens_per_second),
          .seconds_per_prefill = static_cast<float>(part / e.prefill_tokens_per_second),
          .model_share = static_cast<float>(layers / topo.model.layers)};
}

double LinkSeconds(const planner::topology& topo, endpoint_index from, endpoint_index to,
                   int tokens) {
  const planner::planned_link* link = planner::FindLink(topo, from, to);
  if (link == nullptr) return 0;
  return link->latency_us * 1e-6 + tokens / link->hidden_states_per_second;
}

}  // namespace details
}  // namespace balsambay::routing
