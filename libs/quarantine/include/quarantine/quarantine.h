// Quarantine of requests that crash the endpoints that run them, by fingerprint: a hash of the
// workspace and content, so all copies of a request have the same one. A fingerprint runs on an
// endpoint while a request with this fingerprint does. If the endpoint is lost meanwhile, the
// fingerprint becomes a suspect. After two lost endpoints (`settings::max_losses`) it is refused. A
// completed run clears it. The setting `suspect_policy` states how suspects run until then.
//
// Requests that have a feature in common, such as a part of their prompts, may crash endpoints
// because of it, no two of them alike. With kConcurrent, losses of endpoints also count against the
// features of the requests that had made no output on them: after
// `settings::max_loss_rounds` rounds of losses, without an answer of a request with the feature in
// between, requests with it are refused, those of all workspaces. If all losses are those of one
// workspace, a request of another one may run once as a trial, on the daemon that could run trials
// when the feature was quarantined (SetMayRunTrials()). If it
// is answered, the quarantine is confined to the workspace of the losses, so that no caller gets
// the requests of others refused for long. The losses that the feature explains are cleared for all
// other fingerprints, except features that explain them as well.
//
// Daemons exchange updates about losses and claims (which daemon runs a suspect, and on which
// endpoints). The caller sends the updates that functions return to the peers.
//
// Not thread-safe: a table belongs to one thread.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"

namespace balsambay::quarantine {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

// 128 bits make an accidental match between two requests practically impossible.
struct fingerprint {
  uint64_t high = 0;
  uint64_t low = 0;
  // clang-tidy reports the comparison with 0 that the compiler generates as a null pointer.
  auto operator<=>(const fingerprint&) const = default;  // NOLINT(modernize-use-nullptr)
};

// Equal content in different workspaces has different fingerprints.
fingerprint MakeFingerprint(std::string_view workspace, std::string_view content);

// 32 hexadecimal digits, for logs and for keys of stored rows.
std::string ToString(const fingerprint& key);
std::optional<fingerprint> ParseFingerprint(std::string_view text);

struct fingerprint_hash {
  size_t operator()(const fingerprint& key) const { return key.low; }
};

// A request as evidence against its features. Hashes.
struct feature_source {
  uint32_t workspace = 0;
  uint32_t content = 0;
  bool operator==(const feature_source&) const = default;
};

// A feature that the request `source` has in common with others.
struct shared_feature {
  fingerprint key;  // does not depend on the workspace
  feature_source source;
};

// What the quarantine knows of a run.
struct run_identity {
  // Implicit, because many requests are known by their content alone.
  // NOLINTNEXTLINE(google-explicit-constructor)
  run_identity(const fingerprint& content, std::vector<shared_feature> shared = {},
               bool answer_begun = false)
      : key(content), features(std::move(shared)), resumed(answer_begun) {}

