// The bounded table of fingerprints and the state of one entry.
#include "details/entries.h"

#include <algorithm>
#include <array>

#include "chart/chart.h"
#include "fingerprint_state_chart.h"

namespace balsambay::quarantine::details {
namespace {

enum class event : uint8_t { kSuspected, kCondemned, kCleared };
constexpr std::array<std::string_view, 3> kStates = {"clear", "suspected", "quarantined"};
constexpr std::array<std::string_view, 3> kEvents = {"suspected", "condemned", "cleared"};
constexpr size_t kKeptLives = 8;

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

event Assessment(const settings& config, const entry& item) {
  if (static_cast<int>(item.losses.size()) >= config.max_losses) return event::kCondemned;
  const bool open = !item.losses.empty() || !item.pending.empty() || !item.peers.empty();
  return open ? event::kSuspected : event::kCleared;
}

std::vector<std::string> SuspectEndpoints(const table& state, const fingerprint& key) {
  std::vector<std::string> out;
  for (const auto& [id, active] : state.runs) {
    if (active.key != key || !active.alone || active.progressed) continue;
    for (const endpoint_life& life : active.route) out.push_back(life.endpoint);
  }
  return out;
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
  Raise(item, Assessment(state.config, item));
  const bool marked = item.state != fingerprint_state::kClear || item.claimed_at.has_value();
  if (marked != item.marked) MoveToFront(state, item, marked);
  if (!item.has_waiters) return;
  item.has_waiters = false;
  out.wake.push_back(key);
}

bool Contains(std::span<const endpoint_life> lives, const endpoint_life& life) {
  return std::ranges::find(lives, life) != lives.end();
}

bool AddLoss(const settings& config, entry& item, const endpoint_life& life, bool alone,
             time_point now) {
  if (Contains(item.cleared, life)) return false;
  if (Contains(item.losses, life) && !config.test_faults.count_twice) return false;
  const int count = static_cast<int>(item.losses.size());
  if (count >= config.max_losses) return false;
  const bool trusted = !alone && now < item.completed_until;
  if (trusted && count + 1 >= config.max_losses) {
    MoveToCleared(item, life);
    return false;
  }
  item.losses.push_back(life);
  item.loss_expires = now + config.loss_lifetime;
  return true;
}

void MoveToCleared(entry& item, const endpoint_life& life) {
  std::erase(item.losses, life);
  if (Contains(item.cleared, life)) return;
  if (item.cleared.size() >= kKeptLives) item.cleared.erase(item.cleared.begin());
  item.cleared.push_back(life);
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
    for (const endpoint_life& life : active.route) state.suspect_endpoints.insert(life.endpoint);
  }
}

update MakeUpdate(const table& state, const fingerprint& key, const entry& item) {
  const bool condemned = item.state == fingerprint_state::kQuarantined;
  return {state.config.daemon,         key, item.losses, item.cleared, condemned, OwnClaim(item),
          SuspectEndpoints(state, key)};
}

}  // namespace balsambay::quarantine::details
