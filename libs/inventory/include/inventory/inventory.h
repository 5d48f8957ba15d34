// The configuration that operators edit: the inventory of what they own and the rules on top. Plain
// structs, parsed from a JSON document in which every collection is an object keyed by id, so that
// JSON patches between two versions stay small.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace balsambay::inventory {

// Layers [first, end) of a model.
struct layer_range {
  int first = 0;
  int end = 0;
  bool operator==(const layer_range&) const = default;
};

struct zone {
  std::string region;
};

struct vm {
  std::string zone;
};

struct model {
  int layers = 0;                     // > 0
  int hidden_bytes_per_token = 8192;  // sent from stage to stage for each token
  int max_context_tokens = 8192;
};

enum class endpoint_kind { kEngine, kService };

struct endpoint {
  std::string id;
  endpoint_kind kind = endpoint_kind::kEngine;
  std::string vm;
  std::string zone;     // copied from the VM
  std::string address;  // IP:PORT
  int max_runs = 16;    // concurrent requests, > 0
  bool checks_fencing = false;
  bool drained = false;  // set by operators: gets no new work
  // Engines only:
  std::string accelerator;  // kind, for example "a100"
  int accelerator_count = 1;
  std::string model;
  layer_range layers;
  double tokens_per_second = 0;          // decode rate over its whole range, > 0
  double prefill_tokens_per_second = 0;  // > 0
  // Services only:
  std::string service;
};

// Directed link between two zones, or between two VMs where a VM's link differs from its zone's.
struct link {
  std::string from;
  std::string to;
  double latency_us = 0;
  double megabytes_per_second = 0;  // > 0
};

struct service {
  bool repeatable = true;
};

struct workspace {
  int priority = 0;                        // lower is served first; strict between different values
  double share = 1;                        // weight among workspaces of the same priority, > 0
  int max_requests = 1000;                 // in flight, on each entry VM
  int max_tokens = 10000000;               // requested output tokens in flight, on each entry VM
  std::vector<std::string> token_digests;  // lower-case hex SHA-256 of bearer tokens
};

// Requests that may never repeat: empty fields match anything.
struct never_repeat_rule {
  std::string workspace;
  std::string model;
  std::string service;
};

struct rules {
  double retry_budget_ratio = 0.1;  // retries as a fraction of recent successes
  int quarantine_endpoint_losses = 2;
  int default_timeout_ms = 60000;
  int max_queue_per_workspace = 1000;
  int64_t record_lifetime_s = 86400;  // how long at-most-once records are kept
  std::vector<never_repeat_rule> never_repeat;
};

// Invariant after a successful Parse: every reference (zone, VM, model, service, workspace)
// resolves, ids and addresses are unique, numbers are finite and in range.
struct configuration {
  std::map<std::string, zone, std::less<>> zones;
  std::map<std::string, vm, std::less<>> vms;
  std::map<std::string, model, std::less<>> models;
  std::map<std::string, endpoint, std::less<>> endpoints;
  std::map<std::string, service, std::less<>> services;
  std::map<std::string, workspace, std::less<>> workspaces;
  std::vector<link> links;
  rules policy;
};

struct field_error {
  std::string path;  // JSON pointer, for example "/endpoints/e1/layers"
  std::string message;
};

struct parse_outcome {
  configuration config;             // meaningful only when `errors` is empty
  std::vector<field_error> errors;  // all errors of the document, by path
};

// Checks the whole document; never throws on any JSON value.
parse_outcome Parse(const nlohmann::json& document);

// Parses text first; a syntax error is reported at path "".
parse_outcome ParseText(std::string_view text);

// The workspace whose token digests contain the digest of `bearer_token`, or empty.
std::string FindWorkspaceByToken(const configuration& config, std::string_view bearer_token);

// Whether the rules forbid repeating a call. `service` is empty for model requests, `model` for
// services.
bool IsNonRepeatable(const configuration& config, std::string_view workspace,
                     std::string_view model, std::string_view service);

}  // namespace balsambay::inventory
