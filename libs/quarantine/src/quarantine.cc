// Entry points: decisions, ends of runs, losses, and the exchange with peers.
#include "quarantine/quarantine.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

#include "base/hash.h"
#include "base/result.h"
#include "details/entries.h"

namespace balsambay::quarantine {
namespace {

constexpr duration kSweepInterval = 100ms;

// Reassesses and tells the peers.
void Announce(table& state, const fingerprint& key, entry& item, outputs& out) {
  details::Reassess(state, key, item, out);
  out.publish.push_back(details::MakeUpdate(state, key, item));
}

decision Hold(entry& item, time_point until) {
  item.has_waiters = true;
  return {verdict::kHold, until};
}

decision Begin(table& state, run_id id, const fingerprint& key, entry& item, bool alone) {
  CheckInvariant(!state.runs.contains(id), "quarantine: the run id is in use");
  item.runs += 1;
  item.fresh += 1;
  run& active = state.runs[id];
  active.key = key;
  active.alone = alone;
  return {alone ? verdict::kAllowAlone : verdict::kAllow};
}

duration SettleTime(const table& state) {
  return state.has_peers ? 2 * state.config.exchange_delay : duration(0);
}

// A holding peer blocks everyone; among waiting claims the lowest daemon goes first.
bool IsBlocked(const table& state, const entry& item) {
  return std::ranges::any_of(item.peers, [&](const auto& peer) {
    return peer.second.kind == claim_kind::kHolding || peer.first < state.config.daemon;
  });
}

// Whether every loss still to be confirmed leaves room for one more.
bool MayRiskOne(const settings& config, const entry& item) {
  const size_t possible = item.losses.size() + item.pending.size();
  return static_cast<int>(possible) < config.max_losses;
}

// Ends the own claim after a copy that decided nothing. With further copies waiting here it goes
// on, settled, so that they do not wait for another settle time each.
void YieldClaim(const table& state, entry& item, time_point now) {
  if (!item.claimed_at || item.fresh > 0 || !item.pending.empty()) return;
  if (item.has_waiters) {
    item.claimed_at = now - SettleTime(state);
  } else {
    item.claimed_at.reset();
  }
}

// Claims made within one exchange delay of each other are known to both sides after two. A daemon
// that knows another's claim makes none of its own.
decision StartAlone(table& state, run_id id, const fingerprint& key, entry& item, time_point now,
                    outputs& out) {
  if (item.fresh > 0 || !MayRiskOne(state.config, item)) return Hold(item, kNever);
  if (!item.claimed_at) {
    if (!item.peers.empty()) return Hold(item, kNever);
    item.claimed_at = now;
    Announce(state, key, item, out);
  }
  const time_point settled = *item.claimed_at + SettleTime(state);
  if (now < settled) return Hold(item, settled);
  if (IsBlocked(state, item)) return Hold(item, kNever);
  const decision begun = Begin(state, id, key, item, true);
  Announce(state, key, item, out);
  return begun;
}

bool IsProven(const settings& config, const entry& item, time_point now) {
  return config.max_unproven_runs <= 0 || now < item.proven_until;
}

void ClearLosses(entry& item) {
  const std::vector<endpoint_life> losses = item.losses;
  for (const endpoint_life& life : losses) details::MoveToCleared(item, life);
}

void EndCompleted(table& state, const fingerprint& key, entry& item, time_point now, outputs& out) {
  item.proven_until = now + state.config.proof_lifetime;
  item.completed_until = item.proven_until;
  const bool was_suspected = !item.losses.empty() || item.claimed_at.has_value();
  ClearLosses(item);
  details::ReleaseClaim(item);
  if (was_suspected) {
    Announce(state, key, item, out);
  } else {
    details::Reassess(state, key, item, out);
  }
}

void EndBroken(table& state, const fingerprint& key, entry& item, const pending_loss& broken,
               time_point now, outputs& out) {
  const bool decided =
      details::Contains(item.losses, broken.life) || details::Contains(item.cleared, broken.life);
  if (!decided) {
    item.pending.push_back(broken);
    if (!item.claimed_at) item.claimed_at = now;
  } else {
    YieldClaim(state, item, now);
  }
  Announce(state, key, item, out);
}

void EndFailed(table& state, const fingerprint& key, entry& item, time_point now, outputs& out) {
  const bool claimed = item.claimed_at.has_value();
  YieldClaim(state, item, now);
  if (claimed) {
    Announce(state, key, item, out);
  } else {
    details::Reassess(state, key, item, out);
  }
}

bool ErasePending(entry& item, const endpoint_life& life) {
  return std::erase_if(item.pending, [&](const pending_loss& one) { return one.life == life; }) > 0;
}

// The claim goes on after the confirmation, so that this daemon's own repeat needs no second settle
// time; Tick() ends it when there is none.
void Confirm(table& state, const fingerprint& key, entry& item, const endpoint_life& life,
             bool alone, time_point now, outputs& out) {
  const bool was_pending = ErasePending(item, life);
  const bool added = details::AddLoss(state.config, item, life, alone, now);
  if (!added && !was_pending) return;
  const bool condemned = static_cast<int>(item.losses.size()) >= state.config.max_losses;
  if (condemned) details::ReleaseClaim(item);
  Announce(state, key, item, out);
}

// Fingerprints that ran on `life`, and whether one of their runs was a suspect.
std::map<fingerprint, bool> AffectedBy(const table& state, const endpoint_life& life) {
  std::map<fingerprint, bool> out;
  for (const auto& [id, active] : state.runs) {
    if (details::Contains(active.route, life)) out[active.key] |= active.alone;
  }
  for (const fingerprint& key : state.marked) {
    for (const pending_loss& one : state.entries.find(key)->second.pending) {
      if (one.life == life) out[key] |= one.alone;
    }
  }
  return out;
}

// A copy that began before the first sign of trouble: its daemon claims it, so that nobody starts
// another one beside it.
void ClaimRunning(table& state, const update& from, entry& item, time_point now, outputs& out) {
  if (item.fresh == 0 || item.claimed_at) return;
  item.claimed_at = now;
  out.publish.push_back(details::MakeUpdate(state, from.key, item));
}

void MergeLosses(const settings& config, entry& item, const update& from, time_point now) {
  for (const endpoint_life& life : from.cleared) details::MoveToCleared(item, life);
  for (const endpoint_life& life : from.losses) {
    details::AddLoss(config, item, life, from.condemned, now);
  }
}

// --- expiry ---

bool ExpirePending(table& state, const fingerprint& key, entry& item, time_point now,
                   outputs& out) {
  const std::vector<pending_loss> pending = item.pending;
  bool any = false;
  for (const pending_loss& one : pending) {
    if (now - one.since < state.config.confirm_within) continue;
    Confirm(state, key, item, one.life, one.alone, now, out);
    any = true;
  }
  return any;
}

bool ExpireClaims(table& state, entry& item, time_point now) {
  bool any =
      std::erase_if(item.peers, [&](const auto& peer) { return now >= peer.second.expires; }) > 0;
  const duration unused = SettleTime(state) + state.config.unused_claim;
  const bool idle = item.claimed_at && item.fresh == 0 && item.pending.empty();
  // A claim that waits for another daemon's run is not unused.
  if (idle && item.peers.empty() && now - *item.claimed_at >= unused) {
    item.claimed_at.reset();
    any = true;
  }
  return any;
}

bool ExpireLosses(entry& item, time_point now) {
  if (item.losses.empty() || now < item.loss_expires) return false;
  ClearLosses(item);
  return true;
}

void Expire(table& state, const fingerprint& key, time_point now, outputs& out) {
  entry& item = state.entries.find(key)->second;
  ExpirePending(state, key, item, now, out);
  const bool had_claim = item.claimed_at.has_value();
  bool any = ExpireClaims(state, item, now);
  any |= ExpireLosses(item, now);
  if (!any) return;
  if (had_claim != item.claimed_at.has_value()) {
    Announce(state, key, item, out);
  } else {
    details::Reassess(state, key, item, out);
  }
}

void DropStale(table& state, time_point now) {
  // The list is in order of use, so the walk ends at the first entry that is still of use.
  while (!state.plain.empty()) {
    const auto found = state.entries.find(state.plain.back());
    const entry& item = found->second;
    if (item.runs > 0 || now < item.proven_until) return;
    state.entries.erase(found);
    state.plain.pop_back();
  }
}

}  // namespace

std::string_view ToString(fingerprint_state state) {
  constexpr std::array<std::string_view, 3> kNames = {"clear", "suspected", "quarantined"};
  return kNames[static_cast<size_t>(state)];
}

fingerprint MakeFingerprint(std::string_view workspace, std::string_view content) {
  const uint64_t seed = Hash64(workspace);
  return {Hash64(content, seed), Hash64(content, seed + 1)};
}

std::string ToString(const fingerprint& key) {
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, key.high, key.low);
  return text.data();
}

