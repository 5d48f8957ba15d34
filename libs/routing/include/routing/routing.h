// Chooses one route for a request. Routes are assembled stage by stage over the plan's layer graph,
// so that every combination of planned stages is reachable. No I/O; the choice is deterministic for
// a generator state.
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

enum class policy {
  kRoundRobin,     // each boundary takes its stages in turn
  kLeastInFlight,  // fewest own requests
  kPowerOfTwo,     // two random stages, the one with less reported load
  kWeighted,       // draws two by planned flow, takes the earlier finish (default)
};

inline constexpr duration kNoReport = duration::max();

// What this daemon knows of one endpoint; one entry for each of topology::endpoints.
struct endpoint_view {
  bool usable = true;     // false when leaving, suspect or gone
  double slow_start = 1;  // share of its planned flow, in (0, 1]
  int max_runs = 16;
  int own_requests = 0;             // in flight from this daemon
  double own_tokens = 0;            // output tokens that they may still produce
  int reported_requests = 0;        // endpoint's own report: running and queued, from all daemons
  duration report_age = kNoReport;  // not negative
  int peer_requests = 0;            // sum over the summaries of other daemons
  duration peer_age = kNoReport;
};

struct route_request {
  int prompt_tokens = 0;
  int output_tokens = 0;                          // expected
  std::span<const prefix_hit> prefix_hits = {};   // from FindHolders
  std::span<const endpoint_index> excluded = {};  // failed for this request
};

struct route_estimate {
  duration time_to_first_token{};
  duration time_per_token{};
};

struct route_choice {
  planner::route stages;
  int cached_tokens = 0;  // prefix that every stage holds, by the table
  bool is_planned =
      true;  // false: no planned stages were left, so the route was put together from ranges
  route_estimate estimate;
};

// A planned stage with the values that a choice needs, side by side for speed.
struct graph_stage {
  planner::stage stage;
  uint32_t end_boundary = 0;  // index into route_graph::boundaries
  uint32_t zone = 0;
  float flow = 0;                 // tokens/s
  float model_share = 1;          // layers of the stage divided by layers of the model
  float seconds_per_token = 0;    // decode time for this sub-range, when alone
  float seconds_per_prefill = 0;  // per prompt token
};

struct route_graph {
  // Stages that start at a boundary are [first_stage, last_stage).
  struct boundary {
    int layer = 0;
    uint32_t first_stage = 0;
    uint32_t last_stage = 0;
    // [from * zones + to]: planned share of the zone's inflow that comes from `from`; empty at
    // layer 0.
    std::vector<float> hop_share = {};
  };
  const planner::topology* topo = nullptr;  // must outlive the graph
  uint32_t entry_zone = planner::kNoZone;
  std::vector<boundary> boundaries = {};  // ascending; the last one is the model's end
  std::vector<graph_stage> stages = {};   // by boundary
  std::vector<float> zone_latency = {};   // [from * zones + to]: seconds one way
};

// Load of one endpoint during one choice.
struct endpoint_load {
  float in_flight = 0;
  float excess = 0;  // requests beyond the batch slots, in units of the slots
  float weight = 0;  // factor on planned flow; 0 when the endpoint may not be used
};

// Graph and scratch space of one daemon and model. Build a new one for each plan.
struct router {
  route_graph graph;
  std::vector<uint32_t> next_in_turn = {};  // round robin, by boundary
  // Scratch; meaningless between calls.
  std::vector<endpoint_load> load = {};  // by endpoint
  std::vector<uint8_t> completes = {};   // by boundary: a usable way to the end exists
  std::vector<int> cached = {};          // by endpoint: tokens; zero between calls
  std::vector<float> weights = {};
  std::vector<float> stage_seconds = {};  // by graph stage: cost under present load
  // [boundary * zones + zone]: expected cost from there to the end for a route that is in `zone`.
  std::vector<float> rest_seconds = {};
};

// `entry_zone` is the daemon's own zone. An uncovered plan gives a router that refuses every
// request.
router MakeRouter(const planner::topology& topo, const planner::plan& p, uint32_t entry_zone);

// Error: kUnavailable when usable endpoints that are not excluded do not cover the model; the
// detail names the missing layers. kInvalidArgument when `views` has the wrong size. The route
// passes ValidateRoute.
result<route_choice> ChooseRoute(router& r, const route_request& request,
                                 std::span<const endpoint_view> views, policy how,
                                 random_generator& rng);

// Estimates from current load, for admission; `cached_tokens` are skipped in prefill.
route_estimate EstimateRoute(const route_graph& graph, std::span<const planner::stage> stages,
                             const route_request& request, int cached_tokens,
                             std::span<const endpoint_view> views);

// Requests in flight on an endpoint as estimated from own requests, its report and peers'
// summaries. Old reports count less.
double EstimateInFlight(const endpoint_view& view);

}  // namespace balsambay::routing
