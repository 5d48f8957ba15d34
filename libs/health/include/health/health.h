// Health of the endpoints as known to one entry daemon. Each endpoint is live, suspect, leaving or
// gone. The state combines the VM list of the platform, which is delayed, with direct evidence from
// requests and probes and with evidence from other daemons (peers). Suspect endpoints are ejected,
// that is, taken out of use, but never more than a configured fraction of the endpoints.
//
// An incarnation is the platform's incarnation of a VM; an endpoint reports the one in which it was
// started. Evidence about an incarnation lower than the highest one seen is ignored. Incarnations
// start at 1; 0 means unknown.
//
// The functions do no I/O and read no clock. A registry is not synchronized.
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

// Disables single mechanisms, so that tests can show that they are needed. Never set in production.
struct injected_faults {
  bool stale_live_revives = false;  // live evidence of the same incarnation ends `leaving`
  bool ignore_leaving_reports = false;
  bool unbounded_ejection = false;  // all suspect endpoints are ejected
};

struct settings {
  // One interval and one timeout together must be shorter than 2 s, the limit for detecting a
  // leaving endpoint without the platform.
  duration probe_interval = 1s;
  duration probe_timeout = 500ms;  // after this time the caller reports kProbeFailed
  int probers_per_endpoint = 2;    // daemons of a zone that probe each live endpoint
  // The probe interval of a suspect endpoint doubles with each failed probe, between these limits.
  duration min_suspect_probe_interval = 100ms;
  duration max_suspect_probe_interval = 2s;
  duration gone_probe_interval = 10s;
  // A suspect endpoint is gone when it has not been in the VM list and has given no sign of life
  // for this time.
  duration gone_after = 30s;
  int failures_to_suspect = 3;
  int probe_failures_to_suspect = 2;
  int probes_to_recover = 2;
  // Limits the ejected endpoints among all live and suspect ones. Within each group the same
  // fraction limits ejection for reasons other than connection failures.
  double max_ejected_fraction = 0.5;
  duration outlier_sweep_interval = 1s;
  int outlier_min_samples = 10;  // with fewer samples an endpoint is never an outlier
  double outlier_failure_rate = 0.5;
  double outlier_latency_factor = 3;  // ratio to the median of the group
  // Minimum ejection time of an outlier, multiplied by its number of consecutive ejections, up
  // to 6.
  duration outlier_hold_time = 5s;
  duration slow_start_duration = 10s;
  double min_slow_start_factor = 0.1;
  injected_faults test_faults = {};
};

// `group` is common to endpoints that can replace each other, such as those of one layer range of a
// model or of one service. Latencies are compared within a group, and ejection is limited for each
// group.
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
  kSuccess,            // the endpoint replied to a request
  kFailure,            // a request failed, and the endpoint was the cause
  kConnectionRefused,  // no process listens on the address
  kConnectionLost,     // the connection broke during a run, or another stage reported its loss
  kProbeOk,            // a probe succeeded, or the endpoint reported itself as live
  kProbeFailed,        // a probe was refused, timed out or had a malformed reply
  kReportedLeaving,    // the endpoint reported that it leaves, in a probe reply or a refusal
};

struct evidence {
  std::string_view endpoint;
  evidence_kind kind = evidence_kind::kSuccess;
  std::optional<uint64_t> incarnation;  // reported by the endpoint; absent: the current one
  // Only for kSuccess; 0 when not measured. It must be comparable within the group, such as the
  // time to the first token.
  duration latency{0};
};

// Evidence that a daemon sends to its peers about an endpoint: its own state changes to leaving or
// suspect, and to live with a new incarnation.
struct peer_evidence {
  std::string endpoint;
  uint64_t incarnation = 0;
  endpoint_state state = endpoint_state::kLive;
};

enum class change_cause : uint8_t {
  kAdded,      // the endpoint was added to the configuration
  kRemoved,    // the endpoint was removed from the configuration
  kPlatform,   // an entry of the VM list
  kReport,     // a report of the endpoint itself
  kPeer,       // evidence from another daemon
  kRefused,    // a connection was refused or broken
  kFailures,   // consecutive requests or probes failed
  kOutlier,    // the failure rate or the latency was too high
  kMissing,    // the VM is no longer in the VM list
  kRecovered,  // consecutive probes or requests succeeded
  kEjection,   // the state is the same, but the ejection limit now ejects or no longer ejects it
};

std::string_view ToString(change_cause cause);

// A change of the published state, usability or incarnation of an endpoint.
struct state_change {
  std::string endpoint;
  uint64_t incarnation = 0;
  endpoint_state old_state = endpoint_state::kLive;
  endpoint_state new_state = endpoint_state::kLive;
  bool usable = false;
  change_cause cause = change_cause::kAdded;
};

