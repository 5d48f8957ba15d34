// State of one mock endpoint process.
#pragma once

#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/loop.h"

namespace balsambay::mock_endpoint {

struct settings {
  std::string id;
  std::string kind;  // "engine" or "service"
  std::string model;
  int first_layer = 0;
  int end_layer = 0;
  double tokens_per_second = 1000;
  int max_runs = 64;
  int prefill_us_per_token = 20;  // prompt tokens are counted as bytes / 4
  int service_delay_ms = 2;
  bool checks_fencing = true;
};

struct run {
  std::string id;  // run id and attempt, joined by '-'
  uint32_t attempt = 0;
  nlohmann::json route;
  uint32_t index = 0;  // next token
  uint32_t max_tokens = 0;
  uint64_t context = 0;
  time_point next_due;
  bool busy = false;  // a hop is under way
  net::exchange_ptr reply;
  std::shared_ptr<net::client_call> hop;
};

struct endpoint {
  settings config;
  net::loop loop;
  std::unique_ptr<net::http_client> client = net::MakeHttpClient(loop.Timers());
  std::FILE* journal = nullptr;
  bool leaving = false;
  uint64_t incarnation = 0;
  int64_t started_ms = 0;
  uint64_t executed = 0;  // tokens or calls
  int active_calls = 0;
  std::map<std::string, std::shared_ptr<run>> runs;  // as head
  std::map<std::string, uint32_t> kv;                // run id to next index, for each stage
  uint64_t highest_epoch = 0;
  nlohmann::json wanted;
};

void Journal(endpoint& self, const nlohmann::json& entry);
void RespondJson(const net::exchange_ptr& request, int status, const nlohmann::json& body);

// Refuses before starting, with the headers that prove it.
void RefuseNotStarted(const endpoint& self, const net::exchange_ptr& request);

// Ends the process once it is leaving and idle.
void QuitWhenIdle(endpoint& self);

void HandleRun(endpoint& self, const net::exchange_ptr& request);
void HandleCancel(endpoint& self, const net::exchange_ptr& request);
void HandleRelease(endpoint& self, const net::exchange_ptr& request);
void HandleStage(endpoint& self, const net::exchange_ptr& request);
void HandleServiceCall(endpoint& self, const net::exchange_ptr& request);

}  // namespace balsambay::mock_endpoint
