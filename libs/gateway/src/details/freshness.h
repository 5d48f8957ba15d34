// Whether what is known of a shared table is current. Each gateway holds a call open that returns
// at the next change; such a call may be lost without a sign. Gateways tell each other the newest
// change they have seen and when their knowledge was last confirmed, so that one check by any of
// them serves all.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace balsambay::gateway {

struct freshness {
  // Age of the confirmation at which the table is checked.
  duration limit = std::chrono::milliseconds(1500);
  // Of this gateway, in [0, 1): differs between gateways, so that few of them check at once.
  double spread = 0;
  uint64_t changed = 0;     // version of the newest change seen
  uint64_t complete = 0;    // all changes up to this version are known; at least `changed`
  time_point confirmed_at;  // min(): never
  time_point checked_at;    // when the last check was begun
  int unanswered = 0;       // checks in a row that confirmed nothing
  // Least time between two checks; doubles with each one that is not answered.
  duration check_pause = std::chrono::milliseconds(500);
  // What others know is on its way for this long before it is asked for.
  duration grace{0};
  uint64_t known_elsewhere = 0;  // newest change that others have told of
  time_point told_at;            // when it was first told of
};

void OnCheck(freshness& item, time_point now);

// The table's own reply.
void OnTablePosition(freshness& item, uint64_t changed, uint64_t complete, time_point now);

// What another gateway knows: its newest change, and the age of its confirmation. Returns whether a
// check is due, because it knows more.
bool OnPeerPosition(freshness& item, uint64_t changed, duration age, time_point now);

// A change up to this version was too large to be passed on. Returns whether a check is due.
bool OnLargeChange(freshness& item, uint64_t until, time_point now);

// Whether the table must be checked: the confirmation is old, or others know more.
bool IsCheckDue(const freshness& item, time_point now);

}  // namespace balsambay::gateway
