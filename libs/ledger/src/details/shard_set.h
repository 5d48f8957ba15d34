// State of the shards of one daemon, and the functions that the source files of this library share.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <optional>

#include "details/charts.h"
#include "details/record_row.h"
#include "lease/commit_attempt.h"
#include "ledger/ledger.h"

namespace balsambay::ledger {

enum class change_kind : uint8_t { kStart, kAbandon, kEndRan, kEndUnknown, kDelete };

// A change of one record that is queued for a transaction or part of the open one.
struct record_change {
  change_kind kind = change_kind::kStart;
  shard_id shard = 0;
  std::string name;      // of the record
  std::string claimant;  // receives the reply
  std::string request_id;
  std::string result;          // for kEndRan, if `result_stored`
  bool result_stored = false;  // for kEndRan and kDelete: the result row is written or deleted too
  bool replied = false;        // a reply was sent, or none is required
  time_point deadline = kNever;  // for the reply
};

struct shard {
  shard_state state = shard_state::kForeign;
  uint32_t rank = 0;            // of this daemon among the live daemons; 0 is the preferred owner
  std::string preferred_owner;  // first daemon of RankOwners()
  // Valid in the states kForeign and kAcquiring:
  lease::observation observed;
  time_point handover_requested_at;
  std::optional<lease::commit_attempt> takeover;
  // Valid while the shard is held (kLoading, kServing or kDraining):
  lease::lease_row row;
  uint64_t version = 0;    // of `row`; each transaction of this daemon is conditional on it
  time_point lease_until;  // end of the lease minus the margin
  time_point held_since;
  uint64_t load_call = 0;  // open read of all records; 0: none
  // When the open read times out. If load_call is 0: when the next step of the load is due, which
  // decodes rows from the end of `undecoded_rows`, or reads again if there are none.
  time_point load_deadline;
  std::vector<table::row> undecoded_rows;
  absl::flat_hash_map<std::string, record> records;  // by record name
};

// The open group commit: one transaction that covers all held shards.
struct batch {
  lease::commit_attempt attempt;
  std::vector<shard_id> shards;        // parallel to attempt.guards
  std::vector<lease::lease_row> rows;  // the rows written, parallel to attempt.guards
  std::vector<record_change> changes;
};

// An open read of a stored result, for the reply to a repeat.
struct result_read {
  std::string claimant;
  std::string request_id;
  time_point deadline;
};

struct shard_set {
  settings config;
  faults test_faults;
  std::vector<std::string> live_daemons;
  std::vector<shard> shards;        // indexed by shard id
  std::deque<record_change> queue;  // changes that wait for a transaction, oldest first
  size_t queued_result_bytes = 0;   // in `queue` and `open_batch`
  std::optional<batch> open_batch;
  std::map<uint64_t, result_read> result_reads;  // by call id
  uint64_t next_call_id = 1;
  uint64_t next_renewal = 1;              // value for lease_row::renewal
  uint64_t observe_call = 0;              // open read of the rows of foreign shards; 0: none
  std::vector<shard_id> observed_shards;  // shards that `observe_call` reads
  // When the open read times out; the next one is due if observe_call is 0.
  time_point observe_deadline;
  time_point next_batch;        // earliest time of the next group commit with changes
  time_point next_renewal_due;  // latest time of the next group commit; renews the leases
  time_point next_sweep;
  time_point last_handover;  // last start of a handover to another daemon
  time_point tick_time;      // time of the last OnTick()
  int64_t wall_ms = 0;       // Unix time at `tick_time`
  bool stopping = false;     // Release() was called
  counters count;
};

inline bool IsHeld(const shard& shard) {
  return shard.state == shard_state::kLoading || shard.state == shard_state::kServing ||
         shard.state == shard_state::kDraining;
}

// Unix time at `now`, in milliseconds, calculated from the last OnTick().
int64_t WallTimeMs(const shard_set& set, time_point now);

// Appends a table call to the effects and counts it.
void EmitCall(shard_set& set, lease::table_call call, effects& effects);

// shards.cc: observes, takes over, loads and hands over shards.
void TickShards(shard_set& set, time_point now, effects& effects);
// Returns false if `id` is no call of shards.cc. Moves the rows out of `outcome` if the call loads
// a shard.
bool OnShardReply(shard_set& set, uint64_t id, lease::table_outcome& outcome, time_point now,
                  effects& effects);
time_point NextShardDeadline(const shard_set& set);
// Discards the state of a shard that is no longer held or was not acquired, and refuses its queued
// changes.
void DropShard(shard_set& set, shard_id shard, shard_event event, time_point now, effects& effects);

// batch.cc: group commits.
void TickBatch(shard_set& set, time_point now, effects& effects);
// Does nothing while a group commit is open, before the next one is due, or if no shard is held.
void StartBatchIfDue(shard_set& set, time_point now, effects& effects);
// Returns false if `id` is no call of the open group commit.
bool OnBatchReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome, time_point now,
                  effects& effects);
time_point NextBatchDeadline(const shard_set& set);
// Whether the open group commit lost a reply or has taken longer than lease.call_timeout.
bool TableIsUnresponsive(const shard_set& set, time_point now);

// changes.cc: applies committed changes to the records, and refuses changes.
void Enqueue(shard_set& set, record_change change);
// Updates the record and sends the reply.
void ApplyCommitted(shard_set& set, record_change& change, effects& effects);
// Sends the refusal; the caller removes the change.
void RefuseChange(shard_set& set, record_change& change, refusal_reason reason, effects& effects);
// Refuses the changes whose deadline has passed. Queued starts are withdrawn. All other changes
// stay queued or in the transaction, and only their outcome is not reported any more.
void RefuseOverdueChanges(shard_set& set, time_point now, effects& effects);
// Queues the deletion of records that are older than the retention time.
void SweepExpired(shard_set& set, time_point now);
time_point NextChangeDeadline(const shard_set& set);

// result_reads.cc: reads stored results for replies to repeats.
void ReadResult(shard_set& set, shard_id shard, const std::string& name, const claim& claim,
                time_point now, effects& effects);
// Returns false if `id` is no open read of a result.
bool OnResultReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome,
                   effects& effects);
void RefuseOverdueReads(shard_set& set, time_point now, effects& effects);
time_point NextReadDeadline(const shard_set& set);

// replies.cc: appends replies to the effects and counts them.
void Reply(shard_set& set, std::string_view claimant, std::string_view request_id, reply_kind kind,
           effects& effects);
void Refuse(shard_set& set, std::string_view claimant, std::string_view request_id,
            refusal_reason reason, std::string_view owner, effects& effects);

}  // namespace balsambay::ledger
