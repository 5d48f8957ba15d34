// Endpoint state as one entry daemon sees it: live, suspect, leaving or gone. It combines the
// platform's VM list, which lags, with direct evidence from traffic and probes and with evidence
// from peers. Ejection takes suspect endpoints out of use, but never more than a set fraction.
//
// An incarnation is the platform's incarnation of the VM; an endpoint reports the one it was
// started in. Evidence about a lower incarnation than the highest one seen is ignored. Incarnations
// start at 1; 0 means unknown.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace balsambay::health {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

enum class endpoint_state : uint8_t { kLive, kSuspect, kLeaving, kGone };

std::string_view ToString(endpoint_state state);

// Switches mechanisms off, so that tests can show that they are needed. Never set in production.
struct faults {
  bool stale_live_revives = false;
  bool ignore_reports = false;
  bool unbounded_ejection = false;
};

struct settings {
  // One interval and one timeout must fit into the 2 s in which a leaving endpoint is noticed
  // without the platform.
  duration probe_interval = 1s;
  duration probe_timeout = 500ms;  // the caller reports kProbeFailed after this time
  int probers_per_endpoint = 2;    // daemons of the zone that probe each live endpoint
  duration suspect_probe_min = 100ms;
  duration suspect_probe_max = 2s;
  duration gone_probe = 10s;
  duration gone_after = 30s;  // suspect, not listed and silent for this time
  int failures_to_suspect = 3;
  int probe_failures_to_suspect = 2;
  int probes_to_recover = 2;
  // Of all endpoints in use. Within a group it limits ejection for other reasons than connection
  // failures.
  double max_ejected_fraction = 0.5;
  duration outlier_sweep = 1s;
  int outlier_min_samples = 10;
  double outlier_failure_rate = 0.5;
  double outlier_latency_factor = 3;  // over the median of the group
  duration outlier_hold = 5s;         // multiplied by the number of ejections in a row, up to 6
  duration slow_start = 10s;
  double slow_start_floor = 0.1;
  faults test_faults = {};
};

// `group` names endpoints that can replace each other, such as one layer range of a model or one
// service. Latencies are compared, and ejection is limited, within a group.
struct endpoint_spec {
  std::string id;
  std::string vm;
  std::string group;
};

struct vm_entry {
  std::string vm;
  uint64_t incarnation = 0;
  bool leaving = false;
};

enum class evidence_kind : uint8_t {
  kSuccess,          // a request was answered
  kFailure,          // a request failed on this endpoint for a reason of the endpoint
  kConnectRefused,   // nothing listens on the address
  kLost,             // the connection broke during a run, or another stage reports the loss
  kProbeOk,          // also raised by a live report of the endpoint
  kProbeFailed,      // refused, timed out or malformed
  kReportedLeaving,  // the endpoint's own statement, in a probe reply or a refusal
};

struct evidence {
  std::string_view endpoint;
  evidence_kind kind = evidence_kind::kSuccess;
  std::optional<uint64_t> incarnation;  // as reported by the endpoint; absent: the current one
  // kSuccess only; 0: none. A figure that is comparable within the group, such as the time to the
  // first token.
  duration latency{0};
};

// What a daemon tells its peers about an endpoint: its own changes to leaving or suspect, and to
// live with a new incarnation.
struct peer_evidence {
  std::string endpoint;
  uint64_t incarnation = 0;
  endpoint_state state = endpoint_state::kLive;
};

enum class change_cause : uint8_t {
  kAdded,
  kRemoved,
  kPlatform,   // the VM list
  kReport,     // the endpoint itself
  kPeer,       // another daemon
  kRefused,    // refused or broken connections
  kFailures,   // failed requests or probes in a row
  kOutlier,    // failure rate or latency
  kMissing,    // no longer in the VM list
  kRecovered,  // probes succeeded
  kEjection,   // the ejection limit admitted or released the endpoint; its state is the same
};

std::string_view ToString(change_cause cause);

