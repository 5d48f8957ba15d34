// Precedence of updates and status transitions of members. The state chart charts/member.scxml
// defines the transitions.
#include "details/members.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "base/hash.h"
#include "chart/chart.h"
#include "details/gossip.h"
#include "member_chart.h"

namespace balsambay::membership::details {
namespace {

enum class chart_event : uint8_t { kAlive, kSuspect, kFail, kLeave };

const chart::table& MemberChart() {
  static constexpr std::array<std::string_view, 5> kStates = {"unknown", "alive", "suspect",
                                                              "failed", "left"};
  static constexpr std::array<std::string_view, 4> kEvents = {"alive", "suspect", "fail", "leave"};
  static const chart::table table = chart::ParseEmbedded(charts::member, kStates, kEvents);
  return table;
}

chart_event EventOf(member_status status) {
  switch (status) {
    case member_status::kSuspect:
      return chart_event::kSuspect;
    case member_status::kFailed:
      return chart_event::kFail;
    case member_status::kLeft:
      return chart_event::kLeave;
    case member_status::kUnknown:
    case member_status::kAlive:
      break;
  }
  return chart_event::kAlive;
}

// Whether `update` overrides the known status. A higher incarnation always does; at the same
// incarnation, a status overrides those before it in the order alive, suspect, failed, left.
bool IsOverriddenBy(const member& member, const member_update& update) {
  if (member.status == member_status::kUnknown) return true;
  if (update.incarnation != member.incarnation) return update.incarnation > member.incarnation;
  return update.status > member.status;
}

void AddEvent(const member& member, event_kind kind, effects& effects) {
  effects.events.push_back({kind, member.id, member.address});
}

// Adds the events of a change from `old_status`.
void AddEvents(const member& member, member_status old_status, effects& effects) {
  const bool was_live = IsLive(old_status);
  switch (member.status) {
    case member_status::kAlive:
      if (!was_live) AddEvent(member, event_kind::kJoined, effects);
      if (old_status == member_status::kSuspect) AddEvent(member, event_kind::kRecovered, effects);
      return;
    case member_status::kSuspect:
      if (!was_live) AddEvent(member, event_kind::kJoined, effects);
      if (old_status != member_status::kSuspect) AddEvent(member, event_kind::kSuspect, effects);
      return;
    case member_status::kFailed:
      if (was_live) AddEvent(member, event_kind::kFailed, effects);
      return;
    case member_status::kLeft:
      if (was_live) AddEvent(member, event_kind::kLeft, effects);
      return;
    case member_status::kUnknown:
      return;
  }
}

void EnterStatus(state& state, member& member, member_status old_status, time_point now) {
  if (member.status != old_status) member.status_since = now;
  if (member.status != member_status::kSuspect) {
    member.suspect_until = kNever;
  } else if (old_status != member_status::kSuspect) {
    member.suspect_until = now + SuspicionTimeout(state);
  }
  if (old_status == member_status::kFailed && IsLive(member.status)) ++state.counters.rejoins;
  if (!IsLive(member.status)) member.facts.clear();
}

// Enters the status of `update` if the state chart allows the transition, and queues the update.
void ApplyTransition(state& state, member& member, const member_update& update, time_point now,
                     effects& effects) {
  const member_status old_status = member.status;
  if (!chart::Step(MemberChart(), member.status, EventOf(update.status))) {
    // The known process has failed or left, and the update reports a suspicion, failure or leave of
    // a newer process. The member therefore stays failed or left.
    return;
  }
  member.incarnation = update.incarnation;
  member.address = update.address;
  EnterStatus(state, member, old_status, now);
  AddEvents(member, old_status, effects);
  Put(state.update_queue, member.id, 0);
}

// A refutation adds 1 to the incarnation, while a new process starts with its wall-clock time in
// ms. An increase by at least this much therefore indicates a restart that was not detected as a
// failure.
constexpr uint64_t kMinRestartIncrease = 1000;

bool IsRestart(const member& member, const member_update& update) {
  return IsLive(member.status) && update.incarnation >= member.incarnation + kMinRestartIncrease;
}

// Applies an update that overrides the known status. A restart is reported as a failure of the old
// process before the new one joins.
void ApplyOverride(state& state, member& member, const member_update& update, time_point now,
                   effects& effects) {
  if (IsRestart(member, update)) {
    member_update failed = UpdateOf(member);
    failed.status = member_status::kFailed;
    ApplyTransition(state, member, failed, now, effects);
  }
  ApplyTransition(state, member, update, now, effects);
}

// Declares live members with the address of `update` and a lower incarnation failed: their process
// was replaced by another with a different id.
void FailReplaced(state& state, const member_update& update, time_point now, effects& effects) {
  for (auto& [id, member] : state.members) {
    if (id == update.id || member.address != update.address || !IsLive(member.status)) continue;
    if (member.incarnation >= update.incarnation) continue;
    member_update failed = UpdateOf(member);
    failed.status = member_status::kFailed;
    ApplyTransition(state, member, failed, now, effects);
  }
}

// Whether a live member with the address of `update` and a higher incarnation has replaced it.
bool IsReplaced(const state& state, const member_update& update) {
  return std::ranges::any_of(state.members, [&update](const auto& entry) {
    const member& member = entry.second;
    return member.id != update.id && member.address == update.address && IsLive(member.status) &&
           member.incarnation > update.incarnation;
  });
}

void ApplyOwnUpdate(state& state, const member_update& update, time_point now, effects& effects) {
  if (state.leaving) return;
  const bool not_alive = update.status != member_status::kAlive;
  const bool is_newer = update.incarnation > state.incarnation;
  const bool is_same = update.incarnation == state.incarnation;
  if (is_newer || (not_alive && is_same)) Refute(state, update, now, effects);
}

}  // namespace

bool IsLive(member_status status) {
  return status == member_status::kAlive || status == member_status::kSuspect;
}

void ApplyUpdate(state& state, const member_update& update, time_point now, effects& effects) {
  if (update.id == state.config.id) {
    ApplyOwnUpdate(state, update, now, effects);
    return;
  }
  const auto found = state.members.find(update.id);
  if (found == state.members.end()) {
    if (!IsLive(update.status) || update.id.empty()) return;
    if (state.members.size() >= state.config.max_members) {
      ++state.counters.limit_rejections;
      return;
    }
  } else if (!IsOverriddenBy(found->second, update)) {
    return;
  }
  if (IsLive(update.status)) {
    if (IsReplaced(state, update)) return;
    FailReplaced(state, update, now, effects);
  }
  member& member = state.members[update.id];
  member.id = update.id;
  ApplyOverride(state, member, update, now, effects);
}

member_update UpdateOf(const member& member) {
  return {member.id, member.address, member.incarnation, member.status};
}

member_update OwnUpdate(const state& state) {
  return {state.config.id, state.config.address, state.incarnation,
          state.leaving ? member_status::kLeft : member_status::kAlive};
}

uint64_t TableDigest(const state& state) {
  uint64_t digest = state.leaving ? 0 : Hash64(state.config.id, state.incarnation);
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status)) digest ^= Hash64(id, member.incarnation);
  }
  return digest;
}

