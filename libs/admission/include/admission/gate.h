// The gate: decides which request runs next, which waits and which is refused. Workspaces with a
// lower priority value go first without exception; workspaces of one priority share by weight
// (start-time fair queueing on requested tokens, with a burst credit for workspaces that were
// below their share). A request is refused as soon as it cannot finish
// by its deadline, and is never dispatched after its latest start (deadline minus service time).
//
// Requests belong to pools, which are sets of endpoints that serve the same thing (a model or a
// service). Order and shares hold within a pool; workspace limits hold across pools.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/reason.h"
#include "base/time.h"

namespace balsambay::admission {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

using request_id = uint64_t;

// Switches mechanisms off, so that tests can show that they are needed. Never set in production.
struct gate_faults {
  bool no_limits = false;
  bool no_strict_order = false;
  bool no_shares = false;  // first come, first served among all workspaces of a priority
  bool no_deadlines = false;
};

struct gate_settings {
  size_t max_queued = 20000;  // over all workspaces; bounds the memory
  duration min_retry_after = 100ms;
  duration max_retry_after = 30s;
  duration drain_retry_after = 1s;  // another entry VM takes the request
  // How long requests still queue for a pool that lost all capacity, before `no_route`. Longer than
  // it takes to change to another route, so that losing a stage does not refuse a whole queue.
  duration capacity_gap = 1s;
  gate_faults test_faults = {};
};

struct workspace_policy {
  std::string workspace;
  int priority = 0;
  double share = 1;  // > 0
  int max_requests = 1000;
  int64_t max_tokens = 10000000;
  int max_queue = 1000;
};

// From the plan. The gate corrects `tokens_per_second` by the rate that it measures while the pool
// is saturated.
struct pool_capacity {
  int max_in_flight = 0;         // requests
  double tokens_per_second = 0;  // requested tokens; 0: unknown, then only queue bounds refuse
};

struct request {
  request_id id = 0;
  std::string_view workspace;
  std::string_view pool;
  int64_t tokens = 0;   // requested output tokens; counts as at least 1
  time_point deadline;  // for the end of the answer
  // Estimate from dispatch to the end of the answer. The gate raises it by the measured ratio of
  // actual to estimated times, because a plan that promises twice the real rate would otherwise
  // cost 40% of the goodput under overload.
  duration service_time{0};
};

enum class effect_kind : uint8_t { kDispatch, kRefuse };

// `reason` and `retry_after` are set for kRefuse. A `retry_after` of 0 means that coming back
// cannot help.
struct effect {
  effect_kind kind = effect_kind::kDispatch;
  request_id id = 0;
  refusal_reason reason = refusal_reason::kDeadline;
  duration retry_after{0};
};

using effects = std::vector<effect>;

struct workspace_usage {
  int running = 0;
  int64_t running_tokens = 0;
  int queued = 0;  // over all pools
};

struct pool_usage {
  int running = 0;
  int queued = 0;
  int64_t queued_tokens = 0;
  double tokens_per_second = 0;  // the rate that estimates use
};

enum class request_state : uint8_t { kQueued, kRunning, kFinished, kRefused, kAbandoned };

enum class flow_state : uint8_t {
  kIdle,    // nothing queued
  kReady,   // in the ready set of its tier
  kParked,  // the head must wait for the workspace's own limits
};

// Private parts of the gate. Workspaces and pools are known by index inside.
struct workspace_slot {
  workspace_policy policy;
  workspace_usage usage;
  bool removed = false;  // no longer configured; the slot is reused when nothing runs
  std::vector<uint32_t> parked_pools;
};

// The queue of one workspace in one pool.
struct flow {
  std::list<request_id> fifo;
  int64_t queued_tokens = 0;
  double start_tag = 0;  // virtual start time of the head
  flow_state state = flow_state::kIdle;
};

struct tier {
  std::set<std::pair<double, uint32_t>> ready;  // (start tag, workspace)
  double virtual_time = 0;
  double mean_cost = 0;  // moving average of tokens / share over dispatched requests
  int64_t queued_tokens = 0;
  double recent_tokens = 0;  // dispatched, decaying with a time constant of 1 s
  time_point recent_at{};
};

struct pool {
  std::string name;
  pool_capacity capacity;
  std::map<int, tier> tiers;  // by priority
  std::vector<flow> flows;    // by workspace
  int running = 0;
  int64_t running_tokens = 0;
  int queued = 0;
  time_point empty_since = kNever;  // when the capacity became 0
  // Rate measurement: tokens finished since `bucket_start` while the pool was saturated.
  time_point bucket_start = kNever;
  int64_t bucket_tokens = 0;
  int bucket_count = 0;
  double measured_rate = 0;   // 0: not measured
  double service_factor = 1;  // measured over estimated service time, in [1, 4]
};

struct ticket {
  uint32_t workspace = 0;
  uint32_t pool = 0;
  request_state state = request_state::kQueued;
  int64_t tokens = 0;
  duration estimate{0};      // as passed in
  duration service_time{0};  // corrected by the pool's service factor
  time_point latest_start;
  time_point dispatched_at{};
  std::list<request_id>::iterator position;  // valid while queued
};

// Invariants: each queued ticket is in exactly one flow and in `latest_starts`; usage and pool sums
// equal the sums over tickets.
struct gate {
  gate() = default;
  explicit gate(const gate_settings& values) : config(values) {}
  gate(const gate&) = delete;
  gate& operator=(const gate&) = delete;

  gate_settings config;
  std::vector<workspace_slot> workspaces;
  std::map<std::string, uint32_t, std::less<>> workspace_index;
  std::vector<pool> pools;
  std::map<std::string, uint32_t, std::less<>> pool_index;
  std::unordered_map<request_id, ticket> tickets;
  std::set<std::pair<time_point, request_id>> latest_starts;
  size_t queued = 0;
  bool draining = false;
};

// Replaces the set of workspaces. Queued requests of removed workspaces are refused
// (`unauthorized`); running ones go on.
effects SetWorkspaces(gate& state, std::span<const workspace_policy> policies, time_point now);

// Creates a pool or changes its capacity. Capacity 0 refuses everything queued after a short time.
effects SetPool(gate& state, std::string_view pool, const pool_capacity& capacity, time_point now);

// Decides on a new request: the effects hold its dispatch or refusal, or nothing for it when it is
// queued. They can also hold refusals of other queued requests. Precondition: the id is not in use.
// Cost: O(log n), O(workspaces) when the queue may be too long for the deadline.
effects Offer(gate& state, const request& item, time_point now);

// A dispatched request ended, with whatever outcome. Unknown ids are ignored.
effects Finish(gate& state, request_id id, time_point now);

// The caller left. A queued request is dropped without an effect for it; for a running one the
// daemon cancels the run and calls Finish().
effects Abandon(gate& state, request_id id, time_point now);

// Refuses queued requests that reached their latest start, and those of pools without capacity.
effects Tick(gate& state, time_point now);

time_point NextDeadline(const gate& state);

// From now on new requests are refused (`draining`); queued ones still run.
void BeginDrain(gate& state);

// Whether nothing is queued or running.
bool IsIdle(const gate& state);

workspace_usage WorkspaceUsage(const gate& state, std::string_view workspace);
pool_usage PoolUsage(const gate& state, std::string_view pool);

// Expected time in the queue for a request of `workspace` that arrives now.
duration EstimateWait(const gate& state, std::string_view workspace, std::string_view pool,
                      time_point now);

}  // namespace balsambay::admission
