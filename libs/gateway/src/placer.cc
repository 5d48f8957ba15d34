// Placement of layers: plans which engine holds which layers and orders the engines to load them. A
// lease in the shared table keeps two gateways from ordering at the same time. Each order also
// names how many orders the engine has accepted so far, so that late and repeated orders are
// refused.
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
// The lease outlasts the platform's shortest outages and is short enough that a new holder repairs
// coverage while callers still wait.
constexpr lease::timing kLeaseTiming{.lease_duration = 4000ms,
                                     .margin = 500ms,
                                     .renew_interval = 1500ms,
                                     .observe_interval = 700ms,
                                     .call_timeout = 700ms,
                                     .retry_interval = 300ms};
constexpr duration kTickInterval = 100ms;
// Only this many gateways watch the lease, since each read of it costs money: those with the lowest
// ids among the gateways that are alive and reach the store.
constexpr int kMaxCandidates = 3;
// When a large installation starts, its list of gateways grows for about this long.
constexpr duration kListGrowthTime = 1500ms;
// The list of engines is filled within some hundred ms after a start.
constexpr duration kSettleTime = 400ms;
// An initial placement is made only once, so it waits for engines that are not listed yet: each
// lists itself with its first heartbeat, and changes of the list are fetched in batches.
constexpr duration kInitialSettleTime = 2500ms;
// After this time with the lease, planning starts even if the list still changes.
constexpr duration kMaxSettleTime = 6000ms;
constexpr duration kOrderTimeout = 500ms;
constexpr duration kOrderPollInterval = 150ms;
// An order that has not taken effect within this time is dropped, and its layers are planned again.
constexpr duration kOrderLifetime = 8000ms;

// A new engine is reserved for this long for the layers of an engine that is about to leave,
// because a replacement starts before the engine that it replaces ends.
constexpr duration kNewEngineReserveTime = 2500ms;
// Layers of a lost engine for which no successor is found within this time are left to the repair
// of coverage.
constexpr duration kVacancyLifetime = 10'000ms;

const catalog::service* PipelinedService(const gateway_state& state) {
  if (!state.configuration) return nullptr;
  const auto& services = state.configuration->content.services;
  const auto it = std::ranges::find_if(
      services, [](const catalog::service& service) { return service.pipelined.has_value(); });
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
  for (const lease::table_call& call : calls) {
    state.store.call(call, [&state, id = call.id](const lease::table_outcome& outcome) {
      OnLeaseOutcome(state, id, outcome);
    });
  }
}

bool MayAct(const gateway_state& state) { return lease::MayAct(state.lease, MonotonicNow()); }

void OnOrderReply(gateway_state& state, const std::string& id, const net::whole_reply& reply) {
  if (endpoint* target = FindEndpoint(state, id)) {
    ApplyReplyMetadata(state, *target, state.wire.read_reply(reply.head));
  }
  const auto found = state.orders.find(id);
  if (found == state.orders.end()) return;
  placement_order& order = found->second;
  order.call_in_flight = false;
  order.next_poll = MonotonicNow() + kOrderPollInterval;
  const bool has_reply = reply.end.failure == net::call_failure::kNone;
  log::Log(
      log::level::kInfo, "reply to placement order",
      {{"endpoint", id},
       {"from", order.range.begin},
       {"to", order.range.end},
       {"status", has_reply ? reply.status : 0},
       {"detail", has_reply ? std::string_view{reply.body}.substr(0, 120) : reply.end.detail}});
  // An order without a reply may still take effect; the next report shows it.
  if (!has_reply) return;
  if (reply.status == 202) {
    order.accepted = true;
  } else if (reply.status == 200) {
    if (endpoint* target = FindEndpoint(state, id)) target->held = order.range;
    state.orders.erase(found);
  } else {
    state.orders.erase(found);
  }
}

// Whether the engine, as it is listed now, can hold the layers by the configuration in force. If
// not, the order is logged.
bool CanHold(gateway_state& state, const endpoint& target, pipeline::layer_range range) {
  const catalog::service* service = PipelinedService(state);
  if (service == nullptr) return false;
  pipeline::engine engine;
  engine.kind = KindIndex(*service->pipelined, target.listed.accelerator);
  const auto valid = pipeline::CheckOrder(*service->pipelined, engine, range);
  if (!valid.has_error()) return true;
  if (log::AdmitLine(state.rejected_order_lines, log::level::kError, MonotonicNow())) {
    log::Log(log::level::kError, "placement order rejected: the engine cannot hold the layers",
             {{"endpoint", target.listed.id},
              {"kind", target.listed.accelerator},
              {"tokens_per_stage", state.tokens_per_stage},
              {"detail", valid.error().detail}});
  }
  return false;
}