  fingerprint key;                       // of the whole content
  std::vector<shared_feature> features;  // used with kConcurrent
  bool resumed = false;  // continues an answer of which the caller has received a part
};

// An endpoint between two of its restarts. Identifies the loss of the endpoint. Precondition: each
// restart changes the incarnation; otherwise a second loss is taken for a repeated report of the
// first.
struct endpoint_instance {
  std::string endpoint;
  uint64_t incarnation = 0;
  bool operator==(const endpoint_instance&) const = default;
};

// Disables single mechanisms, so that tests can show that each is needed. Never set in production.
struct faults {
  bool no_claims = false;         // any number of copies of a suspect may run
  bool no_deduplication = false;  // a loss that two daemons report counts twice
  bool no_isolation = false;      // HasSuspect() is always false
  bool no_eviction = false;       // ignores `settings::max_entries`
  bool no_grading = false;        // with kConcurrent, each loss has full weight
};

// How suspects run until they are cleared or refused.
enum class suspect_policy : uint8_t {
  // At most one copy in the zone at a time, on endpoints without other suspects. The daemon holds
  // the other copies back in the meantime.
  kSingleCopy,
  // Immediately, because callers wait and each endpoint serves many runs. The weight of a loss then
  // depends on the progress of the run and on the other runs on the endpoint:
  // - A run that had not progressed on the lost endpoint becomes a suspect: the loss has full
  //   weight.
  // - The loss has weight 1/2 for a suspect that shared the endpoint with another suspect, and for
  //   a run that had progressed. The latter does not count if another copy that progressed earlier
  //   continues: a request that crashes endpoints after a certain number of tokens gets equally
  //   far with each copy, and never further.
  // - If several endpoints of one route are lost, one of them counts until the run is placed on a
  //   new route.
  // - While many endpoints are lost on which the fingerprint was not running, one more loss of
  //   weight 1/2 is needed for quarantine.
  // - A loss without progress has weight 1/2 if the request had made output on endpoints before.
  kConcurrent,
};

struct settings {
  std::string daemon;  // own id; of claims made at the same time, the lowest id has priority
  enum suspect_policy suspect_policy = suspect_policy::kSingleCopy;
  int max_losses = 2;  // losses of full weight after which a fingerprint is refused
  // Rounds of losses after which a feature is refused. Each round consists of runs that were placed
  // when the round before was known, so endpoints that are lost together make one round.
  size_t max_loss_rounds = 3;
  // Time from then until the feature is refused, unless a request with it is answered: peers'
  // updates about the features that it is compared with may still be on their way.
  duration feature_settle_time = 300ms;
  // Maximum number of concurrent runs on this daemon without a first token, per fingerprint that
  // is not proven harmless. 1 prevents simultaneous copies from losing one endpoint each; 0 means
  // no limit. Applies with kSingleCopy.
  int max_unproven_runs = 1;
  // Maximum time from the publication of an update to its arrival at a peer. A claim waits twice
  // this time before it is used.
  duration max_exchange_delay = 50ms;
  duration unused_claim_lifetime = 1s;  // after this time, a claim without a run is released
  duration peer_claim_lifetime = 60s;   // a peer's claim expires after this time if the peer died
  // After this time without an answer, an endpoint whose connection broke counts as lost; with
  // kConcurrent it counts as alive, because the daemon probes it at once.
  duration confirmation_timeout = 10s;
  duration loss_lifetime = 10min;   // losses are forgotten after this time without a new one
  duration proof_lifetime = 10min;  // how long progress or completion counts as proof
  size_t max_entries = 4096;        // exceeded only by entries with runs in flight
  faults test_faults = {};
};

enum class verdict : uint8_t {
  kAllow,
  kAllowIsolated,  // a suspect: place it on endpoints for which HasSuspect() is false
  kHold,           // call Start() again when the fingerprint is listed in `wake`, or at `until`
  kRefuse,         // the fingerprint is quarantined
};

struct decision {
  verdict answer = verdict::kAllow;
  time_point until = kNever;  // kHold: latest time of the next Start(); kRefuse: end of quarantine
};

enum class claim_kind : uint8_t {
  kNone,
  kWaiting,  // the sender is about to start a run
  kHolding,  // the sender's run has no first token yet, or a loss is unconfirmed; blocks all peers
};

// State of one fingerprint at the sending daemon, for its peers.
struct update {
  std::string daemon;  // id of the sender
  fingerprint key;
  std::vector<endpoint_instance> losses;   // losses of full weight
  std::vector<endpoint_instance> cleared;  // losses that the fingerprint did not cause
  bool quarantined = false;                // the sender refuses the fingerprint
  claim_kind claim = claim_kind::kNone;
  std::vector<std::string> endpoints;  // endpoints on which the sender runs it as a suspect
  std::vector<endpoint_instance> half_losses{};  // losses of weight 1/2
  duration lost_after{};    // longest time from progress to loss among `half_losses`
  bool is_feature = false;  // not encoded by ToJson(): features are sent apart from contents
  // Of a feature: requests that its losses are known of, the number of rounds of the losses, and
  // the number of runs with the feature since the first loss on the daemon that has seen most.
  std::vector<feature_source> sources{};
  std::vector<endpoint_instance> executing{};  // see `table_entry`
  bool confined = false;                       // see `table_entry`
  size_t loss_rounds = 0;
  uint64_t feature_runs = 0;
  bool operator==(const update&) const = default;
};

// Why a feature on which a further loss was counted is not refused yet.
enum class feature_finding : uint8_t {
  kTooFewRequests,  // the losses are known of one request only
  kTooFewRounds,
  kOtherFeature,  // `feature_assessment::other` explains the losses better
  kSettling,      // refused after `settings::feature_settle_time`, unless it is cleared
};

std::string_view ToString(feature_finding finding);

// The evidence against a feature, for logs.
struct feature_assessment {
  fingerprint key;
  feature_finding finding = feature_finding::kTooFewRounds;
  size_t losses = 0;
  size_t executing = 0;  // of `losses`, see `table_entry`
  size_t rounds = 0;
  size_t required_rounds = 0;
  uint64_t runs = 0;                 // see `update::feature_runs`
  std::optional<fingerprint> other;  // kOtherFeature: the first one found
};

// Effects of a call that the caller carries out. Functions append to the lists.
struct side_effects {
  std::vector<update> publish;    // updates to send to all peers
  std::vector<fingerprint> wake;  // fingerprints whose held requests should call Start() again
  std::vector<fingerprint> quarantined;  // refused from now on
  std::vector<fingerprint> released;     // no longer refused
  std::vector<fingerprint> confined;     // from now on refused to the workspaces of its losses only
  // Features with losses in several rounds that are not refused, after each further loss.
  std::vector<feature_assessment> assessed;
};

enum class fingerprint_state : uint8_t { kClear, kSuspected, kQuarantined };

std::string_view ToString(fingerprint_state state);

// --- Internal state of the table.

struct claim_from_peer {
  time_point expires;
  claim_kind kind = claim_kind::kWaiting;
  std::vector<std::string> endpoints;
};

using run_id = uint64_t;

// A suspected loss that is not confirmed yet.
struct pending_loss {
  endpoint_instance instance;
  time_point reported_at;
  time_point expires;              // end of the wait for an answer of the endpoint
  bool as_suspect = false;         // see `run`
  bool progressed = false;         // the run had progressed on this endpoint; kConcurrent only
  time_point progressing_since{};  // see `run`
  uint64_t start_number = 0;       // see `run`; of several endpoints of one start, one counts
  std::vector<shared_feature> features{};  // see `run`; empty if the answer had begun
  time_point placed_at{};                  // see `route_hop`
  bool answer_begun = false;               // see `run`; kConcurrent only
  bool executing = false;                  // see `run`
};

// A loss after progress while copies continue that progressed before the lost one. It is decided
// after `settings::confirmation_timeout`, when a loss of those copies would be known: it does not
// count if one of them still continues then.
struct disputed_loss {
  endpoint_instance instance;
  time_point at;
  time_point progressing_since;  // see `run`
  bool as_suspect = false;       // see `run`
};

struct table_entry {
  fingerprint_state state = fingerprint_state::kClear;
  std::vector<endpoint_instance> losses;       // confirmed, with full weight
  std::vector<endpoint_instance> half_losses;  // confirmed, with weight 1/2; disjoint from `losses`
  std::vector<endpoint_instance> cleared;      // the newest kMaxKeptInstances (entries.cc)
  // Instances lost while the fingerprint was running on them, the newest kMaxKeptInstances.
  std::vector<endpoint_instance> lost_while_present;
  bool quarantined = false;
  bool restored = false;  // quarantined by a stored record, not by losses
  std::vector<pending_loss> pending;
  std::vector<disputed_loss> disputed;
  duration lost_after{};  // longest time from progress to loss among `half_losses`
  std::map<std::string, claim_from_peer> peer_claims;  // by id of the daemon
  std::optional<time_point> claimed_at;                // own claim
  bool has_waiters = false;                            // a Start() was held since the last wake
  int runs = 0;                                        // in flight on this daemon
  int runs_without_progress = 0;  // of `runs`, those without a new token so far
  time_point loss_expires{};      // end of the losses and of the quarantine
  time_point proven_until{};      // set when a copy produces a token or completes
  time_point completed_until{};   // set when a copy completes
  int completions = 0;            // until `completed_until`, less the losses that they outweighed
  // Of a feature. Its `losses` are those at which it was present without output.
  bool is_feature = false;
  std::vector<feature_source> sources;  // of the losses
  std::vector<time_point> rounds;       // when each round of the losses became known here
  uint64_t feature_runs = 0;            // see `update`
  // Of `losses`, those at which a run with the feature was being executed.
  std::vector<endpoint_instance> executing;
  std::optional<time_point> proven_at;  // since when the losses suffice to refuse the feature
  // The quarantine covers the workspaces of `sources` only: another one was answered. Reset, like
  // the state of its trials, when the quarantine ends.
  bool confined = false;
  // This daemon has been allowed to run trials since before the quarantine, see SetMayRunTrials().
  bool may_be_tried = false;
  std::optional<run_id> trial;      // run of a workspace without losses
  int trials = 0;                   // of this quarantine
  time_point trial_paused_until{};  // no further trial until a loss of the last one is known
  bool flagged = false;             // in the list `flagged` rather than `unflagged`
  std::list<fingerprint>::iterator position;  // in that list
};

// An endpoint of a run's route.
struct route_hop {
  endpoint_instance instance;
  time_point placed_at{};     // when the run was placed on it
  bool progressed = false;    // the run has progressed on it
  bool loss_counted = false;  // a loss of an endpoint of this route has been counted already
};

struct run {
  fingerprint key;
  std::vector<shared_feature> features;
  // Part of the answer was made, by this run or by one that it continues.
  bool answer_begun = false;
  bool executing = false;  // see ReportExecuting()
  std::vector<route_hop> route;
  uint64_t start_number = 0;  // differs for each start, also for starts with the same run id
  bool as_suspect = false;    // the fingerprint was a suspect when the run started
  bool progressed = false;
  time_point progressing_since{};  // time of progress on the latest route on which it progressed
};

// A run that ended without an answer of the endpoint, which may have been slow or lost.
struct unanswered_run {
  endpoint_instance instance;
  fingerprint key;
  run_id id = 0;  // of the endpoints of one run, one counts
  time_point ended_at;
  time_point expires;
  bool as_suspect = false;  // see `run`
  bool answered = false;    // the endpoint has answered since, maybe as a later incarnation
};

// A run that ended without output. The loss of an endpoint that it crashed may not be known yet.
struct ended_run {
  std::vector<route_hop> route;
  std::vector<shared_feature> features;
  bool executing = false;  // see `run`
  time_point ended_at;
};

struct lost_instance {
  endpoint_instance instance;
  time_point at;
};

// Invariant: each entry is in exactly one of the lists `unflagged` and `flagged`, which are ordered
// from the most to the least recently used.
struct table {
  table() = default;
  explicit table(const settings& values) : config(values) {}
  table(const table&) = delete;
  table& operator=(const table&) = delete;

