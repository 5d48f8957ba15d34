// Runs the quarantine library: every attempt needs its permission before it starts, and losses of
// endpoints are reported to it.
#include "details/quarantine_driver.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "details/logging.h"
#include "details/peers.h"
#include "details/requests.h"
#include "log/log.h"
#include "quarantine/message.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr duration kRetryAfter = std::chrono::seconds(60);
constexpr duration kTickInterval = std::chrono::seconds(1);

quarantine::fingerprint ComputeFingerprint(const caller_request& request) {
  const std::string content = request.service.empty()
                                  ? request.model + "\n" + request.prompt
                                  : request.service + "\n" + std::string(request.exchange->Body());
  return quarantine::MakeFingerprint(request.workspace, content);
}

quarantine::endpoint_instance InstanceOf(const router_state& state, std::string_view endpoint) {
  const auto it = state.endpoint_starts.find(endpoint);
  return {std::string(endpoint), it == state.endpoint_starts.end() ? 0 : it->second};
}

void SendUpdates(router_state& state, const std::vector<quarantine::update>& updates,
                 std::string_view recipient = "") {
  if (updates.empty()) return;
  json message = {{"type", "quarantine"}, {"updates", json::array()}};
  for (const quarantine::update& update : updates) {
    message["updates"].push_back(quarantine::ToJson(update));
  }
  if (recipient.empty()) return SendToAllPeers(state, message);
  SendToPeer(state, recipient, message);
}

// Dispatches held requests with one of the fingerprints again; this asks for permission again.
void RetryHeld(router_state& state, const std::vector<quarantine::fingerprint>& keys) {
  for (const auto& key : keys) {
    const auto range = state.held_requests.equal_range(key);
    std::vector<std::string> ids;
    std::for_each(range.first, range.second,
                  [&](const auto& entry) { ids.push_back(entry.second); });
    state.held_requests.erase(range.first, range.second);
    for (const std::string& id : ids) {
      const auto it = state.requests.find(id);
      if (it == state.requests.end()) continue;
      // A copy, because Dispatch() erases a refused request from the map.
      const request_ptr request = it->second;
      if (request->phase == attempts::phase::kReady) Dispatch(state, request);
    }
  }
}

void ApplyEffects(router_state& state, const quarantine::side_effects& effects) {
  SendUpdates(state, effects.publish);
  if (effects.wake.empty()) return;
  // Deferred, because a retried request starts an attempt, which calls the quarantine library
  // again.
  Subscribe(state.loop.Timers(), MonotonicNow(),
            [&state, keys = effects.wake](time_point) { RetryHeld(state, keys); });
}

void HoldRequest(router_state& state, const request_ptr& request, time_point until) {
  const auto key = ComputeFingerprint(*request);
  state.held_requests.emplace(key, request->id);
  if (until == kNever) return;
  const std::weak_ptr<caller_request> weak = request;
  Subscribe(state.loop.Timers(), until, [&state, weak, key](time_point) {
    if (const auto locked = weak.lock()) RetryHeld(state, {key});
  });
}

}  // namespace

void StartQuarantine(router_state& state) {
  state.quarantine.config.daemon = state.instance_id;
  Subscribe(state.loop.Timers(), MonotonicNow() + kTickInterval, [&state](time_point now) {
    quarantine::side_effects effects;
    quarantine::Tick(state.quarantine, now, effects);
    ApplyEffects(state, effects);
    StartQuarantine(state);
  });
}

run_permission AdmitAttempt(router_state& state, const request_ptr& request) {
  state.quarantine.config.max_losses = state.inventory.policy.quarantine_endpoint_losses;
  quarantine::side_effects effects;
  const auto decision = quarantine::Start(state.quarantine, request->gate_id,
                                          ComputeFingerprint(*request), MonotonicNow(), effects);
  ApplyEffects(state, effects);
  switch (decision.answer) {
    case quarantine::verdict::kAllow:
      return run_permission::kAllowed;
    case quarantine::verdict::kAllowIsolated:
      return run_permission::kAllowedIsolated;
    case quarantine::verdict::kHold:
      HoldRequest(state, request, decision.until);
      return run_permission::kNotNow;
    case quarantine::verdict::kRefuse:
      break;
  }
  FailRequest(state, request, "quarantined", "this request has crashed endpoints", kRetryAfter);
  return run_permission::kNotNow;
}

bool HasSuspectRun(const router_state& state, std::string_view endpoint) {
  return quarantine::HasSuspect(state.quarantine, endpoint);
}