std::vector<const member*> PickRandomMembers(state& state, size_t count,
                                             std::string_view excluded_id) {
  std::vector<const member*> live;
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status) && id != excluded_id) live.push_back(&member);
  }
  count = std::min(count, live.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(live[i], live[i + UniformBelow(state.rng, live.size() - i)]);
  }
  live.resize(count);
  return live;
}

void ExpireMembers(state& state, time_point now, effects& effects) {
  for (auto& [id, member] : state.members) {
    if (member.status != member_status::kSuspect || member.suspect_until > now) continue;
    member_update failed = UpdateOf(member);
    failed.status = member_status::kFailed;
    ApplyTransition(state, member, failed, now, effects);
  }
  std::erase_if(state.members, [&](const auto& entry) {
    const member& member = entry.second;
    const bool is_expired = now - member.status_since >= state.config.tombstone_lifetime;
    if (IsLive(member.status) || !is_expired) return false;
    Remove(state.update_queue, member.id);
    return true;
  });
}

duration SuspicionTimeout(const state& state) {
  const double scale = std::max(1.0, std::log10(static_cast<double>(LiveMemberCount(state))));
  const auto periods = static_cast<double>(state.config.suspicion_periods) * scale;
  return duration(
      static_cast<duration::rep>(periods * static_cast<double>(state.config.period.count())));
}

void Refute(state& state, const member_update& update, time_point now, effects& effects) {
  state.incarnation = std::max(state.incarnation, update.incarnation) + 1;
  ++state.counters.refutations;
  if (!IsLive(update.status)) {
    for (const auto& [key, fact] : state.own_facts) QueueFact(state, fact);
  }
  Put(state.update_queue, state.config.id, 0);
  Broadcast(state, now, effects);
}

}  // namespace balsambay::membership::details
