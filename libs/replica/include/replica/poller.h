// When a copy of a shared table asks the store. A copy that is followed keeps a call open that
// returns at the next change; one that is not changes by what other processes pass on and asks only
// when it is told to check.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace balsambay::replica {

enum class poll_phase : uint8_t {
  kReading,    // a read of the whole table is under way
  kWaiting,    // a call that returns at the next change is open
  kAsking,     // a call that returns at once is open
  kPausing,    // after a call that failed
  kGathering,  // after a change: those that follow soon come in one call
  kIdle,       // not followed, nothing under way
};

struct poller {
  poll_phase phase = poll_phase::kReading;
  bool following = true;
  bool known = false;  // the table has been read
  duration pause{0};   // of the last failure; 0: the last call did not fail
  duration gather = std::chrono::milliseconds(100);
};

enum class poll_action : uint8_t {
  kNone,  // what is under way goes on
  kRead,  // read the whole table
  kWait,  // ask for changes and wait for one
  kAsk,   // ask for changes, with a reply at once
  kStop,  // end the open call
  kSleep,
};

// What to do next. Anything but kNone ends the call or the sleep that was under way.
struct poll_step {
  poll_action action = poll_action::kNone;
  duration sleep{0};
  bool operator==(const poll_step&) const = default;
};

// A check was asked for. kNone: a call that returns at once is under way already.
poll_step OnCheck(poller& item);
// The last call had no usable reply.
poll_step OnFailure(poller& item);
// The last call was answered, and its rows have been taken.
poll_step OnAnswer(poller& item, bool changed);
// The store no longer has the changes that were asked for.
poll_step OnHistoryGone(poller& item);
// The last sleep is over.
poll_step OnWake(poller& item);
poll_step OnFollowing(poller& item, bool following);

}  // namespace balsambay::replica
