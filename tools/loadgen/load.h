// One load run.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/loop.h"

namespace balsambay::loadgen {

struct workspace_load {
  std::string name;
  std::string token;
  double requests_per_second = 0;
};

struct settings {
  std::vector<std::string> targets;  // IP:PORT, used in turn
  std::vector<workspace_load> workspaces;
  duration warm_up = std::chrono::seconds(1);
  duration length = std::chrono::seconds(10);  // after the warm-up
  duration drain = std::chrono::seconds(10);   // time for the last answers
  std::string model = "m1";
  std::string service;  // not empty: service calls in place of completions
  bool direct = false;  // call the service's endpoint itself, as a baseline without a daemon
  uint32_t max_tokens = 64;
  bool heavy_tail = false;  // lengths from a Pareto distribution with mean max_tokens
  size_t prompt_bytes = 64;
  size_t shared_prefix_bytes = 0;
  int timeout_ms = 20000;
  bool stream = true;
  uint64_t seed = 1;
};

struct sample {
  time_point scheduled;
  time_point first;  // first token
  time_point last;   // last piece of the answer
  int status = 0;
  uint32_t tokens = 0;
  bool whole = false;
  bool measured = false;  // arrived after the warm-up
  duration longest_gap{0};
  std::string reason;
};

struct workspace_result {
  std::string name;
  std::vector<sample> samples;
};

struct outcome {
  std::vector<workspace_result> workspaces;
  std::map<int64_t, uint64_t> tokens_by_interval;  // by 100 ms since the start
  time_point started;
};

// Runs the load to its end on `loop`.
outcome RunLoad(const settings& settings, net::loop& loop);

}  // namespace balsambay::loadgen
