// Keeps the configuration of one daemon at the highest accepted version. The two lowest live ids of
// a zone read config/head every second; the others get versions from their peers, and read the
// table themselves when no news of a recent read reaches them. No I/O and no clock: table calls and
// peer messages are effects with correlation ids.
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
  duration reply_timeout = std::chrono::seconds(2);  // of a table read
  // Without a confirmation for this long, a daemon that is no reader reads the table itself.
  duration fallback_after = std::chrono::seconds(3);
  duration fallback_interval = std::chrono::seconds(2);  // doubles up to the maximum
  duration max_fallback_interval = std::chrono::seconds(10);
  duration pull_timeout = std::chrono::milliseconds(500);  // for each part
  duration start_grace = std::chrono::seconds(1);  // wait for peers before the first version
  int fanout = 3;                                  // peers that get an announcement at once
  size_t part_bytes = 32768;
  size_t max_transfer_bytes = 64 << 20;
  size_t max_history_bytes = 1 << 20;  // deltas kept for peers, at most kSnapshotEvery
};

struct table_read {
  uint64_t id = 0;  // correlation id for OnReadReply
  table::read_request request;
};

struct peer_send {
  std::string to;
  message content;
};

// A version that failed validation here; the old one stays in force.
struct refusal {
  uint64_t version = 0;
  std::vector<std::string> errors;
};

struct effects {
  std::vector<table_read> reads;
  std::vector<peer_send> sends;
  bool applied = false;  // state.document changed
  std::vector<refusal> refusals;
};

enum class read_purpose { kHead, kVersions };

struct pending_read {
  uint64_t id = 0;
  read_purpose purpose = read_purpose::kHead;
  time_point sent;
};

// A transfer from one peer, one part at a time.
struct pull {
  std::string from;
  uint64_t version = 0;
  uint64_t total = 0;  // 0 until the first part
  transfer_kind transfer = transfer_kind::kDeltas;
  std::string digest;
  std::string data;
  time_point deadline;
};

// What a peer is being sent; kept so that all parts belong to one version.
struct serving {
  uint64_t have = 0;
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
  uint64_t parts_served = 0;
  uint64_t refused_versions = 0;
  uint64_t lower_versions_ignored = 0;  // from stale replies and messages
};

struct state {
  settings config;
  validate_fn validate;
  random_generator rng;
  // Invariant: `version` never falls. 0: none yet; otherwise `digest` is the digest of `document`.
  uint64_t version = 0;
  nlohmann::json document;
  std::string digest;
  time_point confirmed;          // when `version` was last known to be the latest
  uint64_t known_version = 0;    // highest version heard of
  uint64_t refused_version = 0;  // not fetched again
  std::deque<delta> history;     // the last deltas up to `version`, without gaps
  size_t history_bytes = 0;
  std::vector<std::string> live;  // ids of live members with the own one, in order
  std::map<std::string, uint64_t, std::less<>> peer_versions;  // of live peers
  std::optional<pending_read> read;
  uint64_t next_read_id = 1;
  time_point next_poll;
  bool poll_requested = false;  // the next poll happens whatever the role
  duration fallback_interval{0};
  std::optional<pull> current_pull;
  std::optional<serving> current_serving;
  time_point started;
  bool table_answered = false;     // a head read succeeded since the start
  bool grace_over = false;         // peers had time to answer since the start
  bool ready = false;              // stays true
  bool needs_snapshot = false;     // deltas did not lead to the stated digest
  bool fault_apply_lower = false;  // tests only: accepts lower versions
  configsync_counters counters;
};

state MakeState(settings config, validate_fn validate, uint64_t seed, time_point now);

effects OnTick(state& state, time_point now);
time_point NextDeadline(const state& state);

// `reply` is null when the read failed or its reply was lost. Replies to unknown ids are ignored.
effects OnReadReply(state& state, uint64_t id, const table::read_reply* reply, time_point now);
effects OnMessage(state& state, std::string_view from, const message& message, time_point now);

// What a peer says about itself through membership.
effects OnPeerVersion(state& state, std::string_view peer, uint64_t version, duration age,
                      time_point now);

// Live members of the zone with the own id, in any order.
effects SetLive(state& state, std::span<const std::string> ids, time_point now);

// A version that this daemon has just committed itself is read at once.
effects OnCommitted(state& state, uint64_t version, time_point now);

bool IsReader(const state& state);
// Ready: has a version that is not below any known at the start. Stays true.
inline bool IsReady(const state& state) { return state.ready; }
// Since `version` was known to be the latest; for reports.
duration Age(const state& state, time_point now);

}  // namespace balsambay::configsync
