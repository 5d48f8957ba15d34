// The bounded table of fingerprints and the state of one entry.
#pragma once

#include "quarantine/quarantine.h"

namespace balsambay::quarantine::details {

// Finds or adds the entry and makes it the most recently used one; may evict others.
entry& Touch(table& state, const fingerprint& key);

entry* Find(table& state, const fingerprint& key);

// Derives the state from losses, pending losses and peers' claims, moves it along the chart and
// keeps the entry in the right list. Wakes held requests.
void Reassess(table& state, const fingerprint& key, entry& item, outputs& out);

bool Contains(std::span<const endpoint_life> lives, const endpoint_life& life);

// What a loss counts.
inline constexpr int kFullLoss = 2;
inline constexpr int kHalfLoss = 1;

// A loss as it is held against a fingerprint.
struct finding {
  endpoint_life life;
  bool half = false;
  bool alone = false;  // it ran as a suspect
  bool progressed = false;
  time_point going_since{};  // see `run`
  bool disputed = false;     // see disputed_loss
};

bool HasLoss(const entry& item, const endpoint_life& life);

int Score(const entry& item);

// The score from which a fingerprint is refused.
int UsualScore(const table& state);

// The same, more while something else takes endpoints down.
int ScoreToCondemn(const table& state, const entry& item, time_point now);

// Whether a copy other than `except` progressed at `since` or before, on its present route, and
// goes on. Cost: O(runs).
bool GoesOnSince(const table& state, const fingerprint& key, const entry& item, const run* except,
                 time_point since);

// Whether copies that completed lately still outweigh losses: each of them does one.
bool HasCompleted(const entry& item, time_point now);

void NoteCompleted(entry& item, time_point now, duration lifetime);

// Adds a confirmed loss unless it is known or was cleared. Returns whether it was added. A request
// that crashes each endpoint never completes: a fingerprint that completed lately is condemned only
// by a loss while it ran as a suspect, and with trial::kShared by more losses than completions.
bool AddLoss(const table& state, entry& item, const finding& loss, time_point now);

// Returns whether the loss counted so far.
bool MoveToCleared(entry& item, const endpoint_life& life);

// Withdraws a verdict that the losses left do not support.
void Reconsider(const table& state, entry& item);

void ClearLosses(entry& item);

// Leaves those that count half.
void ClearFullLosses(entry& item);

// Appends, without the oldest ones beyond a limit.
void Remember(std::vector<endpoint_life>& lives, const endpoint_life& life);

// Ends the own claim unless a loss is still to be confirmed.
void ReleaseClaim(entry& item);

claim_kind OwnClaim(const entry& item);

// Collects the endpoints of suspected runs anew, after runs or peers' claims changed.
void RebuildSuspectEndpoints(table& state);

update MakeUpdate(const table& state, const fingerprint& key, const entry& item);

}  // namespace balsambay::quarantine::details
