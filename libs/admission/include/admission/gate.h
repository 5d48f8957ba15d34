// Admission gate: decides which request is dispatched next, which waits and which is refused.
// Workspaces with a lower priority value always go first. Workspaces of equal priority share the
// capacity by weight (start-time fair queueing on requested tokens, with a burst credit for
// workspaces that were below their share). A request is refused as soon as it cannot finish by its
// deadline, and is never dispatched after its latest start (deadline minus service time).
//
// Each request belongs to a pool, the set of endpoints that serve its model or service. Order and
// shares hold within a pool; workspace limits hold across pools.
//
// The functions do no I/O and read no clock: the caller passes the time, carries out the returned
// effects, and calls Tick() at NextDeadline(). Not thread-safe.
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

// Disables single mechanisms, so that tests can show that they are needed. Not set in production.
struct gate_faults {
  bool no_limits = false;
  bool no_strict_order = false;
  bool no_shares = false;  // first come, first served among the workspaces of one priority
  bool no_deadlines = false;
};

struct gate_settings {
  size_t max_queued = 20000;  // requests of all workspaces; bounds the memory
  duration min_retry_after = 100ms;
  duration max_retry_after = 30s;
  duration drain_retry_after = 1s;  // the retry reaches another entry VM
  // How long requests still queue for a pool that lost all capacity, before they are refused with
  // `no_route`. Longer than a change to another route takes, so that the loss of a stage does not
  // refuse a whole queue.
  duration capacity_loss_grace = 1s;
  gate_faults test_faults = {};
};

struct workspace_policy {
  std::string workspace;
  int priority = 0;
  double share = 1;               // weight among the workspaces of one priority; > 0
  int max_requests = 1000;        // running at a time
  int64_t max_tokens = 10000000;  // of running requests
  int max_queue = 1000;           // queued requests, over all pools
};

// Planned capacity. The gate replaces `tokens_per_second` by the rate that it measures while the
// pool is saturated.
struct pool_capacity {
  int max_in_flight = 0;         // running requests
  double tokens_per_second = 0;  // requested tokens; 0: unknown, then only queue bounds refuse
};

struct request {
  request_id id = 0;
  std::string_view workspace;
  std::string_view pool;
  int64_t tokens = 0;   // requested output tokens; counts as at least 1
  time_point deadline;  // for the end of the response
  // Estimated time from dispatch to the end of the response. The gate multiplies it by the measured
  // ratio of actual to estimated times if that is above 1; otherwise a planned rate of twice the
  // actual rate would cost 40% of the goodput under overload.
  duration service_time{0};
};

enum class effect_kind : uint8_t { kDispatch, kRefuse };

// Decision on one request. `reason` and `retry_after` are set for kRefuse only. A `retry_after` of
// 0 means that a retry cannot succeed.
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
  double tokens_per_second = 0;  // rate used in estimates: measured, or planned
};

enum class request_state : uint8_t { kQueued, kRunning, kFinished, kRefused, kAbandoned };

enum class flow_state : uint8_t {
  kIdle,     // nothing queued
  kReady,    // in the ready set of its tier
  kBlocked,  // the head must wait for the workspace's limits
};

// Internal state of the gate, not for callers. Workspaces and pools are referred to by index.
struct workspace_slot {
  workspace_policy policy;
  workspace_usage usage;
  bool removed = false;  // no longer configured; the slot is reused once nothing runs
  std::vector<uint32_t> blocked_pools;
};

// The queue of one workspace in one pool.
struct flow {
  std::list<request_id> fifo;
  int64_t queued_tokens = 0;
  double start_tag = 0;  // virtual start time of the head
  flow_state state = flow_state::kIdle;
};

// The flows of one pool whose workspaces have the same priority.
struct tier {
  std::set<std::pair<double, uint32_t>> ready;  // (start tag, workspace)
  double virtual_time = 0;
  double mean_cost = 0;  // moving average of tokens / share over dispatched requests
  int64_t queued_tokens = 0;
  double recent_tokens = 0;  // dispatched, decaying with a time constant of 1 s
  time_point recent_updated_at{};
};

struct pool {
  std::string name;
  pool_capacity capacity;
  std::map<int, tier> tiers;  // by priority
  std::vector<flow> flows;    // by workspace
  int running = 0;
  int64_t running_tokens = 0;
  int queued = 0;
  time_point no_capacity_since = kNever;  // when the capacity became 0
  // Current rate sample: requests finished since `sample_start` (kNever: no sample) and their
  // tokens. Taken only while the pool is saturated.
  time_point sample_start = kNever;
  int64_t sample_tokens = 0;
  int sample_requests = 0;
  double measured_rate = 0;   // tokens per second; 0: not measured
  double service_factor = 1;  // measured over estimated service time, in [1, 4]
};

// A queued or running request.
struct tracked_request {
  uint32_t workspace = 0;
  uint32_t pool = 0;
  request_state state = request_state::kQueued;
  int64_t tokens = 0;
  duration uncorrected_service_time{0};  // as passed to Offer()
  duration service_time{0};              // corrected by the pool's service factor
  time_point latest_start;
  time_point dispatched_at{};
  std::list<request_id>::iterator queue_position;  // valid while queued
};

// Invariants: each queued request is in exactly one flow and in `latest_starts`; the sums in
// usages, pools, tiers and flows equal the sums over `requests`.
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
  std::unordered_map<request_id, tracked_request> requests;
  std::set<std::pair<time_point, request_id>> latest_starts;
  size_t queued = 0;
  bool draining = false;
};

// Replaces the set of workspaces. Queued requests of removed workspaces are refused with
// `unauthorized`; running ones continue.
effects SetWorkspaces(gate& state, std::span<const workspace_policy> policies, time_point now);

// Creates a pool or changes its capacity. When `max_in_flight` is 0, the queued requests of the
// pool are refused after `capacity_loss_grace`.
effects SetPool(gate& state, std::string_view pool, const pool_capacity& capacity, time_point now);

// Decides on a new request: returns its dispatch or refusal, or no effect for it when it is queued.
// The result may also hold effects for other queued requests. Precondition: the id is not in use.
// Cost: O(log n); O(workspaces) when the queue may be too long for the deadline.
effects Offer(gate& state, const request& request, time_point now);

// Reports the end of a running request, whatever its outcome. Ids of requests that are unknown or
// not running are ignored.
effects Finish(gate& state, request_id id, time_point now);

// Removes a queued request whose client disconnected, without an effect for it. Other ids are
// ignored: for a running request the daemon cancels the run and calls Finish().
effects Abandon(gate& state, request_id id, time_point now);

// Refuses queued requests that reached their latest start, and those of pools that have been
// without capacity for `capacity_loss_grace`.
effects Tick(gate& state, time_point now);

// When Tick() has to be called next; kNever when no deadline is pending.
time_point NextDeadline(const gate& state);

// From now on new requests are refused with `draining`; queued ones are still dispatched.
void BeginDrain(gate& state);

// Whether no request is queued or running.
bool IsIdle(const gate& state);

// Usage of a workspace or pool; all zero for an unknown name.
workspace_usage WorkspaceUsage(const gate& state, std::string_view workspace);
pool_usage PoolUsage(const gate& state, std::string_view pool);

// Expected time in the queue for a request of `workspace` that arrives now; 0 for unknown names.
duration EstimateWait(const gate& state, std::string_view workspace, std::string_view pool,
                      time_point now);

}  // namespace balsambay::admission
