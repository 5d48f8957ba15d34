// Orders to engines. The lease keeps two gateways from ordering at the same time; each order also
// names how many orders the engine has accepted, so that late and repeated ones are refused.
#include "details/placer.h"

#include <algorithm>

#include "details/fleet.h"
#include "details/monitor.h"
#include "details/watch.h"
#include "log/log.h"
#include "pipeline/placement.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

constexpr std::string_view kLeaseKey = "lease/placement";
// Longer than the platform's shortest outages, short enough that a new holder repairs coverage
// while callers still wait.
constexpr lease::timing kLeaseTiming{.lease_time = 4000ms,
                                     .margin = 500ms,
                                     .renew_interval = 1500ms,
                                     .observe_interval = 700ms,
                                     .call_timeout = 700ms,
                                     .retry_interval = 300ms};
constexpr duration kTick = 100ms;
// Only this many gateways, those with the lowest ids among the ones that were heard lately and
// reach the store, watch the lease: each read is paid for.
constexpr int kCandidates = 3;
// The list of gateways grows for about this long when a large installation starts.
constexpr duration kListGrowth = 1500ms;
// The list of engines fills up over some hundred ms after a start.
constexpr duration kSettleTime = 400ms;
// A placement from nothing is not repeated, so it waits for engines that are not listed yet: each
// lists itself with its first heartbeat, and changes of the list are fetched together.
constexpr duration kInitialSettleTime = 2500ms;
// A list that goes on changing is planned from all the same.
constexpr duration kLongestSettle = 6000ms;
constexpr duration kOrderTimeout = 500ms;
constexpr duration kStepInterval = 150ms;
// An accepted order that shows no effect for this long, while the engine is idle, is planned anew.
constexpr duration kOrderLifetime = 8000ms;

// An engine that has just come is kept for the layers of one that is about to leave: replacements
// come before the engines that they replace go.
constexpr duration kNewcomerHold = 2500ms;
// Layers that found no successor for this long are left to the repair of coverage.
constexpr duration kVacancyLifetime = 10'000ms;

const catalog::service* PipelinedService(const gateway_state& state) {
  if (!state.configuration) return nullptr;
  const auto& services = state.configuration->content.services;
  const auto it = std::ranges::find_if(
      services, [](const catalog::service& item) { return item.pipelined.has_value(); });
  return it == services.end() ? nullptr : &*it;
}

void SendLeaseCalls(gateway_state& state, const std::vector<lease::table_call>& calls);

void OnLeaseOutcome(gateway_state& state, uint64_t id, const lease::table_outcome& outcome) {
  if (std::holds_alternative<lease::unknown_outcome>(outcome)) {
    metrics::Increment(state.metrics.registry, state.metrics.table_failures);
    state.lease_failed_at = MonotonicNow();
  }
  SendLeaseCalls(state, lease::OnTableReply(state.lease, id, outcome, MonotonicNow()));
}

void SendLeaseCalls(gateway_state& state, const std::vector<lease::table_call>& calls) {
  for (const lease::table_call& entry : calls) {
    state.store.call(entry, [&state, id = entry.id](const lease::table_outcome& outcome) {
      OnLeaseOutcome(state, id, outcome);
    });
  }
}

bool MayAct(const gateway_state& state) { return lease::MayAct(state.lease, MonotonicNow()); }

void OnOrderReply(gateway_state& state, const std::string& id, const net::whole_reply& reply) {
  if (endpoint* item = FindEndpoint(state, id)) {
    ApplyFacts(state, *item, state.wire.read_reply(reply.head));
  }
  const auto found = state.orders.find(id);
  if (found == state.orders.end()) return;
  placement_order& order = found->second;
  order.in_call = false;
  order.next_step = MonotonicNow() + kStepInterval;
  const bool answered = reply.end.failure == net::call_failure::kNone;
  log::Log(log::level::kInfo, "order answered",
           {{"endpoint", id},
            {"from", order.range.begin},
            {"to", order.range.end},
            {"status", answered ? reply.status : 0},
            {"detail", answered ? std::string_view{reply.body}.substr(0, 120) : reply.end.detail}});
  // Without an answer the order may still take effect; the next report tells.
  if (!answered) return;
  if (reply.status == 202) {
    order.accepted = true;
  } else if (reply.status == 200) {
    if (endpoint* item = FindEndpoint(state, id)) item->held = order.range;
    state.orders.erase(found);
  } else {
    state.orders.erase(found);
  }
}

