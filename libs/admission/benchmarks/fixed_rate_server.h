// Virtual-time simulation of the admission gate in front of a server with a fixed number of slots,
// each with a fixed rate. Used by the overload benchmark and by the tests of its targets.
#pragma once

#include <algorithm>
#include <cmath>
#include <queue>
#include <string>
#include <vector>

#include "admission/gate.h"
#include "base/random.h"

namespace balsambay::admission {

struct load_source {
  workspace_policy policy;
  double tokens_per_second = 0;  // offered load; requests arrive as a Poisson process
  duration timeout = 1s;
};

struct server_model {
  int slots = 64;
  double tokens_per_second = 128000;  // over all slots
  // Capacity configured in the gate; differs from the actual rate when the plan is wrong.
  double planned_tokens_per_second = 128000;
  int64_t min_request_tokens = 50;  // requested tokens are uniform in [min, max]
  int64_t max_request_tokens = 150;
};

struct source_result {
  int64_t offered_tokens = 0;
  int64_t on_time_tokens = 0;                // of responses that finished by their deadline
  int64_t late_tokens = 0;                   // of responses that finished after their deadline
  std::vector<double> latencies_ms;          // of finished responses
  std::vector<double> refusal_latencies_ms;  // from arrival to refusal
};

struct simulation {
  simulation(const gate_settings& config, const server_model& model)
      : admission(config), server(model) {}

  gate admission;
  server_model server;
  std::vector<load_source> sources;
  std::vector<source_result> results;
  random_generator rng{1};
  struct open_request {
    size_t source = 0;
    time_point at;
    time_point deadline;
    int64_t tokens = 0;
  };
  std::unordered_map<request_id, open_request> open_requests;
  struct event {
    time_point at;
    request_id finished_id = 0;  // 0: the event is an arrival of `source`
    size_t source = 0;
    bool operator>(const event& other) const { return at > other.at; }
  };
  std::priority_queue<event, std::vector<event>, std::greater<>> events;
  request_id next_id = 1;
};

inline duration Seconds(double value) { return duration(static_cast<duration::rep>(value * 1e6)); }

inline void ScheduleArrival(simulation& sim, size_t source, time_point now) {
  const double mean_tokens =
      static_cast<double>(sim.server.min_request_tokens + sim.server.max_request_tokens) / 2;
  const double rate = sim.sources[source].tokens_per_second / mean_tokens;
  if (rate <= 0) return;
  const double wait = -std::log(1.0 - UniformUnit(sim.rng)) / rate;
  sim.events.push({now + Seconds(wait), 0, source});
}

inline duration ServiceTime(const server_model& server, int64_t tokens, double rate) {
  return Seconds(static_cast<double>(tokens) * server.slots / rate);
}

inline void ApplyEffects(simulation& sim, const effects& effects, time_point now) {
  for (const effect& effect : effects) {
    const auto it = sim.open_requests.find(effect.id);
    const simulation::open_request& request = it->second;
    if (effect.kind == effect_kind::kDispatch) {
      const duration service_time =
          ServiceTime(sim.server, request.tokens, sim.server.tokens_per_second);
      sim.events.push({now + service_time, effect.id, 0});
      continue;
    }
    const double wait_ms = static_cast<double>((now - request.at).count()) / 1000;
    sim.results[request.source].refusal_latencies_ms.push_back(wait_ms);
    sim.open_requests.erase(it);
  }
}

inline void HandleArrival(simulation& sim, size_t source, time_point now) {
  const load_source& load = sim.sources[source];
  const uint64_t token_range = sim.server.max_request_tokens - sim.server.min_request_tokens + 1;
  const auto tokens =
      static_cast<int64_t>(sim.server.min_request_tokens + UniformBelow(sim.rng, token_range));
  const request_id id = sim.next_id++;
  sim.open_requests[id] = {source, now, now + load.timeout, tokens};
  sim.results[source].offered_tokens += tokens;
  const duration estimate = ServiceTime(sim.server, tokens, sim.server.planned_tokens_per_second);
  const request request{id, load.policy.workspace, "pool", tokens, now + load.timeout, estimate};
  ApplyEffects(sim, Offer(sim.admission, request, now), now);
  ScheduleArrival(sim, source, now);
}

inline void HandleCompletion(simulation& sim, request_id id, time_point now) {
  const auto it = sim.open_requests.find(id);
  const simulation::open_request request = it->second;
  sim.open_requests.erase(it);
  source_result& result = sim.results[request.source];
  (now <= request.deadline ? result.on_time_tokens : result.late_tokens) += request.tokens;
  result.latencies_ms.push_back(static_cast<double>((now - request.at).count()) / 1000);
  ApplyEffects(sim, Finish(sim.admission, id, now), now);
}

// Runs the load for `run_time` of virtual time and returns one result for each source.
inline std::vector<source_result> Simulate(simulation& sim, duration run_time) {
  std::vector<workspace_policy> policies;
  for (const load_source& source : sim.sources) policies.push_back(source.policy);
  const time_point begin(0s);
  SetWorkspaces(sim.admission, policies, begin);
  SetPool(sim.admission, "pool", {sim.server.slots, sim.server.planned_tokens_per_second}, begin);
  sim.results.resize(sim.sources.size());
  for (size_t i = 0; i < sim.sources.size(); ++i) ScheduleArrival(sim, i, begin);
  while (!sim.events.empty()) {
    const time_point tick_time = NextDeadline(sim.admission);
    const simulation::event next = sim.events.top();
    if (std::min(tick_time, next.at) > begin + run_time) break;
    if (tick_time <= next.at) {
      ApplyEffects(sim, Tick(sim.admission, tick_time), tick_time);
      continue;
    }
    sim.events.pop();
    if (next.finished_id == 0) HandleArrival(sim, next.source, next.at);
    if (next.finished_id != 0) HandleCompletion(sim, next.finished_id, next.at);
  }
  return sim.results;
}

inline double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(fraction * (values.size() - 1));
  std::ranges::nth_element(values, nth);
  return *nth;
}

