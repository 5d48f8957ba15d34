// One lease: watches its row, takes it over when it lapses, renews it and releases it.
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
  faults broken;
  holder_state state = holder_state::kObserving;
  bool stopping = false;
  observation seen;                       // while observing
  lease_row row;                          // the row as this process last wrote or tries to write it
  uint64_t version = 0;                   // of the row; writes are conditional on it
  time_point act_until;                   // end of the lease minus the margin
  time_point acquired_at;                 // when the takeover was known to be committed
  std::optional<commit_attempt> attempt;  // open takeover, renewal or release
  uint64_t read_call = 0;
  time_point read_deadline;  // the read times out, or is due when read_call is 0
  time_point next_renewal;
  uint64_t next_call = 1;
};

std::vector<table_call> OnTick(holder& holder, time_point now);

// Outcomes of calls that are no longer open are ignored.
std::vector<table_call> OnTableReply(holder& holder, uint64_t id, const table_outcome& outcome,
                                     time_point now);

// Whether the holder may act now. Call it with a clock read right before each action: a check made
// earlier says nothing after a pause.
bool MayAct(const holder& holder, time_point now);

// Graceful stop: from now on MayAct is false, and the row is released for the next holder.
std::vector<table_call> Release(holder& holder, time_point now);

time_point NextDeadline(const holder& holder);

}  // namespace balsambay::lease