void SendOrder(gateway_state& state, const endpoint& item, placement_order& order) {
  if (!MayAct(state)) return;
  net::client_request request =
      state.wire.write_place(item.listed.address, order.range, *order.expected_orders);
  request.header_timeout = kOrderTimeout;
  order.in_call = true;
  metrics::Increment(state.metrics.registry, state.metrics.orders);
  net::Fetch(
      *state.client, std::move(request),
      [&state, id = item.listed.id](const net::whole_reply& reply) {
        OnOrderReply(state, id, reply);
      },
      kShortReply);
}

void OnOrderReport(gateway_state& state, const std::string& id, const net::whole_reply& reply) {
  const auto found = state.orders.find(id);
  endpoint* item = FindEndpoint(state, id);
  if (found == state.orders.end() || item == nullptr) return;
  ApplyFacts(state, *item, state.wire.read_reply(reply.head));
  placement_order& order = found->second;
  const time_point now = MonotonicNow();
  order.in_call = false;
  order.next_step = now + kStepInterval;
  auto report = reply.end.failure == net::call_failure::kNone && reply.status == 200
                    ? state.wire.read_report(reply.body)
                    : Failure(errc::kUnavailable, "no report: " + reply.end.detail);
  if (report.has_error()) {
    log::Log(log::level::kInfo, "engine has no report for its order",
             {{"endpoint", id}, {"detail", report.error().detail}});
    if (now - order.started > kOrderLifetime) state.orders.erase(found);
    return;
  }
  const engine_report& seen = report.value();
  ApplyReport(state, *item, seen);
  if (seen.held == order.range) {
    log::Log(log::level::kInfo, "layers are held",
             {{"endpoint", id}, {"from", order.range.begin}, {"to", order.range.end}});
    state.orders.erase(found);
    return;
  }
  const bool restarted =
      seen.incarnation != 0 && order.incarnation != 0 && seen.incarnation != order.incarnation;
  if (restarted || now - order.started > kOrderLifetime) {
    state.orders.erase(found);
    return;
  }
  if (seen.busy || order.accepted) return;
  if (!order.expected_orders) {
    order.expected_orders = seen.accepted_orders;
  } else if (*order.expected_orders != seen.accepted_orders) {
    // Another order took effect; the plan is made anew from what the engine then holds.
    state.orders.erase(found);
    return;
  }
  SendOrder(state, *item, order);
}

void StepOrder(gateway_state& state, const std::string& id, placement_order& order) {
  endpoint* item = FindEndpoint(state, id);
  if (item == nullptr || item->listed.leaving) {
    state.orders.erase(id);
    return;
  }
  net::client_request request = state.wire.write_report_request(item->listed.address);
  request.header_timeout = kOrderTimeout;
  order.in_call = true;
  net::Fetch(
      *state.client, std::move(request),
      [&state, id](const net::whole_reply& reply) { OnOrderReport(state, id, reply); },
      kShortReply);
}

void StepOrders(gateway_state& state, time_point now) {
  std::vector<std::string> due;
  for (const auto& [id, order] : state.orders) {
    if (!order.in_call && order.next_step <= now) due.push_back(id);
  }
  for (const std::string& id : due) {
    const auto found = state.orders.find(id);
    if (found != state.orders.end()) StepOrder(state, id, found->second);
  }
}

void AddOrder(gateway_state& state, const std::string& id, pipeline::layer_range range,
              time_point now) {
  const endpoint& item = *FindEndpoint(state, id);
  placement_order order;
  order.range = range;
  order.incarnation = item.listed.incarnation;
  order.started = now;
  order.next_step = now;
  log::Log(log::level::kInfo, "layers planned",
           {{"endpoint", id},
            {"zone", item.listed.zone},
            {"kind", item.listed.accelerator},
            {"from", range.begin},
            {"to", range.end}});
  state.orders[id] = order;
}

