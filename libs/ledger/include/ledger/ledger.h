// At-most-once execution of requests. Each request with an idempotency key has a record in a shard.
// One daemon at a time owns a shard, by a lease whose row is in the table; it grants the right to
// dispatch a request, and writes the changes of records to the table in group commits.
//
// A claim is granted only after the start of the request is durable in its record. A start without
// a recorded end has the outcome "unknown", and its key is not run again while the record exists.
//
// The functions do no I/O: they return effects that the caller carries out. Not thread-safe. Safety
// does not depend on the timing or order of the calls, even after a pause of the process, because
// every transaction is conditional on the versions of the shard rows.
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
  // Id of this daemon, "NAME#START": unique for each start of the process. Live lists and claimants
  // use the same ids; the placement of shards depends only on NAME.
  std::string self;
  // Must be equal in all daemons and must not change while records exist.
  uint32_t shard_count = 8;
  lease::timing lease;
  // Minimum interval between the starts of two group commits while changes are queued.
  duration batch_interval = std::chrono::milliseconds(5);
  // Maximum time to the reply. A claim, abandon or finish that is not durable by then, or a stored
  // result that is not read by then, is refused with kTableUnavailable.
  duration reply_bound = std::chrono::milliseconds(400);
  // Validity of a grant, from the first send of the claim on the claimant's clock.
  duration grant_time = std::chrono::seconds(30);
  // A record is deleted this long after its start (wall clock). From then on a repeat of the
  // request runs again, so this must be far above grant_time plus longest_run.
  duration retention = std::chrono::minutes(30);
  // A start without a recorded end is reported as in progress for this long while its claimant is
  // live, and as unknown otherwise.
  duration longest_run = std::chrono::minutes(10);
  duration load_timeout = std::chrono::seconds(2);  // for the read of all records of a shard
  // Maximum number of rows decoded in one step while a shard is loaded, with one step per
  // millisecond. A row takes about 5 us, so decoding all rows at once would block the event loop.
  size_t load_chunk_rows = 200;
  duration sweep_interval = std::chrono::seconds(5);  // between searches for expired records
  // Additional delay before a takeover, multiplied by the daemon's rank for the shard (0: the
  // preferred owner), so that a better-ranked daemon takes over first.
  duration takeover_delay_per_rank = std::chrono::milliseconds(800);
  uint32_t max_candidates = 3;  // daemons that observe a shard and may take it over
  // An owner hands a shard over to the preferred owner only after it has held the shard this long,
  // and hands over at most one shard per interval. Also the interval between handover requests.
  duration handover_interval = std::chrono::seconds(2);
  size_t max_result_bytes = 16'384;  // larger results are not stored
  size_t max_records_per_shard = 50'000;
  // Changes that wait for a transaction, per daemon; above it, claims are refused.
  size_t max_queued_changes = 4'096;
  // Above it, ends of runs are recorded without their results.
  size_t max_queued_result_bytes = 4'194'304;
  size_t max_batch_changes = 1'024;  // changes in one transaction
  size_t max_result_reads = 256;     // open reads of stored results, per daemon
};

// Errors: kInvalidArgument; the detail names the setting.
result<void> Validate(const settings& settings);

// Disables single mechanisms, so that tests can show that they are needed. Not set in production.
struct faults {
  lease::faults lease;
  bool admit_before_load = false;  // serves a shard before its records have been read
};

// One submission of a request by a client. Each submission has a new `request_id`; a claim that is
// sent again with the same request id and claimant belongs to the same submission.
struct claim {
  std::string workspace;
  std::string key;          // idempotency key, 1 to 255 bytes
  std::string body_digest;  // SHA-256 of the body; only a 64-bit hash of it is stored
  std::string request_id;
  std::string claimant;  // id of the daemon that accepted the request
};

enum class run_outcome { kRan, kUnknown };

enum class reply_kind {
  kGrant,        // the claimant may dispatch the request, see claimant.h
  kInProgress,   // another submission was granted and may still run
  kUnknown,      // another submission started and its outcome is unknown; it never runs again
  kRan,          // another submission ran; `result` holds its result if `result_stored`
  kKeyConflict,  // the key was used with a different body
  kRefused,      // see `reason`; for a claim: nothing was granted
  kRecorded,     // Abandon() or Finish() is durable, now or already before
};

enum class refusal_reason {
  kNone,
  kNotOwner,          // another daemon may own the shard: `owner`, if it is not empty
  kLoading,           // the shard was taken over and its records are still being read
  kMoving,            // the shard is being handed over
  kLeaseLapsed,       // the lease was not renewed in time
  kTableUnavailable,  // the table is slow, down or loses replies
  kOverloaded,        // the queue of changes or the set of result reads is full
  kFull,              // the shard holds max_records_per_shard records
  kBusy,              // another change of this record is not committed yet
  kNoRecord,          // Abandon() or Finish() without the matching grant
  kInvalid,           // workspace, key or an id is empty or too long, or the digest is too long
};