// The only place where orders are sent. What an engine can hold may have changed since the order
// was planned, and its address may have another engine.
void SendOrder(gateway_state& state, const endpoint& target, placement_order& order) {
  if (!MayAct(state)) return;
  if (!CanHold(state, target, order.range)) {
    state.orders.erase(target.listed.id);
    return;
  }
  net::client_request request = state.wire.write_placement_order(
      target.listed.address, target.listed.id, order.range, *order.expected_orders);
  request.header_timeout = kOrderTimeout;
  order.call_in_flight = true;
  metrics::Increment(state.metrics.registry, state.metrics.orders);
  net::Fetch(
      *state.client, std::move(request),
      [&state, id = target.listed.id](const net::whole_reply& reply) {
        OnOrderReply(state, id, reply);
      },
      kShortReplyLimits);
}

void OnOrderReport(gateway_state& state, const std::string& id, const net::whole_reply& reply) {
  const auto found = state.orders.find(id);
  endpoint* target = FindEndpoint(state, id);
  if (found == state.orders.end() || target == nullptr) return;
  ApplyReplyMetadata(state, *target, state.wire.read_reply(reply.head));
  placement_order& order = found->second;
  const time_point now = MonotonicNow();
  order.call_in_flight = false;
  order.next_poll = now + kOrderPollInterval;
  auto report = reply.end.failure == net::call_failure::kNone && reply.status == 200
                    ? state.wire.read_report(reply.body)
                    : Failure(errc::kUnavailable, "report request failed: " + reply.end.detail);
  if (report.has_error()) {
    log::Log(log::level::kInfo, "no report to confirm a placement order",
             {{"endpoint", id}, {"detail", report.error().detail}});
    if (now - order.started > kOrderLifetime) state.orders.erase(found);
    return;
  }
  const engine_report& engine_state = report.value();
  ApplyReport(state, *target, engine_state);
  if (engine_state.held == order.range) {
    log::Log(log::level::kInfo, "placement order completed: engine holds the layers",
             {{"endpoint", id}, {"from", order.range.begin}, {"to", order.range.end}});
    state.orders.erase(found);
    return;
  }
  const bool restarted = engine_state.incarnation != 0 && order.incarnation != 0 &&
                         engine_state.incarnation != order.incarnation;
  if (restarted || now - order.started > kOrderLifetime) {
    state.orders.erase(found);
    return;
  }
  if (engine_state.busy || order.accepted) return;
  if (!order.expected_orders) {
    order.expected_orders = engine_state.accepted_orders;
  } else if (*order.expected_orders != engine_state.accepted_orders) {
    // The engine has accepted another order. This one is dropped, and the next plan starts from
    // what the engine then holds.
    state.orders.erase(found);
    return;
  }
  SendOrder(state, *target, order);
}

// Requests the engine's report, from which OnOrderReport() decides the next step of the order.
void PollOrder(gateway_state& state, const std::string& id, placement_order& order) {
  endpoint* target = FindEndpoint(state, id);
  if (target == nullptr || target->listed.leaving) {
    state.orders.erase(id);
    return;
  }
  net::client_request request = state.wire.write_report_request(target->listed.address);
  request.header_timeout = kOrderTimeout;
  order.call_in_flight = true;
  net::Fetch(
      *state.client, std::move(request),
      [&state, id](const net::whole_reply& reply) { OnOrderReport(state, id, reply); },
      kShortReplyLimits);
}

void PollOrders(gateway_state& state, time_point now) {
  std::vector<std::string> due_ids;
  for (const auto& [id, order] : state.orders) {
    if (!order.call_in_flight && order.next_poll <= now) due_ids.push_back(id);
  }
  for (const std::string& id : due_ids) {
    const auto found = state.orders.find(id);
    if (found != state.orders.end()) PollOrder(state, id, found->second);
  }
}

// Creates an order, unless the engine cannot hold the layers, whatever the plan says.
void AddOrder(gateway_state& state, const pipeline::engine& engine, pipeline::layer_range range,
              time_point now) {
  const endpoint& target = *FindEndpoint(state, engine.id);
  if (!CanHold(state, target, range)) return;
  placement_order order;
  order.range = range;
  order.incarnation = target.listed.incarnation;
  order.started = now;
  order.next_poll = now;
  log::Log(log::level::kInfo, "placement order planned",
           {{"endpoint", engine.id},
            {"zone", target.listed.zone},
            {"kind", target.listed.accelerator},
            {"from", range.begin},
            {"to", range.end}});
  state.orders[engine.id] = order;
}

// Engines with the layers that they will hold when the open orders are completed.
std::vector<pipeline::engine> PlannedEngines(const gateway_state& state,
                                             const catalog::service& service, time_point now) {
  std::vector<pipeline::engine> engines = ViewEngines(state, service, now);
  for (pipeline::engine& engine : engines) {
    const auto order = state.orders.find(engine.id);
    if (order != state.orders.end()) engine.held = order->second.range;
  }
  return engines;
}

