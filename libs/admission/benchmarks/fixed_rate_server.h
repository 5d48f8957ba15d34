// Virtual-time model of the gate in front of a server with a fixed number of slots, each with a
// fixed rate. Used by the overload experiment and by the tests of its targets.
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
  double tokens_per_second = 0;  // offered, as a Poisson process of requests
  duration timeout = 1s;
};

struct server_model {
  int slots = 64;
  double tokens_per_second = 128000;  // over all slots
  // What the gate is told; differs from the real rate when the plan is wrong.
  double planned_tokens_per_second = 128000;
  int64_t least_tokens = 50;  // of a request, uniform
  int64_t most_tokens = 150;
};

struct source_result {
  int64_t offered = 0;               // tokens
  int64_t good = 0;                  // tokens of answers that finished by their deadline
  int64_t late = 0;                  // tokens of answers that finished after it
  std::vector<double> latencies_ms;  // of finished answers
  std::vector<double> refusal_ms;    // from arrival to refusal
};

struct simulation {
  simulation(const gate_settings& config, const server_model& model)
      : admission(config), server(model) {}

  gate admission;
  server_model server;
  std::vector<load_source> sources;
  std::vector<source_result> results;
  random_generator rng{1};
  struct arrived {
    size_t source = 0;
    time_point at;
    time_point deadline;
    int64_t tokens = 0;
  };
  std::unordered_map<request_id, arrived> open;
  struct event {
    time_point at;
    request_id finished = 0;  // 0: an arrival of `source`
    size_t source = 0;
    bool operator>(const event& other) const { return at > other.at; }
  };
  std::priority_queue<event, std::vector<event>, std::greater<>> events;
  request_id next_id = 1;
};

inline duration Seconds(double value) { return duration(static_cast<duration::rep>(value * 1e6)); }

inline void ScheduleArrival(simulation& sim, size_t source, time_point now) {
  const double mean_tokens =
      static_cast<double>(sim.server.least_tokens + sim.server.most_tokens) / 2;
  const double rate = sim.sources[source].tokens_per_second / mean_tokens;
  if (rate <= 0) return;
  const double wait = -std::log(1.0 - UniformUnit(sim.rng)) / rate;
  sim.events.push({now + Seconds(wait), 0, source});
}

inline duration ServiceTime(const server_model& server, int64_t tokens, double rate) {
  return Seconds(static_cast<double>(tokens) * server.slots / rate);
}

inline void ApplyEffects(simulation& sim, const effects& list, time_point now) {
  for (const effect& item : list) {
    const auto entry = sim.open.find(item.id);
    const simulation::arrived& request = entry->second;
    if (item.kind == effect_kind::kDispatch) {
      const duration time = ServiceTime(sim.server, request.tokens, sim.server.tokens_per_second);
      sim.events.push({now + time, item.id, 0});
      continue;
    }
    const double waited = static_cast<double>((now - request.at).count()) / 1000;
    sim.results[request.source].refusal_ms.push_back(waited);
    sim.open.erase(entry);
  }
}

inline void Arrive(simulation& sim, size_t source, time_point now) {
  const load_source& from = sim.sources[source];
  const uint64_t range = sim.server.most_tokens - sim.server.least_tokens + 1;
  const auto tokens = static_cast<int64_t>(sim.server.least_tokens + UniformBelow(sim.rng, range));
  const request_id id = sim.next_id++;
  sim.open[id] = {source, now, now + from.timeout, tokens};
  sim.results[source].offered += tokens;
  const duration estimate = ServiceTime(sim.server, tokens, sim.server.planned_tokens_per_second);
  const request item{id, from.policy.workspace, "pool", tokens, now + from.timeout, estimate};
  ApplyEffects(sim, Offer(sim.admission, item, now), now);
  ScheduleArrival(sim, source, now);
}

inline void Complete(simulation& sim, request_id id, time_point now) {
  const auto entry = sim.open.find(id);
  const simulation::arrived request = entry->second;
  sim.open.erase(entry);
  source_result& result = sim.results[request.source];
  (now <= request.deadline ? result.good : result.late) += request.tokens;
  result.latencies_ms.push_back(static_cast<double>((now - request.at).count()) / 1000);
  ApplyEffects(sim, Finish(sim.admission, id, now), now);
}

// Runs the load for `length` of virtual time and returns one result for each source.
inline std::vector<source_result> Simulate(simulation& sim, duration length) {
  std::vector<workspace_policy> policies;
  for (const load_source& source : sim.sources) policies.push_back(source.policy);
  const time_point begin(0s);
  SetWorkspaces(sim.admission, policies, begin);
  SetPool(sim.admission, "pool", {sim.server.slots, sim.server.planned_tokens_per_second}, begin);
  sim.results.resize(sim.sources.size());
  for (size_t i = 0; i < sim.sources.size(); ++i) ScheduleArrival(sim, i, begin);
  while (!sim.events.empty()) {
    const time_point timer = NextDeadline(sim.admission);
    const simulation::event next = sim.events.top();
    if (std::min(timer, next.at) > begin + length) break;
    if (timer <= next.at) {
      ApplyEffects(sim, Tick(sim.admission, timer), timer);
      continue;
    }
    sim.events.pop();
    if (next.finished == 0) Arrive(sim, next.source, next.at);
    if (next.finished != 0) Complete(sim, next.finished, next.at);
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
  std::vector<load_source> out;
  for (int i = 0; i < count; ++i) {
    load_source source;
    source.policy.workspace = "w" + std::to_string(i);
    source.tokens_per_second = load * server_rate / count;
    out.push_back(source);
  }
  return out;
}

// Goodput as a fraction of the server's rate, at `load` times that rate.
inline double GoodputAt(double load, const gate_settings& config, server_model server = {},
                        duration length = 20s) {
  simulation sim(config, server);
  sim.sources = EqualSources(10, load, server.tokens_per_second);
  int64_t good = 0;
  for (const source_result& result : Simulate(sim, length)) good += result.good;
  const double seconds = std::chrono::duration<double>(length).count();
  return static_cast<double>(good) / seconds / server.tokens_per_second;
}

// 95th percentile, in ms, of the workspaces other than the first, which offers `factor` times its
// share of the server; the others offer 80% of theirs.
inline double OthersPercentile(double factor, const gate_settings& config,
                               const server_model& server = {}, duration length = 20s) {
  simulation sim(config, server);
  sim.sources = EqualSources(10, 0.8, server.tokens_per_second);
  sim.sources[0].tokens_per_second = factor * server.tokens_per_second / 10;
  std::vector<double> latencies;
  const std::vector<source_result> results = Simulate(sim, length);
  for (size_t i = 1; i < results.size(); ++i) {
    latencies.insert(latencies.end(), results[i].latencies_ms.begin(),
                     results[i].latencies_ms.end());
  }
  return Percentile(std::move(latencies), 0.95);
}

}  // namespace balsambay::admission
