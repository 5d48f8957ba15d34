// Routing table of the gateway: which requests exist, which services may run them and which keys
// belong to which workspace. A document is replaced as a whole; lookups use an index that is built
// once per version.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "pipeline/model.h"

namespace balsambay::catalog {

// A service that a route sends requests to, with its share of them.
struct target {
  std::string service;
  uint32_t weight = 1;
};

struct route {
  std::string name;
  std::string host;         // without port, lower case
  std::string prefix;       // begins and ends with '/'
  bool idempotent = false;  // may run more than once
  bool streamed = false;    // answered by a series of events
  bool resumable = false;   // an interrupted stream may go on at another endpoint
  bool anonymous = false;   // needs no key
  int max_attempts = 1;     // endpoints to which one request may be sent; >= 1
  int priority = 0;         // 0 is the most urgent
  duration timeout{0};      // the final answer is due; > 0
  duration latency_goal{0};
  duration event_gap_goal{0};   // streams: longest pause between events; 0: none
  std::vector<target> targets;  // not empty
};

struct service {
  std::string name;
  std::string health_path;
  int max_connections = 0;                        // an endpoint takes, from all callers; 0: unknown
  std::optional<pipeline::model_spec> pipelined;  // set when engines hold ranges of layers
};

struct workspace {
  std::string name;
  std::optional<int> priority;  // takes precedence over the route's
  std::vector<std::string> keys;
  int unusable_keys = 0;  // entries of the configuration that are no key, and not in `keys`
};

struct request_limits {
  size_t max_body_bytes = 1 << 20;
  duration idle_timeout = std::chrono::seconds(15);
  size_t max_header_bytes = 65536;
  duration header_timeout = std::chrono::seconds(10);
};

struct document {
  uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  // nullopt: no request needs a key. Empty: nobody holds one, so that requests that need one are
  // refused.
  std::optional<std::vector<workspace>> workspaces;
  request_limits limits;
};

// A document with its index. Invariant: indexes refer to `content`, which is not changed
// afterwards.
struct catalog {
  document content;
  std::unordered_map<std::string, std::vector<size_t>> routes_by_host;  // longest prefix first
  std::unordered_map<std::string, size_t> workspace_by_key;
  std::unordered_map<std::string, size_t> service_by_name;
};

catalog Build(document content);

// The route of `host` with the longest prefix that begins `path`; nullptr: none. A port in `host`
// is ignored.
const route* FindRoute(const catalog& catalog, std::string_view host, std::string_view path);

// Whether requests of `route`, which is one of the document's, run only with a key of a workspace.
bool NeedsKey(const document& content, const route& route);

// What a version says about keys, for operators.
struct key_summary {
  bool required = false;  // by routes that are not anonymous
  size_t usable = 0;      // different keys
  size_t unusable = 0;    // entries that are no key, such as an empty text
  size_t shared = 0;      // keys of several workspaces; the last of these owns their requests
};

key_summary SummarizeKeys(const catalog& catalog);

// The workspace that holds `key`; nullptr: none. Nobody holds an empty one, which is what a request
// without a key has.
const workspace* FindWorkspace(const catalog& catalog, std::string_view key);

const service* FindService(const catalog& catalog, std::string_view name);

// Picks a target by weight; `random` is uniform in [0, 1). Targets without weight are never picked,
// unless all are.
const target& PickTarget(const route& route, double random);

}  // namespace balsambay::catalog