// Plans all layers from scratch, and orders this plan if no engine holds any. Leaves the stage size
// at 0 if the engines neither hold layers nor suffice for a copy.
void StartPlacement(gateway_state& state, const catalog::service& service,
                    std::span<const pipeline::engine> engines, time_point now) {
  const pipeline::placement_plan plan = pipeline::PlanPlacement(*service.pipelined, engines);
  // Repairs keep the stage size of the existing placement, even if a new plan would choose another.
  const double current_tokens_per_stage = pipeline::StageTokens(*service.pipelined, engines);
  state.tokens_per_stage =
      current_tokens_per_stage > 0 ? current_tokens_per_stage : plan.tokens_per_stage;
  log::Log(log::level::kInfo, "placement planned",
           {{"engines", engines.size()},
            {"copies", plan.copies},
            {"tokens_per_stage", plan.tokens_per_stage},
            {"present_tokens_per_stage", current_tokens_per_stage},
            {"requests_per_s", plan.requests_per_s}});
  const bool all_empty = std::ranges::all_of(
      engines, [](const pipeline::engine& engine) { return engine.held.Size() == 0; });
  if (!all_empty) return;
  for (size_t i = 0; i < plan.ranges.size(); ++i) {
    if (plan.ranges[i].Size() > 0) AddOrder(state, engines[i], plan.ranges[i], now);
  }
}

// Records what each engine holds, and which engines with layers went out of use.
void TrackEngines(gateway_state& state, std::span<const pipeline::engine> engines, time_point now) {
  std::set<std::string> in_use;
  for (const pipeline::engine& engine : engines) {
    if (!engine.usable) continue;
    if (engine.held.Size() == 0) {
      state.idle_since.try_emplace(engine.id, now);
      continue;
    }
    state.idle_since.erase(engine.id);
    in_use.insert(engine.id);
    state.placed_engines[engine.id] = {{engine.held, engine.zone, engine.kind}, {}};
  }
  for (auto& [id, placed] : state.placed_engines) {
    if (!in_use.contains(id) && placed.lost_at == time_point()) placed.lost_at = now;
  }
  std::erase_if(state.placed_engines, [&](const auto& entry) {
    const time_point lost_at = entry.second.lost_at;
    return lost_at != time_point() && now - lost_at > kVacancyLifetime;
  });
  std::erase_if(state.idle_since, [&](const auto& entry) {
    return std::ranges::find(engines, entry.first, &pipeline::engine::id) == engines.end();
  });
}

// Whether the engine can be given an order now.
bool IsAvailable(gateway_state& state, const std::string& id) {
  const endpoint* target = FindEndpoint(state, id);
  return target != nullptr && !state.orders.contains(id) && !target->busy;
}

// Orders idle engines to load the layers of engines of their zone that went out of use.
void FillVacancies(gateway_state& state, const pipeline::model_spec& model,
                   std::span<const pipeline::engine> engines, time_point now) {
  std::vector<char> idle(engines.size());
  std::ranges::transform(engines, idle.begin(), [&](const pipeline::engine& engine) -> char {
    return state.idle_since.contains(engine.id) && IsAvailable(state, engine.id) ? 1 : 0;
  });
  std::vector<std::string> filled;
  for (const auto& [id, placed] : state.placed_engines) {
    if (placed.lost_at == time_point()) continue;
    const auto successor =
        pipeline::FindSuccessor(model, engines, idle, placed.held, state.tokens_per_stage);
    if (!successor) continue;
    idle[*successor] = 0;
    AddOrder(state, engines[*successor], placed.held.range, now);
    filled.push_back(id);
  }
  std::ranges::for_each(filled, [&](const std::string& id) { state.placed_engines.erase(id); });
}

