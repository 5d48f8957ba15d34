// State of one gateway, shared by its parts.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "catalog/catalog.h"
#include "details/event_stream.h"
#include "details/freshness.h"
#include "details/moving_time.h"
#include "details/pace.h"
#include "details/repeat_budget.h"
#include "details/telemetry.h"
#include "exchange/message.h"
#include "exchange/topology.h"
#include "gateway/gateway.h"
#include "lease/holder.h"
#include "net/datagram.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "pipeline/path.h"
#include "pipeline/placement.h"
#include "quarantine/quarantine.h"

namespace balsambay::gateway {

// Load that requests put on an endpoint.
struct load {
  double committed = 0;  // tokens x layers that they may come to hold
  int sequences = 0;
  int head_requests = 0;
};

// Whether other gateways are still to be told of a report.
enum class record_duty : uint8_t {
  kNone,
  kTell,    // this gateway asked for it
  kPassOn,  // came from another cell
};

// Load as the engine itself reported it, to this gateway or another one.
struct reported_use {
  double committed = 0;  // tokens x layers in memory
  int sequences = 0;
  time_point at;  // min(): never
  load own;       // of this gateway's requests, when it learned of the report
  load sent;      // sum of all that this gateway has ever sent there, likewise
  record_duty duty = record_duty::kNone;
};

// One endpoint: what the platform lists, what the endpoint reports and what requests have shown.
struct endpoint {
  listed_endpoint listed;
  time_point listed_at;                       // when this incarnation was first seen
  bool listed_leaving = false;                // the list says so; `listed.leaving`: or its answers
  std::optional<pipeline::layer_range> held;  // newest of list and report
  uint64_t accepted_orders = 0;
  bool busy = false;
  double slowdown = 1;
  load own;    // requests of this gateway
  load sent;   // sum of all that this gateway has ever sent there
  load peers;  // of all others, as they last said; only in small installations
  reported_use reported;
  bool down = false;        // did not answer; not used until it does
  bool found_down = false;  // by this gateway itself
  time_point down_since;    // when it last went down
  bool ended = false;       // down, and has refused a connection or its zone is cut off
  time_point next_probe;    // while down
  bool probing = false;     // a report is under way
  // Last word of the endpoint that did not say that it leaves, to this gateway or to another one.
  time_point word_at{};
  time_point answered_at;  // last report to this gateway
  time_point checked_at;   // last report that was asked for because a request stalled
  time_point held_at;      // when `held` was last learned
  size_t watch_rank = 0;   // among the gateways of this zone, at `ranked_at`
  time_point ranked_at;
  int missed_reports = 0;
  time_point silent_since{};  // the first of these was asked for
  time_point refused_until;   // refused work lately; not chosen before
  double failure_rate = 0;    // moving mean over requests, decays with time since `failure_at`
  time_point failure_at;
};

struct call;
using call_ptr = std::shared_ptr<call>;

struct call_hop {
  std::string endpoint_id;
  std::string address;
  pipeline::layer_range range;
};

// One sending of a request to an endpoint or a path of engines.
struct attempt {
  uint32_t number = 0;         // from 1, within the call
  std::vector<call_hop> path;  // one entry for plain services
  double committed_tokens = 0;
  std::shared_ptr<net::client_call> upstream;  // null: closed
  net::reply_head head;
  reply_facts facts;
  std::string reply_body;  // answers that are sent whole
  event_splitter events;   // all of the stream so far, those of earlier attempts included
  std::string withheld;    // whole events that are not passed on yet
  time_point last_progress;
  bool progressed = false;   // has produced output
  int outputs = 0;           // since the engines last changed
  bool first_there = false;  // no earlier attempt was sent to its endpoint
  bool cut = false;          // the connection broke
  bool rerouting = false;
  int reroutes = 0;  // refused ones, in a row
};
using attempt_ptr = std::shared_ptr<attempt>;

// Why an attempt produced no answer, or is to be replaced.
enum class attempt_failure : uint8_t {
  kNotSent,      // the endpoint could not be reached; nothing was sent
  kNotExecuted,  // the endpoint or an engine on its path refused before it began
  kBroken,       // connection broken, malformed or foreign reply
  kStalled,      // no answer for too long, or an engine on the path was lost
  kFailed,       // the endpoint answered with an error of its own
  kMoved,        // the endpoint is about to leave; the request goes on elsewhere
};

// One request of a caller. Owned by gateway_state::calls from acceptance to its final answer;
// callbacks hold weak pointers, so that nothing acts on a request that has ended.
struct call {
  uint64_t number = 0;
  incoming_call incoming;
  std::string body;
  quarantine::fingerprint fingerprint;  // the same when the caller sends it again
  net::exchange_ptr exchange;
  std::shared_ptr<const catalog::catalog> configuration;  // in force when it arrived
  const catalog::route* route = nullptr;                  // in `configuration`
  std::string service;
  std::string workspace;
  int priority = 0;
  time_point arrived;
  time_point due;  // the final answer is given by then

  // Attempts. Invariants: `successor` is set only while `open` is, and has made no output; with its
  // first output it becomes the open one. Only output of `open` reaches the caller.
  attempt_ptr open;
  attempt_ptr successor;
  attempt_failure replaced_for = attempt_failure::kMoved;  // why there is a successor
  bool withholding = false;                 // output of `open` waits for the outcome of `successor`
  time_point seek_after{};                  // no successor is sent before
  time_point reroute_after{};               // no order to reroute is sent before
  uint32_t attempts = 0;                    // begun so far
  int sends = 0;                            // of these, sent
  std::map<std::string, uint64_t> reached;  // endpoints that they were sent to, with incarnations
  std::set<std::string> avoided;            // endpoint ids that failed for this request
  bool suspect = false;                     // suspected of crashing endpoints
  bool may_have_run = false;                // some attempt that has ended

