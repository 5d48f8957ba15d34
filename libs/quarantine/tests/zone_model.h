// Virtual-time model of a zone: daemons with one quarantine table each, endpoints that crash when
// they run certain fingerprints, clients that send their requests again, and delayed updates.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "base/random.h"
#include "base/timer_service.h"
#include "quarantine/quarantine.h"

namespace balsambay::quarantine {

struct zone_settings {
  int daemons = 4;
  int endpoints = 12;
  int crashing_requests = 3;
  int harmless_requests = 15;
  int copies = 1;    // of each crashing request, sent at random times to random daemons
  int resends = 12;  // times that each copy is sent, each after the response to the previous one
  duration max_exchange_delay = 50ms;
  duration max_crash_delay = 60ms;
  bool report_progress = false;  // runs report a first token before they crash or complete
  settings table;
};

// A request that its client sends `sends` times.
struct client_request {
  fingerprint key;
  bool crashes = false;
  int sends = 1;
  int daemon = 0;
};

struct active_run {
  int daemon = 0;
  int endpoint = 0;
  client_request request;
};

struct zone_model {
  zone_settings config;
  random_generator rng;
  timer_service timers;
  std::vector<std::unique_ptr<table>> daemons;
  std::vector<endpoint_instance> instances;
  std::vector<time_point> up_from;
  std::map<run_id, active_run> runs;
  // By sender and receiver; keeps updates of one sender in order.
  std::map<std::pair<int, int>, time_point> last_arrival;
  std::map<fingerprint, int> losses;  // endpoints crashed
  // Daemons that allowed the fingerprint without suspicion.
  std::map<fingerprint, std::set<int>> unaware_daemons;
  int harmless_refused = 0;
  int harmless_completed = 0;
  run_id next_id = 1;
};

inline duration RandomDuration(zone_model& zone, duration longest) {
  return duration(1 + UniformBelow(zone.rng, static_cast<uint64_t>(longest.count())));
}

inline void Deliver(zone_model& zone, int sender, side_effects& effects, time_point now) {
  for (const update& message : effects.publish) {
    for (int receiver = 0; receiver < zone.config.daemons; ++receiver) {
      if (receiver == sender) continue;
      time_point& arrival = zone.last_arrival[{sender, receiver}];
      arrival = std::max(arrival, now + RandomDuration(zone, zone.config.max_exchange_delay));
      Subscribe(zone.timers, arrival, [&zone, receiver, message](time_point at) {
        side_effects next_effects;
        Merge(*zone.daemons[receiver], message, at, next_effects);
        Deliver(zone, receiver, next_effects, at);
      });
    }
  }
}

// Returns an endpoint that is up, without suspects and, with `idle_only`, without runs of this
// daemon; -1 if there is none.
inline int ChooseEndpoint(zone_model& zone, int daemon, bool idle_only, time_point now) {
  std::set<int> busy;
  for (const auto& [id, active] : zone.runs) {
    if (idle_only && active.daemon == daemon) busy.insert(active.endpoint);
  }
  const int first = static_cast<int>(UniformBelow(zone.rng, zone.config.endpoints));
  for (int i = 0; i < zone.config.endpoints; ++i) {
    const int endpoint = (first + i) % zone.config.endpoints;
    const bool suspect = HasSuspect(*zone.daemons[daemon], zone.instances[endpoint].endpoint);
    if (zone.up_from[endpoint] <= now && !suspect && !busy.contains(endpoint)) return endpoint;
  }
  return -1;
}

inline void Send(zone_model& zone, client_request request, time_point now);

inline void ResendAfterResponse(zone_model& zone, client_request request, time_point now) {
  if (--request.sends <= 0) return;
  request.daemon = static_cast<int>(UniformBelow(zone.rng, zone.config.daemons));
  Subscribe(zone.timers, now + RandomDuration(zone, 5ms),
            [&zone, request](time_point at) { Send(zone, request, at); });
}

inline void CrashEndpoint(zone_model& zone, int endpoint, time_point now) {
  const endpoint_instance instance = zone.instances[endpoint];
  std::set<fingerprint> counted;
  std::vector<std::pair<run_id, active_run>> broken;
  for (const auto& id_and_run : zone.runs) {
    if (id_and_run.second.endpoint == endpoint) broken.push_back(id_and_run);
  }
  for (const auto& [id, active] : broken) {
    if (active.request.crashes && counted.insert(active.request.key).second)
      ++zone.losses[active.request.key];
    zone.runs.erase(id);
    side_effects effects;
    End(*zone.daemons[active.daemon], id, run_end::kBroken, instance, now, effects);
    Deliver(zone, active.daemon, effects, now);
    Subscribe(zone.timers, now + 10ms,
              [&zone, request = active.request](time_point at) { Send(zone, request, at); });
  }
  for (int daemon = 0; daemon < zone.config.daemons; ++daemon) {
    Subscribe(zone.timers, now + 50ms + RandomDuration(zone, 100ms),
              [&zone, daemon, instance](time_point at) {
                side_effects effects;
                ReportLost(*zone.daemons[daemon], instance, at, effects);
                Deliver(zone, daemon, effects, at);
              });
  }
  zone.instances[endpoint].incarnation += 1;
  zone.up_from[endpoint] = now + 200ms;
}

inline void Complete(zone_model& zone, run_id id, time_point now) {
  const auto found = zone.runs.find(id);
  if (found == zone.runs.end()) return;
  const active_run active = found->second;
  zone.runs.erase(found);
  side_effects effects;
  End(*zone.daemons[active.daemon], id, run_end::kCompleted, std::nullopt, now, effects);
  Deliver(zone, active.daemon, effects, now);
  ++zone.harmless_completed;
  ResendAfterResponse(zone, active.request, now);
}

inline void RunOn(zone_model& zone, run_id id, const client_request& request, int endpoint,
                  time_point now) {
  zone.runs[id] = {request.daemon, endpoint, request};
  side_effects effects;
  SetRoute(*zone.daemons[request.daemon], id, std::vector{zone.instances[endpoint]}, effects);
  Deliver(zone, request.daemon, effects, now);
  if (zone.config.report_progress) {
    Subscribe(zone.timers, now + 1ms, [&zone, id, daemon = request.daemon](time_point at) {
      side_effects next_effects;
      Progress(*zone.daemons[daemon], id, at, next_effects);
      Deliver(zone, daemon, next_effects, at);
    });
  }
  if (!request.crashes) {
    Subscribe(zone.timers, now + RandomDuration(zone, 100ms),
              [&zone, id](time_point at) { Complete(zone, id, at); });
    return;
  }
  Subscribe(zone.timers, now + RandomDuration(zone, zone.config.max_crash_delay),
            [&zone, id](time_point at) {
              const auto found = zone.runs.find(id);
              if (found != zone.runs.end()) CrashEndpoint(zone, found->second.endpoint, at);
            });
}

// Handles a request at its daemon: calls Start(), then places the run, retries later or refuses the
// request.
inline void Send(zone_model& zone, client_request request, time_point now) {
  table& state = *zone.daemons[request.daemon];
  side_effects effects;
  const run_id id = zone.next_id++;
  const int any_endpoint = ChooseEndpoint(zone, request.daemon, false, now);
  const int idle_endpoint = ChooseEndpoint(zone, request.daemon, true, now);
  const auto retry_after = [&](duration delay) {
    Subscribe(zone.timers, now + delay,
              [&zone, request](time_point at) { Send(zone, request, at); });
  };
  if (any_endpoint < 0 || idle_endpoint < 0) return retry_after(10ms);
  const decision decided = Start(state, id, request.key, now, effects);
  Deliver(zone, request.daemon, effects, now);
  if (decided.answer == verdict::kRefuse) {
    zone.harmless_refused += request.crashes ? 0 : 1;
    return ResendAfterResponse(zone, request, now);
  }
  if (decided.answer == verdict::kHold) return retry_after(10ms);
  if (decided.answer == verdict::kAllow) zone.unaware_daemons[request.key].insert(request.daemon);
  RunOn(zone, id, request, decided.answer == verdict::kAllow ? any_endpoint : idle_endpoint, now);
}

inline void AddClients(zone_model& zone, int count, bool crashes) {
  const int copies = crashes ? zone.config.copies : 2;
  for (int i = 0; i < count; ++i) {
    const fingerprint key = MakeFingerprint(crashes ? "bad" : "good", std::to_string(i));
    for (int copy = 0; copy < copies; ++copy) {
      const int daemon = static_cast<int>(UniformBelow(zone.rng, zone.config.daemons));
      const client_request request{key, crashes, zone.config.resends, daemon};
      Subscribe(zone.timers, time_point(RandomDuration(zone, 500ms)),
                [&zone, request](time_point at) { Send(zone, request, at); });
    }
  }
}

inline std::unique_ptr<zone_model> RunZone(uint64_t seed, const zone_settings& config) {
  auto zone = std::make_unique<zone_model>();
  zone->config = config;
  zone->rng.seed(seed);
  for (int i = 0; i < config.daemons; ++i) {
    settings values = config.table;
    values.daemon = "d" + std::to_string(i);
    zone->daemons.push_back(std::make_unique<table>(values));
    SetHasPeers(*zone->daemons.back(), config.daemons > 1);
  }
  for (int i = 0; i < config.endpoints; ++i)
    zone->instances.push_back({"e" + std::to_string(i), 1});
  zone->up_from.resize(config.endpoints);
  AddClients(*zone, config.crashing_requests, true);
  AddClients(*zone, config.harmless_requests, false);
  for (time_point now(0s); now < time_point(20s); now += 1ms) {
    RunDue(zone->timers, now);
    for (int i = 0; i < config.daemons; ++i) {
      side_effects effects;
      Tick(*zone->daemons[i], now, effects);
      Deliver(*zone, i, effects, now);
    }
  }
  return zone;
}

}  // namespace balsambay::quarantine
