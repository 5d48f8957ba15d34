// At-most-once records and their rows in the table: `record/SHARD/WORKSPACE/KEY` for the state,
// `result/SHARD/WORKSPACE/KEY` for the stored result. Results have their own rows so that a
// takeover does not read them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "details/charts.h"
#include "ledger/ledger.h"

namespace balsambay::ledger {

// One record in memory. `state` is durable except for kStarting, and `busy` is true exactly while
// one change of the record is queued or in a transaction.
struct record {
  record_state state = record_state::kNotRun;
  bool busy = false;
  bool refused = false;  // the claim being committed was refused; abandon it afterwards
  bool result_stored = false;
  uint64_t body = 0;       // hash of the body digest
  uint64_t grant = 0;      // hash of claimant and request id
  int64_t started_ms = 0;  // Unix time
  std::string claimant;
};

// "WORKSPACE/KEY" with '/' and '%' escaped in the workspace, so that no two pairs share a name.
std::string RecordName(std::string_view workspace, std::string_view key);
std::string ShardKey(shard_id shard);
std::string RecordPrefix(shard_id shard);
std::string RecordKey(shard_id shard, std::string_view name);
std::string ResultKey(shard_id shard, std::string_view name);

uint64_t BodyHash(const claim& claim);
uint64_t GrantHash(const claim& claim);

std::string EncodeRecord(const record& record);

// An unreadable row becomes an unknown record: its request may have run.
record DecodeRecord(std::string_view value, int64_t wall_ms);

}  // namespace balsambay::ledger