void UpdatePlan(gateway_state& state, time_point now) {
  const catalog::service* service = PipelinedService(state);
  if (service == nullptr || !state.endpoints_known) return;
  std::vector<pipeline::engine> engines = PlannedEngines(state, *service, now);
  if (engines.empty()) return;
  if (!state.placement_started) {
    // A new lease holder first waits until it knows what the engines hold.
    const bool nothing_held = std::ranges::all_of(
        engines, [](const pipeline::engine& engine) { return engine.held.Size() == 0; });
    const bool too_few_engines = state.settling_since > state.lease_held_since;
    const time_point unchanged_since = too_few_engines
                                           ? std::max(state.endpoints_changed, state.settling_since)
                                           : state.endpoints_changed;
    if (!HasSettled(nothing_held || too_few_engines, now - unchanged_since,
                    now - state.settling_since))
      return;
    StartPlacement(state, *service, engines, now);
    if (state.tokens_per_stage <= 0) {
      // Layers that are loaded without a stage size leave the engines no KV cache, and repairs
      // would keep that size. No request could be served anyway, so the other engines are awaited.
      state.settling_since = now;
      return;
    }
    state.placement_started = true;
    // An engine that is empty now need not be new, and the layers that it lost may be missing. So
    // it is not reserved, and counts as idle for an unlimited time.
    for (const pipeline::engine& engine : engines) {
      if (engine.held.Size() == 0) state.idle_since[engine.id] = time_point();
    }
    engines = PlannedEngines(state, *service, now);
  }
  TrackEngines(state, engines, now);
  FillVacancies(state, *service->pipelined, engines, now);
  engines = PlannedEngines(state, *service, now);
  // While some layer is held by no engine, no request can be served, so no engine is reserved.
  const bool covered = pipeline::MinCoverageTokens(*service->pipelined, engines) > 0;
  // An engine that is moved to other layers first waits for its running requests, often longer than
  // a replacement takes to start. So engines are moved only when no request can be served.
  const bool may_move = !covered && state.orders.empty();
  std::vector<char> movable(engines.size());
  for (size_t i = 0; i < engines.size(); ++i) {
    pipeline::engine& engine = engines[i];
    movable[i] = may_move && IsAvailable(state, engine.id) ? 1 : 0;
    const auto idle = state.idle_since.find(engine.id);
    const bool reserved =
        covered && idle != state.idle_since.end() && now - idle->second < kNewEngineReserveTime;
    if (reserved && engine.held.Size() == 0) engine.usable = false;
  }
  const auto changes =
      pipeline::PlanRepair(*service->pipelined, engines, movable, state.tokens_per_stage);
  for (const pipeline::placement_change& change : changes) {
    const pipeline::engine& target = engines[change.engine];
    if (IsAvailable(state, target.id)) AddOrder(state, target, change.range, now);
  }
}

bool IsCandidate(const gateway_state& state, time_point now) {
  // Without the list, each gateway would count itself among the ones with the lowest ids.
  const auto list = static_cast<size_t>(feed::kGateways);
  if (state.feeds[list].confirmed_ms == 0) return false;
  if (!state.topology.exact && now - state.started_at < kListGrowthTime) return false;
  const auto preceding_contacts = std::ranges::count_if(state.peers, [&](const auto& entry) {
    const peer& gateway_peer = entry.second;
    return entry.first < state.config.id && IsStoreContact(state, gateway_peer, now);
  });
  if (preceding_contacts >= kMaxCandidates) return false;
  // Until the other gateways have had time to announce that they reach the store, the order of the
  // list decides.
  if (now - state.started_at >= 2 * state.topology.interval) return true;
  const auto preceding_members = std::ranges::count_if(
      state.members, [&](const exchange::member& member) { return member.id < state.config.id; });
  return preceding_members < kMaxCandidates;
}

void Tick(gateway_state& state, time_point now) {
  const bool observing = state.lease.state == lease::holder_state::kObserving;
  if (!observing || IsCandidate(state, now)) {
    SendLeaseCalls(state, lease::OnTick(state.lease, now));
  }
  if (MayAct(state)) {
    if (state.lease_held_since == time_point()) {
      state.lease_held_since = state.settling_since = now;
      log::Log(log::level::kInfo, "placement lease acquired", {{"epoch", state.lease.row.epoch}});
    }
    UpdatePlan(state, now);
    PollOrders(state, now);
  } else if (state.lease_held_since != time_point()) {
    log::Log(log::level::kInfo, "placement lease lost", {{"epoch", state.lease.row.epoch}});
    state.lease_held_since = {};
    state.placement_started = false;
    state.orders.clear();
    state.placed_engines.clear();
    state.idle_since.clear();
  }
  Subscribe(state.loop.Timers(), now + kTickInterval, [&state](time_point at) { Tick(state, at); });
}

}  // namespace

bool HasSettled(bool nothing_held, duration unchanged_for, duration lease_held_for) {
  if (lease_held_for < kSettleTime) return false;
  const duration settle = nothing_held ? kInitialSettleTime : kSettleTime;
  return unchanged_for >= settle || lease_held_for >= kMaxSettleTime;
}

void StartPlacer(gateway_state& state) {
  state.lease.key = kLeaseKey;
  state.lease.self = state.config.id + "#" + std::to_string(WallClockMs());
  state.lease.config = kLeaseTiming;
  Tick(state, MonotonicNow());
}

void RestartLease(gateway_state& state) { lease::OnTableMoved(state.lease, MonotonicNow()); }

void StopPlacer(gateway_state& state) {
  if (state.stopping_lease) return;
  state.stopping_lease = true;
  SendLeaseCalls(state, lease::Release(state.lease, MonotonicNow()));
}

}  // namespace balsambay::gateway