bool MayOpenSuccessor(const router_state& state, const caller_request& request) {
  if (!request.quarantine_registered) return false;
  switch (quarantine::StateOf(state.quarantine, ComputeFingerprint(request))) {
    case quarantine::fingerprint_state::kClear:
      return true;
    case quarantine::fingerprint_state::kSuspected:
      return request.isolated;
    case quarantine::fingerprint_state::kQuarantined:
      break;
  }
  return false;
}

void OnRunEndpointsChanged(router_state& state, const caller_request& request) {
  if (!request.quarantine_registered) return;
  std::set<std::string_view> endpoints;
  for (const open_attempt& attempt : request.open_attempts) {
    for (const net::run_stage& stage : attempt.route) endpoints.insert(stage.endpoint);
  }
  std::vector<quarantine::endpoint_instance> route;
  std::ranges::transform(endpoints, std::back_inserter(route),
                         [&](std::string_view id) { return InstanceOf(state, id); });
  quarantine::side_effects effects;
  quarantine::SetRoute(state.quarantine, request.gate_id, route, effects);
  ApplyEffects(state, effects);
}

void OnRunProgress(router_state& state, const caller_request& request) {
  quarantine::side_effects effects;
  quarantine::Progress(state.quarantine, request.gate_id, MonotonicNow(), effects);
  ApplyEffects(state, effects);
}

void OnRunEnded(router_state& state, const caller_request& request, bool completed) {
  quarantine::side_effects effects;
  const auto how = completed ? quarantine::run_end::kCompleted : quarantine::run_end::kFailed;
  quarantine::End(state.quarantine, request.gate_id, how, std::nullopt, MonotonicNow(), effects);
  ApplyEffects(state, effects);
}

void OnRunBroken(router_state& state, const caller_request& request, std::string_view endpoint) {
  quarantine::side_effects effects;
  quarantine::End(state.quarantine, request.gate_id, quarantine::run_end::kBroken,
                  InstanceOf(state, endpoint), MonotonicNow(), effects);
  ApplyEffects(state, effects);
}

void OnAttemptBroken(router_state& state, caller_request& request, std::string_view endpoint) {
  OnRunBroken(state, request, endpoint);
  quarantine::side_effects effects;
  const auto decision = quarantine::Start(state.quarantine, request.gate_id,
                                          ComputeFingerprint(request), MonotonicNow(), effects);
  ApplyEffects(state, effects);
  request.isolated = decision.answer == quarantine::verdict::kAllowIsolated;
  request.quarantine_registered =
      request.isolated || decision.answer == quarantine::verdict::kAllow;
  request.progressed = false;
  OnRunEndpointsChanged(state, request);
}

void OnEndpointRefused(router_state& state, std::string_view endpoint) {
  quarantine::side_effects effects;
  quarantine::ReportLost(state.quarantine, InstanceOf(state, endpoint), MonotonicNow(), effects);
  ApplyEffects(state, effects);
}

void OnEndpointAlive(router_state& state, const std::string& endpoint, uint64_t started) {
  const auto previous_instance = InstanceOf(state, endpoint);
  const time_point now = MonotonicNow();
  quarantine::side_effects effects;
  if (previous_instance.incarnation != 0 && previous_instance.incarnation != started)
    quarantine::ReportLost(state.quarantine, previous_instance, now, effects);
  state.endpoint_starts[endpoint] = started;
  quarantine::ReportAlive(state.quarantine, {endpoint, started}, now, effects);
  ApplyEffects(state, effects);
}

void HandleQuarantineLink(router_state& state, std::string_view peer, bool up) {
  quarantine::SetHasPeers(state.quarantine, state.live_daemons.size() > 1);
  if (up) return SendUpdates(state, quarantine::Snapshot(state.quarantine), peer);
  quarantine::side_effects effects;
  quarantine::RemovePeer(state.quarantine, peer, MonotonicNow(), effects);
  ApplyEffects(state, effects);
}

void HandleQuarantineMessage(router_state& state, std::string_view peer, const json& message) {
  quarantine::side_effects effects;
  for (const json& encoded : message.at("updates")) {
    const auto update = quarantine::ParseUpdate(peer, encoded);
    if (!update) {
      log::Log(log::level::kWarning, "quarantine update cannot be read", {{"peer", peer}});
      continue;
    }
    quarantine::Merge(state.quarantine, *update, MonotonicNow(), effects);
  }
  ApplyEffects(state, effects);
}

}  // namespace balsambay::router
