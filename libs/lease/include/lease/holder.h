// Client of one lease: observes the lease row, takes it over when the lease has expired, renews it
// and releases it. The functions do no I/O: they return the calls that the caller has to send to
// the table service. Not thread-safe.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lease/commit_attempt.h"

namespace balsambay::lease {

enum class holder_state { kObserving, kAcquiring, kHeld, kReleasing };

struct holder {
  std::string key;   // of the lease row
  std::string self;  // unique for each start of a process
  timing config;
  faults test_faults;
  holder_state state = holder_state::kObserving;
  bool stopping = false;                  // Release() was called
  observation observed;                   // while observing
  lease_row row;                          // as this process last wrote it or tries to write it
  uint64_t version = 0;                   // of the row; writes are conditional on it
  time_point act_until;                   // end of the lease minus the margin
  time_point acquired_at;                 // when the commit of the takeover became known
  std::optional<commit_attempt> attempt;  // open takeover, renewal or release
  uint64_t read_call = 0;
  time_point read_deadline;  // when the open read times out; the next one is due if read_call is 0
  time_point next_renewal;
  uint64_t next_call = 1;
};

// Handles timeouts and sends what is due. Call it at NextDeadline().
std::vector<table_call> OnTick(holder& holder, time_point now);

// Handles the outcome of call `id`. Unknown ids are ignored.
std::vector<table_call> OnTableReply(holder& holder, uint64_t id, const table_outcome& outcome,
                                     time_point now);

// Whether this process holds the lease and may act at `now`. Read the clock and check right before
// each action: after a pause of the process an earlier check is no longer valid.
bool MayAct(const holder& holder, time_point now);

// Stops gracefully: from now on MayAct() is false. The row is released, so that another process can
// take it over at once.
std::vector<table_call> Release(holder& holder, time_point now);

// The table is served by another service from now on. Whatever is known of the row came from the
// former one, so MayAct() is false until the lease has been acquired again, and replies to open
// calls are ignored. The row is observed anew for the whole lease duration, even if it names this
// process: another process may have read it there and be about to take it over.
void OnTableMoved(holder& holder, time_point now);

// When OnTick() has to be called next; kNever when nothing is due.
time_point NextDeadline(const holder& holder);

}  // namespace balsambay::lease
