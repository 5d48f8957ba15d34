// What the gateway exchanges with callers and endpoints, free of any wire format. An adapter
// supplies the functions that encode and decode it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "pipeline/model.h"

namespace balsambay::gateway {

// One request as the caller sent it.
struct incoming_call {
  std::string id;  // unique for each attempt of the caller
  std::string method;
  std::string host;
  std::string path;                   // without query
  std::string target;                 // path with query, as received
  std::string key;                    // empty: none
  std::optional<duration> time_left;  // how long the caller waits
  double prompt_tokens = 0;
  double max_answer_tokens = 0;
  double expected_answer_tokens = 0;  // the caller's estimate; 0: none
  std::string last_event_id;          // continues an interrupted stream after this event
  std::vector<net::header> headers;   // to be passed on
};

// An engine of a path with the layers that it runs.
struct hop {
  std::string address;
  pipeline::layer_range range;
};

// What the gateway adds for one attempt.
struct attempt_spec {
  std::string address;
  std::string endpoint_id;  // any other endpoint at the address must refuse
  duration time_left{0};
  std::string workspace;  // empty: none
  int priority = 5;       // 0 is served first
  std::vector<hop> path;  // empty for plain services
  std::string last_event_id;
};

// What a reply says beside its status and body.
struct reply_facts {
  bool not_executed = false;  // the endpoint proves that it did not run the request
  std::string request_id;     // empty: not named
  std::string fault_address;  // the engine of the path that caused a refusal; empty: not named
  bool authentic = false;     // carries the endpoint's signature
  bool encoded = false;       // the body is not as the endpoint made it
  bool leaving = false;       // the endpoint is about to leave and takes nothing new
  duration refuses_for{0};    // a refusal: it wants nothing from this gateway for so long
};

// A request that stopped because of an engine on its path.
struct stalled_request {
  std::string request_id;
  std::string address;
};

// State of an engine as it reports it; some hundred ms old.
struct engine_report {
  uint64_t incarnation = 0;      // differs for each start; 0: not named
  uint64_t accepted_orders = 0;  // since the start
  bool busy = false;             // an order is being carried out
  int waiting = 0;
  int running = 0;
  double kv_used = 0;   // tokens x layers
  double kv_total = 0;  // tokens x layers
  double slowdown = 1;
  std::optional<pipeline::layer_range> held;
  std::vector<stalled_request> stalled;  // among those that entered here
};

// One endpoint of the platform's list.
struct listed_endpoint {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  uint64_t incarnation = 0;
  bool leaving = false;
  int slots = 1;
  std::string accelerator;  // name of the kind; empty for plain services
  std::optional<pipeline::layer_range> held;
  bool operator==(const listed_endpoint&) const = default;
};

struct wire {
  std::function<incoming_call(const net::exchange&)> read_call;
  std::function<net::client_request(const incoming_call&, std::string_view body,
                                    const attempt_spec&)>
      write_attempt;
  std::function<reply_facts(const net::reply_head&)> read_reply;
  // Headers of a reply that are passed on to the caller.
  std::function<std::vector<net::header>(const net::reply_head&)> reply_headers;
  std::function<net::client_request(std::string_view address)> write_report_request;
  std::function<result<engine_report>(std::string_view body)> read_report;
  // Orders an engine to hold `range`; refused unless it has accepted `expected_orders` so far.
  std::function<net::client_request(std::string_view address, pipeline::layer_range range,
                                    uint64_t expected_orders)>
      write_place;
  // Orders the head of a running request to use other engines after it.
  std::function<net::client_request(std::string_view address, std::string_view request_id,
                                    const std::vector<hop>& path)>
      write_reroute;
  // Address of the engine named in the refusal of an order; empty: none.
  std::function<std::string(std::string_view body)> read_order_fault;
};

}  // namespace balsambay::gateway
