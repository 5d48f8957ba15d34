// Bounded table of fingerprints: eviction, state and losses of one entry.
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
// Maximum number of instances in `cleared` and `lost_while_present`, and of `completions`.
constexpr size_t kMaxKeptInstances = 16;
// If at least kMinUnrelatedLosses endpoints on which a fingerprint was not running were lost within
// kUnrelatedLossWindow, there is another cause of losses, and QuarantineThreshold() is higher.
constexpr std::ptrdiff_t kMinUnrelatedLosses = 4;
constexpr duration kUnrelatedLossWindow = 5s;

void Raise(table_entry& entry, event signal) {
  static const chart::table fingerprint_chart =
      chart::ParseEmbedded(charts::fingerprint_state, kStates, kEvents);
  chart::Step(fingerprint_chart, entry.state, signal);
}

std::list<fingerprint>& LruListOf(table& state, const table_entry& entry) {
  return entry.flagged ? state.flagged : state.unflagged;
}

void MoveToFront(table& state, table_entry& entry, bool flagged) {
  std::list<fingerprint>& from = LruListOf(state, entry);
  entry.flagged = flagged;
  std::list<fingerprint>& to = LruListOf(state, entry);
  to.splice(to.begin(), from, entry.position);
}

// Removes the least recently used entry of `list` that has no run in flight. Returns false if there
// is none.
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

event AssessEntry(const table_entry& entry) {
  if (entry.quarantined) return event::kCondemned;
  // A run that had progressed is unlikely to be the cause of a loss, so its pending loss does not
  // make further runs of the fingerprint suspects.
  const bool has_pending =
      std::ranges::any_of(entry.pending, std::logical_not<>(), &pending_loss::progressed);
  const bool suspected = !entry.losses.empty() || has_pending || !entry.peer_claims.empty();
  return suspected ? event::kSuspected : event::kCleared;
}

std::vector<std::string> SuspectEndpoints(const table& state, const fingerprint& key) {
  std::vector<std::string> endpoints;
  for (const auto& [id, active] : state.runs) {
    if (active.key != key || !active.as_suspect || active.progressed) continue;
    for (const route_hop& hop : active.route) endpoints.push_back(hop.instance.endpoint);
  }
  return endpoints;
}

// Whether the loss is cleared instead of counted; see AddLoss().
bool IsLossDisregarded(const table& state, const table_entry& entry, const attributed_loss& loss,
                       bool reaches_threshold, time_point now) {
  if (state.config.suspect_policy == suspect_policy::kSingleCopy) {
    return now < entry.completed_until && !loss.as_suspect && reaches_threshold;
  }
  // Copies that progress are as good a proof as a completed one.
  const bool progressing = !loss.progressed && entry.runs > entry.runs_without_progress;
  return progressing || HasRecentCompletion(entry, now);
}

}  // namespace

table_entry* Find(table& state, const fingerprint& key) {
  const auto it = state.entries.find(key);
  return it == state.entries.end() ? nullptr : &it->second;
}

table_entry& Touch(table& state, const fingerprint& key) {
  if (table_entry* existing = Find(state, key)) {
    MoveToFront(state, *existing, existing->flagged);
    return *existing;
  }
  while (state.entries.size() >= state.config.max_entries &&
         !state.config.test_faults.no_eviction) {
    if (!EvictFrom(state, state.unflagged) && !EvictFrom(state, state.flagged)) break;
  }
  table_entry& added = state.entries[key];
  state.unflagged.push_front(key);
  added.position = state.unflagged.begin();
  return added;
}

void Reassess(table& state, const fingerprint& key, table_entry& entry, side_effects& effects) {
  const fingerprint_state before = entry.state;
  Raise(entry, AssessEntry(entry));
  const bool flagged = entry.state != fingerprint_state::kClear || entry.claimed_at.has_value() ||
                       !entry.pending.empty() || !entry.disputed.empty();
  if (flagged != entry.flagged) MoveToFront(state, entry, flagged);
  if (std::exchange(entry.has_waiters, false)) effects.wake.push_back(key);
  if (before == entry.state) return;
  if (before == fingerprint_state::kQuarantined) {
    entry.confined = false;
    entry.trials = 0;
    entry.trial_paused_until = {};
    effects.released.push_back(key);
  }
  if (entry.state != fingerprint_state::kQuarantined) return;
  entry.may_be_tried = state.may_run_trials;
  effects.quarantined.push_back(key);
}

bool Contains(std::span<const endpoint_instance> instances, const endpoint_instance& instance) {
  return std::ranges::find(instances, instance) != instances.end();
}

bool HasLoss(const table_entry& entry, const endpoint_instance& instance) {
  return Contains(entry.losses, instance) || Contains(entry.half_losses, instance);
}

int LossScore(const table_entry& entry) {
  return kFullLossWeight * static_cast<int>(entry.losses.size()) +
         kHalfLossWeight * static_cast<int>(entry.half_losses.size());
}

int BaseThreshold(const table& state) { return kFullLossWeight * state.config.max_losses; }

int QuarantineThreshold(const table& state, const table_entry& entry, time_point now) {
  const int base = BaseThreshold(state);
  if (state.config.test_faults.no_grading) return base;
  const auto unrelated = std::ranges::count_if(state.recent_losses, [&](const lost_instance& lost) {
    return now - lost.at < kUnrelatedLossWindow &&
           !Contains(entry.lost_while_present, lost.instance) && !HasLoss(entry, lost.instance);
  });
  return unrelated >= kMinUnrelatedLosses ? base + kHalfLossWeight : base;
}

