// State of one gateway, shared by the components in this folder. Owned by the gateway object and
// used on the main loop only, without locks.
//
// Load is counted as `committed`: KV memory in tokens x layers that requests hold or may come to
// hold.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/overload.h"
#include "base/buffer_budget.h"
#include "base/random.h"
#include "catalog/catalog.h"
#include "details/event_stream.h"
#include "details/freshness.h"
#include "details/moving_time.h"
#include "details/pace.h"
#include "details/repeat_budget.h"
#include "details/stopping.h"
#include "details/telemetry.h"
#include "exchange/message.h"
#include "exchange/topology.h"
#include "gateway/gateway.h"
#include "lease/holder.h"
#include "log/log.h"
#include "net/datagram.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "pipeline/path.h"
#include "pipeline/placement.h"
#include "quarantine/quarantine.h"

namespace balsambay::gateway {

// Load of requests on an endpoint.
struct load {
  double committed = 0;  // tokens x layers that the requests may come to hold
  int sequences = 0;
  int head_requests = 0;  // requests for which the endpoint is the head of the path
};

// Whether a report is still to be forwarded to other gateways.
enum class report_forwarding : uint8_t {
  kNone,
  kOwnReport,     // requested by this gateway
  kRemoteReport,  // received from another cell
};

// Load as the engine reported it, to this gateway or to another one.
struct reported_load {
  double committed = 0;  // tokens x layers in memory
  int sequences = 0;
  time_point at;  // time of the report; time_point(): none
  load own;       // load of this gateway's requests when it received the report
  load sent;      // total load that this gateway had sent to the engine by then
  report_forwarding forwarding = report_forwarding::kNone;
};

// One endpoint: its entry in the platform's list, its reports and observations by requests.
struct endpoint {
  listed_endpoint listed;
  time_point listed_at;         // when this incarnation was first listed
  bool listed_leaving = false;  // leaving according to the list; `listed.leaving`: list or replies
  // The present entry is unreadable: not used until the next readable one. All else stays as it
  // was, so that the entry of another writer ends no belief.
  bool unreadable = false;
  uint64_t ignored_incarnation = 0;           // of the last ignored entry, which is logged once
  std::optional<pipeline::layer_range> held;  // layers; the newest of list and report
  uint64_t accepted_orders = 0;
  bool busy = false;
  double slowdown = 1;
  load own;    // running requests of this gateway
  load sent;   // total load that this gateway has ever sent to the endpoint
  load peers;  // of all other gateways, as last announced; only in small installations
  reported_load reported;
  bool down = false;        // does not answer; not used until it does
  bool found_down = false;  // this gateway itself found it down
  time_point down_since;    // when it was last marked down
  // Down, and refuses connections, or its zone is cut off, or it has been silent for too long.
  bool ended = false;
  time_point next_probe;  // earliest next probe while down
  bool probing = false;   // a report or health check is under way
  // Last message of the endpoint, to this gateway or to another one, that did not announce leaving.
  time_point last_not_leaving_at{};
  time_point answered_at;  // last report to this gateway
  // Last report or health check that was requested because of a stalled or broken request.
  time_point checked_at;
  time_point held_updated_at;  // time of the information in `held`
  size_t watch_rank = 0;       // among the gateways of this zone, as of `ranked_at`
  time_point ranked_at;
  int missed_reports = 0;     // in a row
  time_point silent_since{};  // request time of the first of the missed reports
  time_point backoff_until;   // refused requests lately; gets none before
  double failure_rate = 0;    // moving mean over requests, decays with the time since `failure_at`
  time_point failure_at;
};

struct call;
using call_ptr = std::shared_ptr<call>;

// An endpoint on the path of an attempt, with the layers that it runs.
struct call_hop {
  std::string endpoint_id;
  std::string address;
  pipeline::layer_range range;
};

// One attempt of a request, at a plain endpoint or on a path of engines.
struct attempt {
  uint32_t number = 0;         // from 1, within the call
  std::vector<call_hop> path;  // one entry for plain services
  double committed_tokens = 0;
  std::shared_ptr<net::client_call> upstream;  // null: closed
  net::reply_head head;
  reply_metadata facts;
  std::string reply_body;  // of replies that are passed on whole
  // Memory of `reply_body` and of the start of an event, by capacity; null: none yet.
  std::unique_ptr<buffer_share> buffer;
  event_splitter events;  // the whole stream so far, including that of earlier attempts
  std::string withheld;   // complete events that are not passed on yet
  time_point last_progress;
  bool progressed = false;  // has made output
  int outputs = 0;          // since the engines last changed or the quarantine restarted its run
  bool first_at_endpoint = false;  // no earlier attempt was sent to the same endpoint
  bool cut = false;                // the connection broke
  std::string detail;              // how its connection ended, if not with a whole reply
  bool no_socket = false;          // not sent, because this process has no socket left
  bool rerouting = false;
  int reroutes = 0;  // refused reroute orders in a row
};
using attempt_ptr = std::shared_ptr<attempt>;

// Why an attempt failed or is to be replaced.
enum class attempt_failure : uint8_t {
  kNotSent,      // the endpoint could not be reached; nothing was sent
  kNotExecuted,  // the endpoint or an engine on its path refused before it began to execute
  kBroken,       // connection broken, malformed reply, or reply of another endpoint
  kStalled,      // no answer for too long, or an engine on the path was lost
  kFailed,       // the endpoint answered with an error
  kMoved,        // the endpoint is about to leave; the request moves to another one
};

// One request of a caller. Owned by gateway_state::calls from acceptance to its final answer.
// Callbacks hold weak pointers, so that they have no effect on a request that has ended.
struct call {
  uint64_t number = 0;
  incoming_call incoming;
  std::string_view body;  // of `exchange`, which keeps it until the reply has ended
  // For the quarantine: of the content, the same for each repetition by the caller, and of the
  // shared parts of the prompt, in the order of `incoming.shared_prompt_parts`.
  quarantine::fingerprint fingerprint;
  std::vector<quarantine::shared_feature> features;
  net::exchange_ptr exchange;
  std::shared_ptr<const catalog::catalog> configuration;  // the version in force on arrival
  const catalog::route* route = nullptr;                  // in `configuration`
  std::string service;
  std::string workspace;
  int priority = 0;
  time_point arrived;
  time_point due;  // deadline of the final answer