void SetHasPeers(table& state, bool has_peers) { state.has_peers = has_peers; }

decision Start(table& state, run_id id, const fingerprint& key, time_point now, outputs& out) {
  entry& item = details::Touch(state, key);
  if (item.state == fingerprint_state::kQuarantined) return {verdict::kRefuse, item.loss_expires};
  const bool suspected = item.state == fingerprint_state::kSuspected;
  if (suspected && !state.config.test_faults.no_claims) {
    return StartAlone(state, id, key, item, now, out);
  }
  const bool copies_wait = !IsProven(state.config, item, now) &&
                           item.fresh >= state.config.max_unproven_runs &&
                           !state.config.test_faults.no_claims;
  if (copies_wait) return Hold(item, kNever);
  return Begin(state, id, key, item, false);
}

void Place(table& state, run_id id, std::span<const endpoint_life> route, outputs& out) {
  const auto found = state.runs.find(id);
  CheckInvariant(found != state.runs.end(), "quarantine: Place() for a run that did not start");
  run& active = found->second;
  active.route.assign(route.begin(), route.end());
  if (!active.alone) return;
  details::RebuildSuspectEndpoints(state);
  const entry& item = state.entries.find(active.key)->second;
  out.publish.push_back(details::MakeUpdate(state, active.key, item));
}