// Engines as they will be when the orders under way are done.
std::vector<pipeline::engine> PlannedEngines(const gateway_state& state,
                                             const catalog::service& service, time_point now) {
  std::vector<pipeline::engine> engines = ViewEngines(state, service, now);
  for (pipeline::engine& item : engines) {
    const auto order = state.orders.find(item.id);
    if (order != state.orders.end()) item.held = order->second.range;
  }
  return engines;
}

void PlanAll(gateway_state& state, const catalog::service& service,
             std::span<const pipeline::engine> engines, time_point now) {
  const pipeline::placement_plan plan = pipeline::PlanPlacement(*service.pipelined, engines);
  // Repairs keep the stages of the placement that is there, whatever would be planned today.
  const double present = pipeline::StageTokens(*service.pipelined, engines);
  state.tokens_per_stage = present > 0 ? present : plan.tokens_per_stage;
  log::Log(log::level::kInfo, "placement planned",
           {{"engines", engines.size()},
            {"copies", plan.copies},
            {"tokens_per_stage", plan.tokens_per_stage},
            {"present_tokens_per_stage", present},
            {"requests_per_s", plan.requests_per_s}});
  const bool all_empty = std::ranges::all_of(
      engines, [](const pipeline::engine& item) { return item.held.Size() == 0; });
  if (!all_empty) return;
  for (size_t i = 0; i < plan.ranges.size(); ++i) {
    if (plan.ranges[i].Size() > 0) AddOrder(state, engines[i].id, plan.ranges[i], now);
  }
}

// Notes which engines hold what, and which of them went out of use.
void WatchEngines(gateway_state& state, std::span<const pipeline::engine> engines, time_point now) {
  std::set<std::string> in_use;
  for (const pipeline::engine& item : engines) {
    if (!item.usable) continue;
    if (item.held.Size() == 0) {
      state.idle_since.try_emplace(item.id, now);
      continue;
    }
    state.idle_since.erase(item.id);
    in_use.insert(item.id);
    state.placed[item.id] = {{item.held, item.zone, item.kind}, {}};
  }
  for (auto& [id, entry] : state.placed) {
    if (!in_use.contains(id) && entry.lost_at == time_point()) entry.lost_at = now;
  }
  std::erase_if(state.placed, [&](const auto& entry) {
    const time_point lost_at = entry.second.lost_at;
    return lost_at != time_point() && now - lost_at > kVacancyLifetime;
  });
  std::erase_if(state.idle_since, [&](const auto& entry) {
    return std::ranges::find(engines, entry.first, &pipeline::engine::id) == engines.end();
  });
}

bool IsFree(gateway_state& state, const std::string& id) {
  const endpoint* item = FindEndpoint(state, id);
  return item != nullptr && !state.orders.contains(id) && !item->busy;
}

// Gives the layers of engines that went out of use to idle engines of their zones.
void FillVacancies(gateway_state& state, const pipeline::model_spec& model,
                   std::span<const pipeline::engine> engines, time_point now) {
  std::vector<char> idle(engines.size());
  std::ranges::transform(engines, idle.begin(), [&](const pipeline::engine& item) -> char {
    return state.idle_since.contains(item.id) && IsFree(state, item.id) ? 1 : 0;
  });
  std::vector<std::string> filled;
  for (const auto& [id, entry] : state.placed) {
    if (entry.lost_at == time_point()) continue;
    const auto successor =
        pipeline::FindSuccessor(model, engines, idle, entry.held, state.tokens_per_stage);
    if (!successor) continue;
    idle[*successor] = 0;
    AddOrder(state, engines[*successor].id, entry.held.range, now);
    filled.push_back(id);
  }
  std::ranges::for_each(filled, [&](const std::string& id) { state.placed.erase(id); });
}

