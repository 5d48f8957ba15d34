// Public functions of the quarantine: decisions, ends of runs, losses, exchange with peers, expiry.
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
#include "details/features.h"
#include "details/unanswered.h"

namespace balsambay::quarantine {
namespace {

constexpr duration kSweepInterval = 100ms;
// With kConcurrent, a peer's claim is kept for this time after the peer released it: the run may
// have ended by the loss of an endpoint, which is confirmed within this time.
constexpr duration kClaimGrace = 300ms;

// Reassesses the entry and publishes its update to the peers.
void PublishUpdate(table& state, const fingerprint& key, table_entry& entry,
                   side_effects& effects) {
  details::Reassess(state, key, entry, effects);
  effects.publish.push_back(details::MakeUpdate(state, key, entry));
}

decision Hold(table_entry& entry, time_point until) {
  entry.has_waiters = true;
  return {verdict::kHold, until};
}

decision BeginRun(table& state, run_id id, const run_identity& identity, table_entry& entry,
                  bool as_suspect) {
  CheckInvariant(!state.runs.contains(id), "quarantine: the run id is in use");
  entry.runs += 1;
  entry.runs_without_progress += 1;
  run& active = state.runs[id];
  active.key = identity.key;
  active.features = identity.features;
  active.answer_begun = identity.resumed;
  active.start_number = ++state.start_count;
  active.as_suspect = as_suspect;
  return {as_suspect ? verdict::kAllowIsolated : verdict::kAllow};
}

// Time after which peers' claims made at the same time as an own claim are known.
duration ClaimSettleTime(const table& state) {
  return state.has_peers ? 2 * state.config.max_exchange_delay : duration(0);
}

// A peer with a holding claim blocks all others. Among waiting claims the daemon with the lowest id
// has priority.
bool IsClaimBlocked(const table& state, const table_entry& entry) {
  return std::ranges::any_of(entry.peer_claims, [&](const auto& peer) {
    return peer.second.kind == claim_kind::kHolding || peer.first < state.config.daemon;
  });
}

bool AllowsConcurrentSuspects(const table& state) {
  return state.config.suspect_policy == suspect_policy::kConcurrent;
}

// Whether the score stays below the quarantine threshold even if all pending losses are confirmed,
// so that another run may risk a loss.
bool CanAffordLoss(const table& state, const table_entry& entry, time_point now) {
  std::map<uint64_t, int> weights;  // by start number of the run
  for (const pending_loss& pending : entry.pending) {
    int& weight = weights[pending.start_number];
    weight = std::max(weight,
                      pending.answer_begun ? details::kHalfLossWeight : details::kFullLossWeight);
  }
  const int sum =
      std::accumulate(weights.begin(), weights.end(), 0,
                      [](int subtotal, const auto& pair) { return subtotal + pair.second; });
  return details::LossScore(entry) + sum < details::QuarantineThreshold(state, entry, now);
}

// Ends the own claim after a run that neither cleared nor quarantined the fingerprint. If further
// copies are waiting on this daemon, the claim is kept as settled, so that they need not wait for
// another settle time each.
void YieldClaim(const table& state, table_entry& entry, time_point now) {
  if (!entry.claimed_at || entry.runs_without_progress > 0 || !entry.pending.empty()) return;
  if (entry.has_waiters) {
    entry.claimed_at = now - ClaimSettleTime(state);
  } else {
    entry.claimed_at.reset();
  }
}

// Claims made within one exchange delay of each other are known to both daemons after two exchange
// delays. A daemon that knows a peer's claim does not make a claim.
decision StartExclusive(table& state, run_id id, const fingerprint& key, table_entry& entry,
                        time_point now, side_effects& effects) {
  if (entry.runs_without_progress > 0 || !CanAffordLoss(state, entry, now))
    return Hold(entry, kNever);
  if (!entry.claimed_at) {
    if (!entry.peer_claims.empty()) return Hold(entry, kNever);
    entry.claimed_at = now;
    PublishUpdate(state, key, entry, effects);
  }
  const time_point settled = *entry.claimed_at + ClaimSettleTime(state);
  if (now < settled) return Hold(entry, settled);
  if (IsClaimBlocked(state, entry)) return Hold(entry, kNever);
  const decision begun = BeginRun(state, id, {key}, entry, true);
  PublishUpdate(state, key, entry, effects);
  return begun;
}

// A further copy waits only while the confirmation of the pending losses could lead to quarantine.
bool MustWait(const table& state, const table_entry& entry, time_point now) {
  if (entry.pending.empty() || CanAffordLoss(state, entry, now)) return false;
  // Losses of endpoints on which no copy progressed do not count while other copies progress.
  const bool has_progressing_copy = entry.runs > entry.runs_without_progress;
  return !has_progressing_copy || std::ranges::any_of(entry.pending, &pending_loss::progressed);
}

decision StartConcurrent(table& state, run_id id, const run_identity& identity, table_entry& entry,
                         time_point now) {
  if (MustWait(state, entry, now)) {
    return Hold(entry, std::ranges::min(entry.pending, {}, &pending_loss::expires).expires);
  }
  return BeginRun(state, id, identity, entry, entry.state == fingerprint_state::kSuspected);
}

bool IsProven(const settings& config, const table_entry& entry, time_point now) {
  return config.max_unproven_runs <= 0 || now < entry.proven_until;
}

void EndCompleted(table& state, const fingerprint& key, table_entry& entry, bool as_suspect,
                  time_point now, side_effects& effects) {
  details::RecordCompletion(entry, now, state.config.proof_lifetime);
  const bool was_suspected = !entry.losses.empty() || entry.claimed_at.has_value() || as_suspect;
  details::ClearLosses(entry);
  details::ReleaseClaim(entry);
  details::ForgetUnanswered(state, key);
  if (was_suspected) {
    PublishUpdate(state, key, entry, effects);
  } else {
    details::Reassess(state, key, entry, effects);
  }
}

// With kConcurrent, an endpoint has at most one pending loss, whether its connection broke, it
// stopped responding, or both.
void AddPendingLoss(const table& state, table_entry& entry, const pending_loss& loss) {
  const auto existing = std::ranges::find(entry.pending, loss.instance, &pending_loss::instance);
  if (!AllowsConcurrentSuspects(state) || existing == entry.pending.end()) {
    entry.pending.push_back(loss);
    return;
  }
  existing->expires = std::max(existing->expires, loss.expires);
  existing->as_suspect = existing->as_suspect || loss.as_suspect;
  existing->progressed = existing->progressed && loss.progressed;
}

void EndBroken(table& state, const fingerprint& key, table_entry& entry, const pending_loss& broken,
               time_point now, side_effects& effects) {
  const bool already_decided = details::Contains(entry.losses, broken.instance) ||
                               details::Contains(entry.cleared, broken.instance);
  if (!already_decided) {
    AddPendingLoss(state, entry, broken);
    if (!entry.claimed_at && !AllowsConcurrentSuspects(state)) entry.claimed_at = now;
  } else {
    YieldClaim(state, entry, now);
  }
  // Peers are informed of the loss when it is confirmed.
  if (AllowsConcurrentSuspects(state) && !broken.as_suspect)
    return details::Reassess(state, key, entry, effects);
  PublishUpdate(state, key, entry, effects);
}

void EndFailed(table& state, const fingerprint& key, table_entry& entry, bool as_suspect,
               time_point now, side_effects& effects) {
  const bool must_publish =
      entry.claimed_at.has_value() || (as_suspect && AllowsConcurrentSuspects(state));
  YieldClaim(state, entry, now);
  if (must_publish) {
    PublishUpdate(state, key, entry, effects);
  } else {
    details::Reassess(state, key, entry, effects);
  }
}

// The loss of `instance` is confirmed: pending losses of other endpoints of the same start do not
// count in addition.
void ErasePendingOfSameStart(table_entry& entry, const endpoint_instance& instance) {
  const auto existing = std::ranges::find(entry.pending, instance, &pending_loss::instance);
  if (existing == entry.pending.end()) return;
  std::erase_if(entry.pending,
                [start = existing->start_number, &instance](const pending_loss& pending) {
                  return pending.start_number == start && pending.instance != instance;
                });
}

bool ErasePending(table_entry& entry, const endpoint_instance& instance) {
  return std::erase_if(entry.pending, [&](const pending_loss& pending) {
           return pending.instance == instance;
         }) > 0;
}

// A single loss of half weight is too weak a sign to be published.
bool IsWorthPublishing(const table_entry& entry) {
  return details::LossScore(entry) >= details::kFullLossWeight;
}

// Handles a confirmed loss. The own claim is kept, so that the next copy on this daemon needs no
// second settle time; Tick() ends the claim if there is no such copy.
void ConfirmLoss(table& state, const fingerprint& key, table_entry& entry,
                 const details::attributed_loss& loss, time_point now, side_effects& effects) {
  if (AllowsConcurrentSuspects(state)) ErasePendingOfSameStart(entry, loss.instance);
  const bool was_pending = ErasePending(entry, loss.instance);
  if (loss.disputed) {
    entry.disputed.push_back({loss.instance, now, loss.progressing_since, loss.as_suspect});
    return details::Reassess(state, key, entry, effects);
  }
  const bool added = details::AddLoss(state, entry, loss, now);
  if (!added && !was_pending) return;
  if (entry.quarantined) details::ReleaseClaim(entry);
  if (AllowsConcurrentSuspects(state) && !IsWorthPublishing(entry))
    return details::Reassess(state, key, entry, effects);
  PublishUpdate(state, key, entry, effects);
}

// Claims the fingerprint for a copy that this daemon started before it was suspected, so that no
// peer starts another one at the same time.
void ClaimRunningCopy(table& state, const update& received, table_entry& entry, time_point now,
                      side_effects& effects) {
  if (entry.runs_without_progress == 0 || entry.claimed_at || AllowsConcurrentSuspects(state))
    return;
  entry.claimed_at = now;
  effects.publish.push_back(details::MakeUpdate(state, received.key, entry));
}

// Whether the sender's quarantine is still justified without the losses that were cleared on this
// daemon. Uses the base threshold, because the sender may have seen fewer losses with other causes
// than this daemon.
bool IsQuarantineSupported(const table& state, const table_entry& entry, const update& received) {
  const auto counts = [&](const endpoint_instance& instance) {
    return !details::Contains(entry.cleared, instance);
  };
  const auto score = details::kFullLossWeight * std::ranges::count_if(received.losses, counts) +
                     details::kHalfLossWeight * std::ranges::count_if(received.half_losses, counts);
  return received.quarantined && score >= details::BaseThreshold(state);
}

// Whether a copy on this daemon has been progressing for longer than the sender's copies that were
// lost after progress. If there are such losses, the copy must exceed them by the confirmation
// time, because its own loss may not be known yet.
bool HasLongerProgressingCopy(const table& state, const table_entry& entry, const update& received,
                              time_point now) {
  const duration min_progress_time = received.half_losses.empty()
                                         ? duration(0)
                                         : received.lost_after + state.config.confirmation_timeout;
  return details::HasProgressingCopy(state, received.key, entry, nullptr, now - min_progress_time);
}

bool MergeLosses(const table& state, table_entry& entry, const update& received, time_point now) {
  bool changed = false;
  for (const endpoint_instance& instance : received.cleared)
    changed |= details::MoveToCleared(entry, instance);
  // With kSingleCopy, `as_suspect` makes the losses count although the fingerprint completed on
  // this daemon recently.
  for (const endpoint_instance& instance : received.losses) {
    const details::attributed_loss loss{
        .instance = instance, .half_weight = false, .as_suspect = received.quarantined};
    changed |= details::AddLoss(state, entry, loss, now);
  }
  const bool has_progressing_copy = HasLongerProgressingCopy(state, entry, received, now);
  for (const endpoint_instance& instance : received.half_losses) {
    const details::attributed_loss loss{.instance = instance,
                                        .half_weight = true,
                                        .as_suspect = received.quarantined,
                                        .progressed = true,
                                        .progressing_since = now - received.lost_after};
    if (!has_progressing_copy) changed |= details::AddLoss(state, entry, loss, now);
  }
  if (!AllowsConcurrentSuspects(state)) return changed;
  if (!received.cleared.empty()) details::WithdrawUnsupportedQuarantine(state, entry);
  if (!entry.quarantined && !has_progressing_copy && !details::HasRecentCompletion(entry, now) &&
      IsQuarantineSupported(state, entry, received)) {
    changed = entry.quarantined = true;
    entry.loss_expires = now + state.config.loss_lifetime;
  }
  return changed;
}

// --- Expiry.

bool ExpirePending(table& state, const fingerprint& key, table_entry& entry, time_point now,
                   side_effects& effects) {
  const std::vector<pending_loss> losses = entry.pending;
  bool expired = false;
  for (const pending_loss& pending : losses) {
    if (now < pending.expires) continue;
    expired = true;
    if (AllowsConcurrentSuspects(state)) {
      ErasePending(entry, pending.instance);
      details::Reassess(state, key, entry, effects);
    } else {
      ConfirmLoss(state, key, entry, {pending.instance, false, pending.as_suspect}, now, effects);
    }
  }
  return expired;
}

// Decides about disputed losses when a loss of the copies that dispute them would be known.
void ResolveDisputed(table& state, const fingerprint& key, time_point now, side_effects& effects) {
  table_entry& entry = state.entries.find(key)->second;
  const std::vector<disputed_loss> disputed = entry.disputed;
  for (const disputed_loss& loss : disputed) {
    if (now - loss.at < state.config.confirmation_timeout) continue;
    std::erase_if(entry.disputed,
                  [&](const auto& other) { return other.instance == loss.instance; });
    if (details::HasProgressingCopy(state, key, entry, nullptr, loss.progressing_since)) {
      details::Reassess(state, key, entry, effects);
    } else {
      ConfirmLoss(state, key, entry,
                  {loss.instance, true, loss.as_suspect, true, loss.progressing_since}, now,
                  effects);
    }
  }
}

bool ExpireClaims(table& state, table_entry& entry, time_point now) {
  bool changed = std::erase_if(entry.peer_claims,
                               [&](const auto& peer) { return now >= peer.second.expires; }) > 0;
  const duration unused = ClaimSettleTime(state) + state.config.unused_claim_lifetime;
  const bool idle = entry.claimed_at && entry.runs_without_progress == 0 && entry.pending.empty();
  // A claim that waits for the end of a peer's run is in use.
  if (idle && entry.peer_claims.empty() && now - *entry.claimed_at >= unused) {
    entry.claimed_at.reset();
    changed = true;
  }
  return changed;
}

bool ExpireLosses(table_entry& entry, time_point now) {
  const bool has_losses = entry.quarantined || details::LossScore(entry) > 0;
  if (!has_losses || now < entry.loss_expires) return false;
  details::ClearLosses(entry);
  return true;
}

void Expire(table& state, const fingerprint& key, time_point now, side_effects& effects) {
  table_entry& entry = state.entries.find(key)->second;
  ExpirePending(state, key, entry, now, effects);
  ResolveDisputed(state, key, now, effects);
  details::SettleFeature(state, key, now, effects);
  details::ResumeTrials(entry, now);
  const bool had_claim = entry.claimed_at.has_value();
  bool changed = ExpireClaims(state, entry, now);
  changed |= ExpireLosses(entry, now);
  if (!changed) return;
  if (had_claim != entry.claimed_at.has_value()) {
    PublishUpdate(state, key, entry, effects);
  } else {
    details::Reassess(state, key, entry, effects);
  }
}

void EvictStale(table& state, time_point now) {
  // The list is in the order of last use, so the loop stops at the first entry that is still
  // needed.
  while (!state.unflagged.empty()) {
    const auto found = state.entries.find(state.unflagged.back());
    const table_entry& entry = found->second;
    const bool has_losses = !entry.half_losses.empty() && now < entry.loss_expires;
    if (entry.runs > 0 || now < entry.proven_until || has_losses) return;
    state.entries.erase(found);
    state.unflagged.pop_back();
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

void SetMayRunTrials(table& state, bool may_run) {
  if (!may_run && state.may_run_trials) details::ForbidTrials(state);
  state.may_run_trials = may_run;
}

decision Start(table& state, run_id id, const run_identity& identity, time_point now,
               side_effects& effects) {
  const fingerprint& key = identity.key;
  table_entry& entry = details::Touch(state, key);
  if (const auto refused = QuarantinedKey(state, key, identity.features))
    return {verdict::kRefuse, state.entries.find(*refused)->second.loss_expires};
  if (AllowsConcurrentSuspects(state)) {
    details::CountFeatureRun(state, identity.features);
    const decision begun = StartConcurrent(state, id, identity, entry, now);
    if (begun.answer != verdict::kHold) details::BeginTrials(state, id, identity.features);
    return begun;
  }
  const bool suspected = entry.state == fingerprint_state::kSuspected;
  if (suspected && !state.config.test_faults.no_claims) {
    return StartExclusive(state, id, key, entry, now, effects);
  }
  const bool copies_wait = !IsProven(state.config, entry, now) &&
                           entry.runs_without_progress >= state.config.max_unproven_runs &&
                           !state.config.test_faults.no_claims;
  if (copies_wait) return Hold(entry, kNever);
  return BeginRun(state, id, identity, entry, false);
}

verdict PreviewStart(const table& state, const run_identity& identity, time_point now) {
  if (QuarantinedKey(state, identity.key, identity.features)) return verdict::kRefuse;
  const auto found = state.entries.find(identity.key);
  if (found == state.entries.end()) return verdict::kAllow;
  const table_entry& entry = found->second;
  if (MustWait(state, entry, now)) return verdict::kHold;
  return entry.state == fingerprint_state::kSuspected ? verdict::kAllowIsolated : verdict::kAllow;
}

std::optional<fingerprint> QuarantinedKey(const table& state, const fingerprint& content,
                                          std::span<const shared_feature> features) {
  std::optional<fingerprint> refused;
  time_point until{};
  const auto check = [&](const fingerprint& key, const feature_source& source) {
    const auto found = state.entries.find(key);
    if (found == state.entries.end()) return;
    const table_entry& entry = found->second;
    if (entry.state != fingerprint_state::kQuarantined) return;
    if (entry.is_feature && !details::IsCovered(entry, source)) return;
    if (refused && entry.loss_expires <= until) return;
    refused = key;
    until = entry.loss_expires;
  };
  check(content, {});
  for (const shared_feature& feature : features) check(feature.key, feature.source);
  return refused;
}

bool IsFeature(const table& state, const fingerprint& key) {
  const auto found = state.entries.find(key);
  return found != state.entries.end() && found->second.is_feature;
}

void SetRoute(table& state, run_id id, std::span<const endpoint_instance> route,
              side_effects& effects, time_point now) {
  const auto found = state.runs.find(id);
  CheckInvariant(found != state.runs.end(), "quarantine: route set for a run that has not started");
  run& active = found->second;
  table_entry& entry = state.entries.find(active.key)->second;
  const std::vector<route_hop> before = std::exchange(active.route, {});
  std::ranges::transform(
      route, std::back_inserter(active.route), [&](const endpoint_instance& instance) {
        const auto kept = std::ranges::find(before, instance, &route_hop::instance);
        return kept == before.end() ? route_hop{instance, now} : *kept;
      });
  if (active.progressed && !std::ranges::all_of(active.route, &route_hop::progressed)) {
    active.progressed = false;
    entry.runs_without_progress += 1;
  }
  if (!active.as_suspect) return;
  details::RebuildSuspectEndpoints(state);
  effects.publish.push_back(details::MakeUpdate(state, active.key, entry));
}

void ReportExecuting(table& state, run_id id) {
  const auto found = state.runs.find(id);
  if (found != state.runs.end()) found->second.executing = true;
}

void Progress(table& state, run_id id, time_point now, side_effects& effects) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end() || found->second.progressed) return;
  run& active = found->second;
  // A resumed answer may have begun before its features became the cause of crashes.
  if (!std::exchange(active.answer_begun, true))
    details::ClearFeatures(state, active.features, effects);
  details::ConfineTried(state, id, active.features, effects);
  active.progressed = true;
  active.progressing_since = now;
  for (route_hop& hop : active.route) hop.progressed = true;
  table_entry& entry = details::Touch(state, active.key);
  entry.runs_without_progress -= 1;
  entry.proven_until = now + state.config.proof_lifetime;
  bool must_publish = entry.claimed_at.has_value();
  if (AllowsConcurrentSuspects(state)) {
    must_publish = active.as_suspect || !entry.losses.empty();
    details::ClearFullLosses(entry);
  }
  YieldClaim(state, entry, now);
  if (active.as_suspect) details::RebuildSuspectEndpoints(state);
  if (must_publish) {
    PublishUpdate(state, active.key, entry, effects);
  } else {
    details::Reassess(state, active.key, entry, effects);
  }
}

void End(table& state, run_id id, run_end how, const std::optional<endpoint_instance>& broken,
         time_point now, side_effects& effects) {
  const auto found = state.runs.find(id);
  if (found == state.runs.end()) return;
  const fingerprint key = found->second.key;
  const bool as_suspect = found->second.as_suspect;
  const bool without_progress = !found->second.progressed;
  const time_point progressing_since = found->second.progressing_since;
  const uint64_t start = found->second.start_number;
  const bool progressed_there =
      AllowsConcurrentSuspects(state) && broken && details::HasProgressedOn(found->second, *broken);
  const bool answer_begun = AllowsConcurrentSuspects(state) && found->second.answer_begun;
  std::vector<shared_feature> features;
  if (!answer_begun) features = found->second.features;
  const bool executing = found->second.executing;
  const time_point placed_at = broken ? details::PlacedAt(found->second, *broken) : time_point();
  // An answer may be complete with fewer outputs than are taken as progress.
  if (AllowsConcurrentSuspects(state) && how == run_end::kCompleted && !answer_begun) {
    details::ClearFeatures(state, found->second.features, effects);
    details::ConfineTried(state, id, found->second.features, effects);
  }
  details::EndTrials(state, id, found->second, now);
  if (AllowsConcurrentSuspects(state) && how != run_end::kCompleted)
    details::KeepEndedRun(state, found->second, now);
  state.runs.erase(found);
  if (as_suspect) details::RebuildSuspectEndpoints(state);
  table_entry& entry = details::Touch(state, key);
  entry.runs -= 1;
  entry.runs_without_progress -= without_progress ? 1 : 0;
  if (how == run_end::kCompleted) {
    EndCompleted(state, key, entry, as_suspect && AllowsConcurrentSuspects(state), now, effects);
  } else if (how == run_end::kBroken) {
    CheckInvariant(broken.has_value(), "quarantine: end of a broken run without its endpoint");
    EndBroken(state, key, entry,
              {*broken, now, now + state.config.confirmation_timeout, as_suspect, progressed_there,
               progressing_since, start, std::move(features), placed_at, answer_begun, executing},
              now, effects);
  } else {
    EndFailed(state, key, entry, as_suspect, now, effects);
  }
}

void ReportLost(table& state, const endpoint_instance& instance, time_point now,
                side_effects& effects, time_point alive_until) {
  alive_until = std::min(alive_until, details::InDoubtSince(state, instance, now));
  const auto features = AllowsConcurrentSuspects(state)
                            ? details::AttributeToFeatures(state, instance, now, alive_until)
                            : details::feature_losses();
  const auto attributed = AllowsConcurrentSuspects(state)
                              ? details::GradeLoss(state, instance, now, alive_until)
                              : details::AttributeToAllRuns(state, instance);
  // First, so that a loss that a feature explains is counted for no content.
  details::AddFeatureLosses(state, features, now, effects);
  for (const auto& [key, loss] : attributed) {
    // Entries without runs may have been evicted by those that were added since.
    if (table_entry* entry = details::Find(state, key))
      ConfirmLoss(state, key, *entry, loss, now, effects);
  }
}

void ReportSilent(table& state, const endpoint_instance& instance, time_point now, time_point until,
                  side_effects& effects, time_point alive_until) {
  for (const auto& [key, loss] :
       details::PendingLossesOn(state, instance, now, until, alive_until)) {
    table_entry& entry = details::Touch(state, key);
    AddPendingLoss(state, entry, loss);
    details::Reassess(state, key, entry, effects);
  }
}

void ReportAlive(table& state, const endpoint_instance& instance, time_point probed_at,
                 side_effects& effects) {
  const auto lost = std::ranges::find(state.recent_losses, instance, &lost_instance::instance);
  const bool refuted =
      AllowsConcurrentSuspects(state) && lost != state.recent_losses.end() && lost->at < probed_at;
  const std::list<fingerprint> flagged = state.flagged;
  for (const fingerprint& key : flagged) {
    table_entry& entry = state.entries.find(key)->second;
    const bool was_pending = ErasePending(entry, instance);
    const bool was_loss = refuted && details::HasLoss(entry, instance);
    if (refuted)
      std::erase_if(entry.disputed, [&](const auto& loss) { return loss.instance == instance; });
    if (!was_pending && !was_loss) continue;
    if (was_loss) {
      details::MoveToCleared(entry, instance);
      details::WithdrawUnsupportedQuarantine(state, entry);
    }
    YieldClaim(state, entry, probed_at);
    PublishUpdate(state, key, entry, effects);
  }
}

bool Merge(table& state, const update& received, time_point now, side_effects& effects) {
  const bool has_content = received.claim != claim_kind::kNone || !received.losses.empty() ||
                           !received.half_losses.empty() || received.quarantined;
  if (!has_content && details::Find(state, received.key) == nullptr) return false;
  if (received.is_feature) return details::MergeFeature(state, received, now, effects);
  table_entry& entry = details::Touch(state, received.key);
  const std::vector<endpoint_instance> cleared = entry.cleared;
  const bool changed = MergeLosses(state, entry, received, now);
  // The losses were refuted by the history of the fingerprint on this daemon, which the sender does
  // not know.
  const bool refuted =
      AllowsConcurrentSuspects(state) &&
      std::ranges::any_of(received.losses, [&](const auto& instance) {
        return details::Contains(entry.cleared, instance) && !details::Contains(cleared, instance);
      });
  if (refuted) effects.publish.push_back(details::MakeUpdate(state, received.key, entry));
  if (received.claim != claim_kind::kNone) {
    entry.peer_claims[received.daemon] = {now + state.config.peer_claim_lifetime, received.claim,
                                          received.endpoints};
    ClaimRunningCopy(state, received, entry, now, effects);
  } else if (const auto peer = entry.peer_claims.find(received.daemon);
             peer != entry.peer_claims.end()) {
    // The peer's run may have ended by a loss that has not been reported to this daemon yet.
    peer->second.expires = std::min(peer->second.expires, now + kClaimGrace);
    if (!AllowsConcurrentSuspects(state)) entry.peer_claims.erase(peer);
  }
  details::Reassess(state, received.key, entry, effects);
  details::RebuildSuspectEndpoints(state);
  return changed;
}

void Restore(table& state, const fingerprint& key, time_point until, side_effects& effects,
             std::span<const feature_source> sources, bool confined) {
  table_entry& entry = details::Touch(state, key);
  entry.is_feature = entry.is_feature || !sources.empty();
  for (const feature_source& source : sources) details::AddSource(entry, source);
  entry.quarantined = entry.restored = true;
  entry.confined = entry.confined || confined;
  entry.loss_expires = std::max(entry.loss_expires, until);
  details::Reassess(state, key, entry, effects);
}

void Lift(table& state, const fingerprint& key, side_effects& effects) {
  table_entry* entry = details::Find(state, key);
  if (entry == nullptr) return;
  details::ClearLosses(*entry);
  details::Reassess(state, key, *entry, effects);
}

void RemovePeer(table& state, std::string_view daemon, time_point /*now*/, side_effects& effects) {
  const std::list<fingerprint> flagged = state.flagged;
  for (const fingerprint& key : flagged) {
    table_entry& entry = state.entries.find(key)->second;
    if (entry.peer_claims.erase(std::string(daemon)) > 0)
      details::Reassess(state, key, entry, effects);
  }
  details::RebuildSuspectEndpoints(state);
}

bool HasSuspect(const table& state, std::string_view endpoint) {
  if (state.config.test_faults.no_isolation) return false;
  return state.suspect_endpoints.contains(endpoint);
}

void Tick(table& state, time_point now, side_effects& effects) {
  if (now < state.next_sweep) return;
  state.next_sweep = now + kSweepInterval;
  const std::list<fingerprint> flagged = state.flagged;
  for (const fingerprint& key : flagged) Expire(state, key, now, effects);
  if (!flagged.empty()) details::RebuildSuspectEndpoints(state);
  EvictStale(state, now);
}

time_point NextDeadline(const table& state) {
  return state.entries.empty() ? kNever : state.next_sweep;
}

std::vector<update> Snapshot(const table& state) {
  std::vector<update> updates;
  for (const fingerprint& key : state.flagged) {
    const table_entry& entry = state.entries.find(key)->second;
    if (!IsWorthPublishing(entry) && !entry.claimed_at) continue;
    updates.push_back(details::MakeUpdate(state, key, entry));
  }
  return updates;
}

std::optional<update> UpdateOf(const table& state, const fingerprint& key) {
  const auto found = state.entries.find(key);
  if (found == state.entries.end()) return std::nullopt;
  return details::MakeUpdate(state, key, found->second);
}

std::optional<update> NextSnapshotUpdate(const table& state, size_t& cursor) {
  const size_t count = state.flagged.size();
  for (size_t i = 0; i < count; ++i) {
    const size_t index = cursor++ % count;
    const fingerprint& key = *std::next(state.flagged.begin(), static_cast<std::ptrdiff_t>(index));
    const table_entry& entry = state.entries.find(key)->second;
    if (IsWorthPublishing(entry)) return details::MakeUpdate(state, key, entry);
  }
  return std::nullopt;
}

fingerprint_state StateOf(const table& state, const fingerprint& key) {
  const auto it = state.entries.find(key);
  return it == state.entries.end() ? fingerprint_state::kClear : it->second.state;
}

}  // namespace balsambay::quarantine
