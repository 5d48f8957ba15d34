// State of one daemon's shards, shared by the files of this library.
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

// One change of one record on its way into the table.
struct change {
  change_kind kind = change_kind::kStart;
  shard_id shard = 0;
  std::string name;
  std::string claimant;  // to whom to reply
  std::string request_id;
  std::string result;  // for kEndRan
  bool result_stored = false;
  bool answered = false;  // a reply was sent, or none is wanted
  time_point deadline = kNever;
};

struct shard {
  shard_state state = shard_state::kForeign;
  uint32_t rank = 0;      // of this daemon for the shard
  std::string preferred;  // daemon of rank 0
  // While foreign or acquiring:
  lease::observation seen;
  time_point asked;  // last handover request
  std::optional<lease::commit_attempt> takeover;
  // While held (loading, serving or draining):
  lease::lease_row row;
  uint64_t version = 0;  // of the row; each transaction of this daemon is conditional on it
  time_point lease_until;
  time_point held_since;
  uint64_t load_call = 0;
  // The load times out, or its next step is due when load_call is 0: decoding the end of `unread`,
  // or reading again while it is empty.
  time_point load_deadline;
  std::vector<table::row> unread;
  absl::flat_hash_map<std::string, record> records;
};

// The one open transaction for all held shards.
struct batch {
  lease::commit_attempt attempt;
  std::vector<shard_id> shards;        // parallel to attempt.guards
  std::vector<lease::lease_row> rows;  // the rows written, parallel to attempt.guards
  std::vector<change> changes;
};

struct result_read {
  std::string claimant;
  std::string request_id;
  time_point deadline;
};

struct shard_set {
  settings config;
  faults broken;
  std::vector<std::string> live;
  std::vector<shard> shards;  // indexed by shard id
  std::deque<change> queue;   // waiting for a transaction, in order of arrival
  size_t queued_result_bytes = 0;
  std::optional<batch> open_batch;
  std::map<uint64_t, result_read> result_reads;  // by call id
  uint64_t next_call = 1;
  uint64_t next_renewal = 1;
  uint64_t observe_call = 0;
  std::vector<shard_id> observed;  // shards that the open observe call reads
  time_point observe_deadline;     // the read times out, or is due when observe_call is 0
  time_point next_batch;
  time_point next_renewal_due;
  time_point next_sweep;
  time_point last_handover;
  time_point tick_time;  // `wall_ms` was read at this time
  int64_t wall_ms = 0;
  bool stopping = false;
  counters count;
};

inline bool IsHeld(const shard& shard) {
  return shard.state == shard_state::kLoading || shard.state == shard_state::kServing ||
         shard.state == shard_state::kDraining;
}

int64_t WallMs(const shard_set& set, time_point now);

// Appends a table call and counts it.
void Emit(shard_set& set, lease::table_call call, effects& out);

// shards.cc: observing, taking over and loading shards.
void TickShards(shard_set& set, time_point now, effects& out);
// Takes the rows out of `outcome` when it is the load of a shard.
bool OnShardReply(shard_set& set, uint64_t id, lease::table_outcome& outcome, time_point now,
                  effects& out);
time_point NextShardDeadline(const shard_set& set);
// Forgets a held shard; its queued changes are refused.
void DropShard(shard_set& set, shard_id shard, shard_event event, time_point now, effects& out);

// batch.cc: group commit.
void TickBatch(shard_set& set, time_point now, effects& out);
void StartBatchIfDue(shard_set& set, time_point now, effects& out);
bool OnBatchReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome, time_point now,
                  effects& out);
time_point NextBatchDeadline(const shard_set& set);
// The open transaction lost a reply or is slow.
bool TableIsSuspect(const shard_set& set, time_point now);

// changes.cc: effects of committed, rejected and late changes on records.
void Enqueue(shard_set& set, change change);
void ApplyCommitted(shard_set& set, change& change, effects& out);
void RefuseChange(shard_set& set, change& change, refusal reason, effects& out);
void RefuseLateChanges(shard_set& set, time_point now, effects& out);
void SweepExpired(shard_set& set, time_point now);
time_point NextChangeDeadline(const shard_set& set);

// result_reads.cc: stored results for repeats.
void ReadResult(shard_set& set, shard_id shard, const std::string& name, const claim& claim,
                time_point now, effects& out);
bool OnResultReply(shard_set& set, uint64_t id, const lease::table_outcome& outcome, effects& out);
void RefuseLateReads(shard_set& set, time_point now, effects& out);
time_point NextReadDeadline(const shard_set& set);

// replies.cc
void Reply(shard_set& set, std::string_view claimant, std::string_view request_id, reply_kind kind,
           effects& out);
void Refuse(shard_set& set, std::string_view claimant, std::string_view request_id, refusal reason,
            std::string_view owner, effects& out);

}  // namespace balsambay::ledger