  // The reply to the caller.
  bool streaming = false;    // has begun
  event_splitter events;     // as of the last output that was passed on
  duration first_output{0};  // after arrival
  duration longest_gap{0};   // between outputs
  time_point last_output;

  bool held = false;         // waits for what the quarantine finds
  time_point apart_until{};  // a suspect waits this long for engines without others
  timer_id due_timer = 0;
  timer_id try_timer = 0;   // next look at an attempt that is waited for, or at a missing one
  timer_id lost_timer = 0;  // next look at lost engines of the open attempt
};

// State of the orders to one engine, at the gateway that places layers.
struct placement_order {
  pipeline::layer_range range;
  uint64_t incarnation = 0;
  std::optional<uint64_t> expected_orders;  // accepted before this one
  bool in_call = false;
  bool accepted = false;
  time_point started;
  time_point next_step;
};

// What an engine held when it was last in use, at the gateway that places layers.
struct placed_engine {
  pipeline::vacancy held;
  time_point lost_at;  // min(): in use
};

// An endpoint whose entry went.
struct departed_endpoint {
  uint64_t incarnation = 0;
  time_point left_at;
};

struct peer {
  peer_address address;
  bool in_cell = false;                        // of the own cell in `topology`
  time_point heard{};                          // its last message of state; min(): never
  bool reaches_store = false;                  // as it last said
  time_point reached_store_at{};               // as it or others said; min(): never
  std::unordered_map<uint32_t, load> loads{};  // by the endpoint's name in messages
};

// Of the quarantine of this gateway (containment.cc).
quarantine::settings QuarantineSettings(const settings& values);

struct gateway_state {
  gateway_state(const settings& values, wire calls, store_hooks hooks, net::loop& main_loop)
      : config(values),
        quarantine(QuarantineSettings(values)),
        wire(std::move(calls)),
        store(std::move(hooks)),
        loop(main_loop),
        client(net::MakeHttpClient(main_loop.Timers())),
        rng(values.seed != 0 ? values.seed : std::random_device{}()) {}

  settings config;
  quarantine::table quarantine;
  struct wire wire;
  store_hooks store;
  net::loop& loop;
  std::unique_ptr<net::http_client> client;
  std::unique_ptr<net::http_server> server;
  std::unique_ptr<net::http_server> ready_server;
  std::unique_ptr<net::http_server> metrics_server;
  std::unique_ptr<net::datagram_socket> peer_socket;
  random_generator rng;

  std::shared_ptr<const catalog::catalog> configuration;  // null: none yet
  bool configuration_fed = false;                         // newer versions would be known
  time_point store_back_at;                               // when that last became true
  std::array<freshness, kFeeds> feeds;                    // by `feed`
  remote_clock store_clock;
  bool reading = true;  // follows the tables for its cell
  bool endpoints_known = false;
  time_point list_back_at;        // when the list could last be followed again
  std::set<std::string> missing;  // endpoints that lapsed while the list could not be followed
  std::map<std::string, departed_endpoint> departed;  // by id, for a limited time
  // Left the list without notice and may go on serving for a while; by id, for a limited time.
  std::map<std::string, departed_endpoint> unlisted;
  std::map<std::string, endpoint> endpoints;  // by id
  std::unordered_map<std::string, std::string> id_by_address;
  std::unordered_map<uint32_t, std::string> endpoint_names;  // id by name in messages
  std::map<std::string, peer> peers;                         // by id, without this gateway
  std::unordered_map<uint32_t, std::string> peer_names;      // id by name in messages
  std::vector<exchange::member> members;                     // all gateways, this one included
  exchange::topology topology;                               // of `members`
  std::ptrdiff_t zone_peers = 0;                             // other gateways of the own zone
  size_t exchange_round = 0;
  std::vector<exchange::endpoint_news> news;                       // that are about to be told
  std::map<quarantine::fingerprint, quarantine::update> suspects;  // likewise
  size_t snapshot_cursor = 0;                         // in what the quarantine repeats to others
  std::map<std::string, int64_t> quarantine_records;  // Unix ms of their end, by key
  time_point started_at;
  bool peer_loads_changed = false;                    // the sums of loads are out of date
  std::map<std::string, time_point> zone_down_until;  // zones that cannot be reached

  std::unordered_map<uint64_t, call_ptr> calls;
  uint64_t next_call = 1;
  repeat_budget budget;

  time_point progress_due = time_point::max() - std::chrono::hours(1);
  time_point held_up_at;    // when the loop last ran late
  struct pace pace;         // of streams
  moving_time report_time;  // that reports take

  // Placement of layers.
  lease::holder lease;
  time_point lease_failed_at;  // when a call for the lease last had no usable reply
  std::map<std::string, placement_order> orders;  // by endpoint id
  time_point endpoints_changed;
  time_point held_since;  // when this gateway last began to place layers
  double tokens_per_stage = 0;
  std::map<std::string, placed_engine> placed;   // by endpoint id
  std::map<std::string, time_point> idle_since;  // engines without layers, by endpoint id
  bool placing = false;

  bool unready = false;
  bool draining = false;  // takes no new work
  bool stopping_lease = false;
  std::function<void(int)> on_stopped;
  telemetry metrics;
};

}  // namespace balsambay::gateway
