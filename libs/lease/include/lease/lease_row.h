// The lease row {holder, epoch, renewal}, the timing of leases, and what an observer knows of a
// row.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "table/table.h"

namespace balsambay::lease {

struct lease_row {
  std::string holder;    // empty: released, may be taken over at once
  uint64_t epoch = 0;    // incremented by each takeover; the fencing token
  uint64_t renewal = 0;  // incremented by each write in an epoch: no two writes are equal
  bool operator==(const lease_row&) const = default;
};

// JSON form of the row, as stored in the table.
std::string Encode(const lease_row& row);

// Errors: kInvalidArgument when the value is not a lease row.
result<lease_row> Decode(std::string_view value);

struct timing {
  // An observer may take over a row after it has seen it unchanged for this long.
  duration lease_duration = std::chrono::milliseconds(2500);
  // The holder stops acting this long before its lease ends. Covers the time from the clock check
  // to the action, and differences in clock rate.
  duration margin = std::chrono::milliseconds(400);
  duration renew_interval = std::chrono::milliseconds(600);
  // Read interval of an observer while the row is free or not yet known. Held rows are read once
  // per renew_interval.
  duration observe_interval = std::chrono::milliseconds(250);
  // A call without a reply after this time has an unknown outcome.
  duration call_timeout = std::chrono::milliseconds(300);
  // Interval between read-backs, and between sends of one transaction, while the outcome is
  // unknown.
  duration retry_interval = std::chrono::milliseconds(200);
};

// Errors: kInvalidArgument when the margin is not positive, or when the lease does not leave the
// holder time for one renewal.
result<void> Validate(const timing& timing);

// Disables single mechanisms, so that tests can show that they are needed. Not set in production.
struct faults {
  bool skip_read_back = false;        // assumes a commit when the reply is lost
  bool ignore_margin = false;         // the holder acts regardless of its clock
  bool skip_epoch_condition = false;  // transactions are not conditional on the lease rows
};

// What an observer knows about a row. `unchanged_since` is on the observer's own clock: a time at
// which the row already had this version.
struct observation {
  bool known = false;    // the row was read at least once
  uint64_t version = 0;  // 0: the row is absent
  lease_row row;
  time_point unchanged_since;
};

// Records that a read returned `row` (nullptr: the row is absent) at `now`. A row whose value
// cannot be decoded is never taken over, because its epoch is not known and a takeover could lower
// it.
void Observe(observation& observed, const table::row* row, time_point now);

// The earliest time at which the row may be taken over; kNever while it is not known or cannot be
// decoded.
time_point TakeoverTime(const observation& observed, const timing& timing);

}  // namespace balsambay::lease
