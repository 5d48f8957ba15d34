// Requests that crash the endpoints that run them, by fingerprint. A fingerprint that was on an
// endpoint when it was lost is suspected. After two lost endpoints it is refused. A completed run
// clears it. How suspects run until then is a setting (`trial`).
//
// Daemons tell each other about losses and claims (who runs a suspect, and where). The daemon sends
// the updates that functions return to its peers.
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
#include <vector>

#include "base/time.h"

namespace balsambay::quarantine {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

// 128 bits, so that an accidental match between two requests is out of the question.
struct fingerprint {
  uint64_t high = 0;
  uint64_t low = 0;
  // The check misreads the comparison with 0 that the compiler generates.
  auto operator<=>(const fingerprint&) const = default;  // NOLINT(modernize-use-nullptr)
};

fingerprint MakeFingerprint(std::string_view workspace, std::string_view content);

// 32 hexadecimal digits, for logs and keys of stored rows.
std::string ToString(const fingerprint& key);
std::optional<fingerprint> ParseFingerprint(std::string_view text);

struct fingerprint_hash {
  size_t operator()(const fingerprint& key) const { return key.low; }
};

// One life of an endpoint, and so the identity of its loss. Precondition: the incarnation differs
// after each restart of the endpoint; otherwise its second loss counts as the first.
struct endpoint_life {
  std::string endpoint;
  uint64_t incarnation = 0;
  bool operator==(const endpoint_life&) const = default;
};

// Switches mechanisms off, so that tests can show that they are needed. Never set in production.
struct faults {
  bool no_claims = false;     // suspected fingerprints run any number of copies
  bool count_twice = false;   // a loss that two daemons report counts twice
  bool no_isolation = false;  // HasSuspect() is always false
  bool unbounded = false;
  bool no_grading = false;  // with trial::kShared, all losses count in full
};

// How suspects run until they are cleared or refused.
enum class trial : uint8_t {
  // One copy in the zone at a time, on endpoints without other suspects; the daemon holds the
  // others back meanwhile.
  kOneCopy,
  // At once, since callers wait and each endpoint serves many runs. What a loss then says about a
  // run depends on how far the run had come and on who else was there:
  // - A run that was on a lost endpoint without having progressed there is suspected of it: the
  //   loss counts in full.
  // - It counts half for a suspect that shared the endpoint with another suspect, and for a run
  //   that had progressed, unless another copy that progressed before goes on: a request that
  //   crashes endpoints after some outputs goes as far with each copy, and no further.
  // - Of several endpoints of one route that are lost, one counts, until the run is placed anew.
  // - While many endpoints are lost that the fingerprint was not on, one more loss is needed.
  kShared,
};

struct settings {
  std::string daemon;  // own id; among claims of the same moment the lowest id wins
  enum trial trial = trial::kOneCopy;
  int max_losses = 2;
  // Copies of an unproven fingerprint that may be without a first token at the same time, on this
  // daemon. 1 keeps simultaneous copies from losing one endpoint each; 0 means no limit.
  int max_unproven_runs = 1;
  // Longest time from an update to its arrival at a peer. A claim waits twice this time.
  duration exchange_delay = 50ms;
  duration unused_claim = 1s;  // a claim that nobody uses is given up
  duration peer_claim = 60s;   // a peer's claim lapses, in case the peer died
  // Then an endpoint that has not answered after it broke off counts as lost; with trial::kShared,
  // as alive, since the daemon asks at once.
  duration confirm_within = 10s;
  duration loss_lifetime = 10min;
  duration proof_lifetime = 10min;
  size_t max_entries = 4096;  // plus those with runs in flight
  faults test_faults = {};
};

enum class verdict : uint8_t {
  kAllow,
  kAllowAlone,  // a suspect: place it on endpoints for which HasSuspect() is false
  kHold,        // ask again when woken, or at `until`
  kRefuse,      // `quarantined`
};

struct decision {
  verdict answer = verdict::kAllow;
  time_point until = kNever;  // kHold: ask again by then; kRefuse: when the quarantine ends
};

enum class claim_kind : uint8_t {
  kNone,
  kWaiting,  // the sender is about to run it
  kHolding,  // the sender waits for its first token or examines a loss; blocks all others
};

// What peers need to know about one fingerprint.
struct update {
  std::string daemon;
  fingerprint key;
  std::vector<endpoint_life> losses;
  std::vector<endpoint_life> cleared;  // losses that the fingerprint did not cause
  bool condemned = false;              // the sender refuses it
  claim_kind claim = claim_kind::kNone;
  std::vector<std::string> endpoints;  // where the sender runs it as a suspect
  std::vector<endpoint_life> half{};   // losses that count half
  duration lost_after{};  // the longest that a run had gone on for when it met one of these
  bool operator==(const update&) const = default;
};

struct outputs {
  std::vector<update> publish;         // to all peers
  std::vector<fingerprint> wake;       // held requests that should ask again
  std::vector<fingerprint> condemned;  // refused from now on
  std::vector<fingerprint> released;   // no longer refused
};

enum class fingerprint_state : uint8_t { kClear, kSuspected, kQuarantined };

std::string_view ToString(fingerprint_state state);

// Private parts of the table.
struct peer_claim {
  time_point expires;
  claim_kind kind = claim_kind::kWaiting;
  std::vector<std::string> endpoints;
};

using run_id = uint64_t;

struct pending_loss {
  endpoint_life life;
  time_point since;
  time_point until;          // when it expires without an answer of the endpoint
  bool alone = false;        // the run was a suspect
  bool progressed = false;   // on this endpoint; only with trial::kShared
  time_point going_since{};  // see `run`
  uint64_t start = 0;        // number of the run's start: of several endpoints of one, one counts
};

// A loss after progress that does not count if a copy which progressed before the lost one still
// goes on when its own loss would be known.
struct disputed_loss {
  endpoint_life life;
  time_point at;
  time_point going_since;  // see `run`
  bool alone = false;
};

struct entry {
  fingerprint_state state = fingerprint_state::kClear;
  std::vector<endpoint_life> losses;   // confirmed, that count in full
  std::vector<endpoint_life> half;     // confirmed, that count half; none of `losses`
  std::vector<endpoint_life> cleared;  // newest kKeptLives
  std::vector<endpoint_life> present;  // lost while the fingerprint was there, newest kKeptLives
  bool condemned = false;
  bool restored = false;              // condemned by a record, not by losses
  std::vector<pending_loss> pending;  // broken connections, to be confirmed
  std::vector<disputed_loss> disputed;
  duration lost_after{};  // the longest that a run had gone on for when it met one of `half`
  std::map<std::string, peer_claim> peers;
  std::optional<time_point> claimed_at;  // own claim
  bool has_waiters = false;
  int runs = 0;   // in flight on this daemon
  int fresh = 0;  // of these, without a new token so far
  time_point loss_expires{};
  time_point proven_until{};     // a copy produced a token or completed
  time_point completed_until{};  // a copy completed
  int completions = 0;           // until then, less the losses that they outweighed
  bool marked = false;           // in `marked` rather than `plain`
  std::list<fingerprint>::iterator position;
};

// An endpoint of a run's route.
struct run_part {
  endpoint_life life;
  time_point since{};       // when the run was placed there
  bool progressed = false;  // the run has progressed there
  bool settled = false;     // a loss of this route counts already
};

struct run {
  fingerprint key;
  std::vector<run_part> route;
  uint64_t start = 0;  // differs for each start, also of the same id
  bool alone = false;
  bool progressed = false;
  time_point going_since{};  // when it progressed, on the last route on which it has
};

struct lost_life {
  endpoint_life life;
  time_point at;
};

// Invariant: each entry is in exactly one of the lists, most recently used first.
struct table {
  table() = default;
  explicit table(const settings& values) : config(values) {}
  table(const table&) = delete;
  table& operator=(const table&) = delete;

