// Whether what is known of a shared table is current. Gateways tell each other the newest change
// they have seen and at which time of the store's clock it was the newest, so that one reply of the
// store serves all. Nothing is dated by when a reply or a message was looked at: a process may
// stand still for seconds in between.
//
// How late a gateway may learn of a change, at most (held by notice_test): it lacks the change, so
// what it knows was last confirmed before the change. A check is due when that is `limit` ago, and
// a third of it more for the spread, or when the pause since the check before is over; then come
// the tick, and the store's reply.
#pragma once

#include <cstdint>
#include <vector>

#include "base/remote_clock.h"
#include "base/time.h"

namespace balsambay::gateway {

// A change that is known to others.
struct told_version {
  uint64_t version = 0;
  time_point due;  // when it is asked for, unless it has arrived
};

struct freshness {
  // Age of the confirmation at which the table is checked.
  duration limit = std::chrono::milliseconds(1500);
  // Of this gateway, in [0, 1): differs between gateways, so that few of them check at once.
  double spread = 0;
  uint64_t changed = 0;   // version of the newest change seen
  uint64_t complete = 0;  // all changes up to this version are known; at least `changed`
  uint64_t confirmed_ms =
      0;                   // `complete` is complete as of this time of the store's clock; 0: never
  time_point answered_at;  // last reply to this gateway itself; min(): never
  time_point checked_at;   // when the last check was begun
  int unanswered = 0;      // checks in a row that had no reply
  // Least time between two checks; doubles with each one that is not answered.
  duration check_pause = std::chrono::milliseconds(500);
  // Bound for that. The store counts as sound again some time after its return; by then each
  // gateway has to have asked once.
  duration longest_pause = std::chrono::milliseconds(4000);
  // What others know is on its way for this long before it is asked for.
  duration grace{0};
  // Versions after `complete`, ascending; bounded.
  std::vector<told_version> told;
};

// A call that asks for changes was made.
void OnCheck(freshness& item, time_point now);

// The store's reply to this gateway.
void OnTablePosition(freshness& item, uint64_t changed, uint64_t complete, uint64_t as_of_ms,
                     time_point now);

// A change that another gateway has passed on was applied. `as_of_ms` 0: further ones are to come.
void OnApplied(freshness& item, uint64_t changed, uint64_t complete, uint64_t as_of_ms);

// What another gateway knows: its newest change, and when that was the newest. Returns whether a
// check is due, because it knows more.
bool OnPeerPosition(freshness& item, uint64_t changed, uint64_t as_of_ms, const remote_clock& clock,
                    time_point now);

// A change up to this version cannot be applied, because one before it has not arrived. Returns
// whether a check is due.
bool OnGap(freshness& item, uint64_t until, const remote_clock& clock, time_point now);

// A change up to this version was too large to be passed on. Returns whether a check is due.
bool OnLargeChange(freshness& item, uint64_t until, const remote_clock& clock, time_point now);

// Newest change that others have told of; 0: none that is not known here.
uint64_t KnownElsewhere(const freshness& item);

// Since what is known was last confirmed; the time since the epoch if it never was.
duration Age(const freshness& item, const remote_clock& clock, time_point now);

// Whether the others wait for the next reply, or are about to check for themselves.
bool IsAwaited(const freshness& item, const remote_clock& clock, time_point now);

// Whether a check may be made, for whatever reason: the last one was long enough ago.
bool MayCheck(const freshness& item, time_point now);

// Whether the table must be checked: the confirmation is old, or others know more.
bool IsCheckDue(const freshness& item, const remote_clock& clock, time_point now);

}  // namespace balsambay::gateway
