// State of one entry daemon, shared by the components of the router. Used on the loop thread only.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/gate.h"
#include "admission/retry.h"
#include "attempts/attempts.h"
#include "base/buffer_budget.h"
#include "base/random.h"
#include "configsync/configsync.h"
#include "details/telemetry.h"
#include "health/health.h"
#include "inventory/inventory.h"
#include "ledger/claimant.h"
#include "ledger/ledger.h"
#include "membership/membership.h"
#include "net/engine_client.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "peer/peer.h"
#include "planner/planner.h"
#include "quarantine/quarantine.h"
#include "router/settings.h"
#include "routing/prefix_table.h"
#include "routing/routing.h"

namespace balsambay::router {

// An attempt whose tokens or reply may still be accepted. Cancelled when it is closed.
// It is silent when it has delivered no token within its progress limit.
struct open_attempt {
  uint32_t number = 0;
  std::vector<net::run_stage> route;  // one stage for services
  time_point started;
  std::shared_ptr<net::engine_run> run = nullptr;
  std::shared_ptr<net::client_call> call = nullptr;
  // Endpoints of the route that are assumed to cause the stall; empty while tokens arrive.
  std::set<std::string, std::less<>> silent_endpoints = {};
};

// Share of the memory limit that the buffers of all requests may hold together. The rest is for
// copies that are made while data is passed on, unused capacity, and the process itself.
constexpr size_t kBufferMemoryDivisor = 4;

// One request of a caller. Owned by router_state::requests from acceptance to removal; timers and
// callbacks hold weak pointers, so that they do not act on a request that has ended.
struct caller_request {
  std::string id;
  admission::request_id gate_id = 0;  // identifies the request in the admission gate
  std::string workspace;
  std::string model;    // empty for services
  std::string service;  // empty for model requests
  std::string prompt;   // model requests only
  std::string body_digest;
  uint32_t max_tokens = 0;
  bool stream = false;
  std::string idempotency_key;
  time_point arrived;
  time_point deadline;

  attempts::phase phase = attempts::phase::kQueued;
  attempts::response_state response;
  net::exchange_ptr exchange;
  bool stream_started = false;
  std::string chunk_prefix;  // constant text before and after the token in each event
  std::string chunk_suffix;

  // Non-repeatable requests only.
  std::optional<ledger::submission> submission;
  std::string claim_owner;  // daemon that received the last claim

  // Oldest first. All but the last one are silent and stay open until an attempt delivers.
  std::vector<open_attempt> open_attempts;
  bool quarantine_registered = false;  // the quarantine has permitted the open attempts
  bool isolated = false;               // must avoid endpoints that run other suspected requests
  bool reading_paused = false;
  bool progressed = false;  // an attempt has delivered a token since the last one was opened
  time_point last_progress;
  std::set<std::string, std::less<>> excluded_endpoints;  // endpoints that failed for this request

  // Bytes of the prompt, the body and the answer as far as it is held.
  std::unique_ptr<buffer_share> buffer;
  size_t token_bytes = 0;  // of response.tokens
  std::string reply_body;  // of the open service call, as far as received

  timer_id deadline_timer = 0;
  timer_id progress_timer = 0;
  timer_id backoff_timer = 0;
  timer_id claim_timer = 0;
};

using request_ptr = std::shared_ptr<caller_request>;

// The end of a claimed request that the shard's owner has not confirmed yet.
struct unconfirmed_end {
  ledger::claim claim;
  bool abandoned = false;  // not dispatched: recorded as "not run"
  ledger::run_outcome end = ledger::run_outcome::kUnknown;
  std::string result;
  std::string owner;  // last known shard owner; empty: use the preferred owner
  time_point give_up_at;
};

struct load_report {
  int active = 0;
  time_point received_at;
};

// Plan of one model. `router` points into `topology`, so objects of this type are never moved.
// Invariant: views[i] describes topology.endpoints[i].
struct model_plan {
  planner::topology topology;
  planner::plan plan;
  routing::router router;
  std::vector<routing::endpoint_view> views;
};

// Place of an engine in the plan of its model.
struct plan_position {
  model_plan* plan = nullptr;
  planner::endpoint_index index = 0;
};

// Share of the memory limit for the header sections of requests, as the parser allocates them.
constexpr size_t kHeaderMemoryDivisor = 10;

struct router_state {
  router_state(const settings& values, net::loop& main_loop)
      : config(values),
        loop(main_loop),
        client(net::MakeHttpClient(
            main_loop.Timers(),
            [this](std::string_view address, std::string_view reason, std::string_view detail) {
              RecordMalformedReply(metrics, address, reason, detail);
            })),
        rng(values.seed != 0 ? values.seed : std::random_device{}()),
        buffers(std::make_shared<buffer_budget>(values.memory_limit_bytes / kBufferMemoryDivisor)),
        head_buffers(net::MakeHeadBudget(values.memory_limit_bytes / kHeaderMemoryDivisor)),
        start_id(std::to_string(WallClockMs())),
        instance_id(values.id + "#" + start_id) {}

  settings config;
  net::loop& loop;
  std::unique_ptr<net::http_client> client;
  std::unique_ptr<net::http_server> server;
  random_generator rng;
  std::shared_ptr<buffer_budget> buffers;          // of all requests and their answers
  std::shared_ptr<net::head_budget> head_buffers;  // of the header sections of all requests
  std::string start_id;     // distinguishes this process from an earlier one with the same id
  std::string instance_id;  // "ID#START": how other daemons know this process

  uint64_t config_version = 0;  // of `inventory`; 0: no configuration yet, the daemon is not ready
  inventory::configuration inventory;
  nlohmann::json file_document;  // content of config_file
  std::unique_ptr<configsync::state> config_sync;
  timer_id config_timer = 0;
  std::map<std::string, int, std::less<>> in_flight;  // attempts of this daemon by endpoint

  std::map<std::string, request_ptr> requests;
  std::unordered_map<admission::request_id, request_ptr> requests_by_gate_id;
  uint64_t next_gate_id = 1;

  health::registry health;
  std::map<std::string, load_report, std::less<>> reported_load;
  timer_id health_timer = 0;

  std::map<std::string, std::unique_ptr<model_plan>, std::less<>> plans;  // by model
  std::map<std::string, plan_position, std::less<>> plan_index;           // by engine id
  routing::prefix_table prefix_table;
  timer_id replan_timer = 0;
  timer_id view_timer = 0;

  admission::gate gate;
  admission::retry_budget retry_budget;
  timer_id gate_timer = 0;

  quarantine::table quarantine;
  std::multimap<quarantine::fingerprint, std::string>
      held_requests;  // ids of requests that wait for permission
  std::map<std::string, uint64_t, std::less<>>
      endpoint_starts;  // start number by endpoint, from probes

  std::unique_ptr<peer::peer_node> peers;
  std::unique_ptr<membership::state> members;  // of the zone
  timer_id member_timer = 0;
  std::vector<std::string> live_daemons;  // instance ids, this daemon included
  ledger::shard_set_ptr shards;           // null without a platform
  timer_id ledger_timer = 0;
  std::map<std::string, unconfirmed_end> unconfirmed_ends;  // by request id

  bool unready = false;    // readiness checks fail
  bool draining = false;   // new requests are refused
  bool releasing = false;  // shard handover has started
  std::function<void(int)> on_stopped;

  telemetry metrics;
};

}  // namespace balsambay::router
