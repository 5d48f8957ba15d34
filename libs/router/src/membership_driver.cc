// Runs the membership library over the peer links. Members are identified by their instance ids, as
// peers are on the links.
#include "details/membership_driver.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "details/config_driver.h"
#include "details/endpoint_monitor.h"
#include "details/logging.h"
#include "details/peers.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr std::string_view kHealthPrefix = "health/";

void ApplyEffects(router_state& state, const membership::effects& effects);

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.member_timer);
  const time_point deadline = membership::NextDeadline(*state.members);
  if (deadline == kNever) return;
  state.member_timer = Subscribe(state.loop.Timers(), deadline, [&state](time_point now) {
    ApplyEffects(state, membership::OnTick(*state.members, now));
  });
}

// Only the address of a seed is known, so a message to it is sent to all connected daemons; daemons
// of other zones ignore it.
void Send(router_state& state, const membership::outgoing_message& outgoing) {
  const json message = {{"type", "swim"}, {"content", membership::ToJson(outgoing.content)}};
  if (outgoing.receiver_id.empty()) return SendToAllPeers(state, message);
  if (SendToPeer(state, outgoing.receiver_id, message)) return;
  if (state.peers && !outgoing.address.empty()) (void)state.peers->Connect(outgoing.address);
}

void ApplyFact(router_state& state, const membership::fact& fact) {
  if (!fact.key.starts_with(kHealthPrefix) || fact.value.empty()) return;
  const json value = json::parse(fact.value, nullptr, false);
  if (!value.is_object()) return;
  health::peer_evidence evidence;
  evidence.endpoint = fact.key.substr(kHealthPrefix.size());
  evidence.incarnation = value.value("i", uint64_t{0});
  evidence.state = static_cast<health::endpoint_state>(value.value("s", 0));
  ReportPeerEvidence(state, evidence);
}

void LogEvent(const membership::member_event& event) {
  constexpr std::array kNames = {"joined", "suspect", "recovered", "failed", "left"};
  log::Log(log::level::kInfo, "zone membership changed",
           {{"peer", event.id}, {"event", kNames[static_cast<size_t>(event.kind)]}});
}

void ApplyEffects(router_state& state, const membership::effects& effects) {
  std::ranges::for_each(effects.outgoing_messages,
                        [&](const auto& outgoing) { Send(state, outgoing); });
  std::ranges::for_each(effects.events, LogEvent);
  std::ranges::for_each(effects.facts, [&](const auto& fact) { ApplyFact(state, fact); });
  for (const membership::config_report& report : effects.config_reports) {
    HandlePeerVersion(state, report.id, report.version, report.age);
  }
  ScheduleTick(state);
  if (!effects.events.empty()) UpdateConfigMembers(state);
}

}  // namespace

void StartMembership(router_state& state) {
  membership::settings settings;
  settings.id = state.instance_id;
  settings.address = state.config.peer_advertise;
  settings.zone = state.config.zone;
  settings.seeds = state.config.peers;
  settings.incarnation = static_cast<uint64_t>(WallClockMs());
  const time_point now = MonotonicNow();
  state.members =
      std::make_unique<membership::state>(membership::MakeState(settings, state.rng(), now));
  if (!state.config.peer_listen.empty()) ScheduleTick(state);
}

void HandleMemberLink(router_state& state, std::string_view peer, bool up) {
  if (up) return UpdateConfigMembers(state);
  membership::OnLinkDown(*state.members, peer, MonotonicNow());
  ScheduleTick(state);
}

void PublishHealth(router_state& state, const health::peer_evidence& evidence) {
  const json value = {{"i", evidence.incarnation}, {"s", static_cast<int>(evidence.state)}};
  auto published =
      membership::PublishFact(*state.members, std::string(kHealthPrefix) + evidence.endpoint,
                              value.dump(), true, MonotonicNow());
  if (published.has_value()) ApplyEffects(state, published.value());
}

void LeaveZone(router_state& state) {
  ApplyEffects(state, membership::Leave(*state.members, MonotonicNow()));
}

void HandleMembershipMessage(router_state& state, std::string_view, const json& message) {
  const auto content = membership::MessageFromJson(message.at("content"));
  if (content.has_error()) return;
  ApplyEffects(state, membership::OnMessage(*state.members, content.value(), MonotonicNow()));
}

}  // namespace balsambay::router