// Name for log lines and error details, for example "not_owner".
std::string_view ToString(refusal_reason reason);

// Reply to Claim(), Abandon() or Finish(); the caller delivers it to `claimant`.
struct reply {
  std::string claimant;
  std::string request_id;
  reply_kind kind = reply_kind::kRefused;
  refusal_reason reason = refusal_reason::kNone;
  duration retry_after{};      // for kRefused: how long to wait before the next attempt
  std::string owner;           // for kNotOwner: last observed holder of the shard, or empty
  duration grant_time{};       // for kGrant: settings.grant_time
  bool result_stored = false;  // for kRan: `result` is valid
  std::string result;
};

// Message for the daemon `owner`, which passes it to OnHandoverRequest() with the id of this
// daemon. Sent when this daemon is the preferred owner of the shard and can read the table.
struct handover_request {
  std::string owner;
  shard_id shard = 0;
};

using effect = std::variant<lease::table_call, reply, handover_request>;
using effects = std::vector<effect>;

struct counters {
  uint64_t transactions = 0;  // sent, including repeated sends
  uint64_t reads = 0;         // sent
  uint64_t lost_replies = 0;  // group commits of which a reply was lost or timed out
  uint64_t takeovers = 0;
  uint64_t shards_lost = 0;  // held shards taken over by another daemon without a handover
  uint64_t handovers = 0;    // shards released for a handover or at a graceful stop
  uint64_t grants = 0;
  uint64_t duplicates = 0;  // replies to repeats, including key conflicts
  uint64_t refused = 0;
  uint64_t expired = 0;  // records deleted after the retention time
};

// The shards of one daemon; opaque to users of the library.
struct shard_set;
struct shard_set_deleter {
  void operator()(shard_set* set) const;
};
using shard_set_ptr = std::unique_ptr<shard_set, shard_set_deleter>;

// Precondition: Validate(settings) succeeds.
shard_set_ptr MakeShardSet(const settings& settings, const faults& faults = {});

// Sets the live daemons of all zones, as far as this daemon knows them; `self` is added if it is
// missing. Call it before the first OnTick(): a daemon that knows no other daemon takes over every
// free shard.
void SetLiveDaemons(shard_set& set, std::span<const std::string> live_daemons, time_point now);

// Handles timeouts and starts what is due. Call it at NextDeadline() or earlier. `wall_ms` is Unix
// time in milliseconds, used for the expiry of records.
effects OnTick(shard_set& set, time_point now, int64_t wall_ms);

// Handles the outcome of the table call `id`. Outcomes of calls that are no longer open are
// ignored.
effects OnTableReply(shard_set& set, uint64_t id, lease::table_outcome outcome, time_point now);

// Each call of Claim(), Abandon() or Finish() leads to exactly one reply effect, at once or within
// settings.reply_bound, provided that OnTick() is called in time. Exceptions: a claim repeated with
// the same request id while it is being committed shares the reply of the first one, and a claim
// that is abandoned before its reply gets none.

// Requests a grant to dispatch the request of `claim`.
effects Claim(shard_set& set, const claim& claim, time_point now);

// The claimant will never dispatch this submission. It is recorded as not run, so that a repeat may
// run.
effects Abandon(shard_set& set, const claim& claim, time_point now);

// The run of the dispatched submission ended. `result` is stored if it fits into
// settings.max_result_bytes and settings.max_queued_result_bytes.
effects Finish(shard_set& set, const claim& claim, run_outcome end, std::string_view result,
               time_point now);

// The daemon `requester` asks for `shard`. Ignored unless it is the preferred owner and the
// handover is allowed by settings.handover_interval.
effects OnHandoverRequest(shard_set& set, shard_id shard, std::string_view requester,
                          time_point now);

// Stops gracefully: claims are refused from now on, and a held shard is released with the first
// transaction after which it has no queued changes.
effects Release(shard_set& set, time_point now);

// Whether Release() was called and no shard is held or being taken over any more.
bool IsReleased(const shard_set& set);

// When OnTick() has to be called next.
time_point NextDeadline(const shard_set& set);

// Shards for which this daemon answers claims.
std::vector<shard_id> ServedShards(const shard_set& set);

// Records in memory, over all shards.
size_t RecordCount(const shard_set& set);
const counters& Counters(const shard_set& set);

}  // namespace balsambay::ledger