void Plan(gateway_state& state, time_point now) {
  const catalog::service* service = PipelinedService(state);
  if (service == nullptr || !state.endpoints_known) return;
  std::vector<pipeline::engine> engines = PlannedEngines(state, *service, now);
  if (engines.empty()) return;
  if (!state.placing) {
    // A new holder first learns what the engines hold.
    const bool nothing_held = std::ranges::all_of(
        engines, [](const pipeline::engine& item) { return item.held.Size() == 0; });
    if (!HasSettled(nothing_held, now - state.endpoints_changed, now - state.held_since)) return;
    state.placing = true;
    // What is empty now need not be a newcomer, and the layers that it lost may be missing.
    for (const pipeline::engine& item : engines) {
      if (item.held.Size() == 0) state.idle_since[item.id] = time_point();
    }
    PlanAll(state, *service, engines, now);
    engines = PlannedEngines(state, *service, now);
  }
  WatchEngines(state, engines, now);
  FillVacancies(state, *service->pipelined, engines, now);
  engines = PlannedEngines(state, *service, now);
  // With layers that nothing covers no request can be served, so every engine is needed at once.
  const bool covered = pipeline::LeastCoverageTokens(*service->pipelined, engines) > 0;
  // A move first waits for the requests that pass through, often longer than a replacement takes to
  // come, so it must restore service that there is none of.
  const bool may_move = !covered && state.orders.empty();
  std::vector<char> movable(engines.size());
  for (size_t i = 0; i < engines.size(); ++i) {
    pipeline::engine& item = engines[i];
    movable[i] = may_move && IsFree(state, item.id) ? 1 : 0;
    const auto idle = state.idle_since.find(item.id);
    const bool kept =
        covered && idle != state.idle_since.end() && now - idle->second < kNewcomerHold;
    if (kept && item.held.Size() == 0) item.usable = false;
  }
  const auto changes =
      pipeline::PlanRepair(*service->pipelined, engines, movable, state.tokens_per_stage);
  for (const pipeline::placement_change& change : changes) {
    const std::string& id = engines[change.engine].id;
    if (IsFree(state, id)) AddOrder(state, id, change.range, now);
  }
}

bool IsCandidate(const gateway_state& state, time_point now) {
  // Without the list, every gateway would count itself among the first.
  const auto list = static_cast<size_t>(feed::kGateways);
  if (state.feeds[list].confirmed_ms == 0) return false;
  if (!state.topology.exact && now - state.started_at < kListGrowth) return false;
  const auto ahead = std::ranges::count_if(state.peers, [&](const auto& entry) {
    const peer& other = entry.second;
    return entry.first < state.config.id && IsStoreContact(state, other, now);
  });
  if (ahead >= kCandidates) return false;
  // Until the others have had time to say that they reach the store, the list itself decides.
  if (now - state.started_at >= 2 * state.topology.interval) return true;
  const auto listed_ahead = std::ranges::count_if(
      state.members, [&](const exchange::member& other) { return other.id < state.config.id; });
  return listed_ahead < kCandidates;
}

void Tick(gateway_state& state, time_point now) {
  const bool observing = state.lease.state == lease::holder_state::kObserving;
  if (!observing || IsCandidate(state, now)) {
    SendLeaseCalls(state, lease::OnTick(state.lease, now));
  }
  if (MayAct(state)) {
    if (state.held_since == time_point()) {
      state.held_since = now;
      log::Log(log::level::kInfo, "placement lease taken", {{"epoch", state.lease.row.epoch}});
    }
    Plan(state, now);
    StepOrders(state, now);
  } else if (state.held_since != time_point()) {
    log::Log(log::level::kInfo, "placement lease lost", {{"epoch", state.lease.row.epoch}});
    state.held_since = {};
    state.placing = false;
    state.orders.clear();
    state.placed.clear();
    state.idle_since.clear();
  }
  Subscribe(state.loop.Timers(), now + kTick, [&state](time_point at) { Tick(state, at); });
}

}  // namespace

bool HasSettled(bool nothing_held, duration unchanged_for, duration lease_held_for) {
  if (lease_held_for < kSettleTime) return false;
  const duration settle = nothing_held ? kInitialSettleTime : kSettleTime;
  return unchanged_for >= settle || lease_held_for >= kLongestSettle;
}

void StartPlacer(gateway_state& state) {
  state.lease.key = kLeaseKey;
  state.lease.self = state.config.id + "#" + std::to_string(WallClockMs());
  state.lease.config = kLeaseTiming;
  Tick(state, MonotonicNow());
}

void StopPlacer(gateway_state& state) {
  if (state.stopping_lease) return;
  state.stopping_lease = true;
  SendLeaseCalls(state, lease::Release(state.lease, MonotonicNow()));
}

}  // namespace balsambay::gateway