// Default values: the endpoint is not in the registry.
struct endpoint_health {
  endpoint_state state = endpoint_state::kGone;
  bool usable = false;
  double slow_start = 0;  // weight factor in [min_slow_start_factor, 1]
  uint64_t incarnation = 0;
};

// Private to the library; other code reads it through GetEndpointHealth().
struct endpoint_record {
  endpoint_spec spec;
  endpoint_state state = endpoint_state::kLive;
  uint64_t incarnation = 0;  // highest seen; 0: none
  // Highest incarnation that was seen leaving. Invariant: while it equals `incarnation`, the state
  // is leaving or gone.
  std::optional<uint64_t> left_incarnation;
  bool in_vm_list = false;         // the latest VM list has the VM
  bool ejected = false;            // suspect and out of use, as far as the ejection limit allows
  bool connection_failed = false;  // suspect after a connection failure; ejected before others
  change_cause cause = change_cause::kAdded;
  int consecutive_failures = 0;  // requests
  int consecutive_probe_failures = 0;
  int consecutive_successes = 0;  // probes and requests while suspect
  int consecutive_ejections = 0;  // as an outlier; lengthens the hold time
  uint32_t samples = 0;
  double failure_rate = 0;  // moving average over requests
  double latency_us = 0;    // moving average over successful requests; 0: none measured
  time_point suspect_since{};
  time_point last_success{};
  time_point earliest_recovery{};  // a suspect endpoint stays suspect until then
  time_point slow_start_begin{};
  time_point next_probe = kNever;
  // Values that the latest change reported.
  endpoint_state published_state = endpoint_state::kLive;
  bool published_usable = false;
  uint64_t published_incarnation = 0;
};

// All endpoints of this daemon with their schedule of probes. Invariant: `probes` holds
// (next_probe, id) of each record whose next_probe is not kNever; its string views point to keys of
// `records`.
struct registry {
  registry() = default;
  explicit registry(const settings& values) : config(values) {}
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;
  registry(registry&&) = default;
  registry& operator=(registry&&) = default;

  settings config;
  std::map<std::string, endpoint_record, std::less<>> records;
  std::map<std::string, vm_entry, std::less<>> vms;  // the latest VM list, by VM
  std::set<std::pair<time_point, std::string_view>> probes;
  time_point next_sweep = kNever;  // of outliers and silent endpoints
  bool initialized = false;        // SetEndpoints was called before
  uint32_t prober_rank = 0;        // see SetProberRank
  uint32_t prober_count = 1;
};

struct tick_result {
  std::vector<std::string> probes;  // endpoints to probe now
  std::vector<state_change> changes;
};

// Replaces the set of endpoints. Endpoints of the first call get their full weight at once; later
// additions go through slow start. Cost: O(n log n).
std::vector<state_change> SetEndpoints(registry& health, std::span<const endpoint_spec> endpoints,
                                       time_point now);

// Sets the rank of this daemon among the `prober_count` daemons of the zone, which share the
// probing of live endpoints. Rank 0 of 1 probes every endpoint. Precondition: rank < prober_count.
void SetProberRank(registry& health, uint32_t rank, uint32_t prober_count, time_point now);

// Applies a complete VM list. Endpoints of a VM that is no longer listed become suspect, not gone,
// because a delayed list may not have the VM yet. Cost: O(n log n).
std::vector<state_change> OnVmList(registry& health, std::span<const vm_entry> list,
                                   time_point now);

// Applies evidence of this daemon. Evidence about endpoints that are not in the registry is
// ignored. Cost: O(log n), or O(n) when a state changes.
std::vector<state_change> OnEvidence(registry& health, const evidence& new_evidence, time_point now,
                                     random_generator& rng);

// Applies evidence that a peer sent. An endpoint that a peer suspects is probed
// early, but does not become suspect on that evidence alone.
std::vector<state_change> OnPeerEvidence(registry& health, const peer_evidence& new_evidence,
                                         time_point now, random_generator& rng);

// Returns the probes that are due at `now`. When the sweep is due, it also makes outliers suspect
// and silent suspect endpoints gone.
tick_result Tick(registry& health, time_point now, random_generator& rng);

// Time at which Tick must be called next.
time_point NextDeadline(const registry& health);

endpoint_health GetEndpointHealth(const registry& health, std::string_view endpoint,
                                  time_point now);

// Evidence to send to a peer that joins: all endpoints that are leaving, or that were seen leaving
// in their current incarnation.
std::vector<peer_evidence> CollectLeavingEvidence(const registry& health);

// Evidence to send to peers about a state change that this daemon found itself; nullopt for other
// changes. Evidence that came from peers is not sent on, so that it does not circulate.
std::optional<peer_evidence> ToPeerEvidence(const state_change& published);

}  // namespace balsambay::health
