// At-most-once records and their rows in the table: `record/SHARD/WORKSPACE/KEY` holds the state,
// `result/SHARD/WORKSPACE/KEY` the stored result. Results have rows of their own so that a takeover
// does not have to read them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "details/charts.h"
#include "ledger/ledger.h"

namespace balsambay::ledger {

// One record in memory. Its key in shard::records is its name, see RecordName().
struct record {
  record_state state = record_state::kNotRun;  // as in the table, except for kStarting
  bool busy = false;  // true exactly while a change of the record is queued or in a transaction
  // The claim was refused or abandoned while its start was being committed; if the start commits,
  // it is abandoned.
  bool refused = false;
  bool result_stored = false;
  uint64_t body = 0;       // BodyHash() of the claim
  uint64_t grant = 0;      // GrantHash() of the claim
  int64_t started_ms = 0;  // Unix time
  std::string claimant;
};

// "WORKSPACE/KEY" with '/' and '%' escaped in the workspace, so that different pairs have different
// names.
std::string RecordName(std::string_view workspace, std::string_view key);

// Keys of table rows. `name` is the result of RecordName(); RecordPrefix() is the common prefix of
// the keys of all record rows of a shard.
std::string ShardKey(shard_id shard);
std::string RecordPrefix(shard_id shard);
std::string RecordKey(shard_id shard, std::string_view name);
std::string ResultKey(shard_id shard, std::string_view name);

// 64-bit hash of the body digest; detects the reuse of a key with another body.
uint64_t BodyHash(const claim& claim);

// 64-bit hash of claimant and request id; identifies the submission that holds the grant.
uint64_t GrantHash(const claim& claim);

// JSON value of the record row.
std::string EncodeRecord(const record& record);

// Decodes a record row. A row that cannot be decoded becomes a record in state kUnknown with start
// time `wall_ms`, because its request may have run.
record DecodeRecord(std::string_view value, int64_t wall_ms);

}  // namespace balsambay::ledger
