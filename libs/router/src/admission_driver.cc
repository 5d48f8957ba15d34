// Applies the effects of the admission gate.
#include "details/admission_driver.h"

#include <algorithm>
#include <cmath>

#include "details/planning.h"
#include "details/requests.h"

namespace balsambay::router {
namespace {

std::string PoolName(const caller_request& request) {
  return request.service.empty() ? "model/" + request.model : "service/" + request.service;
}

void ApplyEffects(router_state& state, const admission::effects& effects) {
  for (const admission::effect& effect : effects) {
    const auto found = state.requests_by_gate_id.find(effect.id);
    if (found == state.requests_by_gate_id.end()) continue;
    const request_ptr request = found->second;
    if (effect.kind == admission::effect_kind::kDispatch) {
      OnAdmitted(state, request);
      continue;
    }
    const auto retry_after =
        effect.retry_after > duration::zero() ? std::optional(effect.retry_after) : std::nullopt;
    FailRequest(state, request, admission::ToString(effect.reason), "refused by admission",
                retry_after);
  }
}

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.gate_timer);
  const time_point deadline = admission::NextDeadline(state.gate);
  if (deadline == kNever) return;
  state.gate_timer = Subscribe(state.loop.Timers(), deadline, [&state](time_point now) {
    ApplyEffects(state, admission::Tick(state.gate, now));
    ScheduleTick(state);
  });
}

void ApplyAndSchedule(router_state& state, const admission::effects& effects) {
  ApplyEffects(state, effects);
  ScheduleTick(state);
}

}  // namespace

void ConfigureAdmission(router_state& state) {
  std::vector<admission::workspace_policy> policies;
  for (const auto& [id, workspace] : state.inventory.workspaces) {
    policies.push_back({.workspace = id,
                        .priority = workspace.priority,
                        .share = workspace.share,
                        .max_requests = workspace.max_requests,
                        .max_tokens = workspace.max_tokens,
                        .max_queue = state.inventory.policy.max_queue_per_workspace});
  }
  state.retry_budget.config.ratio = state.inventory.policy.retry_budget_ratio;
  ApplyAndSchedule(state, admission::SetWorkspaces(state.gate, policies, MonotonicNow()));
}

void UpdateCapacity(router_state& state) {
  const auto daemons = std::max<size_t>(1, state.live_daemons.size());
  for (const pool_limit& limit : PoolLimits(state)) {
    // Each daemon admits an equal share of the runs that the endpoints can execute concurrently.
    const int daemon_share = static_cast<int>(
        std::ceil(static_cast<double>(limit.max_runs) / static_cast<double>(daemons)));
    const admission::pool_capacity capacity{
        .max_in_flight = daemon_share,
        .tokens_per_second = limit.tokens_per_second / static_cast<double>(daemons)};
    ApplyAndSchedule(state, admission::SetPool(state.gate, limit.pool, capacity, MonotonicNow()));
  }
}

void OfferRequest(router_state& state, const request_ptr& request) {
  const std::string pool = PoolName(*request);
  const admission::request offer{.id = request->gate_id,
                                 .workspace = request->workspace,
                                 .pool = pool,
                                 .tokens = std::max<int64_t>(1, request->max_tokens),
                                 .deadline = request->deadline,
                                 .service_time = EstimateServiceTime(state, *request)};
  ApplyAndSchedule(state, admission::Offer(state.gate, offer, MonotonicNow()));
}

void ReleaseAdmission(router_state& state, const caller_request& request) {
  const time_point now = MonotonicNow();
  auto effects = admission::Abandon(state.gate, request.gate_id, now);
  std::ranges::move(admission::Finish(state.gate, request.gate_id, now),
                    std::back_inserter(effects));
  if (effects.empty()) return ScheduleTick(state);
  // Deferred, because a request that ends at once would otherwise dispatch the next one
  // recursively, to unbounded depth.
  Subscribe(state.loop.Timers(), now, [&state, effects = std::move(effects)](time_point) {
    ApplyAndSchedule(state, effects);
  });
}

}  // namespace balsambay::router
