// Queue discipline of one pool: tiers by priority, start-time fair queueing within a tier.
#include "details/flows.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "base/result.h"
#include "chart/chart.h"
#include "request_state_chart.h"

namespace balsambay::admission::details {
namespace {

constexpr std::array<std::string_view, 5> kStates = {"queued", "running", "finished", "refused",
                                                     "abandoned"};
constexpr std::array<std::string_view, 4> kEvents = {"dispatch", "refuse", "abandon", "finish"};
constexpr double kBurstCreditRequests = 10;
constexpr double kMeanCostSampleWeight = 0.05;    // of one request in tier::mean_cost
constexpr double kRecentTimeConstantSeconds = 1;  // decay of tier::recent_tokens

double DecayedRecent(const tier& tier, time_point now) {
  const double age = std::chrono::duration<double>(now - tier.recent_updated_at).count();
  return tier.recent_tokens * std::exp(-std::max(0.0, age) / kRecentTimeConstantSeconds);
}

void AddRecent(tier& tier, int64_t tokens, time_point now) {
  tier.recent_tokens = DecayedRecent(tier, now) + static_cast<double>(tokens);
  tier.recent_updated_at = std::max(now, tier.recent_updated_at);
}

// Whether the request alone exceeds the workspace's limits. Offer() refuses such requests, so this
// happens only when the limits were lowered while the request was queued.
bool ExceedsLimits(const gate& state, const tracked_request& tracked) {
  if (state.config.test_faults.no_limits) return false;
  const workspace_policy& policy = state.workspaces[tracked.workspace].policy;
  return policy.max_requests <= 0 || tracked.tokens > policy.max_tokens;
}

// Takes the flow out of the ready set until a request of the workspace finishes.
void BlockFlow(gate& state, pool& pool, uint32_t workspace) {
  Deactivate(state, pool, workspace);
  pool.flows[workspace].state = flow_state::kBlocked;
  const auto index = static_cast<uint32_t>(&pool - state.pools.data());
  state.workspaces[workspace].blocked_pools.push_back(index);
}

void Dispatch(gate& state, pool& pool, request_id id, tracked_request& tracked, time_point now) {
  flow& flow = pool.flows[tracked.workspace];
  workspace_slot& slot = state.workspaces[tracked.workspace];
  tier& tier = pool.tiers[TierPriority(state, tracked.workspace)];
  const double tag = flow.start_tag;
  tier.virtual_time = std::max(tier.virtual_time, tag);
  Deactivate(state, pool, tracked.workspace);
  Dequeue(state, id, tracked);
  const double cost = static_cast<double>(tracked.tokens) / slot.policy.share;
  tier.mean_cost += kMeanCostSampleWeight * (cost - tier.mean_cost);
  flow.start_tag = tag + cost;
  Activate(state, pool, tracked.workspace);
  AddRecent(tier, tracked.tokens, now);
  Step(tracked, request_event::kDispatch);
  tracked.dispatched_at = now;
  slot.usage.running += 1;
  slot.usage.running_tokens += tracked.tokens;
  pool.running += 1;
  pool.running_tokens += tracked.tokens;
}

tier* FirstReadyTier(pool& pool) {
  const auto it = std::ranges::find_if(
      pool.tiers, [](const auto& entry) { return !entry.second.ready.empty(); });
  return it == pool.tiers.end() ? nullptr : &it->second;
}

}  // namespace

int TierPriority(const gate& state, uint32_t workspace) {
  if (state.config.test_faults.no_strict_order) return 0;
  return state.workspaces[workspace].policy.priority;
}

bool FitsLimits(const gate& state, const tracked_request& tracked) {
  if (state.config.test_faults.no_limits) return true;
  const workspace_slot& slot = state.workspaces[tracked.workspace];
  return slot.usage.running < slot.policy.max_requests &&
         slot.usage.running_tokens + tracked.tokens <= slot.policy.max_tokens;
}

void Step(tracked_request& tracked, request_event event) {
  static const chart::table request_chart =
      chart::ParseEmbedded(charts::request_state, kStates, kEvents);
  CheckInvariant(chart::Step(request_chart, tracked.state, event),
                 "gate: request state has no transition for the event");
}

void Enqueue(gate& state, request_id id, tracked_request& tracked) {
  pool& pool = state.pools[tracked.pool];
  flow& flow = pool.flows[tracked.workspace];
  tracked.queue_position = flow.fifo.insert(flow.fifo.end(), id);
  flow.queued_tokens += tracked.tokens;
  pool.queued += 1;
  pool.tiers[TierPriority(state, tracked.workspace)].queued_tokens += tracked.tokens;
  state.workspaces[tracked.workspace].usage.queued += 1;
  state.queued += 1;
  state.latest_starts.emplace(tracked.latest_start, id);
  if (flow.state == flow_state::kIdle) Activate(state, pool, tracked.workspace);
}

void Dequeue(gate& state, request_id id, const tracked_request& tracked) {
  pool& pool = state.pools[tracked.pool];
  flow& flow = pool.flows[tracked.workspace];
  const bool was_blocked_head =
      flow.state == flow_state::kBlocked && tracked.queue_position == flow.fifo.begin();
  flow.fifo.erase(tracked.queue_position);
  flow.queued_tokens -= tracked.tokens;
  pool.queued -= 1;
  pool.tiers[TierPriority(state, tracked.workspace)].queued_tokens -= tracked.tokens;
  state.workspaces[tracked.workspace].usage.queued -= 1;
  state.queued -= 1;
  state.latest_starts.erase({tracked.latest_start, id});
  if (flow.fifo.empty() || was_blocked_head) Deactivate(state, pool, tracked.workspace);
  // The next head may be smaller and fit the limits.
  if (was_blocked_head) Activate(state, pool, tracked.workspace);
}

double StartTag(const tier& tier, const flow& flow) {
  return std::max(flow.start_tag, tier.virtual_time - kBurstCreditRequests * tier.mean_cost);
}

void Activate(gate& state, pool& pool, uint32_t workspace) {
  flow& flow = pool.flows[workspace];
  if (flow.fifo.empty() || flow.state == flow_state::kReady) return;
  tier& tier = pool.tiers[TierPriority(state, workspace)];
  flow.start_tag = StartTag(tier, flow);
  if (state.config.test_faults.no_shares) {
    flow.start_tag = static_cast<double>(flow.fifo.front());
  }
  tier.ready.emplace(flow.start_tag, workspace);
  flow.state = flow_state::kReady;
}

void Deactivate(gate& state, pool& pool, uint32_t workspace) {
  flow& flow = pool.flows[workspace];
  if (flow.state == flow_state::kReady) {
    pool.tiers[TierPriority(state, workspace)].ready.erase({flow.start_tag, workspace});
  } else if (flow.state == flow_state::kBlocked) {
    std::erase(state.workspaces[workspace].blocked_pools,
               static_cast<uint32_t>(&pool - state.pools.data()));
  }
  flow.state = flow_state::kIdle;
}

void DispatchReady(gate& state, pool& pool, time_point now, effects& decisions) {
  while (pool.running < pool.capacity.max_in_flight) {
    const tier* tier = FirstReadyTier(pool);
    if (tier == nullptr) return;
    const uint32_t workspace = tier->ready.begin()->second;
    const request_id id = pool.flows[workspace].fifo.front();
    tracked_request& tracked = state.requests.find(id)->second;
    if (now > tracked.latest_start && !state.config.test_faults.no_deadlines) {
      RefuseQueued(state, id, refusal_reason::kDeadline, state.config.min_retry_after, decisions);
    } else if (ExceedsLimits(state, tracked)) {
      RefuseQueued(state, id, refusal_reason::kWorkspaceLimit, duration(0), decisions);
    } else if (!FitsLimits(state, tracked)) {
      BlockFlow(state, pool, workspace);
    } else {
      Dispatch(state, pool, id, tracked, now);
      decisions.push_back({effect_kind::kDispatch, id});
    }
  }
}

void UnblockFlows(gate& state, uint32_t workspace, time_point now, effects& decisions) {
  const std::vector<uint32_t> blocked_pools = state.workspaces[workspace].blocked_pools;
  for (const uint32_t index : blocked_pools) {
    pool& pool = state.pools[index];
    Deactivate(state, pool, workspace);
    Activate(state, pool, workspace);
    DispatchReady(state, pool, now, decisions);
  }
}

void RefuseQueued(gate& state, request_id id, refusal_reason reason, duration retry_after,
                  effects& decisions) {
  const auto it = state.requests.find(id);
  Dequeue(state, id, it->second);
  Step(it->second, request_event::kRefuse);
  state.requests.erase(it);
  decisions.push_back({effect_kind::kRefuse, id, reason, retry_after});
}

double HigherPriorityRate(const pool& pool, int priority, time_point now) {
  double rate = 0;
  for (const auto& [tier_priority, tier] : pool.tiers) {
    if (tier_priority >= priority) break;
    rate += DecayedRecent(tier, now) / kRecentTimeConstantSeconds;
  }
  return rate;
}

}  // namespace balsambay::admission::details
