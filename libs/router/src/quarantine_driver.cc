// Drives the quarantine library: every attempt asks before it starts, and losses of endpoints are
// told to it.
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

constexpr duration kComeBack = std::chrono::seconds(60);
constexpr duration kTickInterval = std::chrono::seconds(1);

quarantine::fingerprint FingerprintOf(const request& item) {
  const std::string content =
      item.service.empty() ? item.model + "\n" + item.prompt : item.service + "\n" + item.body;
  return quarantine::MakeFingerprint(item.workspace, content);
}

quarantine::endpoint_instance LifeOf(const router_state& state, std::string_view endpoint) {
  const auto it = state.endpoint_starts.find(endpoint);
  return {std::string(endpoint), it == state.endpoint_starts.end() ? 0 : it->second};
}

void Publish(router_state& state, const std::vector<quarantine::update>& updates,
             std::string_view only_to = "") {
  if (updates.empty()) return;
  json message = {{"type", "quarantine"}, {"updates", json::array()}};
  for (const quarantine::update& item : updates) {
    message["updates"].push_back(quarantine::ToJson(item));
  }
  if (only_to.empty()) return SendToAllPeers(state, message);
  SendToPeer(state, only_to, message);
}

// Held requests with one of the fingerprints ask again.
void Wake(router_state& state, const std::vector<quarantine::fingerprint>& keys) {
  for (const auto& key : keys) {
    const auto range = state.held.equal_range(key);
    std::vector<std::string> ids;
    std::for_each(range.first, range.second,
                  [&](const auto& entry) { ids.push_back(entry.second); });
    state.held.erase(range.first, range.second);
    for (const std::string& id : ids) {
      const auto it = state.requests.find(id);
      if (it == state.requests.end()) continue;
      // A copy, because a request that is refused now is erased from the map.
      const request_ptr item = it->second;
      if (item->phase == attempts::phase::kReady) Dispatch(state, item);
    }
  }
}

void Process(router_state& state, const quarantine::side_effects& out) {
  Publish(state, out.publish);
  if (out.wake.empty()) return;
  // Deferred: a woken request starts an attempt, which calls the library again.
  Subscribe(state.loop.Timers(), MonotonicNow(),
            [&state, keys = out.wake](time_point) { Wake(state, keys); });
}

void Hold(router_state& state, const request_ptr& item, time_point until) {
  const auto key = FingerprintOf(*item);
  state.held.emplace(key, item->id);
  if (until == kNever) return;
  const std::weak_ptr<request> weak = item;
  Subscribe(state.loop.Timers(), until, [&state, weak, key](time_point) {
    if (const auto held = weak.lock()) Wake(state, {key});
  });
}

}  // namespace

void StartQuarantine(router_state& state) {
  state.quarantine.config.daemon = state.instance_id;
  Subscribe(state.loop.Timers(), MonotonicNow() + kTickInterval, [&state](time_point now) {
    quarantine::side_effects out;
    quarantine::Tick(state.quarantine, now, out);
    Process(state, out);
    StartQuarantine(state);
  });
}

run_permission AskToRun(router_state& state, const request_ptr& item) {
  state.quarantine.config.max_losses = state.inventory.policy.quarantine_endpoint_losses;
  quarantine::side_effects out;
  const auto decision =
      quarantine::Start(state.quarantine, item->number, FingerprintOf(*item), MonotonicNow(), out);
  Process(state, out);
  switch (decision.answer) {
    case quarantine::verdict::kAllow:
      return run_permission::kAllowed;
    case quarantine::verdict::kAllowIsolated:
      return run_permission::kAllowedAlone;
    case quarantine::verdict::kHold:
      Hold(state, item, decision.until);
      return run_permission::kNotNow;
    case quarantine::verdict::kRefuse:
      break;
  }
  GiveUp(state, item, "quarantined", "this request has crashed endpoints", kComeBack);
  return run_permission::kNotNow;
}

bool HasSuspectRun(const router_state& state, std::string_view endpoint) {
  return quarantine::HasSuspect(state.quarantine, endpoint);
}

