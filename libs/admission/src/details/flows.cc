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
constexpr double kBurstRequests = 10;
constexpr double kMeanCostWeight = 0.05;  // of one request in tier::mean_cost
constexpr double kRecentSeconds = 1;      // time constant of tier::recent_tokens

double DecayedRecent(const tier& level, time_point now) {
  const double age = std::chrono::duration<double>(now - level.recent_at).count();
  return level.recent_tokens * std::exp(-std::max(0.0, age) / kRecentSeconds);
}

void AddRecent(tier& level, int64_t tokens, time_point now) {
  level.recent_tokens = DecayedRecent(level, now) + static_cast<double>(tokens);
  level.recent_at = std::max(now, level.recent_at);
}

// A request that was queued before its workspace's limits were lowered below its own size.
bool CanNeverFit(const gate& state, const ticket& item) {
  if (state.config.test_faults.no_limits) return false;
  const workspace_policy& policy = state.workspaces[item.workspace].policy;
  return policy.max_requests <= 0 || item.tokens > policy.max_tokens;
}

void Park(gate& state, pool& where, uint32_t workspace) {
  Deactivate(state, where, workspace);
  where.flows[workspace].state = flow_state::kParked;
  const auto index = static_cast<uint32_t>(&where - state.pools.data());
  state.workspaces[workspace].parked_pools.push_back(index);
}

void Dispatch(gate& state, pool& where, request_id id, ticket& item, time_point now) {
  flow& own = where.flows[item.workspace];
  workspace_slot& slot = state.workspaces[item.workspace];
  tier& level = where.tiers[TierOf(state, item.workspace)];
  const double tag = own.start_tag;
  level.virtual_time = std::max(level.virtual_time, tag);
  Deactivate(state, where, item.workspace);
  Dequeue(state, id, item);
  const double cost = static_cast<double>(item.tokens) / slot.policy.share;
  level.mean_cost += kMeanCostWeight * (cost - level.mean_cost);
  own.start_tag = tag + cost;
  Activate(state, where, item.workspace);
  AddRecent(level, item.tokens, now);
  Step(item, request_event::kDispatch);
  item.dispatched_at = now;
  slot.usage.running += 1;
  slot.usage.running_tokens += item.tokens;
  where.running += 1;
  where.running_tokens += item.tokens;
}

tier* FirstReadyTier(pool& where) {
  const auto it = std::ranges::find_if(
      where.tiers, [](const auto& entry) { return !entry.second.ready.empty(); });
  return it == where.tiers.end() ? nullptr : &it->second;
}

}  // namespace

int TierOf(const gate& state, uint32_t workspace) {
  if (state.config.test_faults.no_strict_order) return 0;
  return state.workspaces[workspace].policy.priority;
}

bool FitsLimits(const gate& state, const ticket& item) {
  if (state.config.test_faults.no_limits) return true;
  const workspace_slot& slot = state.workspaces[item.workspace];
  return slot.usage.running < slot.policy.max_requests &&
         slot.usage.running_tokens + item.tokens <= slot.policy.max_tokens;
}

void Step(ticket& item, request_event event) {
  static const chart::table request_chart =
      chart::ParseEmbedded(charts::request_state, kStates, kEvents);
  CheckInvariant(chart::Step(request_chart, item.state, event),
                 "gate: request state has no transition for the event");
}

void Enqueue(gate& state, request_id id, ticket& item) {
  pool& where = state.pools[item.pool];
  flow& own = where.flows[item.workspace];
  item.position = own.fifo.insert(own.fifo.end(), id);
  own.queued_tokens += item.tokens;
  where.queued += 1;
  where.tiers[TierOf(state, item.workspace)].queued_tokens += item.tokens;
  state.workspaces[item.workspace].usage.queued += 1;
  state.queued += 1;
  state.latest_starts.emplace(item.latest_start, id);
  if (own.state == flow_state::kIdle) Activate(state, where, item.workspace);
}

