// Bounded table of fingerprints: eviction, state and losses of one entry.
#pragma once

#include "quarantine/quarantine.h"

namespace balsambay::quarantine::details {

// Finds or adds the entry and makes it the most recently used one. May evict other entries.
table_entry& Touch(table& state, const fingerprint& key);

// nullptr when the fingerprint is not in the table.
table_entry* Find(table& state, const fingerprint& key);

// Derives the state of the entry from its losses, pending losses and peers' claims, raises the
// event in the state chart and moves the entry to the matching list. Wakes held requests.
void Reassess(table& state, const fingerprint& key, table_entry& entry, side_effects& effects);

bool Contains(std::span<const endpoint_instance> instances, const endpoint_instance& instance);

// Weights of losses; twice the weights of the description of kConcurrent, to stay in integers.
inline constexpr int kFullLossWeight = 2;
inline constexpr int kHalfLossWeight = 1;

// A loss attributed to a fingerprint.
struct attributed_loss {
  endpoint_instance instance;
  bool half_weight = false;
  bool as_suspect = false;  // see `run`
  bool progressed = false;
  time_point progressing_since{};  // see `run`
  bool disputed = false;           // see `disputed_loss`
};

bool HasLoss(const table_entry& entry, const endpoint_instance& instance);

// Sum of the weights of the confirmed losses.
int LossScore(const table_entry& entry);

// The score from which a fingerprint is refused, without regard to other causes of losses.
int BaseThreshold(const table& state);

// The score from which a fingerprint is refused now: higher by one half loss than BaseThreshold()
// while another cause takes endpoints down.
int QuarantineThreshold(const table& state, const table_entry& entry, time_point now);

// Whether a copy other than `except` is still running that progressed on its present route at
// `since` or earlier. Cost: O(runs).
bool HasProgressingCopy(const table& state, const fingerprint& key, const table_entry& entry,
                        const run* except, time_point since);

// Whether recently completed copies still outweigh a loss. Each completion outweighs one loss.
bool HasRecentCompletion(const table_entry& entry, time_point now);

void RecordCompletion(table_entry& entry, time_point now, duration lifetime);

// Adds a confirmed loss unless it is in the entry already, was cleared, or is outweighed. Returns
// whether it was added. A request that crashes each endpoint never completes, so a fingerprint that
// completed recently is quarantined only by a loss while it ran as a suspect, and with
// kConcurrent only by more losses than completions.
bool AddLoss(const table& state, table_entry& entry, const attributed_loss& loss, time_point now);

// Returns whether the loss was counted until now.
bool MoveToCleared(table_entry& entry, const endpoint_instance& instance);

// Ends a quarantine that the remaining losses do not justify.
void WithdrawUnsupportedQuarantine(const table& state, table_entry& entry);

void ClearLosses(table_entry& entry);

// Clears the losses of full weight and keeps those of half weight.
void ClearFullLosses(table_entry& entry);

// Appends `instance`; drops the oldest one beyond kMaxKeptInstances.
void AppendBounded(std::vector<endpoint_instance>& instances, const endpoint_instance& instance);

// Ends the own claim unless a loss is still unconfirmed.
void ReleaseClaim(table_entry& entry);

claim_kind OwnClaim(const table_entry& entry);

// Recomputes `table::suspect_endpoints`. Call after runs or peers' claims have changed.
void RebuildSuspectEndpoints(table& state);

update MakeUpdate(const table& state, const fingerprint& key, const table_entry& entry);

}  // namespace balsambay::quarantine::details
