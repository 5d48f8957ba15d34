// The lease row {holder, epoch, renewal} and the observer's view of it.
#pragma once

#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"
#include "table/table.h"

namespace balsambay::lease {

struct lease_row {
  std::string holder;    // empty: released, free to take at once
  uint64_t epoch = 0;    // rises with each takeover; the fencing token
  uint64_t renewal = 0;  // rises with each write within an epoch, so that no two writes are equal
  bool operator==(const lease_row&) const = default;
};

std::string Encode(const lease_row& row);

// Errors: kInvalidArgument when the value is not a lease row.
result<lease_row> Decode(std::string_view value);

struct timing {
  // An observer may take over a row that it saw unchanged for this long.
  duration lease_time = std::chrono::milliseconds(2500);
  // The holder stops acting this long before its lease ends. It covers the pause between the check
  // of the clock and the action, and differences in clock rate.
  duration margin = std::chrono::milliseconds(400);
  duration renew_interval = std::chrono::milliseconds(600);
  // How often an observer reads a row that is free or not yet seen; it reads held rows once per
  // renew_interval.
  duration observe_interval = std::chrono::milliseconds(250);
  // After this long without a reply, a call counts as unknown.
  duration call_timeout = std::chrono::milliseconds(300);
  // Pause between attempts to read back while the table does not answer.
  duration retry_interval = std::chrono::milliseconds(200);
};

// Errors: kInvalidArgument when the holder could not renew once within the lease.
result<void> Validate(const timing& timing);

// Mechanisms that tests switch off to show that the properties depend on them.
struct faults {
  bool skip_read_back = false;        // takes a lost reply for "committed"
  bool ignore_margin = false;         // the holder does not check its clock
  bool skip_epoch_condition = false;  // transactions are not conditional on the lease rows
};

// What an observer knows about a row. `since` is a time on the observer's own clock at which the
// row already had this version.
struct observation {
  bool known = false;
  uint64_t version = 0;  // 0: the row is absent
  lease_row row;
  time_point since;
};

// Records that a read returned `row` (nullptr: absent) at `now`. A value that is no lease row is
// never taken over, because its epoch is not known.
void Observe(observation& seen, const table::row* row, time_point now);

// The earliest time at which the row may be taken over; kNever while nothing is known.
time_point TakeoverTime(const observation& seen, const timing& timing);

}  // namespace balsambay::lease
