// Data that the gateway exchanges with callers and endpoints, independent of any wire format. The
// adapter of a platform supplies the functions that encode and decode it (struct wire).
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

// Callers choose the parts of their prompts, so further ones are ignored.
inline constexpr size_t kMaxSharedPromptParts = 16;

// A request as received from a caller.
struct incoming_call {
  std::string id;  // differs for each repetition by the caller
  std::string method;
  std::string host;
  std::string path;                   // without query
  std::string target;                 // path with query, as received
  std::string key;                    // API key; empty: none
  std::optional<duration> time_left;  // time that the caller waits; nullopt: not stated
  double prompt_tokens = 0;
  double max_answer_tokens = 0;
  double expected_answer_tokens = 0;  // estimate by the caller; 0: none
  std::string last_event_id;  // to resume an interrupted stream after this event; empty: none
  // Ids of the parts of the prompt that other requests may have in common with this one, in order
  // and without repetition; not the last part, which is the request's own. At most
  // kMaxSharedPromptParts.
  std::vector<std::string> shared_prompt_parts;
  std::vector<net::header> headers;  // to be forwarded to the endpoint
};

// An engine on a path, with the layers that it runs.
struct hop {
  std::string address;
  pipeline::layer_range range;
};

// Properties of one attempt that the gateway adds to the request.
struct attempt_spec {
  std::string address;
  std::string endpoint_id;  // another endpoint at this address must refuse
  duration time_left{0};    // until the caller gives up
  std::string workspace;    // empty: none
  int priority = 5;         // 0 is the highest
  std::vector<hop> path;    // empty for plain services
  std::string last_event_id;
};

// Properties of a reply, besides its status and body, that the gateway acts on.
struct reply_metadata {
  bool not_executed = false;  // the endpoint guarantees that it did not execute the request
  std::string request_id;     // empty: not stated
  std::string endpoint_id;    // the endpoint that answered a health check; empty: not stated
  std::string fault_address;  // the engine on the path that caused a refusal; empty: not stated
  bool authentic = false;     // carries the endpoint's signature
  bool encoded = false;       // the body is compressed or otherwise encoded
  bool leaving = false;       // the endpoint is about to leave and accepts no new requests
  duration retry_after{0};    // a refusal: no requests are wanted from this gateway for this time
};

// A request that has stalled because of the engine at `address` on its path.
struct stalled_request {
  std::string request_id;
  std::string address;
};

// State of an engine as stated in its report; some hundred ms old.
struct engine_report {
  uint64_t incarnation = 0;                   // differs for each start of the engine; 0: not stated
  uint64_t accepted_orders = 0;               // placement orders since the start
  bool busy = false;                          // a placement order is being executed
  int waiting = 0;                            // requests
  int running = 0;                            // requests
  double kv_used = 0;                         // tokens x layers
  double kv_total = 0;                        // tokens x layers
  double slowdown = 1;                        // factor on the usual time of a step
  std::optional<pipeline::layer_range> held;  // layers
  std::vector<stalled_request> stalled;       // only requests for which this engine is the head
};

// An entry of the platform's list of endpoints.
struct listed_endpoint {
  std::string id;
  std::string service;
  std::string address;  // IP:PORT
  std::string zone;
  uint64_t incarnation = 0;
  bool leaving = false;
  int slots = 1;
  std::string accelerator;                    // name of its kind; empty for plain services
  std::optional<pipeline::layer_range> held;  // layers
  // The entry has missing or malformed fields; only `id` is set.
  bool unreadable = false;
  bool operator==(const listed_endpoint&) const = default;
};

// Encoding and decoding of requests, replies, reports and orders. `read_` functions decode,
// `write_` functions encode.
struct wire {
  // Headers that a call may have once only: those that `read_call` takes one value from.
  std::vector<std::string> single_headers;
  std::function<incoming_call(const net::exchange&)> read_call;
  std::function<net::client_request(const incoming_call&, std::string_view body,
                                    const attempt_spec&)>
      write_attempt;
  std::function<reply_metadata(const net::reply_head&)> read_reply;
  // Headers of an endpoint's reply that are forwarded to the caller.
  std::function<std::vector<net::header>(const net::reply_head&)> reply_headers;
  std::function<net::client_request(std::string_view address)> write_report_request;
  std::function<result<engine_report>(std::string_view body)> read_report;
  // Placement order: the engine is to hold `range`. It refuses unless it has this id and has
  // accepted exactly `expected_orders` orders so far.
  std::function<net::client_request(std::string_view address, std::string_view endpoint_id,
                                    pipeline::layer_range range, uint64_t expected_orders)>
      write_placement_order;
  // Reroute order: the engine at the head of a running request is to continue it on `path`, which
  // has other engines after the head.
  std::function<net::client_request(std::string_view address, std::string_view request_id,
                                    const std::vector<hop>& path)>
      write_reroute_order;
  // Address of the engine that caused the refusal of an order, from the body of the reply; empty:
  // not stated.
  std::function<std::string(std::string_view body)> read_order_fault;
};

}  // namespace balsambay::gateway