  // Attempts. Invariants: `successor` is set only while `open` is set, and has made no output; with
  // its first output it becomes `open`. Only output of `open` reaches the caller.
  attempt_ptr open;
  attempt_ptr successor;
  attempt_failure replaced_for = attempt_failure::kMoved;  // why there is a successor
  bool withholding = false;  // output of `open` is withheld until the outcome of `successor`
  time_point successor_not_before{};  // no successor is sent earlier
  time_point reroute_not_before{};    // no reroute order is sent earlier
  uint32_t attempts = 0;              // started so far
  int sends = 0;                      // of these, the ones that were sent to an endpoint
  // Endpoints that attempts were sent to: incarnation by id.
  std::map<std::string, uint64_t> reached;
  std::set<std::string> avoided;  // ids of endpoints that failed for this request
  bool suspect = false;           // suspected of crashing endpoints
  bool may_have_run = false;      // an attempt that has ended may have been executed

  // Admission by priority.
  bool admission_decided = false;
  bool admitted = false;         // counted in gateway_state::overload until the request ends
  bool result_recorded = false;  // only set if `admitted`

  // The reply to the caller.
  bool streaming = false;    // the streamed reply to the caller has begun
  event_splitter events;     // state after the last output that was passed on
  duration first_output{0};  // time from arrival
  duration longest_gap{0};   // between outputs
  time_point last_output;

