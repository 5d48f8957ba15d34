// Keeps the configuration of one daemon at the highest committed version. The two daemons of a zone
// with the lowest ids among the live members are readers: they read config/head every second. The
// others get versions from their peers, and read the table themselves if no peer has reported a
// recent read. Performs no I/O and reads no clock: functions return the table reads and peer
// messages that the caller must carry out. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "configsync/commit.h"
#include "configsync/document.h"
#include "configsync/message.h"

namespace balsambay::configsync {

struct settings {
  std::string id;
  duration poll_interval = std::chrono::seconds(1);
  duration read_timeout = std::chrono::seconds(2);  // of a table read
  // A daemon that is not a reader reads the table itself if its version was not confirmed as the
  // latest for this long.
  duration confirmation_timeout = std::chrono::seconds(3);
  duration fallback_interval =
      std::chrono::seconds(2);  // doubles with each failed read, up to the maximum
  duration max_fallback_interval = std::chrono::seconds(10);
  duration chunk_timeout = std::chrono::milliseconds(500);  // of each chunk
  // Time after the start in which peers can announce higher versions. A daemon that has not read
  // the table is not ready before.
  duration start_grace = std::chrono::seconds(1);
  int fanout = 3;  // peers that get an announcement of a new version at once
  size_t chunk_bytes = 32768;
  size_t max_transfer_bytes = 64 << 20;
  size_t max_history_bytes = 1 << 20;  // of the deltas kept for peers, at most kSnapshotInterval
};

struct table_read {
  uint64_t id = 0;  // correlation id for OnReadReply
  table::read_request request;
};

struct peer_message {
  std::string receiver;
  message content;
};

// A version that failed the validation of this daemon; the previous one stays in force.
struct rejection {
  uint64_t version = 0;
  std::vector<std::string> errors;
};

// What the caller must carry out or report after a call.
struct effects {
  std::vector<table_read> reads;
  std::vector<peer_message> sends;
  bool applied = false;  // state.version and state.document changed
  std::vector<rejection> rejections;
};

// kHead reads config/head, kVersions reads the deltas or the snapshot of a higher version.
enum class read_purpose { kHead, kVersions };

struct pending_read {
  uint64_t id = 0;
  read_purpose purpose = read_purpose::kHead;
  time_point sent;
};

// A transfer from one peer, one chunk at a time.
struct pull {
  std::string source;  // id of the peer
  uint64_t version = 0;
  uint64_t total_bytes = 0;  // 0 until the first chunk
  transfer_kind transfer = transfer_kind::kDeltas;
  std::string digest;
  std::string data;     // received so far
  time_point deadline;  // of the next chunk
};

// A transfer to peers. It is kept between requests, so that all chunks belong to one version.
struct outgoing_transfer {
  uint64_t base_version = 0;  // version that the deltas start from; unused for a snapshot
  uint64_t version = 0;
  transfer_kind transfer = transfer_kind::kDeltas;
  std::string digest;
  std::string data;
  time_point last_used;
};

struct configsync_counters {
  uint64_t table_reads = 0;
  uint64_t versions_applied = 0;
  uint64_t digest_mismatches = 0;
  uint64_t snapshots_fetched = 0;
  uint64_t pulls = 0;
  uint64_t chunks_served = 0;
  uint64_t rejected_versions = 0;
  uint64_t lower_versions_ignored = 0;  // heads in stale table replies
};

struct state {
  settings config;
  validate_fn validate;
  random_generator rng;
  // Invariant: `version` never decreases. 0: no version yet; otherwise `digest` is the digest of
  // `document`.
  uint64_t version = 0;
  nlohmann::json document;
  std::string digest;
  time_point confirmed_at;             // when `version` was last known to be the latest
  uint64_t highest_known_version = 0;  // from the table, peers or own commits
  uint64_t rejected_version = 0;       // last version that failed validation; not fetched again
  std::deque<delta> history;           // the last deltas up to `version`, without gaps
  size_t history_bytes = 0;            // total size of the patches in `history`
  std::vector<std::string> live_ids;   // of the live members including this daemon, sorted
  // Versions in force at live peers, except peers whose transfer failed since.
  std::map<std::string, uint64_t, std::less<>> peer_versions;
  std::optional<pending_read> outstanding_read;
  uint64_t next_read_id = 1;
  time_point next_poll;
  bool poll_requested = false;  // the next poll takes place even if this daemon is not a reader
  duration fallback_interval{0};
  std::optional<pull> current_pull;           // from a peer
  std::optional<outgoing_transfer> outgoing;  // to peers
  time_point started;
  bool table_answered = false;     // a table read succeeded since the start
  bool grace_over = false;         // `start_grace` has passed since the start
  bool ready = false;              // never becomes false again
  bool needs_snapshot = false;     // a digest differed or a patch failed; deltas are not used
  bool fault_apply_lower = false;  // fault injection in tests: applies lower versions
  configsync_counters counters;
};

state MakeState(settings config, validate_fn validate, uint64_t seed, time_point now);

// Carries out what is due at `now`. Call it at NextDeadline(), which may change with every call.
effects OnTick(state& state, time_point now);
time_point NextDeadline(const state& state);

// `reply` is null if the read failed or its reply was lost. Replies to unknown ids are ignored.
effects OnReadReply(state& state, uint64_t id, const table::read_reply* reply, time_point now);
effects OnMessage(state& state, std::string_view sender, const message& message, time_point now);

// Reports the version in force at a peer, which membership messages carry. `age` is the time since
// the peer knew that version to be the latest.
effects OnPeerVersion(state& state, std::string_view peer, uint64_t version, duration age,
                      time_point now);

// `ids` are the live members of the zone including this daemon, in any order.
effects SetLiveMembers(state& state, std::span<const std::string> ids, time_point now);

// Reports that this daemon has committed `version`, which is then read from the table at once.
effects OnCommitted(state& state, uint64_t version, time_point now);

// Whether this daemon is one of the two readers of its zone.
bool IsReader(const state& state);
// Whether the daemon had a version that was not below any known one, after the table answered or
// the start grace passed. Stays true.
inline bool IsReady(const state& state) { return state.ready; }
// Time since `version` was known to be the latest; carried by reports to peers.
duration ConfirmationAge(const state& state, time_point now);

}  // namespace balsambay::configsync
