// State of one entry daemon, shared by the parts of the router.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "attempts/attempts.h"
#include "base/random.h"
#include "inventory/inventory.h"
#include "net/engine_client.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "router/settings.h"

namespace balsambay::router {

// One request of a caller. Owned by router_state::requests from acceptance to its final answer;
// timers and callbacks hold weak pointers, so that nothing acts on a request that has ended.
struct request {
  std::string id;
  std::string workspace;
  std::string model;    // empty for services
  std::string service;  // empty for model requests
  std::string prompt;   // model requests
  std::string body;     // service calls
  uint32_t max_tokens = 0;
  bool stream = false;
  std::string idempotency_key;
  time_point arrived;
  time_point deadline;

  attempts::phase phase = attempts::phase::kQueued;
  attempts::answer answer;
  net::exchange_ptr exchange;
  bool stream_started = false;
  std::string chunk_prefix;  // constant parts of each streamed event
  std::string chunk_suffix;

  // The open attempt.
  std::vector<net::run_stage> route;
  std::shared_ptr<net::engine_run> run;
  std::shared_ptr<net::client_call> call;
  bool reading_paused = false;
  time_point last_progress;
  std::set<std::string, std::less<>> excluded;  // endpoints that failed for this request
  uint32_t failures = 0;

  timer_id deadline_timer = 0;
  timer_id progress_timer = 0;
  timer_id backoff_timer = 0;
};

using request_ptr = std::shared_ptr<request>;

struct router_state {
  router_state(const settings& values, net::loop& main_loop)
      : config(values),
        loop(main_loop),
        client(net::MakeHttpClient(main_loop.timers())),
        rng(values.seed != 0 ? values.seed : std::random_device{}()) {}

  settings config;
  net::loop& loop;
  std::unique_ptr<net::http_client> client;
  std::unique_ptr<net::http_server> server;
  random_generator rng;

  uint64_t version = 0;  // of `inventory`; 0: none yet, the daemon is not ready
  inventory::configuration inventory;
  std::map<std::string, int, std::less<>> in_flight;  // attempts by endpoint, of this daemon

  std::map<std::string, request_ptr> requests;
  // Distinguishes the request ids of this process from those of an earlier one with the same id.
  std::string start_id = std::to_string(WallClockMs());
  uint64_t next_request = 1;
  uint64_t accepted_requests = 0;

  bool unready = false;   // told to the balancer
  bool draining = false;  // takes no new work
  std::function<void(int)> on_stopped;

  std::map<std::string, uint64_t, std::less<>> refusals;  // by reason
  std::map<std::string, uint64_t, std::less<>> retries;   // by reason
};

}  // namespace balsambay::router
