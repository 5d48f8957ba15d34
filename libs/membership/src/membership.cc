// Entry points: time, messages, and what the daemon publishes.
#include "membership/membership.h"

#include <algorithm>

#include "details/gossip.h"
#include "details/members.h"
#include "details/probing.h"

namespace balsambay::membership {
namespace {

constexpr double kIntervalJitter = 0.2;
// A gap of this many periods between ticks is taken for a pause of this process.
constexpr int kPausePeriods = 2;
// Members that learn of a graceful leave directly.
constexpr size_t kLeaveReceivers = 8;

// Sets `deadline` to its next value and returns true when it is due.
bool IsDue(state& state, time_point& deadline, duration interval, time_point now) {
  if (deadline > now) return false;
  deadline = now + Jitter(state.rng, interval, kIntervalJitter);
  return true;
}

// A paused daemon has missed answers and refutations: it must not declare failures from silence
// during its pause.
void HandlePause(state& state, time_point now) {
  const duration gap = now - state.last_tick;
  if (gap <= kPausePeriods * state.config.period) return;
  ++state.counters.detected_pauses;
  state.current_probe.reset();
  state.next_sync = now;
  for (auto& [id, member] : state.members) {
    if (member.status == member_status::kSuspect) member.suspect_until += gap;
  }
}

bool IsForUs(state& state, const message& message) {
  if (message.zone != state.config.zone) {
    ++state.counters.foreign_zone_messages;
    return false;
  }
  return message.sender_id != state.config.id;
}

void ReadHeader(state& state, const message& message, time_point now, effects& out) {
  details::ApplyUpdate(
      state, {message.sender_id, message.sender_address, message.incarnation, message.status}, now,
      out);
  const auto found = state.members.find(message.sender_id);
  if (found == state.members.end()) return;
  found->second.last_heard = now;
  found->second.config_version = message.config_version;
  if (message.config_version == 0) return;
  out.reports.push_back({message.sender_id, message.config_version,
                         std::chrono::milliseconds(message.config_age_ms)});
}

void Dispatch(state& state, const message& message, time_point now, effects& out) {
  switch (message.kind) {
    case message_kind::kPing:
      details::ReplyToPing(state, message, now, out);
      return;
    case message_kind::kAck:
      details::OnAck(state, message, now, out);
      return;
    case message_kind::kPingRequest:
      details::RelayPing(state, message, now, out);
      return;
    case message_kind::kSyncRequest:
      details::ReplyToSync(state, message, now, out);
      return;
    case message_kind::kGossip:
    case message_kind::kSyncReply:
      return;
  }
}

}  // namespace

state MakeState(settings config, uint64_t seed, time_point now) {
  state out;
  out.incarnation = config.incarnation;
  out.next_fact_version = config.incarnation + 1;
  out.config = std::move(config);
  out.rng.seed(seed);
  out.last_tick = now;
  out.next_probe = now;
  out.next_gossip = now;
  out.next_sync = now + out.config.resync_delay;
  details::RefillGossipTokens(out, std::chrono::hours(1));
  out.next_rejoin = now;
  Put(out.update_queue, out.config.id, 0);
  return out;
}

effects OnTick(state& state, time_point now) {
  effects out;
  HandlePause(state, now);
  details::RefillGossipTokens(state, now - state.last_tick);
  state.last_tick = now;
  details::ExpireMembers(state, now, out);
  const settings& config = state.config;
  if (!state.leaving && IsDue(state, state.next_rejoin, config.rejoin_interval, now)) {
    details::ContactUnreachable(state, now, out);
  }
  details::AdvanceProbe(state, now, out);
  if (IsDue(state, state.next_sync, config.sync_interval, now)) {
    details::RequestSync(state, now, out);
  }
  if (IsDue(state, state.next_gossip, config.gossip_interval, now)) {
    details::GossipToOneMember(state, now, out);
  }
  return out;
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
  effects out;
  if (!IsForUs(state, message)) return out;
  ReadHeader(state, message, now, out);
  details::CompleteProbe(state, message.sender_id);
  for (const member_update& update : message.updates) {
    details::ApplyUpdate(state, update, now, out);
  }
  details::ApplyFacts(state, message.facts, now, out);
  Dispatch(state, message, now, out);
  return out;
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
  fact& item = state.own_facts[key];
  item = {state.config.id, std::move(key), std::move(value), state.next_fact_version++, urgent};
  details::QueueFact(state, item);
  effects out;
  if (urgent) details::Broadcast(state, now, out);
  return out;
}

void SetConfigVersion(state& state, uint64_t version, time_point confirmed) {
  state.config_version = version;
  state.config_confirmed = confirmed;
}

effects Leave(state& state, time_point now) {
  state.leaving = true;
  Put(state.update_queue, state.config.id, 0);
  effects out;
  for (const member* target : details::PickRandomMembers(state, kLeaveReceivers)) {
    out.sends.push_back(
        details::Compose(state, message_kind::kGossip, target->id, target->address, now));
  }
  return out;
}

std::vector<std::string> LiveIds(const state& state) {
  std::vector<std::string> ids = {state.config.id};
  for (const auto& [id, member] : state.members) {
    if (details::IsLive(member.status)) ids.push_back(id);
  }
  std::ranges::sort(ids);
  return ids;
}

size_t LiveCount(const state& state) {
  return 1 + static_cast<size_t>(std::ranges::count_if(state.members, [](const auto& entry) {
           return details::IsLive(entry.second.status);
         }));
}

}  // namespace balsambay::membership
