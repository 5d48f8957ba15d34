// Entry points: decisions, ends of runs, losses, and the exchange with peers.
#include "quarantine/quarantine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <numeric>
#include <utility>

#include "base/hash.h"
#include "base/result.h"
#include "details/blame.h"
#include "details/entries.h"

namespace balsambay::quarantine {
namespace {

constexpr duration kSweepInterval = 100ms;
// With trial::kShared, a peer's suspect counts as present for this much longer than its claim: the
// loss of an endpoint is confirmed within it.
constexpr duration kClaimGrace = 300ms;

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
  active.start = ++state.starts;
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

bool IsShared(const table& state) { return state.config.trial == trial::kShared; }

// Whether every loss still to be confirmed leaves room for one more.
bool MayRiskOne(const table& state, const entry& item, time_point now) {
  std::map<uint64_t, int> open;  // by start of the run
  for (const pending_loss& one : item.pending) {
    int& most = open[one.start];
    most = std::max(most, one.progressed ? details::kHalfLoss : details::kFullLoss);
  }
  const int sum = std::accumulate(open.begin(), open.end(), 0, [](int before, const auto& entry) {
    return before + entry.second;
  });
  return details::Score(item) + sum < details::ScoreToCondemn(state, item, now);
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
  if (item.fresh > 0 || !MayRiskOne(state, item, now)) return Hold(item, kNever);
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

// A repeat waits only while the losses that are being looked into could be the last ones.
bool MustWait(const table& state, const entry& item, time_point now) {
  if (item.pending.empty() || MayRiskOne(state, item, now)) return false;
  // Losses of endpoints where no copy progressed do not count while other copies go well.
  const bool goes_well = item.runs > item.fresh;
  return !goes_well || std::ranges::any_of(item.pending, &pending_loss::progressed);
}

decision StartShared(table& state, run_id id, const fingerprint& key, entry& item, time_point now) {
  if (MustWait(state, item, now)) {
    return Hold(item, std::ranges::min(item.pending, {}, &pending_loss::until).until);
  }
  return Begin(state, id, key, item, item.state == fingerprint_state::kSuspected);
}

bool IsProven(const settings& config, const entry& item, time_point now) {
  return config.max_unproven_runs <= 0 || now < item.proven_until;
}

void EndCompleted(table& state, const fingerprint& key, entry& item, bool alone, time_point now,
                  outputs& out) {
  details::NoteCompleted(item, now, state.config.proof_lifetime);
  const bool was_suspected = !item.losses.empty() || item.claimed_at.has_value() || alone;
  details::ClearLosses(item);
  details::ReleaseClaim(item);
  if (was_suspected) {
    Announce(state, key, item, out);
  } else {
    details::Reassess(state, key, item, out);
  }
}

// With trial::kShared, an endpoint is one pending loss, however it came under suspicion.
void AddPending(const table& state, entry& item, const pending_loss& loss) {
  const auto known = std::ranges::find(item.pending, loss.life, &pending_loss::life);
  if (!IsShared(state) || known == item.pending.end()) {
    item.pending.push_back(loss);
    return;
  }
  known->until = std::max(known->until, loss.until);
  known->alone = known->alone || loss.alone;
  known->progressed = known->progressed && loss.progressed;
}

void EndBroken(table& state, const fingerprint& key, entry& item, const pending_loss& broken,
               time_point now, outputs& out) {
  const bool decided =
      details::Contains(item.losses, broken.life) || details::Contains(item.cleared, broken.life);
  if (!decided) {
    AddPending(state, item, broken);
    if (!item.claimed_at && !IsShared(state)) item.claimed_at = now;
  } else {
    YieldClaim(state, item, now);
  }
  // Others learn of the loss once it is confirmed.
  if (IsShared(state) && !broken.alone) return details::Reassess(state, key, item, out);
  Announce(state, key, item, out);
}

void EndFailed(table& state, const fingerprint& key, entry& item, bool alone, time_point now,
               outputs& out) {
  const bool claimed = item.claimed_at.has_value() || (alone && IsShared(state));
  YieldClaim(state, item, now);
  if (claimed) {
    Announce(state, key, item, out);
  } else {
    details::Reassess(state, key, item, out);
  }
}

// The endpoint is lost: other endpoints of the same run are no further losses.
void SettlePending(entry& item, const endpoint_life& life) {
  const auto known = std::ranges::find(item.pending, life, &pending_loss::life);
  if (known == item.pending.end()) return;
  std::erase_if(item.pending, [start = known->start, &life](const pending_loss& one) {
    return one.start == start && one.life != life;
  });
}

bool ErasePending(entry& item, const endpoint_life& life) {
  return std::erase_if(item.pending, [&](const pending_loss& one) { return one.life == life; }) > 0;
}

// Half a loss alone says too little to bother the peers with.
bool IsWorthTelling(const entry& item) { return details::Score(item) >= details::kFullLoss; }

// The claim goes on after the confirmation, so that this daemon's own repeat needs no second settle
// time; Tick() ends it when there is none.
void Confirm(table& state, const fingerprint& key, entry& item, const details::finding& loss,
             time_point now, outputs& out) {
  if (IsShared(state)) SettlePending(item, loss.life);
  const bool was_pending = ErasePending(item, loss.life);
  if (loss.disputed) {
    item.disputed.push_back({loss.life, now, loss.going_since, loss.alone});
    return details::Reassess(state, key, item, out);
  }
  const bool added = details::AddLoss(state, item, loss, now);
  if (!added && !was_pending) return;
  if (item.condemned) details::ReleaseClaim(item);
  if (IsShared(state) && !IsWorthTelling(item)) return details::Reassess(state, key, item, out);
  Announce(state, key, item, out);
}

// A copy that began before the first sign of trouble: its daemon claims it, so that nobody starts
// another one beside it.
void ClaimRunning(table& state, const update& from, entry& item, time_point now, outputs& out) {
  if (item.fresh == 0 || item.claimed_at || IsShared(state)) return;
  item.claimed_at = now;
  out.publish.push_back(details::MakeUpdate(state, from.key, item));
}

// Whether the sender's verdict holds without the losses that were cleared here. The sender may have
// seen fewer losses of other causes, and so needed fewer of this one.
bool IsSupported(const table& state, const entry& item, const update& from) {
  const auto counts = [&](const endpoint_life& life) {
    return !details::Contains(item.cleared, life);
  };
  const auto score = details::kFullLoss * std::ranges::count_if(from.losses, counts) +
                     details::kHalfLoss * std::ranges::count_if(from.half, counts);
  return from.condemned && score >= details::UsualScore(state);
}

// Whether a copy goes well here, further than those of the sender that were lost after progress. A
// loss of the copy here may not be known yet.
bool GoesWell(const table& state, const entry& item, const update& from, time_point now) {
  const duration after =
      from.half.empty() ? duration(0) : from.lost_after + state.config.confirm_within;
  return details::GoesOnSince(state, from.key, item, nullptr, now - after);
}

bool MergeLosses(const table& state, entry& item, const update& from, time_point now) {
  bool changed = false;
  for (const endpoint_life& life : from.cleared) changed |= details::MoveToCleared(item, life);
  for (const endpoint_life& life : from.losses) {
    const details::finding loss{.life = life, .half = false, .alone = from.condemned};
    changed |= details::AddLoss(state, item, loss, now);
  }
  const bool goes_well = GoesWell(state, item, from, now);
  for (const endpoint_life& life : from.half) {
    const details::finding loss{.life = life,
                                .half = true,
                                .alone = from.condemned,
                                .progressed = true,
                                .going_since = now - from.lost_after};
    if (!goes_well) changed |= details::AddLoss(state, item, loss, now);
  }
  if (!IsShared(state)) return changed;
  if (!from.cleared.empty()) details::Reconsider(state, item);
  if (!item.condemned && !goes_well && !details::HasCompleted(item, now) &&
      IsSupported(state, item, from)) {
    changed = item.condemned = true;
    item.loss_expires = now + state.config.loss_lifetime;
  }
  return changed;
}

// --- expiry ---

bool ExpirePending(table& state, const fingerprint& key, entry& item, time_point now,
                   outputs& out) {
  const std::vector<pending_loss> pending = item.pending;
  bool any = false;
  for (const pending_loss& one : pending) {
    if (now < one.until) continue;
    any = true;
    if (IsShared(state)) {
      ErasePending(item, one.life);
      details::Reassess(state, key, item, out);
    } else {
      Confirm(state, key, item, {one.life, false, one.alone}, now, out);
    }
  }
  return any;
}

// Decides about losses once the losses of the copies that dispute them would be known.
void SettleDisputed(table& state, const fingerprint& key, time_point now, outputs& out) {
  entry& item = state.entries.find(key)->second;
  const std::vector<disputed_loss> disputed = item.disputed;
  for (const disputed_loss& one : disputed) {
    if (now - one.at < state.config.confirm_within) continue;
    std::erase_if(item.disputed, [&](const auto& other) { return other.life == one.life; });
    if (details::GoesOnSince(state, key, item, nullptr, one.going_since)) {
      details::Reassess(state, key, item, out);
    } else {
      Confirm(state, key, item, {one.life, true, one.alone, true, one.going_since}, now, out);
    }
  }
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
  const bool any = item.condemned || details::Score(item) > 0;
  if (!any || now < item.loss_expires) return false;
  details::ClearLosses(item);
  return true;
}

void Expire(table& state, const fingerprint& key, time_point now, outputs& out) {
  entry& item = state.entries.find(key)->second;
  ExpirePending(state, key, item, now, out);
  SettleDisputed(state, key, now, out);
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
    const bool blamed = !item.half.empty() && now < item.loss_expires;
    if (item.runs > 0 || now < item.proven_until || blamed) return;
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

std::optional<fingerprint> ParseFingerprint(std::string_view text) {
  constexpr size_t kDigits = 16;
  constexpr int kBase = 16;
  const auto number = [](std::string_view digits) -> std::optional<uint64_t> {
    uint64_t value = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), value, kBase);
    if (read.ec != std::errc() || read.ptr != digits.data() + digits.size()) return std::nullopt;
    return value;
  };
  if (text.size() != 2 * kDigits) return std::nullopt;
  const auto high = number(text.substr(0, kDigits));
  const auto low = number(text.substr(kDigits));
  if (!high || !low) return std::nullopt;
  return fingerprint{*high, *low};
}

void SetHasPeers(table& state, bool has_peers) { state.has_peers = has_peers; }

decision Start(table& state, run_id id, const fingerprint& key, time_point now, outputs& out) {
  entry& item = details::Touch(state, key);
  if (item.state == fingerprint_state::kQuarantined) return {verdict::kRefuse, item.loss_expires};
  if (IsShared(state)) return StartShared(state, id, key, item, now);
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

verdict Foresee(const table& state, const fingerprint& key, time_point now) {
  const auto found = state.entries.find(key);
  if (found == state.entries.end()) return verdict::kAllow;
  const entry& item = found->second;
  if (item.state == fingerprint_state::kQuarantined) return verdict::kRefuse;
  if (MustWait(state, item, now)) return verdict::kHold;
  return item.state == fingerprint_state::kSuspected ? verdict::kAllowAlone : verdict::kAllow;
}

void Place(table& state, run_id id, std::span<const endpoint_life> route, outputs& out,
           time_point now) {
  const auto found = state.runs.find(id);
  CheckInvariant(found != state.runs.end(), "quarantine: Place() for a run that did not start");
  run& active = found->second;
  entry& item = state.entries.find(active.key)->second;
  const std::vector<run_part> before = std::exchange(active.route, {});
  std::ranges::transform(route, std::back_inserter(active.route), [&](const endpoint_life& life) {
    const auto kept = std::ranges::find(before, life, &run_part::life);
    return kept == before.end() ? run_part{life, now} : *kept;
  });
  if (active.progressed && !std::ranges::all_of(active.route, &run_part::progressed)) {
    active.progressed = false;
    item.fresh += 1;
  }
  if (!active.alone) return;
  details::RebuildSuspectEndpoints(state);
  out.publish.push_back(details::MakeUpdate(state, active.key, item));
}

void Progress(table& state, run_id id, time_point now, outputs& out) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end() || found->second.progressed) return;
  run& active = found->second;
  active.progressed = true;
  active.going_since = now;
  for (run_part& part : active.route) part.progressed = true;
  entry& item = details::Touch(state, active.key);
  item.fresh -= 1;
  item.proven_until = now + state.config.proof_lifetime;
  bool claimed = item.claimed_at.has_value();
  if (IsShared(state)) {
    claimed = active.alone || !item.losses.empty();
    details::ClearFullLosses(item);
  }
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
  const time_point going_since = found->second.going_since;
  const uint64_t start = found->second.start;
  const bool progressed_there =
      IsShared(state) && broken && details::HasProgressed(found->second, *broken);
  state.runs.erase(found);
  if (alone) details::RebuildSuspectEndpoints(state);
  entry& item = details::Touch(state, key);
  item.runs -= 1;
  item.fresh -= fresh ? 1 : 0;
  if (how == run_end::kCompleted) {
    EndCompleted(state, key, item, alone && IsShared(state), now, out);
  } else if (how == run_end::kBroken) {
    CheckInvariant(broken.has_value(), "quarantine: a broken run names its endpoint");
    EndBroken(state, key, item,
              {*broken, now, now + state.config.confirm_within, alone, progressed_there,
               going_since, start},
              now, out);
  } else {
    EndFailed(state, key, item, alone, now, out);
  }
}

void Lost(table& state, const endpoint_life& life, time_point now, outputs& out,
          time_point alive_until) {
  const auto found = IsShared(state) ? details::GradeLoss(state, life, now, alive_until)
                                     : details::AffectedBy(state, life);
  for (const auto& [key, loss] : found) {
    Confirm(state, key, state.entries.find(key)->second, loss, now, out);
  }
}

void Silent(table& state, const endpoint_life& life, time_point now, time_point until, outputs& out,
            time_point alive_until) {
  for (const auto& [key, loss] : details::PendingOf(state, life, now, until, alive_until)) {
    entry& item = details::Touch(state, key);
    AddPending(state, item, loss);
    details::Reassess(state, key, item, out);
  }
}

void Alive(table& state, const endpoint_life& life, time_point asked, outputs& out) {
  const auto lost = std::ranges::find(state.recent, life, &lost_life::life);
  const bool refuted = IsShared(state) && lost != state.recent.end() && lost->at < asked;
  const std::list<fingerprint> marked = state.marked;
  for (const fingerprint& key : marked) {
    entry& item = state.entries.find(key)->second;
    const bool was_pending = ErasePending(item, life);
    const bool was_loss = refuted && details::HasLoss(item, life);
    if (refuted) std::erase_if(item.disputed, [&](const auto& one) { return one.life == life; });
    if (!was_pending && !was_loss) continue;
    if (was_loss) {
      details::MoveToCleared(item, life);
      details::Reconsider(state, item);
    }
    YieldClaim(state, item, asked);
    Announce(state, key, item, out);
  }
}

bool Merge(table& state, const update& from, time_point now, outputs& out) {
  const bool says_something = from.claim != claim_kind::kNone || !from.losses.empty() ||
                              !from.half.empty() || from.condemned;
  if (!says_something && details::Find(state, from.key) == nullptr) return false;
  entry& item = details::Touch(state, from.key);
  const std::vector<endpoint_life> cleared = item.cleared;
  const bool changed = MergeLosses(state, item, from, now);
  // The sender does not know what has been seen of the fingerprint here.
  const bool refuted =
      IsShared(state) && std::ranges::any_of(from.losses, [&](const auto& life) {
        return details::Contains(item.cleared, life) && !details::Contains(cleared, life);
      });
  if (refuted) out.publish.push_back(details::MakeUpdate(state, from.key, item));
  if (from.claim != claim_kind::kNone) {
    item.peers[from.daemon] = {now + state.config.peer_claim, from.claim, from.endpoints};
    ClaimRunning(state, from, item, now, out);
  } else if (const auto peer = item.peers.find(from.daemon); peer != item.peers.end()) {
    // Its run may have ended by the loss that this daemon is about to hear of.
    peer->second.expires = std::min(peer->second.expires, now + kClaimGrace);
    if (!IsShared(state)) item.peers.erase(peer);
  }
  details::Reassess(state, from.key, item, out);
  details::RebuildSuspectEndpoints(state);
  return changed;
}

void Restore(table& state, const fingerprint& key, time_point until, outputs& out) {
  entry& item = details::Touch(state, key);
  item.condemned = item.restored = true;
  item.loss_expires = std::max(item.loss_expires, until);
  details::Reassess(state, key, item, out);
}

void Lift(table& state, const fingerprint& key, outputs& out) {
  entry* item = details::Find(state, key);
  if (item == nullptr) return;
  details::ClearLosses(*item);
  details::Reassess(state, key, *item, out);
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
    if (!IsWorthTelling(item) && !item.claimed_at) continue;
    out.push_back(details::MakeUpdate(state, key, item));
  }
  return out;
}

std::optional<update> UpdateOf(const table& state, const fingerprint& key) {
  const auto found = state.entries.find(key);
  if (found == state.entries.end()) return std::nullopt;
  return details::MakeUpdate(state, key, found->second);
}

std::optional<update> NextOfSnapshot(const table& state, size_t& cursor) {
  const size_t count = state.marked.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t index = cursor++ % count;
    const fingerprint& key = *std::next(state.marked.begin(), static_cast<std::ptrdiff_t>(index));
    const entry& item = state.entries.find(key)->second;
    if (IsWorthTelling(item)) return details::MakeUpdate(state, key, item);
  }
  return std::nullopt;
}

fingerprint_state StateOf(const table& state, const fingerprint& key) {
  const auto it = state.entries.find(key);
  return it == state.entries.end() ? fingerprint_state::kClear : it->second.state;
}

}  // namespace balsambay::quarantine
