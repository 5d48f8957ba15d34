// Entry points of the gate.
#include "admission/gate.h"

#include <algorithm>

#include "base/result.h"
#include "details/estimate.h"
#include "details/flows.h"

namespace balsambay::admission {
namespace {

using details::request_event;

// --- workspaces and pools ---

void RefuseFlow(gate& state, flow& queue, refusal_reason reason, duration retry_after,
                effects& out) {
  while (!queue.fifo.empty()) {
    details::RefuseQueued(state, queue.fifo.front(), reason, retry_after, out);
  }
}

void RemoveWorkspace(gate& state, uint32_t index, effects& out) {
  for (pool& where : state.pools) {
    RefuseFlow(state, where.flows[index], refusal_reason::kUnauthorized, duration(0), out);
  }
  workspace_slot& slot = state.workspaces[index];
  state.workspace_index.erase(slot.policy.workspace);
  slot.removed = true;
}

// Changes policy values of a known workspace. Its flows change tier, so they are taken out first.
void ChangePolicy(gate& state, uint32_t index, const workspace_policy& policy) {
  const int before = details::TierOf(state, index);
  for (pool& where : state.pools) {
    details::Deactivate(state, where, index);
    where.tiers[before].queued_tokens -= where.flows[index].queued_tokens;
  }
  state.workspaces[index].policy = policy;
  const int after = details::TierOf(state, index);
  for (pool& where : state.pools) {
    flow& own = where.flows[index];
    where.tiers[after].queued_tokens += own.queued_tokens;
    // Virtual times of different tiers cannot be compared.
    if (before != after) own.start_tag = where.tiers[after].virtual_time;
    details::Activate(state, where, index);
  }
}

uint32_t FreeSlot(gate& state) {
  const auto it = std::ranges::find_if(state.workspaces, [](const workspace_slot& slot) {
    return slot.removed && slot.usage.running == 0;
  });
  const auto index = static_cast<uint32_t>(it - state.workspaces.begin());
  if (it == state.workspaces.end()) state.workspaces.emplace_back();
  for (pool& where : state.pools) {
    where.flows.resize(state.workspaces.size());
    where.flows[index] = flow{};
  }
  return index;
}

void AddWorkspace(gate& state, const workspace_policy& policy) {
  const uint32_t index = FreeSlot(state);
  state.workspaces[index] = workspace_slot{};
  state.workspaces[index].policy = policy;
  state.workspace_index.emplace(policy.workspace, index);
}

// Drops tiers that no workspace uses, so that changing priorities leaves nothing behind.
void DropUnusedTiers(gate& state) {
  std::set<int> used;
  for (uint32_t i = 0; i < state.workspaces.size(); ++i) {
    if (!state.workspaces[i].removed) used.insert(details::TierOf(state, i));
  }
  for (pool& where : state.pools) {
    std::erase_if(where.tiers, [&](const auto& entry) { return !used.contains(entry.first); });
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

bool HasLostCapacity(const gate& state, const pool& where, time_point now) {
  return where.empty_since != kNever && now - where.empty_since >= state.config.capacity_gap;
}

// The workspace whose queue is longest relative to its share, in the last tier that has a queue.
// Its newest request makes room for others, so that one workspace cannot fill the whole queue.
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

request_id NewestQueued(const gate& state, uint32_t workspace) {
  request_id newest = 0;
  time_point latest = time_point::min();
  for (const pool& where : state.pools) {
    const flow& queue = where.flows[workspace];
    if (queue.fifo.empty()) continue;
    const time_point start = state.tickets.find(queue.fifo.back())->second.latest_start;
    if (start > latest) newest = queue.fifo.back();
    latest = std::max(latest, start);
  }
  return newest;
}

// Makes room in a full gate. Returns false when the new request itself has to go.
bool MakeRoom(gate& state, uint32_t workspace, effects& out) {
  if (state.queued < state.config.max_queued) return true;
  const uint32_t victim = LongestQueue(state);
  const workspace_slot& longest = state.workspaces[victim];
  const workspace_slot& own = state.workspaces[workspace];
  const bool lower = own.policy.priority > longest.policy.priority;
  const bool longer =
      own.policy.priority == longest.policy.priority &&
      (own.usage.queued + 1) / own.policy.share >= longest.usage.queued / longest.policy.share;
  if (victim == workspace || lower || longer) return false;
  const request_id id = NewestQueued(state, victim);
  details::RefuseQueued(state, id, refusal_reason::kQueueFull, state.config.min_retry_after, out);
  return true;
}

std::optional<effect> RefuseByState(const gate& state, const request& item) {
  if (state.draining) {
    return Refusal(state, item.id, refusal_reason::kDraining, state.config.drain_retry_after);
  }
  if (!state.workspace_index.contains(item.workspace)) {
    return effect{effect_kind::kRefuse, item.id, refusal_reason::kUnauthorized, duration(0)};
  }
  if (!state.pool_index.contains(item.pool)) {
    return Refusal(state, item.id, refusal_reason::kNoRoute, state.config.capacity_gap);
  }
  return std::nullopt;
}

std::optional<effect> RefuseByTime(const gate& state, const pool& where, const ticket& item,
                                   request_id id, time_point now) {
  if (state.config.test_faults.no_deadlines) return std::nullopt;
  const duration slack = item.latest_start - now;
  const details::wait_estimate wait =
      details::Estimate(state, where, item.workspace, item.tokens, item.service_time, slack, now);
  if (wait.by_pool <= slack && wait.by_limit <= slack) return std::nullopt;
  const bool own_limit = wait.by_limit > wait.by_pool;
  const duration excess = std::max(wait.by_pool, wait.by_limit) - std::max(slack, duration(0));
  return Refusal(state, id, own_limit ? refusal_reason::kWorkspaceLimit : refusal_reason::kDeadline,
                 excess);
}

std::optional<effect> RefuseByBounds(const gate& state, const pool& where, const ticket& item,
                                     request_id id, time_point now) {
  const workspace_slot& slot = state.workspaces[item.workspace];
  const bool limited = !state.config.test_faults.no_limits;
  if (limited && (item.tokens > slot.policy.max_tokens || slot.policy.max_requests <= 0)) {
    return effect{effect_kind::kRefuse, id, refusal_reason::kWorkspaceLimit, duration(0)};
  }
  if (HasLostCapacity(state, where, now)) {
    return Refusal(state, id, refusal_reason::kNoRoute, state.config.capacity_gap);
  }
  return RefuseByTime(state, where, item, id, now);
}

// Whether the request would run at once; then the queue bound does not matter.
bool RunsAtOnce(const gate& state, const pool& where, const ticket& item) {
  return where.running < where.capacity.max_in_flight &&
         where.flows[item.workspace].state == flow_state::kIdle && details::FitsLimits(state, item);
}

std::optional<effect> RefuseByQueue(gate& state, const pool& where, const ticket& item,
                                    request_id id, effects& out) {
  if (RunsAtOnce(state, where, item)) return std::nullopt;
  const workspace_slot& slot = state.workspaces[item.workspace];
  const bool full = slot.usage.queued >= slot.policy.max_queue;
  if (!full && MakeRoom(state, item.workspace, out)) return std::nullopt;
  const double rate = details::RateOf(where);
  const auto queued = static_cast<double>(where.flows[item.workspace].queued_tokens);
  // Half of the workspace's queue has drained by then, if it had the pool for itself.
  const double seconds = rate > 0 ? queued / rate / 2 : 0;
  return Refusal(state, id, refusal_reason::kQueueFull,
                 duration(static_cast<duration::rep>(std::min(seconds, 3600.0) * 1e6)));
}

ticket MakeTicket(const gate& state, const request& item) {
  ticket made;
  made.workspace = state.workspace_index.find(item.workspace)->second;
  made.pool = state.pool_index.find(item.pool)->second;
  made.tokens = std::max<int64_t>(1, item.tokens);
  const double factor = state.pools[made.pool].service_factor;
  made.estimate = item.service_time;
  made.service_time =
      duration(static_cast<duration::rep>(static_cast<double>(item.service_time.count()) * factor));
  made.latest_start = item.deadline - made.service_time;
  return made;
}

}  // namespace

effects SetWorkspaces(gate& state, std::span<const workspace_policy> policies, time_point now) {
  effects out;
  std::set<std::string_view> wanted;
  for (const workspace_policy& policy : policies) wanted.insert(policy.workspace);
  const auto known = state.workspace_index;
  for (const auto& [name, index] : known) {
    if (!wanted.contains(name)) RemoveWorkspace(state, index, out);
  }
  for (const workspace_policy& policy : policies) {
    CheckInvariant(policy.share > 0, "gate: the share of a workspace must be positive");
    const auto it = state.workspace_index.find(policy.workspace);
    if (it == state.workspace_index.end()) {
      AddWorkspace(state, policy);
    } else {
      ChangePolicy(state, it->second, policy);
    }
  }
  DropUnusedTiers(state);
  for (pool& where : state.pools) details::Pump(state, where, now, out);
  return out;
}

effects SetPool(gate& state, std::string_view name, const pool_capacity& capacity, time_point now) {
  effects out;
  pool& where = FindOrAddPool(state, name);
  // A new plan invalidates the measurement in proportion.
  if (where.capacity.tokens_per_second > 0) {
    where.measured_rate *= capacity.tokens_per_second / where.capacity.tokens_per_second;
  }
  where.capacity = capacity;
  where.bucket_start = kNever;
  const bool empty = capacity.max_in_flight <= 0;
  if (empty && where.empty_since == kNever) where.empty_since = now;
  if (!empty) where.empty_since = kNever;
  details::Pump(state, where, now, out);
  return out;
}

effects Offer(gate& state, const request& item, time_point now) {
  CheckInvariant(!state.tickets.contains(item.id), "gate: the request id is in use");
  effects out;
  std::optional<effect> refusal = RefuseByState(state, item);
  if (!refusal) {
    ticket made = MakeTicket(state, item);
    pool& where = state.pools[made.pool];
    refusal = RefuseByBounds(state, where, made, item.id, now);
    if (!refusal) refusal = RefuseByQueue(state, where, made, item.id, out);
    if (!refusal) {
      ticket& kept = state.tickets.emplace(item.id, made).first->second;
      details::Enqueue(state, item.id, kept);
      details::Pump(state, where, now, out);
    }
  }
  if (refusal) out.push_back(*refusal);
  return out;
}

effects Finish(gate& state, request_id id, time_point now) {
  const auto entry = state.tickets.find(id);
  if (entry == state.tickets.end() || entry->second.state != request_state::kRunning) return {};
  const ticket item = entry->second;
  details::Step(entry->second, request_event::kFinish);
  state.tickets.erase(entry);
  workspace_slot& slot = state.workspaces[item.workspace];
  slot.usage.running -= 1;
  slot.usage.running_tokens -= item.tokens;
  pool& where = state.pools[item.pool];
  details::MeasureRate(where, item.tokens, where.queued > 0, now);
  details::MeasureService(where, item, now);
  where.running -= 1;
  where.running_tokens -= item.tokens;
  effects out;
  details::Unpark(state, item.workspace, now, out);
  details::Pump(state, where, now, out);
  return out;
}

effects Abandon(gate& state, request_id id, time_point now) {
  const auto entry = state.tickets.find(id);
  if (entry == state.tickets.end() || entry->second.state != request_state::kQueued) return {};
  details::Dequeue(state, id, entry->second);
  details::Step(entry->second, request_event::kAbandon);
  pool& where = state.pools[entry->second.pool];
  state.tickets.erase(entry);
  effects out;
  details::Pump(state, where, now, out);
  return out;
}

effects Tick(gate& state, time_point now) {
  effects out;
  while (!state.latest_starts.empty() && state.latest_starts.begin()->first <= now &&
         !state.config.test_faults.no_deadlines) {
    const request_id id = state.latest_starts.begin()->second;
    details::RefuseQueued(state, id, refusal_reason::kDeadline, state.config.min_retry_after, out);
  }
  for (pool& where : state.pools) {
    if (!HasLostCapacity(state, where, now) || where.queued == 0) continue;
    for (flow& queue : where.flows) {
      RefuseFlow(state, queue, refusal_reason::kNoRoute, state.config.capacity_gap, out);
    }
  }
  for (pool& where : state.pools) details::Pump(state, where, now, out);
  return out;
}

time_point NextDeadline(const gate& state) {
  const bool expires = !state.latest_starts.empty() && !state.config.test_faults.no_deadlines;
  time_point next = expires ? state.latest_starts.begin()->first : kNever;
  for (const pool& where : state.pools) {
    if (where.empty_since == kNever || where.queued == 0) continue;
    next = std::min(next, where.empty_since + state.config.capacity_gap);
  }
  return next;
}

void BeginDrain(gate& state) { state.draining = true; }

bool IsIdle(const gate& state) { return state.tickets.empty(); }

workspace_usage WorkspaceUsage(const gate& state, std::string_view workspace) {
  const workspace_slot* slot = FindWorkspace(state, workspace);
  return slot == nullptr ? workspace_usage{} : slot->usage;
}

pool_usage PoolUsage(const gate& state, std::string_view name) {
  const auto it = state.pool_index.find(name);
  if (it == state.pool_index.end()) return {};
  const pool& where = state.pools[it->second];
  int64_t tokens = 0;
  for (const auto& [level, values] : where.tiers) tokens += values.queued_tokens;
  return {where.running, where.queued, tokens, details::RateOf(where)};
}

duration EstimateWait(const gate& state, std::string_view workspace, std::string_view name,
                      time_point now) {
  const auto slot = state.workspace_index.find(workspace);
  const auto where = state.pool_index.find(name);
  if (slot == state.workspace_index.end() || where == state.pool_index.end()) return duration(0);
  const details::wait_estimate wait = details::Estimate(
      state, state.pools[where->second], slot->second, 1, duration(0), duration(-1), now);
  return std::max(wait.by_pool, wait.by_limit);
}

}  // namespace balsambay::admission