bool MayRunBeside(const router_state& state, const request& item) {
  if (!item.permitted) return false;
  switch (quarantine::StateOf(state.quarantine, FingerprintOf(item))) {
    case quarantine::fingerprint_state::kClear:
      return true;
    case quarantine::fingerprint_state::kSuspected:
      return item.alone;
    case quarantine::fingerprint_state::kQuarantined:
      break;
  }
  return false;
}

void OnRunPlaced(router_state& state, const request& item) {
  if (!item.permitted) return;
  std::set<std::string_view> endpoints;
  for (const open_attempt& attempt : item.open) {
    for (const net::run_stage& stage : attempt.route) endpoints.insert(stage.endpoint);
  }
  std::vector<quarantine::endpoint_instance> route;
  std::ranges::transform(endpoints, std::back_inserter(route),
                         [&](std::string_view id) { return LifeOf(state, id); });
  quarantine::side_effects out;
  quarantine::SetRoute(state.quarantine, item.number, route, out);
  Process(state, out);
}

void OnRunProgress(router_state& state, const request& item) {
  quarantine::side_effects out;
  quarantine::Progress(state.quarantine, item.number, MonotonicNow(), out);
  Process(state, out);
}

void OnRunEnded(router_state& state, const request& item, bool completed) {
  quarantine::side_effects out;
  const auto how = completed ? quarantine::run_end::kCompleted : quarantine::run_end::kFailed;
  quarantine::End(state.quarantine, item.number, how, std::nullopt, MonotonicNow(), out);
  Process(state, out);
}

void OnRunBroken(router_state& state, const request& item, std::string_view endpoint) {
  quarantine::side_effects out;
  quarantine::End(state.quarantine, item.number, quarantine::run_end::kBroken,
                  LifeOf(state, endpoint), MonotonicNow(), out);
  Process(state, out);
}

void OnAttemptBroken(router_state& state, request& item, std::string_view endpoint) {
  OnRunBroken(state, item, endpoint);
  quarantine::side_effects out;
  const auto decision =
      quarantine::Start(state.quarantine, item.number, FingerprintOf(item), MonotonicNow(), out);
  Process(state, out);
  item.alone = decision.answer == quarantine::verdict::kAllowIsolated;
  item.permitted = item.alone || decision.answer == quarantine::verdict::kAllow;
  item.progressed = false;
  OnRunPlaced(state, item);
}

void OnEndpointRefused(router_state& state, std::string_view endpoint) {
  quarantine::side_effects out;
  quarantine::ReportLost(state.quarantine, LifeOf(state, endpoint), MonotonicNow(), out);
  Process(state, out);
}

void OnEndpointAlive(router_state& state, const std::string& endpoint, uint64_t started) {
  const auto before = LifeOf(state, endpoint);
  const time_point now = MonotonicNow();
  quarantine::side_effects out;
  if (before.incarnation != 0 && before.incarnation != started)
    quarantine::ReportLost(state.quarantine, before, now, out);
  state.endpoint_starts[endpoint] = started;
  quarantine::ReportAlive(state.quarantine, {endpoint, started}, now, out);
  Process(state, out);
}

void HandleQuarantineLink(router_state& state, std::string_view peer, bool up) {
  quarantine::SetHasPeers(state.quarantine, state.live_daemons.size() > 1);
  if (up) return Publish(state, quarantine::Snapshot(state.quarantine), peer);
  quarantine::side_effects out;
  quarantine::RemovePeer(state.quarantine, peer, MonotonicNow(), out);
  Process(state, out);
}

void HandleQuarantineMessage(router_state& state, std::string_view peer, const json& message) {
  quarantine::side_effects out;
  for (const json& item : message.at("updates")) {
    const auto update = quarantine::ParseUpdate(peer, item);
    if (!update) {
      log::Log(log::level::kWarning, "quarantine update cannot be read", {{"peer", peer}});
      continue;
    }
    quarantine::Merge(state.quarantine, *update, MonotonicNow(), out);
  }
  Process(state, out);
}

}  // namespace balsambay::router