void Dequeue(gate& state, request_id id, const ticket& item) {
  pool& where = state.pools[item.pool];
  flow& own = where.flows[item.workspace];
  const bool was_parked_head =
      own.state == flow_state::kParked && item.position == own.fifo.begin();
  own.fifo.erase(item.position);
  own.queued_tokens -= item.tokens;
  where.queued -= 1;
  where.tiers[TierOf(state, item.workspace)].queued_tokens -= item.tokens;
  state.workspaces[item.workspace].usage.queued -= 1;
  state.queued -= 1;
  state.latest_starts.erase({item.latest_start, id});
  if (own.fifo.empty() || was_parked_head) Deactivate(state, where, item.workspace);
  // The next head may be smaller and fit the limits.
  if (was_parked_head) Activate(state, where, item.workspace);
}

double StartTag(const tier& level, const flow& own) {
  return std::max(own.start_tag, level.virtual_time - kBurstRequests * level.mean_cost);
}

void Activate(gate& state, pool& where, uint32_t workspace) {
  flow& own = where.flows[workspace];
  if (own.fifo.empty() || own.state == flow_state::kReady) return;
  tier& level = where.tiers[TierOf(state, workspace)];
  own.start_tag = StartTag(level, own);
  if (state.config.test_faults.no_shares) {
    own.start_tag = static_cast<double>(own.fifo.front());
  }
  level.ready.emplace(own.start_tag, workspace);
  own.state = flow_state::kReady;
}

void Deactivate(gate& state, pool& where, uint32_t workspace) {
  flow& own = where.flows[workspace];
  if (own.state == flow_state::kReady) {
    where.tiers[TierOf(state, workspace)].ready.erase({own.start_tag, workspace});
  } else if (own.state == flow_state::kParked) {
    std::erase(state.workspaces[workspace].parked_pools,
               static_cast<uint32_t>(&where - state.pools.data()));
  }
  own.state = flow_state::kIdle;
}

void Pump(gate& state, pool& where, time_point now, effects& out) {
  while (where.running < where.capacity.max_in_flight) {
    const tier* level = FirstReadyTier(where);
    if (level == nullptr) return;
    const uint32_t workspace = level->ready.begin()->second;
    const request_id id = where.flows[workspace].fifo.front();
    ticket& item = state.tickets.find(id)->second;
    if (now > item.latest_start && !state.config.test_faults.no_deadlines) {
      RefuseQueued(state, id, refusal_reason::kDeadline, state.config.min_retry_after, out);
    } else if (CanNeverFit(state, item)) {
      RefuseQueued(state, id, refusal_reason::kWorkspaceLimit, duration(0), out);
    } else if (!FitsLimits(state, item)) {
      Park(state, where, workspace);
    } else {
      Dispatch(state, where, id, item, now);
      out.push_back({effect_kind::kDispatch, id});
    }
  }
}

void Unpark(gate& state, uint32_t workspace, time_point now, effects& out) {
  const std::vector<uint32_t> parked = state.workspaces[workspace].parked_pools;
  for (const uint32_t index : parked) {
    pool& where = state.pools[index];
    Deactivate(state, where, workspace);
    Activate(state, where, workspace);
    Pump(state, where, now, out);
  }
}

void RefuseQueued(gate& state, request_id id, refusal_reason reason, duration retry_after,
                  effects& out) {
  const auto entry = state.tickets.find(id);
  Dequeue(state, id, entry->second);
  Step(entry->second, request_event::kRefuse);
  state.tickets.erase(entry);
  out.push_back({effect_kind::kRefuse, id, reason, retry_after});
}

double RateAbove(const pool& where, int priority, time_point now) {
  double rate = 0;
  for (const auto& [level, values] : where.tiers) {
    if (level >= priority) break;
    rate += DecayedRecent(values, now) / kRecentSeconds;
  }
  return rate;
}

}  // namespace balsambay::admission::details
