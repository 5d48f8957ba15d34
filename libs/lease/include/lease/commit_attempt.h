// Follows one conditional transaction until its outcome is known, although replies may be lost and
// the transaction may be delayed. The transaction is conditional on the versions of one or more
// lease rows, the guards, and rewrites these rows with values that no other write uses. Reading the
// guards back therefore tells whether the transaction took effect, can no longer take effect, or
// still may. In the last case the same transaction is sent again; it cannot take effect twice.
//
// The functions do no I/O: they return the calls that the caller has to send to the table service.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "lease/lease_row.h"
#include "lease/table_call.h"

namespace balsambay::lease {

// A lease row that the transaction is conditional on and rewrites.
struct guard {
  std::string key;
  uint64_t version = 0;  // version that the row must have
  std::string value;     // new value, unique to this transaction
};

enum class transaction_outcome {
  kPending,    // not known yet
  kCommitted,  // the transaction took effect
  kRejected,   // the transaction did not and cannot take effect
};

struct commit_attempt {
  std::vector<guard> guards;         // not empty
  std::vector<table::write> writes;  // unconditional writes of the same transaction
  time_point first_sent;
  time_point last_sent;
  int sends = 0;
  bool reply_lost = false;           // a reply was lost or a call timed out
  bool reading_back = false;         // the open call reads the guards back
  uint64_t call = 0;                 // open call; 0: none, the next one is due at `deadline`
  std::vector<uint64_t> late_calls;  // timed out; their replies are still evaluated
  time_point deadline;               // when the open call times out, or the next call is due
  // Valid once the outcome is known:
  uint64_t version = 0;                  // of all rows written, when committed
  std::vector<std::string> lost_guards;  // guards that another writer changed, when rejected
};

// Result of one step: the outcome if it is known now, and the next call to send if there is one.
struct progress {
  transaction_outcome outcome = transaction_outcome::kPending;
  std::optional<table_call> call;
};

// Returns the call that sends the transaction, for the first time or again. `next_id` is the id of
// the next call and is incremented.
table_call SendTransaction(commit_attempt& attempt, const timing& timing, const faults& faults,
                           uint64_t& next_id, time_point now);

// Whether `call` is the open call of this attempt or one that timed out recently.
bool OwnsCall(const commit_attempt& attempt, uint64_t call);

// Handles the outcome of `call`. Precondition: OwnsCall(attempt, call). After a conflict the guards
// are read back too, because the conflict may come from an earlier send of the same transaction and
// names only one of the lost guards. The reply of a call that timed out is used if it decides the
// outcome, so that a table slower than the call timeout still makes progress; otherwise it is
// ignored.
progress OnCallOutcome(commit_attempt& attempt, uint64_t call, const table_outcome& call_outcome,
                       const timing& timing, const faults& faults, uint64_t& next_id,
                       time_point now);

// Handles a call timeout or sends the call that is due; does nothing before `attempt.deadline`.
progress OnTick(commit_attempt& attempt, const timing& timing, const faults& faults,
                uint64_t& next_id, time_point now);

}  // namespace balsambay::lease
