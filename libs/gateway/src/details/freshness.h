// Tracks whether the local copy of a shared table is current. Gateways exchange the version of the
// newest change that they have seen and the time of the store's clock at which it was the newest,
// so that one reply of the store confirms the copies of all gateways. Confirmations carry the
// store's time rather than the time of receipt, because a process may stall for seconds before it
// processes a reply or a message.
//
// Longest delay until a gateway learns of a change (verified by notice_test): a gateway that lacks
// the change was last confirmed before the change. Its next check is due when that confirmation is
// `max_age` old, plus up to a third of `max_age` as jitter, or when the interval since the previous
// check has passed. The timer tick and the store's reply time come on top.
#pragma once

#include <cstdint>
#include <vector>

#include "base/remote_clock.h"
#include "base/time.h"

namespace balsambay::gateway {

// A version that peers have announced and that the local copy lacks.
struct announced_version {
  uint64_t version = 0;
  time_point check_due;  // when the store is asked for it, unless it has arrived before
};

struct freshness {
  // Age of the last confirmation at which the table is checked.
  duration max_age = std::chrono::milliseconds(1500);
  // Jitter of this gateway, in [0, 1): differs between gateways, so that few of them check at once.
  double check_jitter = 0;
  uint64_t changed = 0;   // version of the newest change seen
  uint64_t complete = 0;  // all changes up to this version are known; at least `changed`
  // Time of the store's clock up to which `complete` is known to be the newest; 0: never confirmed.
  uint64_t confirmed_ms = 0;
  time_point answered_at;  // last reply of the store to this gateway itself; min(): never
  time_point checked_at;   // start of the last check
  int unanswered = 0;      // consecutive checks without a reply
  // Shortest interval between two checks; doubles with each unanswered check.
  duration min_check_interval = std::chrono::milliseconds(500);
  // Upper bound of the doubled interval. The platform counts the store as healthy again some time
  // after its recovery; each gateway must have checked once by then.
  duration max_check_interval = std::chrono::milliseconds(4000);
  // Time that a version announced by a peer has to arrive from a peer before the store is asked
  // for it.
  duration delivery_grace{0};
  // Announced versions after `complete`, ascending; bounded.
  std::vector<announced_version> announced;
};

// Call when a check has been sent to the store.
void OnCheckSent(freshness& copy, time_point now);

// Call for each reply of the store to this gateway.
void OnStoreReply(freshness& copy, uint64_t changed, uint64_t complete, uint64_t as_of_ms,
                  time_point now);

// Call when the store has another address. Its clock may differ, so earlier confirmations are void,
// and the copy counts as never confirmed until the store's first reply.
void OnStoreMoved(freshness& copy);

// Call when a change forwarded by a peer was applied. `as_of_ms` 0: further parts follow, or the
// time is not to be believed.
void OnChangeApplied(freshness& copy, uint64_t changed, uint64_t complete, uint64_t as_of_ms);

// Call for a peer's position: its newest change, and the time of the store's clock at which that
// was the newest. Returns whether a check is due, because the peer knows a newer version.
bool OnPeerPosition(freshness& copy, uint64_t changed, uint64_t as_of_ms, const remote_clock& clock,
                    time_point now);

// Call when a change up to the version `until` cannot be applied, because an earlier one is
// missing. Returns whether a check is due.
bool OnGap(freshness& copy, uint64_t until, const remote_clock& clock, time_point now);

// Call when a change up to the version `until` was too large to be forwarded. Returns whether a
// check is due.
bool OnLargeChange(freshness& copy, uint64_t until, const remote_clock& clock, time_point now);

// Whether a time of the store's clock that a peer states can be right: it is not in the future.
// While the store moves, peers may still use the former one, whose clock may be far ahead.
// Believed, its times would make the copy count as current for as long.
bool IsPlausibleTime(const remote_clock& clock, uint64_t as_of_ms, time_point now);

// Newest version that peers have announced; 0: none that the local copy lacks.
uint64_t NewestAnnouncedVersion(const freshness& copy);

// Time since the last confirmation; the time since the epoch if there was none.
duration Age(const freshness& copy, const remote_clock& clock, time_point now);

// Whether to announce the next reply of the store to the peers at once: this gateway's check is
// open, or the peers' copies are as old and they are about to check themselves.
bool ShouldAnnounceReply(const freshness& copy, const remote_clock& clock, time_point now);

// Whether the interval since the last check allows another one, whatever its reason. False before
// the first confirmation.
bool IsCheckAllowed(const freshness& copy, time_point now);

// Whether the table must be checked now: the last confirmation is too old, or peers know a newer
// version.
bool IsCheckDue(const freshness& copy, const remote_clock& clock, time_point now);

}  // namespace balsambay::gateway
