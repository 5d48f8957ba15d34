// Chooses the route of a request: the endpoints that run the model's layers one after the other. A
// route is assembled stage by stage over the layer graph of the plan, so that every combination of
// planned stages is reachable. The library does no I/O, and a choice is deterministic for a given
// state of the random generator. Nothing here is synchronized; a router is used by one thread at a
// time.
#pragma once

#include <span>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "planner/planner.h"
#include "planner/route.h"
#include "routing/prefix_table.h"

namespace balsambay::routing {

using planner::endpoint_index;

// Selection of the stage at each layer boundary.
enum class routing_policy {
  kRoundRobin,     // cycles through the stages of each layer boundary
  kLeastInFlight,  // takes the stage with the fewest requests in flight from this daemon
  kPowerOfTwo,     // draws two stages at random and takes the one with less estimated load
  // Default. Draws two stages by planned flow and takes the one with the lower estimated cost.
  kWeighted,
};

// Age of a report that was never received.
inline constexpr duration kNoReport = duration::max();

// State and load of one endpoint as known to this daemon. Views are indexed like
// topology::endpoints.
struct endpoint_view {
  bool usable = true;     // false when leaving, ejected as suspect, or gone
  double slow_start = 1;  // fraction of the planned flow that it may take, in (0, 1]
  int max_runs = 16;
  int own_requests = 0;             // in flight from this daemon
  double own_tokens = 0;            // output tokens that own_requests may still produce
  int reported_requests = 0;        // reported by the endpoint: running and queued, of all daemons
  duration report_age = kNoReport;  // not negative
  int peer_requests = 0;            // in flight from other daemons, summed over their summaries
  duration peer_summary_age = kNoReport;  // age of these summaries; not negative
};

struct route_request {
  int prompt_tokens = 0;
  int output_tokens = 0;                          // expected number
  std::span<const prefix_hit> prefix_hits = {};   // from FindPrefixHolders
  std::span<const endpoint_index> excluded = {};  // endpoints that failed for this request
};

struct route_estimate {
  duration time_to_first_token{};
  duration time_per_token{};
};

struct route_choice {
  planner::route stages;
  // Length of the prefix that every stage holds according to the prefix hits of the request.
  int cached_tokens = 0;
  // False when no usable planned stages led to the last layer, so that the route was assembled from
  // the layer ranges that the endpoints hold.
  bool is_planned = true;
  route_estimate estimate;
};

// A planned stage with a copy of all values that a choice reads for it, adjacent in memory for
// speed.
struct graph_stage {
  planner::stage stage;
  uint32_t end_boundary = 0;            // index into route_graph::boundaries
  uint32_t zone = 0;                    // index into topology::zones
  float planned_flow = 0;               // tokens/s
  float layer_fraction = 1;             // layers of the stage divided by layers of the model
  float decode_seconds_per_token = 0;   // time of one output token on an idle endpoint
  float prefill_seconds_per_token = 0;  // time of one prompt token on an idle endpoint
};

// Graph of the planned stages. Its nodes are the layer boundaries, and each stage is an edge from
// the boundary of its first layer to that of its end layer.
struct route_graph {
  // The stages that start at this layer are [first_stage, end_stage) of `stages`.
  struct boundary {
    int layer = 0;
    uint32_t first_stage = 0;
    uint32_t end_stage = 0;
    // [from * zones + to]: fraction of the planned flow into zone `to` that comes from zone `from`;
    // empty at layer 0.
    std::vector<float> inflow_share = {};
  };
  const planner::topology* topo = nullptr;  // must outlive the graph
  uint32_t entry_zone = planner::kNoZone;
  // Ascending by layer; the last one is the end of the model.
  std::vector<boundary> boundaries = {};
  std::vector<graph_stage> stages = {};  // sorted by first layer
  std::vector<float> zone_latency = {};  // [from * zones + to]: one-way latency in seconds
};

// Estimated load of one endpoint during one choice.
struct endpoint_load {
  float in_flight = 0;    // requests
  float slot_excess = 0;  // requests beyond the batch slots, divided by the number of slots
  float weight = 0;       // factor on the planned flow; 0 when the endpoint must not be used
};

// Layer graph and scratch space for one daemon and model. Each plan needs a new router.
struct router {
  route_graph graph;
  std::vector<uint32_t> next_round_robin = {};  // by boundary: counter of kRoundRobin
  // Scratch space of ChooseRoute. Its contents have no meaning between calls, except that
  // cached_tokens must be zero.
  std::vector<endpoint_load> load = {};   // by endpoint
  std::vector<uint8_t> reaches_end = {};  // by boundary: usable stages lead to the last layer
  std::vector<int> cached_tokens = {};    // by endpoint; zero between calls
  std::vector<float> weights = {};        // of the candidates of one draw
  std::vector<float> stage_seconds = {};  // by graph stage: cost under the present load
  // [boundary * zones + zone]: expected cost in seconds from the boundary to the end of the model
  // for a route whose last stage is in `zone`.
  std::vector<float> remaining_seconds = {};
};

// `entry_zone` is the zone of the daemon, as index into topology::zones, or planner::kNoZone. The
// topology must outlive the router. A plan with uncovered layers has no stages: its router
// assembles every route from layer ranges, and refuses requests while the usable endpoints do not
// cover the model.
router MakeRouter(const planner::topology& topo, const planner::plan& plan, uint32_t entry_zone);

// Returns a route that passes ValidateRoute. Errors: kUnavailable when the usable endpoints that
// are not excluded do not cover the model, with the missing layers in the detail; kInvalidArgument
// when `views` does not have one entry for each endpoint of the topology.
result<route_choice> ChooseRoute(router& r, const route_request& request,
                                 std::span<const endpoint_view> views,
                                 routing_policy selection_policy, random_generator& rng);

// Estimates the latency of a request on the given stages under the current load, for admission.
// Prefill skips the first `cached_tokens` of the prompt.
route_estimate EstimateRouteLatency(const route_graph& graph,
                                    std::span<const planner::stage> stages,
                                    const route_request& request, int cached_tokens,
                                    std::span<const endpoint_view> views);

// Estimates the requests in flight on an endpoint from the requests of this daemon, the report of
// the endpoint and the summaries of the other daemons. Older reports have less weight.
double EstimateInFlight(const endpoint_view& view);

}  // namespace balsambay::routing