  settings config;
  bool has_peers = false;
  std::unordered_map<fingerprint, entry, fingerprint_hash> entries;
  std::unordered_map<run_id, run> runs;
  std::list<fingerprint> plain;   // nothing against them; evicted first
  std::list<fingerprint> marked;  // suspected, quarantined, claimed or with pending losses
  // Endpoints with a suspected run that has not progressed, here or at a peer.
  std::set<std::string, std::less<>> suspect_endpoints;
  std::deque<lost_life> recent;  // with trial::kShared: lost lately, oldest first
  time_point next_sweep{};
  uint64_t starts = 0;  // runs so far
};

// Whether the zone has other daemons; without them claims need no waiting time.
void SetHasPeers(table& state, bool has_peers);

// Decides whether `id` may run now and, on kAllow and kAllowAlone, registers it. Cost: O(1), O(n)
// when the table is full of suspects.
decision Start(table& state, run_id id, const fingerprint& key, time_point now, outputs& out);

// With trial::kShared: what Start() would decide now, without effect.
verdict Foresee(const table& state, const fingerprint& key, time_point now);

// The endpoints that the run uses, before it is sent to them, and again when they change. Those
// that stay keep what the run has done there.
void Place(table& state, run_id id, std::span<const endpoint_life> route, outputs& out,
           time_point now = {});

// The run produced a token that the caller did not have before. It no longer keeps other suspects
// away, and the next copy of its fingerprint may start. With trial::kShared, also clears the losses
// that count in full, since a request that crashes each endpoint makes no progress on any; call it
// once the run has gone on for a few tokens.
void Progress(table& state, run_id id, time_point now, outputs& out);

enum class run_end : uint8_t {
  kCompleted,  // the answer is whole; clears the fingerprint
  kFailed,     // ended without a sign that an endpoint is lost, or cancelled
  kBroken,     // the connection to `broken` ended, or a stage reports its loss
};

// Ends a run. For kBroken, `broken` is required; the daemon then reports Lost() or Alive().
void End(table& state, run_id id, run_end how, const std::optional<endpoint_life>& broken,
         time_point now, outputs& out);

// The endpoint was lost: it refuses connections or came back with another incarnation. Everything
// that ran on this life of it is suspected, so it is called before End() for runs whose own
// connection did not break. Cost: O(runs + pending entries).
//
// `alive_until`, with trial::kShared: the endpoint may have been lost at any time after this one,
// so runs that were placed there later say nothing; kNever when nothing is known.
void Lost(table& state, const endpoint_life& life, time_point now, outputs& out,
          time_point alive_until = kNever);

// The endpoint has fallen silent: it may be lost, or go on after a while. What ran on it is
// suspected until Lost() or Alive() tells, at most until `until`; repeats that could lose another
// endpoint wait. Only with trial::kShared. `alive_until`: as for Lost().
void Silent(table& state, const endpoint_life& life, time_point now, time_point until, outputs& out,
            time_point alive_until = kNever);

// The endpoint has answered in the same incarnation a question of the time `asked`, so a broken
// connection was no loss; with trial::kShared, neither was what counted as a loss before that time.
void Alive(table& state, const endpoint_life& life, time_point asked, outputs& out);

// Merges what a peer published. Losses are counted by their identity. Returns whether it changed
// what is known of losses.
bool Merge(table& state, const update& from, time_point now, outputs& out);

// Refuses the fingerprint until a time that a durable record states, without publishing it.
void Restore(table& state, const fingerprint& key, time_point until, outputs& out);

// Forgets all losses of the fingerprint.
void Lift(table& state, const fingerprint& key, outputs& out);

// Drops the claims of a daemon that left the zone.
void PeerGone(table& state, std::string_view daemon, time_point now, outputs& out);

// Whether a suspected run without progress is on the endpoint, here or at a peer. A run with
// kAllowAlone must avoid it; others should.
bool HasSuspect(const table& state, std::string_view endpoint);

// Expires losses, proofs, claims and unconfirmed losses.
void Tick(table& state, time_point now, outputs& out);

// kNever when the table is empty.
time_point NextDeadline(const table& state);

// All that a joining peer needs. Also sent from time to time to repair lost updates.
std::vector<update> Snapshot(const table& state);

// What peers need to know about the fingerprint now; nullopt when nothing is known.
std::optional<update> UpdateOf(const table& state, const fingerprint& key);

// One entry of the snapshot after the other, to repair lost updates little by little: number
// `cursor`, which moves on.
std::optional<update> NextOfSnapshot(const table& state, size_t& cursor);

fingerprint_state StateOf(const table& state, const fingerprint& key);

}  // namespace balsambay::quarantine