  settings config;
  bool has_peers = false;
  bool may_run_trials = false;  // see SetMayRunTrials()
  std::unordered_map<fingerprint, table_entry, fingerprint_hash> entries;
  std::unordered_map<run_id, run> runs;
  std::list<fingerprint> unflagged;  // neither suspected nor claimed; evicted first
  std::list<fingerprint> flagged;    // suspected, quarantined, claimed or with undecided losses
  // Endpoints with a suspected run that has not progressed, on this daemon or on a peer.
  std::set<std::string, std::less<>> suspect_endpoints;
  std::deque<lost_instance> recent_losses;  // with kConcurrent; oldest first
  // Of `recent_losses`, those that quarantined features explain.
  std::deque<endpoint_instance> explained;
  std::deque<unanswered_run> unanswered;  // with kConcurrent; in the order of their ends
  std::deque<ended_run> ended_runs;       // with kConcurrent; in the order of their ends
  time_point next_sweep{};
  uint64_t start_count = 0;  // runs started so far
};

// States whether the zone has other daemons. Without peers a claim is usable at once.
void SetHasPeers(table& state, bool has_peers);

// States whether this daemon may run single requests of workspaces that lost no endpoint although
// they have a quarantined feature. To be true on one daemon at a time. Applies to features that are
// quarantined while it is true: a daemon for which it becomes true later does not know the trials
// that others have run, so that together they would lose more endpoints than a contained feature
// may. Call at the latest when the next function would rely on a former value.
void SetMayRunTrials(table& state, bool may_run);

// Decides whether the run `id` may start now and, on kAllow and kAllowIsolated, registers it. The
// id must not be in use. Cost: O(1); O(n) when the table is full of suspects.
decision Start(table& state, run_id id, const run_identity& identity, time_point now,
               side_effects& effects);

// The verdict that Start() would give now with kConcurrent. Changes nothing.
verdict PreviewStart(const table& state, const run_identity& identity, time_point now);

// The quarantined key of the request: that of its content or of one of its features. Of several,
// the one whose quarantine ends last. nullopt: none is quarantined.
std::optional<fingerprint> QuarantinedKey(const table& state, const fingerprint& content,
                                          std::span<const shared_feature> features);

// Whether the key is known as that of a feature.
bool IsFeature(const table& state, const fingerprint& key);

// Sets the endpoints that the run uses. Call before the run is sent to them, and whenever they
// change. The run's progress on endpoints that stay in the route is kept. `now` is used only with
// kConcurrent. Precondition: the run has started.
void SetRoute(table& state, run_id id, std::span<const endpoint_instance> route,
              side_effects& effects, time_point now = {});

// Reports that the endpoint has begun to execute the run, as the head of its reply shows. A run
// that was executed is a likelier cause of a loss than those that were waiting. No effect for ended
// runs.
void ReportExecuting(table& state, run_id id);

// Reports that the run produced a token that the caller did not have before. Its endpoints become
// available to other suspects, and the next copy of its fingerprint may start. With kConcurrent,
// also clears the losses of full weight, because a request that crashes each endpoint progresses on
// none of them; call it after the run has produced a few tokens. No effect for ended runs.
void Progress(table& state, run_id id, time_point now, side_effects& effects);

enum class run_end : uint8_t {
  kCompleted,  // the response is complete; clears the fingerprint
  kFailed,     // cancelled, or failed without a sign that an endpoint was lost
  kBroken,     // the connection to `broken` ended, or another stage reported its loss
};

// Ends a run. No effect for ended runs. For kBroken, `broken` is required; the caller then finds
// out whether the endpoint was lost and calls ReportLost() or ReportAlive().
void End(table& state, run_id id, run_end how, const std::optional<endpoint_instance>& broken,
         time_point now, side_effects& effects);

// Reports that the run is about to end without an answer of the endpoint; call before End(). If the
// endpoint is reported lost by `until`, the loss counts for the run's fingerprint, unless it has
// completed meanwhile. Nothing is suspected until then, because the endpoint may only be slow. Only
// with kConcurrent. No effect for ended runs.
void ReportUnanswered(table& state, run_id id, const endpoint_instance& instance, time_point now,
                      time_point until);

// Reports that the endpoint answered a request. A later incarnation may have sent the answer, if
// the restart is not known yet, so unanswered runs are kept until the time at which it would be.
void ReportAnswer(table& state, const endpoint_instance& instance, time_point until);

// Reports that the endpoint was lost: it refuses connections or came back with another incarnation.
// All fingerprints that were running on `instance` become suspects, so call it before End() for
// runs whose own connection did not break. Cost: O(runs + pending entries).
//
// `alive_until`, with kConcurrent: last time at which the endpoint was known to be alive. Runs
// that were placed on it later are not suspected, because it may have been lost before they reached
// it. kNever when unknown.
void ReportLost(table& state, const endpoint_instance& instance, time_point now,
                side_effects& effects, time_point alive_until = kNever);

// Reports that the endpoint stopped responding: it may be lost or only stalled. The fingerprints
// running on it are suspects until ReportLost() or ReportAlive() is called, at most until `until`.
// Further copies are held if they could cause the loss that leads to quarantine. Only with
// kConcurrent. `alive_until`: as for ReportLost().
void ReportSilent(table& state, const endpoint_instance& instance, time_point now, time_point until,
                  side_effects& effects, time_point alive_until = kNever);

// Reports that the endpoint answered, in the same incarnation, a probe sent at `probed_at`. So a
// broken connection to it was no loss. With kConcurrent, losses of it that were counted before that
// time are withdrawn as well.
void ReportAlive(table& state, const endpoint_instance& instance, time_point probed_at,
                 side_effects& effects);

// Merges an update from a peer. A loss that several daemons report counts once. Returns whether the
// losses or the quarantine of the fingerprint changed.
bool Merge(table& state, const update& received, time_point now, side_effects& effects);

// Quarantines the fingerprint until the time stated by a stored record, without publishing it.
// `sources`: of a feature; empty for a content. `confined`: see `table_entry`.
void Restore(table& state, const fingerprint& key, time_point until, side_effects& effects,
             std::span<const feature_source> sources = {}, bool confined = false);

// Ends the quarantine of the fingerprint and clears all its losses, without publishing it.
void Lift(table& state, const fingerprint& key, side_effects& effects);

// Removes the claims of a daemon that left the zone.
void RemovePeer(table& state, std::string_view daemon, time_point now, side_effects& effects);

// Whether a suspected run without progress uses the endpoint, on this daemon or on a peer. A run
// with kAllowIsolated must avoid such endpoints; other runs should.
bool HasSuspect(const table& state, std::string_view endpoint);

// Expires losses, proofs, claims and unconfirmed losses. Call at NextDeadline() or regularly.
void Tick(table& state, time_point now, side_effects& effects);

// Time of the next sweep by Tick(); kNever when the table is empty.
time_point NextDeadline(const table& state);

// The updates that a joining peer needs. Also sent periodically to make up for lost updates.
std::vector<update> Snapshot(const table& state);

// The current update for the fingerprint; nullopt when it is not in the table.
std::optional<update> UpdateOf(const table& state, const fingerprint& key);

// One update of the snapshot per call, to make up for lost updates incrementally. Fingerprints
// whose losses weigh less than one full loss are omitted, also claimed ones. `cursor` is the
// position in the snapshot and is advanced; nullopt when there is no update to send.
std::optional<update> NextSnapshotUpdate(const table& state, size_t& cursor);

fingerprint_state StateOf(const table& state, const fingerprint& key);

}  // namespace balsambay::quarantine
