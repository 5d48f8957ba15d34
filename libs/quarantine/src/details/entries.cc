// The bounded table of fingerprints and the state of one entry.
#include "details/entries.h"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "chart/chart.h"
#include "fingerprint_state_chart.h"

namespace balsambay::quarantine::details {
namespace {

enum class event : uint8_t { kSuspected, kCondemned, kCleared };
constexpr std::array<std::string_view, 3> kStates = {"clear", "suspected", "quarantined"};
constexpr std::array<std::string_view, 3> kEvents = {"suspected", "condemned", "cleared"};
constexpr size_t kKeptLives = 16;
// While this many endpoints were lost within this time that a fingerprint was not on, something
// else takes them down.
constexpr std::ptrdiff_t kManyLosses = 4;
constexpr duration kRecently = 5s;

void Raise(entry& item, event signal) {
  static const chart::table fingerprint_chart =
      chart::ParseEmbedded(charts::fingerprint_state, kStates, kEvents);
  chart::Step(fingerprint_chart, item.state, signal);
}

std::list<fingerprint>& ListOf(table& state, const entry& item) {
  return item.marked ? state.marked : state.plain;
}

void MoveToFront(table& state, entry& item, bool marked) {
  std::list<fingerprint>& from = ListOf(state, item);
  item.marked = marked;
  std::list<fingerprint>& to = ListOf(state, item);
  to.splice(to.begin(), from, item.position);
}

// Removes the least recently used entry of `list` that has no run in flight.
bool EvictFrom(table& state, std::list<fingerprint>& list) {
  for (auto it = list.rbegin(); it != list.rend(); ++it) {
    const auto found = state.entries.find(*it);
    if (found->second.runs > 0) continue;
    list.erase(std::next(it).base());
    state.entries.erase(found);
    return true;
  }
  return false;
}

event Assessment(const entry& item) {
  if (item.condemned) return event::kCondemned;
  // A run that had progressed is hardly the cause; its repeats are not treated as suspects.
  const bool looked_into =
      std::ranges::any_of(item.pending, std::logical_not<>(), &pending_loss::progressed);
  const bool open = !item.losses.empty() || looked_into || !item.peers.empty();
  return open ? event::kSuspected : event::kCleared;
}

std::vector<std::string> SuspectEndpoints(const table& state, const fingerprint& key) {
  std::vector<std::string> out;
  for (const auto& [id, active] : state.runs) {
    if (active.key != key || !active.alone || active.progressed) continue;
    for (const run_part& part : active.route) out.push_back(part.life.endpoint);
  }
  return out;
}

bool IsTrusted(const table& state, const entry& item, const finding& loss, bool condemns,
               time_point now) {
  if (state.config.trial == trial::kOneCopy) {
    return now < item.completed_until && !loss.alone && condemns;
  }
  // Copies that go on well show the same as one that has completed.
  const bool progressing = !loss.progressed && item.runs > item.fresh;
  return progressing || HasCompleted(item, now);
}

}  // namespace

entry* Find(table& state, const fingerprint& key) {
  const auto it = state.entries.find(key);
  return it == state.entries.end() ? nullptr : &it->second;
}

entry& Touch(table& state, const fingerprint& key) {
  if (entry* known = Find(state, key)) {
    MoveToFront(state, *known, known->marked);
    return *known;
  }
  while (state.entries.size() >= state.config.max_entries && !state.config.test_faults.unbounded) {
    if (!EvictFrom(state, state.plain) && !EvictFrom(state, state.marked)) break;
  }
  entry& added = state.entries[key];
  state.plain.push_front(key);
  added.position = state.plain.begin();
  return added;
}

void Reassess(table& state, const fingerprint& key, entry& item, outputs& out) {
  const fingerprint_state before = item.state;
  Raise(item, Assessment(item));
  const bool marked = item.state != fingerprint_state::kClear || item.claimed_at.has_value() ||
                      !item.pending.empty() || !item.disputed.empty();
  if (marked != item.marked) MoveToFront(state, item, marked);
  if (std::exchange(item.has_waiters, false)) out.wake.push_back(key);
  if (before == item.state) return;
  if (before == fingerprint_state::kQuarantined) out.released.push_back(key);
  if (item.state == fingerprint_state::kQuarantined) out.condemned.push_back(key);
}

bool Contains(std::span<const endpoint_life> lives, const endpoint_life& life) {
  return std::ranges::find(lives, life) != lives.end();
}

bool HasLoss(const entry& item, const endpoint_life& life) {
  return Contains(item.losses, life) || Contains(item.half, life);
}

int Score(const entry& item) {
  return kFullLoss * static_cast<int>(item.losses.size()) +
         kHalfLoss * static_cast<int>(item.half.size());
}

int UsualScore(const table& state) { return kFullLoss * state.config.max_losses; }

int ScoreToCondemn(const table& state, const entry& item, time_point now) {
  const int usual = UsualScore(state);
  if (state.config.test_faults.no_grading) return usual;
  const auto unrelated = std::ranges::count_if(state.recent, [&](const lost_life& lost) {
    return now - lost.at < kRecently && !Contains(item.present, lost.life) &&
           !HasLoss(item, lost.life);
  });
  return unrelated >= kManyLosses ? usual + kHalfLoss : usual;
}

bool GoesOnSince(const table& state, const fingerprint& key, const entry& item, const run* except,
                 time_point since) {
  // Most requests have no copy, so that this takes no search.
  const bool any = item.runs - item.fresh > (except != nullptr && except->progressed ? 1 : 0);
  return any && std::ranges::any_of(state.runs, [&](const auto& entry) {
           const run& active = entry.second;
           return &active != except && active.key == key && active.progressed &&
                  active.going_since <= since;
         });
}

bool HasCompleted(const entry& item, time_point now) {
  return now < item.completed_until && item.completions > 0;
}

void NoteCompleted(entry& item, time_point now, duration lifetime) {
  const int before = now < item.completed_until ? item.completions : 0;
  item.completions = std::min(before + 1, static_cast<int>(kKeptLives));
  item.proven_until = item.completed_until = now + lifetime;
}

bool AddLoss(const table& state, entry& item, const finding& loss, time_point now) {
  if (item.condemned || Contains(item.cleared, loss.life)) return false;
  if (Contains(item.losses, loss.life) && !state.config.test_faults.count_twice) return false;
  if (loss.half && Contains(item.half, loss.life)) return false;
  const int score = Score(item) + (loss.half ? kHalfLoss : kFullLoss);
  const bool condemns = score >= ScoreToCondemn(state, item, now);
  if (IsTrusted(state, item, loss, condemns, now)) {
    if (item.completions > 0) --item.completions;
    MoveToCleared(item, loss.life);
    return false;
  }
  std::erase(item.half, loss.life);
  (loss.half ? item.half : item.losses).push_back(loss.life);
  if (loss.progressed) item.lost_after = std::max(item.lost_after, now - loss.going_since);
  item.condemned = condemns;
  item.loss_expires = now + state.config.loss_lifetime;
  return true;
}

bool MoveToCleared(entry& item, const endpoint_life& life) {
  const bool counted = std::erase(item.losses, life) + std::erase(item.half, life) > 0;
  if (item.losses.empty() && !item.restored) item.condemned = false;
  if (item.half.empty()) item.lost_after = duration(0);
  if (Contains(item.cleared, life)) return counted;
  Remember(item.cleared, life);
  return counted;
}

void Reconsider(const table& state, entry& item) {
  if (!item.restored && Score(item) < UsualScore(state)) item.condemned = false;
}

void ClearLosses(entry& item) {
  std::vector<endpoint_life> lives = item.losses;
  lives.insert(lives.end(), item.half.begin(), item.half.end());
  item.condemned = item.restored = false;
  item.disputed.clear();
  for (const endpoint_life& life : lives) MoveToCleared(item, life);
}

void ClearFullLosses(entry& item) {
  const std::vector<endpoint_life> lives = item.losses;
  for (const endpoint_life& life : lives) MoveToCleared(item, life);
}

void Remember(std::vector<endpoint_life>& lives, const endpoint_life& life) {
  if (lives.size() >= kKeptLives) lives.erase(lives.begin());
  lives.push_back(life);
}

void ReleaseClaim(entry& item) {
  if (item.pending.empty()) item.claimed_at.reset();
}

claim_kind OwnClaim(const entry& item) {
  if (!item.claimed_at) return claim_kind::kNone;
  const bool waiting = item.fresh == 0 && item.pending.empty();
  return waiting ? claim_kind::kWaiting : claim_kind::kHolding;
}

void RebuildSuspectEndpoints(table& state) {
  state.suspect_endpoints.clear();
  for (const fingerprint& key : state.marked) {
    for (const auto& [daemon, claim] : state.entries.find(key)->second.peers) {
      state.suspect_endpoints.insert(claim.endpoints.begin(), claim.endpoints.end());
    }
  }
  for (const auto& [id, active] : state.runs) {
    if (!active.alone || active.progressed) continue;
    for (const run_part& part : active.route) state.suspect_endpoints.insert(part.life.endpoint);
  }
}

update MakeUpdate(const table& state, const fingerprint& key, const entry& item) {
  update out{.daemon = state.config.daemon,
             .key = key,
             .losses = item.losses,
             .cleared = item.cleared,
             .condemned = item.state == fingerprint_state::kQuarantined,
             .claim = OwnClaim(item),
             .endpoints = SuspectEndpoints(state, key),
             .half = item.half,
             .lost_after = item.lost_after};
  const bool shared = state.config.trial == trial::kShared;
  if (shared && !out.endpoints.empty()) out.claim = claim_kind::kHolding;
  return out;
}

}  // namespace balsambay::quarantine::details