  bool held = false;  // waits for a decision of the quarantine
  time_point
      isolation_wait_until{};  // until then, a suspect waits for engines without other suspects
  timer_id due_timer = 0;
  // Next check of an attempt without an answer; without an attempt, the next try to start one.
  timer_id retry_timer = 0;
  timer_id lost_timer = 0;  // next check of the lost engines of the open attempt
};

// Open placement order to one engine, at the gateway that holds the placement lease.
struct placement_order {
  pipeline::layer_range range;
  uint64_t incarnation = 0;
  // Number of orders that the engine accepted before this one; nullopt: not known yet.
  std::optional<uint64_t> expected_orders;
  bool call_in_flight = false;
  bool accepted = false;
  time_point started;
  time_point next_poll;
};

// Layers of an engine when it was last in use, at the gateway that holds the placement lease.
struct placed_engine {
  pipeline::vacated_layers held;
  time_point lost_at;  // time_point(): in use
};

// An endpoint whose entry was removed from the platform's list.
struct departed_endpoint {
  uint64_t incarnation = 0;
  time_point left_at;
};

// One start of a plain endpoint, as it was listed when a request was sent to it.
struct plain_instance {
  std::string id;
  uint64_t incarnation = 0;
  std::string address;  // IP:PORT
  std::string service;
  std::string zone;  // empty: not known, its entry has expired
  bool operator==(const plain_instance&) const = default;
};

// A check whether a plain endpoint is alive (silence.h).
struct silence_check {
  plain_instance target;
  time_point silent_since;  // when the first unanswered request was sent
  time_point started;
  time_point due;  // when silence shows that the endpoint is lost
  time_point next_check;
};

// A plain endpoint that was found lost by its silence.
struct silent_endpoint {
  plain_instance target;
  time_point since;  // as in `silence_check`
  time_point found_at;
  time_point next_check;
  // Its first answer since; time_point(): it has not answered.
  time_point answered_at;
};

// Whether a version of the configuration has more than one priority.
struct priority_count {
  uint64_t version = 0;
  bool several = false;
};

// Another gateway.
struct peer {
  peer_address address;
  bool in_cell = false;        // part of this gateway's cell in `topology`
  time_point heard{};          // last status message; time_point(): none
  bool reaches_store = false;  // whether it reaches the shared store, as last announced by it
  // Last time it reached the store, as announced by it or by others; time_point(): never.
  time_point reached_store_at{};
  std::unordered_map<uint32_t, load> loads{};  // by the endpoint's numeric name in messages
};

// Settings of this gateway's quarantine (defined in containment.cc).
quarantine::settings QuarantineSettings(const settings& values);

// Shares of the memory limit that all request bodies and all replies may hold. The rest is for
// copies that are made while data is passed on, unused capacity, and the process itself. The share
// of bodies is smaller, because each is held a second time while it is sent to an endpoint.
constexpr size_t kRequestMemoryDivisor = 8;
constexpr size_t kReplyMemoryDivisor = 4;
// The same for the header sections of requests, as the parser allocates them, and for those of
// readiness checks and calls for metrics, which have room of their own.
constexpr size_t kHeaderMemoryDivisor = 10;
constexpr size_t kCheckHeaderMemoryDivisor = 80;

struct gateway_state {
  gateway_state(const settings& values, wire calls, store_hooks hooks, net::loop& main_loop)
      : config(values),
        quarantine(QuarantineSettings(values)),
        wire(std::move(calls)),
        store(std::move(hooks)),
        loop(main_loop),
        client(net::MakeHttpClient(
            main_loop.Timers(),
            [this](std::string_view address, std::string_view reason, std::string_view detail) {
              RecordMalformedReply(metrics, address, reason, detail);
            })),
        rng(values.seed != 0 ? values.seed : std::random_device{}()),
        request_buffers(
            std::make_shared<buffer_budget>(values.memory_limit_bytes / kRequestMemoryDivisor)),
        reply_buffers(
            std::make_shared<buffer_budget>(values.memory_limit_bytes / kReplyMemoryDivisor)),
        head_buffers(net::MakeHeadBudget(values.memory_limit_bytes / kHeaderMemoryDivisor)),
        check_head_buffers(
            net::MakeHeadBudget(values.memory_limit_bytes / kCheckHeaderMemoryDivisor)) {}

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
  // Bodies of requests. Apart from those of replies: a body that an endpoint may be executing
  // cannot be given up, and without room for its reply the execution would be in vain.
  std::shared_ptr<buffer_budget> request_buffers;
  std::shared_ptr<buffer_budget> reply_buffers;
  std::shared_ptr<net::head_budget> head_buffers;
  std::shared_ptr<net::head_budget> check_head_buffers;