bool HasProgressingCopy(const table& state, const fingerprint& key, const table_entry& entry,
                        const run* except, time_point since) {
  // Most requests have no copy; the counters show this without a search through the runs.
  const bool has_copy =
      entry.runs - entry.runs_without_progress > (except != nullptr && except->progressed ? 1 : 0);
  return has_copy && std::ranges::any_of(state.runs, [&](const auto& pair) {
           const run& active = pair.second;
           return &active != except && active.key == key && active.progressed &&
                  active.progressing_since <= since;
         });
}

bool HasRecentCompletion(const table_entry& entry, time_point now) {
  return now < entry.completed_until && entry.completions > 0;
}

void RecordCompletion(table_entry& entry, time_point now, duration lifetime) {
  const int before = now < entry.completed_until ? entry.completions : 0;
  entry.completions = std::min(before + 1, static_cast<int>(kMaxKeptInstances));
  entry.proven_until = entry.completed_until = now + lifetime;
}

bool AddLoss(const table& state, table_entry& entry, const attributed_loss& loss, time_point now) {
  if (entry.quarantined || Contains(entry.cleared, loss.instance)) return false;
  if (std::ranges::find(state.explained, loss.instance) != state.explained.end()) return false;
  if (Contains(entry.losses, loss.instance) && !state.config.test_faults.no_deduplication)
    return false;
  if (loss.half_weight && Contains(entry.half_losses, loss.instance)) return false;
  const int score = LossScore(entry) + (loss.half_weight ? kHalfLossWeight : kFullLossWeight);
  const bool reaches_threshold = score >= QuarantineThreshold(state, entry, now);
  if (IsLossDisregarded(state, entry, loss, reaches_threshold, now)) {
    if (entry.completions > 0) --entry.completions;
    MoveToCleared(entry, loss.instance);
    return false;
  }
  std::erase(entry.half_losses, loss.instance);
  (loss.half_weight ? entry.half_losses : entry.losses).push_back(loss.instance);
  if (loss.progressed) entry.lost_after = std::max(entry.lost_after, now - loss.progressing_since);
  entry.quarantined = reaches_threshold;
  entry.loss_expires = now + state.config.loss_lifetime;
  return true;
}

bool MoveToCleared(table_entry& entry, const endpoint_instance& instance) {
  const bool was_counted =
      std::erase(entry.losses, instance) + std::erase(entry.half_losses, instance) > 0;
  if (entry.losses.empty() && !entry.restored) entry.quarantined = false;
  std::erase(entry.executing, instance);
  if (entry.losses.empty()) {
    entry.rounds.clear();
    entry.proven_at.reset();
  }
  if (entry.losses.empty() && !entry.restored) entry.sources.clear();
  if (entry.half_losses.empty()) entry.lost_after = duration(0);
  if (Contains(entry.cleared, instance)) return was_counted;
  AppendBounded(entry.cleared, instance);
  return was_counted;
}

void WithdrawUnsupportedQuarantine(const table& state, table_entry& entry) {
  const bool supported = entry.is_feature ? entry.losses.size() >= state.config.max_loss_rounds
                                          : LossScore(entry) >= BaseThreshold(state);
  if (!entry.restored && !supported) entry.quarantined = false;
}

void ClearLosses(table_entry& entry) {
  std::vector<endpoint_instance> instances = entry.losses;
  instances.insert(instances.end(), entry.half_losses.begin(), entry.half_losses.end());
  entry.quarantined = entry.restored = false;
  entry.disputed.clear();
  for (const endpoint_instance& instance : instances) MoveToCleared(entry, instance);
}

void ClearFullLosses(table_entry& entry) {
  const std::vector<endpoint_instance> instances = entry.losses;
  for (const endpoint_instance& instance : instances) MoveToCleared(entry, instance);
}

void AppendBounded(std::vector<endpoint_instance>& instances, const endpoint_instance& instance) {
  if (instances.size() >= kMaxKeptInstances) instances.erase(instances.begin());
  instances.push_back(instance);
}

void ReleaseClaim(table_entry& entry) {
  if (entry.pending.empty()) entry.claimed_at.reset();
}

claim_kind OwnClaim(const table_entry& entry) {
  if (!entry.claimed_at) return claim_kind::kNone;
  const bool waiting = entry.runs_without_progress == 0 && entry.pending.empty();
  return waiting ? claim_kind::kWaiting : claim_kind::kHolding;
}

void RebuildSuspectEndpoints(table& state) {
  state.suspect_endpoints.clear();
  for (const fingerprint& key : state.flagged) {
    for (const auto& [daemon, claim] : state.entries.find(key)->second.peer_claims) {
      state.suspect_endpoints.insert(claim.endpoints.begin(), claim.endpoints.end());
    }
  }
  for (const auto& [id, active] : state.runs) {
    if (!active.as_suspect || active.progressed) continue;
    for (const route_hop& hop : active.route) state.suspect_endpoints.insert(hop.instance.endpoint);
  }
}

update MakeUpdate(const table& state, const fingerprint& key, const table_entry& entry) {
  update current{.daemon = state.config.daemon,
                 .key = key,
                 .losses = entry.losses,
                 .cleared = entry.cleared,
                 .quarantined = entry.state == fingerprint_state::kQuarantined,
                 .claim = OwnClaim(entry),
                 .endpoints = SuspectEndpoints(state, key),
                 .half_losses = entry.half_losses,
                 .lost_after = entry.lost_after,
                 .is_feature = entry.is_feature,
                 .sources = entry.sources,
                 .executing = entry.executing,
                 .confined = entry.confined,
                 .loss_rounds = entry.rounds.size(),
                 .feature_runs = entry.feature_runs};
  const bool concurrent = state.config.suspect_policy == suspect_policy::kConcurrent;
  if (concurrent && !current.endpoints.empty()) current.claim = claim_kind::kHolding;
  return current;
}

}  // namespace balsambay::quarantine::details
