// Public functions of the gate: configuration, decisions on new requests, ends of requests, time.
#include "admission/gate.h"

#include <algorithm>

#include "base/result.h"
#include "details/estimate.h"
#include "details/flows.h"

namespace balsambay::admission {
namespace {

using details::request_event;

// --- workspaces and pools ---

void RefuseFlow(gate& state, flow& flow, refusal_reason reason, duration retry_after,
                effects& decisions) {
  while (!flow.fifo.empty()) {
    details::RefuseQueued(state, flow.fifo.front(), reason, retry_after, decisions);
  }
}

void RemoveWorkspace(gate& state, uint32_t index, effects& decisions) {
  for (pool& pool : state.pools) {
    RefuseFlow(state, pool.flows[index], refusal_reason::kUnauthorized, duration(0), decisions);
  }
  workspace_slot& slot = state.workspaces[index];
  state.workspace_index.erase(slot.policy.workspace);
  slot.removed = true;
}

// Replaces the policy of a configured workspace. Its flows may move to another tier, so they are
// deactivated first.
void ChangePolicy(gate& state, uint32_t index, const workspace_policy& policy) {
  const int old_priority = details::TierPriority(state, index);
  for (pool& pool : state.pools) {
    details::Deactivate(state, pool, index);
    pool.tiers[old_priority].queued_tokens -= pool.flows[index].queued_tokens;
  }
  state.workspaces[index].policy = policy;
  const int new_priority = details::TierPriority(state, index);
  for (pool& pool : state.pools) {
    flow& flow = pool.flows[index];
    pool.tiers[new_priority].queued_tokens += flow.queued_tokens;
    // Virtual times of different tiers cannot be compared.
    if (old_priority != new_priority) flow.start_tag = pool.tiers[new_priority].virtual_time;
    details::Activate(state, pool, index);
  }
}

// Returns the index of a free slot: one of a removed workspace without running requests, or a new
// one.
uint32_t AllocateSlot(gate& state) {
  const auto it = std::ranges::find_if(state.workspaces, [](const workspace_slot& slot) {
    return slot.removed && slot.usage.running == 0;
  });
  const auto index = static_cast<uint32_t>(it - state.workspaces.begin());
  if (it == state.workspaces.end()) state.workspaces.emplace_back();
  for (pool& pool : state.pools) {
    pool.flows.resize(state.workspaces.size());
    pool.flows[index] = flow{};
  }
  return index;
}

void AddWorkspace(gate& state, const workspace_policy& policy) {
  const uint32_t index = AllocateSlot(state);
  state.workspaces[index] = workspace_slot{};
  state.workspaces[index].policy = policy;
  state.workspace_index.emplace(policy.workspace, index);
}

// Erases tiers that no workspace uses, so that priority changes do not accumulate empty tiers.
void DropUnusedTiers(gate& state) {
  std::set<int> used;
  for (uint32_t i = 0; i < state.workspaces.size(); ++i) {
    if (!state.workspaces[i].removed) used.insert(details::TierPriority(state, i));
  }
  for (pool& pool : state.pools) {
    std::erase_if(pool.tiers, [&](const auto& entry) { return !used.contains(entry.first); });
  }
}

pool& FindOrAddPool(gate& state, std::string_view name) {
  const auto it = state.pool_index.find(name);
  if (it != state.pool_index.end()) return state.pools[it->second];
  state.pool_index.emplace(name, static_cast<uint32_t>(state.pools.size()));
  pool& added = state.pools.emplace_back();
  added.name = name;
  added.flows.resize(state.workspaces.size());
  return added;
}

const workspace_slot* FindWorkspace(const gate& state, std::string_view name) {
  const auto it = state.workspace_index.find(name);
  return it == state.workspace_index.end() ? nullptr : &state.workspaces[it->second];
}

// --- decisions on a new request ---

effect Refusal(const gate& state, request_id id, refusal_reason reason, duration retry_after) {
  const duration bounded =
      std::clamp(retry_after, state.config.min_retry_after, state.config.max_retry_after);
  return {effect_kind::kRefuse, id, reason, bounded};
}

bool HasLostCapacity(const gate& state, const pool& pool, time_point now) {
  return pool.no_capacity_since != kNever &&
         now - pool.no_capacity_since >= state.config.capacity_loss_grace;
}

// The workspace whose queue is longest relative to its share, in the lowest-priority tier that has
// queued requests. Its newest request is evicted when the gate is full, so that one workspace
// cannot fill the whole queue.
uint32_t LongestQueue(const gate& state) {
  const auto less = [](const workspace_slot& a, const workspace_slot& b) {
    const bool a_queued = a.usage.queued > 0;
    const bool b_queued = b.usage.queued > 0;
    if (a_queued != b_queued) return b_queued;
    if (a.policy.priority != b.policy.priority) return a.policy.priority < b.policy.priority;
    return a.usage.queued / a.policy.share < b.usage.queued / b.policy.share;
  };
  return static_cast<uint32_t>(std::ranges::max_element(state.workspaces, less) -
                               state.workspaces.begin());
}

// The last request of the workspace in any pool; among pools the one with the latest
// `latest_start`.
request_id NewestQueued(const gate& state, uint32_t workspace) {
  request_id newest_id = 0;
  time_point newest_start = time_point::min();
  for (const pool& pool : state.pools) {
    const flow& flow = pool.flows[workspace];
    if (flow.fifo.empty()) continue;
    const time_point latest_start = state.requests.find(flow.fifo.back())->second.latest_start;
    if (latest_start > newest_start) newest_id = flow.fifo.back();
    newest_start = std::max(newest_start, latest_start);
  }
  return newest_id;
}

// Evicts a queued request when the gate is full. Returns false when the new request of `workspace`
// must be refused instead.
bool MakeRoom(gate& state, uint32_t workspace, effects& decisions) {
  if (state.queued < state.config.max_queued) return true;
  const uint32_t victim = LongestQueue(state);
  const workspace_slot& longest = state.workspaces[victim];
  const workspace_slot& requester = state.workspaces[workspace];
  const bool has_lower_priority = requester.policy.priority > longest.policy.priority;
  const bool has_longer_queue = requester.policy.priority == longest.policy.priority &&
                                (requester.usage.queued + 1) / requester.policy.share >=
                                    longest.usage.queued / longest.policy.share;
  if (victim == workspace || has_lower_priority || has_longer_queue) return false;
  const request_id id = NewestQueued(state, victim);
  details::RefuseQueued(state, id, refusal_reason::kQueueFull, state.config.min_retry_after,
                        decisions);
  return true;
}

std::optional<effect> RefuseByState(const gate& state, const request& request) {
  if (state.draining) {
    return Refusal(state, request.id, refusal_reason::kDraining, state.config.drain_retry_after);
  }
  if (!state.workspace_index.contains(request.workspace)) {
    return effect{effect_kind::kRefuse, request.id, refusal_reason::kUnauthorized, duration(0)};
  }
  if (!state.pool_index.contains(request.pool)) {
    return Refusal(state, request.id, refusal_reason::kNoRoute, state.config.capacity_loss_grace);
  }
  return std::nullopt;
}

std::optional<effect> RefuseByDeadline(const gate& state, const pool& pool,
                                       const tracked_request& tracked, request_id id,
                                       time_point now) {
  if (state.config.test_faults.no_deadlines) return std::nullopt;
  const duration slack = tracked.latest_start - now;
  const details::wait_estimate wait = details::Estimate(
      state, pool, tracked.workspace, tracked.tokens, tracked.service_time, slack, now);
  if (wait.pool_wait <= slack && wait.limit_wait <= slack) return std::nullopt;
  const bool is_workspace_limit = wait.limit_wait > wait.pool_wait;
  const duration excess = std::max(wait.pool_wait, wait.limit_wait) - std::max(slack, duration(0));
  return Refusal(state, id,
                 is_workspace_limit ? refusal_reason::kWorkspaceLimit : refusal_reason::kDeadline,
                 excess);
}

std::optional<effect> RefuseByLimits(const gate& state, const pool& pool,
                                     const tracked_request& tracked, request_id id,
                                     time_point now) {
  const workspace_slot& slot = state.workspaces[tracked.workspace];
  const bool enforce_limits = !state.config.test_faults.no_limits;
  if (enforce_limits &&
      (tracked.tokens > slot.policy.max_tokens || slot.policy.max_requests <= 0)) {
    return effect{effect_kind::kRefuse, id, refusal_reason::kWorkspaceLimit, duration(0)};
  }
  if (HasLostCapacity(state, pool, now)) {
    return Refusal(state, id, refusal_reason::kNoRoute, state.config.capacity_loss_grace);
  }
  return RefuseByDeadline(state, pool, tracked, id, now);
}

// Whether the request would be dispatched at once; the queue bounds do not apply to it then.
bool CanDispatchNow(const gate& state, const pool& pool, const tracked_request& tracked) {
  return pool.running < pool.capacity.max_in_flight &&
         pool.flows[tracked.workspace].state == flow_state::kIdle &&
         details::FitsLimits(state, tracked);
}

std::optional<effect> RefuseByQueue(gate& state, const pool& pool, const tracked_request& tracked,
                                    request_id id, effects& decisions) {
  if (CanDispatchNow(state, pool, tracked)) return std::nullopt;
  const workspace_slot& slot = state.workspaces[tracked.workspace];
  const bool is_full = slot.usage.queued >= slot.policy.max_queue;
  if (!is_full && MakeRoom(state, tracked.workspace, decisions)) return std::nullopt;
  const double rate = details::TokenRate(pool);
  const auto queued_tokens = static_cast<double>(pool.flows[tracked.workspace].queued_tokens);
  // Time in which half of the workspace's queue drains if no other workspace uses the pool.
  const double seconds = rate > 0 ? queued_tokens / rate / 2 : 0;
  return Refusal(state, id, refusal_reason::kQueueFull,
                 duration(static_cast<duration::rep>(std::min(seconds, 3600.0) * 1e6)));
}

tracked_request MakeTrackedRequest(const gate& state, const request& request) {
  tracked_request tracked;
  tracked.workspace = state.workspace_index.find(request.workspace)->second;
  tracked.pool = state.pool_index.find(request.pool)->second;
  tracked.tokens = std::max<int64_t>(1, request.tokens);
  const double factor = state.pools[tracked.pool].service_factor;
  tracked.uncorrected_service_time = request.service_time;
  tracked.service_time = duration(
      static_cast<duration::rep>(static_cast<double>(request.service_time.count()) * factor));
  tracked.latest_start = request.deadline - tracked.service_time;
  return tracked;
}

}  // namespace

effects SetWorkspaces(gate& state, std::span<const workspace_policy> policies, time_point now) {
  effects decisions;
  std::set<std::string_view> configured;
  for (const workspace_policy& policy : policies) configured.insert(policy.workspace);
  const auto previous_index = state.workspace_index;
  for (const auto& [name, index] : previous_index) {
    if (!configured.contains(name)) RemoveWorkspace(state, index, decisions);
  }
  for (const workspace_policy& policy : policies) {
    CheckInvariant(policy.share > 0, "gate: workspace share is not positive");
    const auto it = state.workspace_index.find(policy.workspace);
    if (it == state.workspace_index.end()) {
      AddWorkspace(state, policy);
    } else {
      ChangePolicy(state, it->second, policy);
    }
  }
  DropUnusedTiers(state);
  for (pool& pool : state.pools) details::DispatchReady(state, pool, now, decisions);
  return decisions;
}

effects SetPool(gate& state, std::string_view name, const pool_capacity& capacity, time_point now) {
  effects decisions;
  pool& pool = FindOrAddPool(state, name);
  // Scales the measured rate by the change of the planned rate.
  if (pool.capacity.tokens_per_second > 0) {
    pool.measured_rate *= capacity.tokens_per_second / pool.capacity.tokens_per_second;
  }
  pool.capacity = capacity;
  pool.sample_start = kNever;
  const bool has_no_capacity = capacity.max_in_flight <= 0;
  if (has_no_capacity && pool.no_capacity_since == kNever) pool.no_capacity_since = now;
  if (!has_no_capacity) pool.no_capacity_since = kNever;
  details::DispatchReady(state, pool, now, decisions);
  return decisions;
}

effects Offer(gate& state, const request& request, time_point now) {
  CheckInvariant(!state.requests.contains(request.id), "gate: request id is already in use");
  effects decisions;
  std::optional<effect> refusal = RefuseByState(state, request);
  if (!refusal) {
    tracked_request tracked = MakeTrackedRequest(state, request);
    pool& pool = state.pools[tracked.pool];
    refusal = RefuseByLimits(state, pool, tracked, request.id, now);
    if (!refusal) refusal = RefuseByQueue(state, pool, tracked, request.id, decisions);
    if (!refusal) {
      tracked_request& stored = state.requests.emplace(request.id, tracked).first->second;
      details::Enqueue(state, request.id, stored);
      details::DispatchReady(state, pool, now, decisions);
    }
  }
  if (refusal) decisions.push_back(*refusal);
  return decisions;
}

effects Finish(gate& state, request_id id, time_point now) {
  const auto it = state.requests.find(id);
  if (it == state.requests.end() || it->second.state != request_state::kRunning) return {};
  const tracked_request tracked = it->second;
  details::Step(it->second, request_event::kFinish);
  state.requests.erase(it);
  workspace_slot& slot = state.workspaces[tracked.workspace];
  slot.usage.running -= 1;
  slot.usage.running_tokens -= tracked.tokens;
  pool& pool = state.pools[tracked.pool];
  details::MeasureRate(pool, tracked.tokens, pool.queued > 0, now);
  details::MeasureService(pool, tracked, now);
  pool.running -= 1;
  pool.running_tokens -= tracked.tokens;
  effects decisions;
  details::UnblockFlows(state, tracked.workspace, now, decisions);
  details::DispatchReady(state, pool, now, decisions);
  return decisions;
}

effects Abandon(gate& state, request_id id, time_point now) {
  const auto it = state.requests.find(id);
  if (it == state.requests.end() || it->second.state != request_state::kQueued) return {};
  details::Dequeue(state, id, it->second);
  details::Step(it->second, request_event::kAbandon);
  pool& pool = state.pools[it->second.pool];
  state.requests.erase(it);
  effects decisions;
  details::DispatchReady(state, pool, now, decisions);
  return decisions;
}

effects Tick(gate& state, time_point now) {
  effects decisions;
  while (!state.latest_starts.empty() && state.latest_starts.begin()->first <= now &&
         !state.config.test_faults.no_deadlines) {
    const request_id id = state.latest_starts.begin()->second;
    details::RefuseQueued(state, id, refusal_reason::kDeadline, state.config.min_retry_after,
                          decisions);
  }
  for (pool& pool : state.pools) {
    if (!HasLostCapacity(state, pool, now) || pool.queued == 0) continue;
    for (flow& flow : pool.flows) {
      RefuseFlow(state, flow, refusal_reason::kNoRoute, state.config.capacity_loss_grace,
                 decisions);
    }
  }
  for (pool& pool : state.pools) details::DispatchReady(state, pool, now, decisions);
  return decisions;
}

time_point NextDeadline(const gate& state) {
  const bool expires = !state.latest_starts.empty() && !state.config.test_faults.no_deadlines;
  time_point next = expires ? state.latest_starts.begin()->first : kNever;
  for (const pool& pool : state.pools) {
    if (pool.no_capacity_since == kNever || pool.queued == 0) continue;
    next = std::min(next, pool.no_capacity_since + state.config.capacity_loss_grace);
  }
  return next;
}

void BeginDrain(gate& state) { state.draining = true; }

bool IsIdle(const gate& state) { return state.requests.empty(); }

workspace_usage WorkspaceUsage(const gate& state, std::string_view workspace) {
  const workspace_slot* slot = FindWorkspace(state, workspace);
  return slot == nullptr ? workspace_usage{} : slot->usage;
}

pool_usage PoolUsage(const gate& state, std::string_view name) {
  const auto it = state.pool_index.find(name);
  if (it == state.pool_index.end()) return {};
  const pool& pool = state.pools[it->second];
  int64_t tokens = 0;
  for (const auto& [priority, tier] : pool.tiers) tokens += tier.queued_tokens;
  return {pool.running, pool.queued, tokens, details::TokenRate(pool)};
}

duration EstimateWait(const gate& state, std::string_view workspace, std::string_view name,
                      time_point now) {
  const auto workspace_it = state.workspace_index.find(workspace);
  const auto pool_it = state.pool_index.find(name);
  if (workspace_it == state.workspace_index.end() || pool_it == state.pool_index.end()) {
    return duration(0);
  }
  const details::wait_estimate wait = details::Estimate(
      state, state.pools[pool_it->second], workspace_it->second, 1, duration(0), duration(-1), now);
  return std::max(wait.pool_wait, wait.limit_wait);
}

}  // namespace balsambay::admission