  std::shared_ptr<const catalog::catalog> configuration;  // null: none yet
  // The configuration table is reachable, so newer versions are noticed.
  bool configuration_reachable = false;
  time_point store_recovered_at;  // when the configuration table last became reachable again
  std::array<freshness, kFeedCount> feeds;  // by `feed`
  remote_clock store_clock;
  bool reading = true;  // reads the shared tables on behalf of its cell
  bool endpoints_known = false;
  time_point list_recovered_at;  // when the list of endpoints last became reachable again
  // Endpoints whose entries expired while the list was unreachable and may reappear.
  std::set<std::string> pending_removals;
  // Leaving endpoints that were removed from the list. By id; kept for a limited time.
  std::map<std::string, departed_endpoint> departed;
  // Removed from the list without notice; they may go on serving for a while. By id; kept for a
  // limited time.
  std::map<std::string, departed_endpoint> unlisted;
  std::map<std::string, endpoint> endpoints;            // by id
  std::map<std::string, silence_check> silence_checks;  // under way, by endpoint id
  std::map<std::string, silent_endpoint> silent;        // by endpoint id
  std::unordered_map<std::string, std::string> id_by_address;
  std::unordered_map<uint32_t, std::string> endpoint_names;  // id by numeric name in messages
  std::map<std::string, peer> peers;                         // by id, without this gateway
  bool peers_known = false;                                  // the list of gateways was read
  std::unordered_map<uint32_t, std::string> peer_names;      // id by numeric name in messages
  std::vector<exchange::member> members;                     // all gateways, this one included
  exchange::topology topology;                               // of `members`
  std::ptrdiff_t zone_peers = 0;  // number of other gateways in this zone
  size_t exchange_round = 0;
  // Updates of endpoint states that are to be sent to other gateways.
  std::vector<exchange::endpoint_event> endpoint_events;
  // Updates of suspected requests that are to be sent to other gateways.
  std::map<quarantine::fingerprint, quarantine::update> suspects;
  size_t snapshot_cursor = 0;  // position in the quarantine's snapshot, which is sent repeatedly
  // Ids of prompt parts that were on lost endpoints or are quarantined, for logs and records;
  // bounded.
  std::map<quarantine::fingerprint, std::string> part_ids;
  // Keys of the records of the quarantine that this gateway has written or tried to write.
  std::set<std::string> written_records;
  // End of each record of the quarantine in the shared table: Unix ms by key.
  std::map<std::string, int64_t> quarantine_records;
  time_point started_at;
  bool peer_loads_changed = false;                    // endpoint::peers is out of date
  std::map<std::string, time_point> zone_down_until;  // zones that cannot be reached

  std::unordered_map<uint64_t, call_ptr> calls;
  uint64_t next_call = 1;
  repeat_budget budget;

  std::map<std::string, admission::overload_control> overload;  // by service
  std::set<std::string> sheds;                                  // services, as last logged
  time_point overload_logged_at;
  std::optional<priority_count> priorities;  // of the newest version that was asked for

  time_point progress_tick_due = time_point::max() - std::chrono::hours(1);
  time_point loop_delayed_at;  // when a timer of the loop was last delayed
  struct pace pace;            // usual timing of streams
  moving_time report_latency;  // time from requesting a report to its arrival

  // Placement of layers by the holder of the lease.
  lease::holder lease;
  time_point lease_failed_at;                     // last call for the lease without a usable reply
  std::map<std::string, placement_order> orders;  // by endpoint id
  time_point endpoints_changed;  // last change of the list or of an endpoint's state
  time_point lease_held_since;  // when this gateway last acquired the lease; time_point(): not held
  // KV memory that the placement was sized for; 0: not known, because the engines hold no layers
  // and do not suffice for a copy of the model. No order is created then.
  double tokens_per_stage = 0;
  // Start of the wait for a complete list of engines: when the lease was acquired, or the last plan
  // that found too few engines for a copy.
  time_point settling_since;
  // Plans are repeated every 100 ms, and an invalid one may recur.
  log::line_limit rejected_order_lines{.lines_per_s = 0.2, .burst = 5, .tokens = 5};
  std::map<std::string, placed_engine> placed_engines;  // by endpoint id
  std::map<std::string, time_point> idle_since;         // engines without layers, by endpoint id
  bool placement_started = false;  // since `lease_held_since`; `tokens_per_stage` is known

  // Of the complete requests, by the name of the route.
  std::map<std::string, usual_duration> usual_durations;

  bool unready = false;
  bool draining = false;                 // accepts no new requests
  std::optional<time_point> forced_end;  // of open requests, during a stop
  timer_id idle_check_timer = 0;         // next check whether all replies are written
  bool stopping_lease = false;
  std::function<void(int)> on_stopped;
  telemetry metrics;
};

}  // namespace balsambay::gateway
