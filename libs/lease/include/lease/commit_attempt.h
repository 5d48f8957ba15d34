// One conditional transaction, followed until its outcome is known although replies may be lost and
// the transaction may be delayed. Each transaction is conditional on the version of one or more
// lease rows and rewrites these rows with values that no other write has. Reading them back
// therefore tells whether it took effect, whether it never can, or whether it still may; in the
// last case the same transaction is sent again, which cannot take effect twice.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "lease/lease_row.h"
#include "lease/table_call.h"

namespace balsambay::lease {

struct guard {
  std::string key;
  uint64_t version = 0;  // version that the row must still have
  std::string value;     // new value, unique to this transaction
};

enum class verdict { kOpen, kCommitted, kRejected };

struct commit_attempt {
  std::vector<guard> guards;         // not empty
  std::vector<table::write> writes;  // further rows of the same transaction
  time_point first_sent;
  time_point last_sent;
  int sends = 0;
  bool doubtful = false;             // a reply was lost
  bool reading = false;              // the open call reads the guards back
  uint64_t call = 0;                 // open call; 0: none, the next one is due at `deadline`
  std::vector<uint64_t> late_calls;  // timed out; a reply of theirs can still decide
  time_point deadline;               // the open call times out, or the next call is due
  // Set with the verdict:
  uint64_t version = 0;           // of all rows written, when committed
  std::vector<std::string> lost;  // guards that another writer changed, when rejected
};

struct progress {
  verdict outcome = verdict::kOpen;
  std::optional<table_call> call;
};

// Sends the transaction for the first time. `next_id` supplies the ids of calls.
table_call Send(commit_attempt& attempt, const timing& timing, const faults& faults,
                uint64_t& next_id, time_point now);

// Whether `call` is the open call or a recent one of this attempt.
bool Owns(const commit_attempt& attempt, uint64_t call);

// Outcome of `call`, which the attempt owns. A conflict is read back too: it may come from an
// earlier send of the same transaction, and it names only one of the lost guards. A late reply is
// used only when it decides, so that a table slower than the call timeout still makes progress.
progress OnOutcome(commit_attempt& attempt, uint64_t call, const table_outcome& reported,
                   const timing& timing, const faults& faults, uint64_t& next_id, time_point now);

// Handles a timeout or a due retry; does nothing before `attempt.deadline`.
progress OnTick(commit_attempt& attempt, const timing& timing, const faults& faults,
                uint64_t& next_id, time_point now);

}  // namespace balsambay::lease