void Progress(table& state, run_id id, time_point now, outputs& out) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end() || found->second.progressed) return;
  run& active = found->second;
  active.progressed = true;
  entry& item = details::Touch(state, active.key);
  item.fresh -= 1;
  item.proven_until = now + state.config.proof_lifetime;
  const bool claimed = item.claimed_at.has_value();
  YieldClaim(state, item, now);
  if (active.alone) details::RebuildSuspectEndpoints(state);
  if (claimed) {
    Announce(state, active.key, item, out);
  } else {
    details::Reassess(state, active.key, item, out);
  }
}

void End(table& state, run_id id, run_end how, const std::optional<endpoint_life>& broken,
         time_point now, outputs& out) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end()) return;
  const fingerprint key = found->second.key;
  const bool alone = found->second.alone;
  const bool fresh = !found->second.progressed;
  state.runs.erase(found);
  if (alone) details::RebuildSuspectEndpoints(state);
  entry& item = details::Touch(state, key);
  item.runs -= 1;
  item.fresh -= fresh ? 1 : 0;
  if (how == run_end::kCompleted) {
    EndCompleted(state, key, item, now, out);
  } else if (how == run_end::kBroken) {
    CheckInvariant(broken.has_value(), "quarantine: a broken run names its endpoint");
    EndBroken(state, key, item, {*broken, now, alone}, now, out);
  } else {
    EndFailed(state, key, item, now, out);
  }
}

void Lost(table& state, const endpoint_life& life, time_point now, outputs& out) {
  for (const auto& [key, alone] : AffectedBy(state, life)) {
    Confirm(state, key, state.entries.find(key)->second, life, alone, now, out);
  }
}

void Alive(table& state, const endpoint_life& life, time_point now, outputs& out) {
  const std::list<fingerprint> marked = state.marked;
  for (const fingerprint& key : marked) {
    entry& item = state.entries.find(key)->second;
    if (!ErasePending(item, life)) continue;
    YieldClaim(state, item, now);
    Announce(state, key, item, out);
  }
}

void Merge(table& state, const update& from, time_point now, outputs& out) {
  const bool says_something = from.claim != claim_kind::kNone || !from.losses.empty();
  if (!says_something && details::Find(state, from.key) == nullptr) return;
  entry& item = details::Touch(state, from.key);
  MergeLosses(state.config, item, from, now);
  if (from.claim != claim_kind::kNone) {
    item.peers[from.daemon] = {now + state.config.peer_claim, from.claim, from.endpoints};
    ClaimRunning(state, from, item, now, out);
  } else {
    item.peers.erase(from.daemon);
  }
  details::Reassess(state, from.key, item, out);
  details::RebuildSuspectEndpoints(state);
}

void PeerGone(table& state, std::string_view daemon, time_point /*now*/, outputs& out) {
  const std::list<fingerprint> marked = state.marked;
  for (const fingerprint& key : marked) {
    entry& item = state.entries.find(key)->second;
    if (item.peers.erase(std::string(daemon)) > 0) details::Reassess(state, key, item, out);
  }
  details::RebuildSuspectEndpoints(state);
}

bool HasSuspect(const table& state, std::string_view endpoint) {
  if (state.config.test_faults.no_isolation) return false;
  return state.suspect_endpoints.contains(endpoint);
}

void Tick(table& state, time_point now, outputs& out) {
  if (now < state.next_sweep) return;
  state.next_sweep = now + kSweepInterval;
  const std::list<fingerprint> marked = state.marked;
  for (const fingerprint& key : marked) Expire(state, key, now, out);
  if (!marked.empty()) details::RebuildSuspectEndpoints(state);
  DropStale(state, now);
}

time_point NextDeadline(const table& state) {
  return state.entries.empty() ? kNever : state.next_sweep;
}

std::vector<update> Snapshot(const table& state) {
  std::vector<update> out;
  for (const fingerprint& key : state.marked) {
    const entry& item = state.entries.find(key)->second;
    if (item.losses.empty() && !item.claimed_at) continue;
    out.push_back(details::MakeUpdate(state, key, item));
  }
  return out;
}

fingerprint_state StateOf(const table& state, const fingerprint& key) {
  const auto it = state.entries.find(key);
  return it == state.entries.end() ? fingerprint_state::kClear : it->second.state;
}

}  // namespace balsambay::quarantine
