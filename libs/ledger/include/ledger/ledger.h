// At-most-once records of one daemon: the shards it owns, the records in them, and group commits to
// the table. No I/O: each call returns effects, and the caller sends them. A start record is
// durable before a claim is granted; a start without an end is "unknown" and never runs again.
//
// Calls may come in any order and as often as wanted, also after any pause of the process: safety
// rests on transactions that are conditional on the shard rows, not on the calls being on time.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "lease/lease_row.h"
#include "lease/table_call.h"
#include "ledger/placement.h"

namespace balsambay::ledger {

struct settings {
  // "NAME#START": unique for each start of a process. Live lists and claimants use the same ids;
  // only NAME counts for the placement of shards.
  std::string self;
  uint32_t shard_count = 8;  // the same in all daemons, and fixed while records exist
  lease::timing lease;
  duration batch_interval = std::chrono::milliseconds(5);
  // A request that is not durable after this long is refused with kTableUnavailable.
  duration reply_bound = std::chrono::milliseconds(400);
  // A grant can be used for this long after the claim was sent, on the claimant's clock.
  duration grant_time = std::chrono::seconds(30);
  // A record is deleted this long after its start (wall clock). It must be far above grant_time
  // plus the longest run: afterwards the key is free and a repeat would run.
  duration retention = std::chrono::minutes(30);
  // A start without an end counts as in progress for this long, then as unknown.
  duration longest_run = std::chrono::minutes(10);
  duration load_timeout = std::chrono::seconds(2);  // of the read of all records of a shard
  // Rows decoded in one call while a shard is loaded, once per millisecond: a row takes about 5 us,
  // and all rows at once would hold up the loop.
  size_t load_chunk = 200;
  duration sweep_interval = std::chrono::seconds(5);  // search for expired records
  // Lower-ranked daemons wait this much longer per rank before they take over.
  duration rank_delay = std::chrono::milliseconds(800);
  uint32_t candidates = 3;  // daemons that watch a shard
  // An owner gives a shard away to a better-ranked daemon only after it held it this long, and
  // gives away one shard per interval.
  duration handover_interval = std::chrono::seconds(2);
  size_t max_result_bytes = 16'384;  // larger results are not stored
  size_t max_records_per_shard = 50'000;
  size_t max_queued = 4'096;                   // changes that wait for a transaction, per daemon
  size_t max_queued_result_bytes = 4'194'304;  // beyond it, ends are stored without their results
  size_t max_batch = 1'024;                    // changes in one transaction
  size_t max_result_reads = 256;               // open reads of stored results, per daemon
};

// Errors: kInvalidArgument with the name of the setting.
result<void> Validate(const settings& settings);

struct faults {
  lease::faults lease;
  bool admit_before_load = false;  // serves a shard before its records are read
};

// One submission of a request. `request_id` is new for each submission; a claim that is sent again
// with the same request id and claimant is the same submission.
struct claim {
  std::string workspace;
  std::string key;          // idempotency key, 1 to 255 bytes
  std::string body_digest;  // SHA-256 of the body; only a 64-bit hash of it is stored
  std::string request_id;
  std::string claimant;
};

enum class end_state { kRan, kUnknown };

enum class reply_kind {
  kGrant,        // the claimant may dispatch, see claimant.h
  kInProgress,   // another submission has the grant
  kUnknown,      // another submission started and its end is not known; never runs again
  kRan,          // another submission ran; `result` holds its result if `result_stored`
  kKeyConflict,  // the key was used with a different body
  kRefused,      // see `reason`; for a claim: nothing was granted
  kRecorded,     // Abandon or Finish is durable (or was before)
};

enum class refusal {
  kNone,
  kNotOwner,          // ask `owner` if it is not empty
  kLoading,           // the shard was just taken over
  kMoving,            // the shard is being given away
  kLeaseLapsed,       // the lease was not renewed in time
  kTableUnavailable,  // the table is slow, down or loses replies
  kOverloaded,        // the queue is full
  kFull,              // the shard holds its maximum of records
  kBusy,              // a change of this record is under way
  kNoRecord,          // Abandon or Finish without the matching grant
  kInvalid,           // workspace, key or ids are empty or too long
};

std::string_view ToString(refusal reason);

struct reply {
  std::string claimant;
  std::string request_id;
  reply_kind kind = reply_kind::kRefused;
  refusal reason = refusal::kNone;
  duration retry_after{};  // for kRefused: when a new try is useful
  std::string owner;       // for kNotOwner: last seen holder of the shard
  duration grant_time{};   // for kGrant
  bool result_stored = false;
  std::string result;
};

// Ask the daemon `owner` to call OnHandoverRequest(shard, self): this daemon ranks first for the
// shard and can reach the table.
struct handover_request {
  std::string owner;
  shard_id shard = 0;
};

using effect = std::variant<lease::table_call, reply, handover_request>;
using effects = std::vector<effect>;

struct counters {
  uint64_t transactions = 0;  // sent, including repeated sends
  uint64_t reads = 0;
  uint64_t reply_lost = 0;  // transactions whose reply was lost
  uint64_t takeovers = 0;
  uint64_t shards_lost = 0;
  uint64_t handovers = 0;
  uint64_t grants = 0;
  uint64_t duplicates = 0;
  uint64_t refused = 0;
  uint64_t expired = 0;
};

struct shard_set;
struct shard_set_deleter {
  void operator()(shard_set* set) const;
};
using shard_set_ptr = std::unique_ptr<shard_set, shard_set_deleter>;

// Precondition: Validate(settings) succeeds.
shard_set_ptr MakeShardSet(const settings& settings, const faults& faults = {});

// The live daemons of all zones as this daemon knows them; `self` is added when it is missing. Call
// it before the first OnTick: a daemon that knows no other one takes every shard that is free.
void SetLive(shard_set& set, std::span<const std::string> live, time_point now);

// Call at NextDeadline() or earlier. `wall_ms` is Unix time, used for the expiry of records.
effects OnTick(shard_set& set, time_point now, int64_t wall_ms);

// Outcome of the table call `id`; outcomes of calls that are no longer open are ignored.
effects OnTableReply(shard_set& set, uint64_t id, lease::table_outcome outcome, time_point now);

// Each is answered by exactly one reply effect, now or within settings.reply_bound, except that a
// claim repeated with the same request id while it is being committed shares the first reply, and a
// claim that is abandoned before its reply gets none.
// OnTick must be called for the bound to hold.
effects Claim(shard_set& set, const claim& claim, time_point now);

// The claimant will never dispatch this submission: recorded as not run, a repeat may run.
effects Abandon(shard_set& set, const claim& claim, time_point now);

// The dispatched submission ended. `result` is stored up to settings.max_result_bytes.
effects Finish(shard_set& set, const claim& claim, end_state end, std::string_view result,
               time_point now);

effects OnHandoverRequest(shard_set& set, shard_id shard, std::string_view from, time_point now);

// Graceful stop: no new claims; held shards are released with the next transaction.
effects Release(shard_set& set, time_point now);

// True once no shard is held after Release.
bool Released(const shard_set& set);

time_point NextDeadline(const shard_set& set);

std::vector<shard_id> ServedShards(const shard_set& set);
size_t RecordCount(const shard_set& set);
const counters& Counters(const shard_set& set);

}  // namespace balsambay::ledger