struct change {
  std::string endpoint;
  uint64_t incarnation = 0;
  endpoint_state from = endpoint_state::kLive;
  endpoint_state to = endpoint_state::kLive;
  bool usable = false;
  change_cause cause = change_cause::kAdded;
};

struct view {
  endpoint_state state = endpoint_state::kGone;
  bool usable = false;
  double slow_start = 0;  // weight factor in [slow_start_floor, 1]
  uint64_t incarnation = 0;
};

// Private to the library; read through View().
struct record {
  endpoint_spec spec;
  endpoint_state state = endpoint_state::kLive;
  uint64_t incarnation = 0;  // highest seen; 0: none yet
  // Highest incarnation seen to leave. Invariant: the state is leaving or gone while it equals
  // `incarnation`.
  std::optional<uint64_t> left_incarnation;
  bool listed = false;   // in the last VM list
  bool ejected = false;  // suspect, and within the ejection limit
  bool refused = false;  // suspect by connection evidence; ejected before outliers
  change_cause cause = change_cause::kAdded;
  int failures = 0;  // in a row
  int probe_failures = 0;
  int good_probes = 0;  // in a row while suspect
  int ejections = 0;    // in a row, for the hold time
  uint32_t samples = 0;
  double failure_rate = 0;
  double latency_us = 0;
  time_point suspect_since{};
  time_point last_good{};
  time_point hold_until{};  // a suspect endpoint does not recover before
  time_point ramp_from{};   // begin of slow start
  time_point next_probe = kNever;
  endpoint_state published_state = endpoint_state::kLive;
  bool published_usable = false;
  uint64_t published_incarnation = 0;
};

// Invariant: `probes` holds (next_probe, id) of each record whose next_probe is not kNever; its
// views point to keys of `records`.
struct registry {
  registry() = default;
  explicit registry(const settings& values) : config(values) {}
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;
  registry(registry&&) = default;
  registry& operator=(registry&&) = default;

  settings config;
  std::map<std::string, record, std::less<>> records;
  std::map<std::string, vm_entry, std::less<>> vms;  // the last VM list
  std::set<std::pair<time_point, std::string_view>> probes;
  time_point next_sweep = kNever;
  bool filled = false;  // SetEndpoints was called
  uint32_t duty_rank = 0;
  uint32_t duty_members = 1;
};

struct tick_result {
  std::vector<std::string> probes;  // endpoints to probe now
  std::vector<change> changes;
};

// Replaces the set of endpoints. Endpoints of the first call count as established; later additions
// start slowly. Cost: O(n log n).
std::vector<change> SetEndpoints(registry& health, std::span<const endpoint_spec> endpoints,
                                 time_point now);

// This daemon's place among the `members` daemons of the zone, which share the probing of live
// endpoints. 0 of 1 probes every endpoint. Precondition: rank < members.
void SetProbeDuty(registry& health, uint32_t rank, uint32_t members, time_point now);

// Applies a whole VM list. A VM that is missing from it makes its endpoints suspect, not gone,
// because a lagging list may not have it yet. Cost: O(n log n).
std::vector<change> OnVmList(registry& health, std::span<const vm_entry> list, time_point now);

// Evidence about unknown endpoints is ignored. Cost: O(log n), O(n) when a state changes.
std::vector<change> OnEvidence(registry& health, const evidence& item, time_point now,
                               random_generator& rng);

std::vector<change> OnPeerEvidence(registry& health, const peer_evidence& item, time_point now,
                                   random_generator& rng);

// Runs what is due at `now`: probes, the outlier sweep, and the end of silent endpoints.
tick_result Tick(registry& health, time_point now, random_generator& rng);

time_point NextDeadline(const registry& health);

view View(const registry& health, std::string_view endpoint, time_point now);

// Evidence for a peer that joins: all endpoints that are leaving or were seen to leave.
std::vector<peer_evidence> Snapshot(const registry& health);

// Whether peers should hear of `item`: own findings of leaving or suspect endpoints. Findings that
// came from peers are left out, so that they do not circulate.
std::optional<peer_evidence> ToPeerEvidence(const change& item);

}  // namespace balsambay::health
