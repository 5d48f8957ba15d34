// Rules of precedence between updates. The chart in charts/member.scxml holds the transitions.
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

// At one incarnation the order is alive, suspect, failed, left; a higher incarnation always wins.
bool IsNews(const member& known, const member_update& update) {
  if (known.status == member_status::kUnknown) return true;
  if (update.incarnation != known.incarnation) return update.incarnation > known.incarnation;
  return update.status > known.status;
}

void AddEvent(const member& member, event_kind kind, effects& out) {
  out.events.push_back({kind, member.id, member.address});
}

void AddEvents(const member& member, member_status before, effects& out) {
  const bool was_live = IsLive(before);
  switch (member.status) {
    case member_status::kAlive:
      if (!was_live) AddEvent(member, event_kind::kJoined, out);
      if (before == member_status::kSuspect) AddEvent(member, event_kind::kRecovered, out);
      return;
    case member_status::kSuspect:
      if (!was_live) AddEvent(member, event_kind::kJoined, out);
      if (before != member_status::kSuspect) AddEvent(member, event_kind::kSuspect, out);
      return;
    case member_status::kFailed:
      if (was_live) AddEvent(member, event_kind::kFailed, out);
      return;
    case member_status::kLeft:
      if (was_live) AddEvent(member, event_kind::kLeft, out);
      return;
    case member_status::kUnknown:
      return;
  }
}

void EnterStatus(state& state, member& member, member_status before, time_point now) {
  if (member.status != before) member.since = now;
  if (member.status != member_status::kSuspect) {
    member.suspect_until = kNever;
  } else if (before != member_status::kSuspect) {
    member.suspect_until = now + SuspicionTimeout(state);
  }
  if (before == member_status::kFailed && IsLive(member.status)) ++state.counters.rejoins;
  if (!IsLive(member.status)) member.facts.clear();
}

void ApplyNews(state& state, member& member, const member_update& update, time_point now,
               effects& out) {
  const member_status before = member.status;
  if (!chart::Step(MemberChart(), member.status, EventOf(update.status))) {
    // A failure or suspicion of a newer process than the known one, which is gone as well.
    return;
  }
  member.incarnation = update.incarnation;
  member.address = update.address;
  EnterStatus(state, member, before, now);
  AddEvents(member, before, out);
  Put(state.update_queue, member.id, 0);
}

// Refutations add 1 to an incarnation, while a new process starts at its wall-clock time in ms: a
// jump of this size is a restart that nobody has noticed.
constexpr uint64_t kRestartGap = 1000;

bool IsRestart(const member& known, const member_update& update) {
  return IsLive(known.status) && update.incarnation >= known.incarnation + kRestartGap;
}

void Apply(state& state, member& member, const member_update& update, time_point now,
           effects& out) {
  if (IsRestart(member, update)) {
    member_update gone = UpdateOf(member);
    gone.status = member_status::kFailed;
    ApplyNews(state, member, gone, now, out);
  }
  ApplyNews(state, member, update, now, out);
}

// Another live member at the same address with a lower incarnation is a process that was replaced.
void FailReplaced(state& state, const member_update& update, time_point now, effects& out) {
  for (auto& [id, other] : state.members) {
    if (id == update.id || other.address != update.address || !IsLive(other.status)) continue;
    if (other.incarnation >= update.incarnation) continue;
    member_update failed = UpdateOf(other);
    failed.status = member_status::kFailed;
    ApplyNews(state, other, failed, now, out);
  }
}

bool IsReplaced(const state& state, const member_update& update) {
  return std::ranges::any_of(state.members, [&update](const auto& entry) {
    const member& other = entry.second;
    return other.id != update.id && other.address == update.address && IsLive(other.status) &&
           other.incarnation > update.incarnation;
  });
}

void ApplyOwnUpdate(state& state, const member_update& update, time_point now, effects& out) {
  if (state.leaving) return;
  const bool accused = update.status != member_status::kAlive;
  const bool newer = update.incarnation > state.incarnation;
  const bool same = update.incarnation == state.incarnation;
  if (newer || (accused && same)) Refute(state, update, now, out);
}

}  // namespace

bool IsLive(member_status status) {
  return status == member_status::kAlive || status == member_status::kSuspect;
}

void ApplyUpdate(state& state, const member_update& update, time_point now, effects& out) {
  if (update.id == state.config.id) {
    ApplyOwnUpdate(state, update, now, out);
    return;
  }
  const auto found = state.members.find(update.id);
  if (found == state.members.end()) {
    if (!IsLive(update.status) || update.id.empty()) return;
    if (state.members.size() >= state.config.max_members) {
      ++state.counters.limit_rejections;
      return;
    }
  } else if (!IsNews(found->second, update)) {
    return;
  }
  if (IsLive(update.status)) {
    if (IsReplaced(state, update)) return;
    FailReplaced(state, update, now, out);
  }
  member& member = state.members[update.id];
  member.id = update.id;
  Apply(state, member, update, now, out);
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

std::vector<const member*> PickRandomMembers(state& state, size_t count, std::string_view except) {
  std::vector<const member*> live;
  for (const auto& [id, member] : state.members) {
    if (IsLive(member.status) && id != except) live.push_back(&member);
  }
  count = std::min(count, live.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(live[i], live[i + UniformBelow(state.rng, live.size() - i)]);
  }
  live.resize(count);
  return live;
}

void ExpireMembers(state& state, time_point now, effects& out) {
  for (auto& [id, member] : state.members) {
    if (member.status != member_status::kSuspect || member.suspect_until > now) continue;
    member_update failed = UpdateOf(member);
    failed.status = member_status::kFailed;
    ApplyNews(state, member, failed, now, out);
  }
  std::erase_if(state.members, [&](const auto& entry) {
    const member& member = entry.second;
    const bool old = now - member.since >= state.config.tombstone_lifetime;
    if (IsLive(member.status) || !old) return false;
    Remove(state.update_queue, member.id);
    return true;
  });
}

duration SuspicionTimeout(const state& state) {
  const double scale = std::max(1.0, std::log10(static_cast<double>(LiveCount(state))));
  const auto periods = static_cast<double>(state.config.suspicion_periods) * scale;
  return duration(
      static_cast<duration::rep>(periods * static_cast<double>(state.config.period.count())));
}

void Refute(state& state, const member_update& accusation, time_point now, effects& out) {
  state.incarnation = std::max(state.incarnation, accusation.incarnation) + 1;
  ++state.counters.refutations;
  if (!IsLive(accusation.status)) {
    for (const auto& [key, item] : state.own_facts) QueueFact(state, item);
  }
  Put(state.update_queue, state.config.id, 0);
  Broadcast(state, now, out);
}

}  // namespace balsambay::membership::details
