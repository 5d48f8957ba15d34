// Public functions of the library: periodic work, received messages, published facts and leave.
#include "membership/membership.h"

#include <algorithm>

#include "details/gossip.h"
#include "details/members.h"
#include "details/probing.h"

namespace balsambay::membership {
namespace {

constexpr double kIntervalJitter = 0.2;  // relative
// A longer interval between ticks, in probe periods, is treated as a pause of the process.
constexpr int kPauseThresholdPeriods = 2;
// Members to which a leaving daemon announces its leave itself.
constexpr size_t kMaxLeaveReceivers = 8;

// If `deadline` has passed, moves it to `interval` from now, with jitter, and returns true.
bool AdvanceIfDue(state& state, time_point& deadline, duration interval, time_point now) {
  if (deadline > now) return false;
  deadline = now + Jitter(state.rng, interval, kIntervalJitter);
  return true;
}

// After a pause of this process, drops the current probe and extends all suspicions by the pause.
// The daemon has missed acknowledgements and refutations in the meantime, and must not declare
// failures because of them.
void HandlePause(state& state, time_point now) {
  const duration pause = now - state.last_tick;
  if (pause <= kPauseThresholdPeriods * state.config.period) return;
  ++state.counters.detected_pauses;
  state.current_probe.reset();
  state.next_sync = now;
  for (auto& [id, member] : state.members) {
    if (member.status == member_status::kSuspect) member.suspect_until += pause;
  }
}

// Whether the message comes from another daemon of this zone. Counts messages of other zones.
bool IsFromZonePeer(state& state, const message& message) {
  if (message.zone != state.config.zone) {
    ++state.counters.foreign_zone_messages;
    return false;
  }
  return message.sender_id != state.config.id;
}

// Applies what the message says about its sender: status, address and configuration version.
void ApplyHeader(state& state, const message& message, time_point now, effects& effects) {
  details::ApplyUpdate(
      state, {message.sender_id, message.sender_address, message.incarnation, message.status}, now,
      effects);
  const auto found = state.members.find(message.sender_id);
  if (found == state.members.end()) return;
  found->second.last_heard = now;
  found->second.config_version = message.config_version;
  if (message.config_version == 0) return;
  effects.config_reports.push_back({message.sender_id, message.config_version,
                                    std::chrono::milliseconds(message.config_age_ms)});
}

void Dispatch(state& state, const message& message, time_point now, effects& effects) {
  switch (message.kind) {
    case message_kind::kPing:
      details::ReplyToPing(state, message, now, effects);
      return;
    case message_kind::kAck:
      details::OnAck(state, message, now, effects);
      return;
    case message_kind::kPingRequest:
      details::RelayPing(state, message, now, effects);
      return;
    case message_kind::kSyncRequest:
      details::ReplyToSync(state, message, now, effects);
      return;
    case message_kind::kGossip:
    case message_kind::kSyncReply:
      return;
  }
}

}  // namespace

state MakeState(settings config, uint64_t seed, time_point now) {
  state state;
  state.incarnation = config.incarnation;
  // Fact versions of a restarted daemon must be higher than those of its predecessor.
  state.next_fact_version = config.incarnation + 1;
  state.config = std::move(config);
  state.rng.seed(seed);
  state.last_tick = now;
  state.next_probe = now;
  state.next_gossip = now;
  state.next_sync = now + state.config.resync_delay;
  details::RefillGossipTokens(state, std::chrono::hours(1));  // fills the token bucket
  state.next_rejoin = now;
  Put(state.update_queue, state.config.id, 0);
  return state;
}

effects OnTick(state& state, time_point now) {
  effects effects;
  HandlePause(state, now);
  details::RefillGossipTokens(state, now - state.last_tick);
  state.last_tick = now;
  details::ExpireMembers(state, now, effects);
  const settings& config = state.config;
  if (!state.leaving && AdvanceIfDue(state, state.next_rejoin, config.rejoin_interval, now)) {
    details::ContactUnreachable(state, now, effects);
  }
  details::AdvanceProbe(state, now, effects);
  if (AdvanceIfDue(state, state.next_sync, config.sync_interval, now)) {
    details::RequestSync(state, now, effects);
  }
  if (AdvanceIfDue(state, state.next_gossip, config.gossip_interval, now)) {
    details::GossipToOneMember(state, now, effects);
  }
  return effects;
}

time_point NextDeadline(const state& state) {
  time_point next = state.next_sync;
  if (!state.leaving) next = std::min(next, state.next_rejoin);
  if (details::HasQueuedGossip(state)) next = std::min(next, state.next_gossip);
  const std::optional<probe>& current = state.current_probe;
  next = std::min(next,
                  current ? std::min(current->indirect_due, current->deadline) : state.next_probe);
  for (const auto& [id, member] : state.members) next = std::min(next, member.suspect_until);
  return next;
}

effects OnMessage(state& state, const message& message, time_point now) {
  effects effects;
  if (!IsFromZonePeer(state, message)) return effects;
  ApplyHeader(state, message, now, effects);
  details::CompleteProbe(state, message.sender_id);
  for (const member_update& update : message.updates) {
    details::ApplyUpdate(state, update, now, effects);
  }
  details::ApplyFacts(state, message.facts, now, effects);
  Dispatch(state, message, now, effects);
  return effects;
}

void OnLinkDown(state& state, std::string_view id, time_point now) {
  const auto found = state.members.find(id);
  if (found == state.members.end() || !details::IsLive(found->second.status)) return;
  state.probe_order.emplace_back(id);
  state.next_probe = std::min(state.next_probe, now);
}

result<effects> PublishFact(state& state, std::string key, std::string value, bool urgent,
                            time_point now) {
  if (key.empty()) return Failure(errc::kInvalidArgument, "fact key is empty");
  if (value.size() > state.config.max_fact_bytes || key.size() > state.config.max_fact_bytes) {
    return Failure(errc::kInvalidArgument, "fact \"" + key + "\" is too large");
  }
  if (!state.own_facts.contains(key) && state.own_facts.size() >= state.config.max_facts) {
    return Failure(errc::kExhausted, "too many facts");
  }
  fact& fact = state.own_facts[key];
  fact = {state.config.id, std::move(key), std::move(value), state.next_fact_version++, urgent};
  details::QueueFact(state, fact);
  effects effects;
  if (urgent) details::Broadcast(state, now, effects);
  return effects;
}

void SetConfigVersion(state& state, uint64_t version, time_point confirmed) {
  state.config_version = version;
  state.config_confirmed = confirmed;
}

effects Leave(state& state, time_point now) {
  state.leaving = true;
  Put(state.update_queue, state.config.id, 0);
  effects effects;
  for (const member* target : details::PickRandomMembers(state, kMaxLeaveReceivers)) {
    effects.outgoing_messages.push_back(
        details::Compose(state, message_kind::kGossip, target->id, target->address, now));
  }
  return effects;
}

std::vector<std::string> LiveMemberIds(const state& state) {
  std::vector<std::string> ids = {state.config.id};
  for (const auto& [id, member] : state.members) {
    if (details::IsLive(member.status)) ids.push_back(id);
  }
  std::ranges::sort(ids);
  return ids;
}

size_t LiveMemberCount(const state& state) {
  return 1 + static_cast<size_t>(std::ranges::count_if(state.members, [](const auto& entry) {
           return details::IsLive(entry.second.status);
         }));
}

}  // namespace balsambay::membership