// `count` workspaces of equal share that together offer `load` times the server's rate.
inline std::vector<load_source> EqualSources(int count, double load, double server_rate) {
  std::vector<load_source> sources;
  for (int i = 0; i < count; ++i) {
    load_source source;
    source.policy.workspace = "w" + std::to_string(i);
    source.tokens_per_second = load * server_rate / count;
    sources.push_back(source);
  }
  return sources;
}

// Goodput as a fraction of the server's rate, at `load` times that rate.
inline double GoodputAt(double load, const gate_settings& config, server_model server = {},
                        duration run_time = 20s) {
  simulation sim(config, server);
  sim.sources = EqualSources(10, load, server.tokens_per_second);
  int64_t on_time_tokens = 0;
  for (const source_result& result : Simulate(sim, run_time))
    on_time_tokens += result.on_time_tokens;
  const double seconds = std::chrono::duration<double>(run_time).count();
  return static_cast<double>(on_time_tokens) / seconds / server.tokens_per_second;
}

// 95th percentile latency, in ms, of all workspaces except the first. The first one offers `factor`
// times its share of the server, each other one 80% of its share.
inline double OtherWorkspacesP95Ms(double factor, const gate_settings& config,
                                   const server_model& server = {}, duration run_time = 20s) {
  simulation sim(config, server);
  sim.sources = EqualSources(10, 0.8, server.tokens_per_second);
  sim.sources[0].tokens_per_second = factor * server.tokens_per_second / 10;
  std::vector<double> latencies;
  const std::vector<source_result> results = Simulate(sim, run_time);
  for (size_t i = 1; i < results.size(); ++i) {
    latencies.insert(latencies.end(), results[i].latencies_ms.begin(),
                     results[i].latencies_ms.end());
  }
  return Percentile(std::move(latencies), 0.95);
}

}  // namespace balsambay::admission
