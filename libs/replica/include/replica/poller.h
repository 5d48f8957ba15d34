// Decides when a copy of a shared table calls the store. A table that is followed keeps a long poll
// open, which returns at the next change. A table that is not followed is updated with changes that
// other processes forward, and calls the store only when a check is requested.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace balsambay::replica {

enum class poll_phase : uint8_t {
  kReadingTable,  // a read of the whole table is in progress
  kLongPolling,   // a call that returns at the next change is open
  kPolling,       // a call that returns at once is open
  kBackingOff,    // delay after a failed call
  kCoalescing,    // delay after a change, so that changes soon after it arrive in one call
  kIdle,          // not followed, no call open
};

struct poller {
  poll_phase phase = poll_phase::kReadingTable;
  bool following = true;
  bool loaded = false;  // the whole table has been read from this address of the store
  duration backoff{0};  // delay after the last failed call; 0: the last call succeeded
  // Delay after a change of a followed table, before the next long poll.
  duration coalescing_delay = std::chrono::milliseconds(100);
};

enum class poll_action : uint8_t {
  kNone,       // the current call or delay continues
  kReadTable,  // read the whole table
  kLongPoll,   // long poll: request changes, the reply comes at the next change
  kPoll,       // request changes, the reply comes at once
  kCancel,     // cancel the open call
  kSleep,      // wait for `sleep`, then call OnWake
};

// The next action. Any action except kNone ends the current call or delay.
struct poll_step {
  poll_action action = poll_action::kNone;
  duration sleep{0};
  bool operator==(const poll_step&) const = default;
};

// A check was requested. Returns kNone while a call that returns at once is open, and before the
// table has been read for the first time.
poll_step OnCheck(poller& poller);
// The last call failed or its reply was not usable.
poll_step OnFailure(poller& poller);
// The last call succeeded, and its rows have been applied. `changed`: it returned changes, after
// which a followed table waits for the coalescing delay.
poll_step OnSuccess(poller& poller, bool changed);
// The store no longer has the requested changes, so the whole table must be read again.
poll_step OnHistoryGone(poller& poller);
// The delay of the last kSleep is over.
poll_step OnWake(poller& poller);
// The store has another address: the whole table must be read again, as it may differ there.
// `delay`: until the read; 0: at once.
poll_step OnStoreMoved(poller& poller, duration delay);
// Starts or stops to follow the table.
poll_step OnFollowing(poller& poller, bool following);

}  // namespace balsambay::replica
