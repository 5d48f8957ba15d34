// Virtual-time model of a zone: daemons with a quarantine table each, endpoints that crash under
// some fingerprints, callers that send again, and updates that arrive late.
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
  int crashers = 3;
  int innocents = 15;
  int copies = 1;                      // of each crasher, sent at random times to random daemons
  int resends = 12;                    // of each crasher copy, one after the answer to the other
  duration max_exchange_delay = 50ms;  // longest
  duration crash_after = 60ms;         // longest
  bool tokens = false;                 // runs report a first token before they crash or complete
  settings table;
};

// A request of a caller; it is sent again until `sends` are used up.
struct caller {
  fingerprint key;
  bool crashes = false;
  int sends = 1;
  int daemon = 0;
};

struct active_run {
  int daemon = 0;
  int endpoint = 0;
  caller from;
};

struct zone_model {
  zone_settings config;
  random_generator rng;
  timer_service timers;
  std::vector<std::unique_ptr<table>> daemons;
  std::vector<endpoint_life> instances;
  std::vector<time_point> up_from;
  std::map<run_id, active_run> runs;
  std::map<std::pair<int, int>, time_point> last_arrival;  // per pair of daemons, keeps order
  std::map<fingerprint, int> losses;
  std::map<fingerprint, std::set<int>> unaware;  // daemons that allowed it without suspicion
  int innocents_refused = 0;
  int innocents_done = 0;
  run_id next_id = 1;
};

inline duration UpTo(zone_model& zone, duration longest) {
  return duration(1 + UniformBelow(zone.rng, static_cast<uint64_t>(longest.count())));
}

inline void Deliver(zone_model& zone, int from, outputs& out, time_point now) {
  for (const update& item : out.publish) {
    for (int to = 0; to < zone.config.daemons; ++to) {
      if (to == from) continue;
      time_point& last = zone.last_arrival[{from, to}];
      last = std::max(last, now + UpTo(zone, zone.config.max_exchange_delay));
      Subscribe(zone.timers, last, [&zone, to, item](time_point at) {
        outputs next;
        Merge(*zone.daemons[to], item, at, next);
        Deliver(zone, to, next, at);
      });
    }
  }
}

// An endpoint that is up and runs nothing of this daemon, without suspects; -1 when there is none.
inline int Choose(zone_model& zone, int daemon, bool alone, time_point now) {
  std::set<int> busy;
  for (const auto& [id, item] : zone.runs) {
    if (alone && item.daemon == daemon) busy.insert(item.endpoint);
  }
  const int first = static_cast<int>(UniformBelow(zone.rng, zone.config.endpoints));
  for (int i = 0; i < zone.config.endpoints; ++i) {
    const int endpoint = (first + i) % zone.config.endpoints;
    const bool suspect = HasSuspect(*zone.daemons[daemon], zone.instances[endpoint].endpoint);
    if (zone.up_from[endpoint] <= now && !suspect && !busy.contains(endpoint)) return endpoint;
  }
  return -1;
}

inline void Send(zone_model& zone, caller from, time_point now);

inline void Answer(zone_model& zone, caller from, time_point now) {
  if (--from.sends <= 0) return;
  from.daemon = static_cast<int>(UniformBelow(zone.rng, zone.config.daemons));
  Subscribe(zone.timers, now + UpTo(zone, 5ms),
            [&zone, from](time_point at) { Send(zone, from, at); });
}

inline void CrashEndpoint(zone_model& zone, int endpoint, time_point now) {
  const endpoint_life instance = zone.instances[endpoint];
  std::set<fingerprint> charged;
  std::vector<std::pair<run_id, active_run>> broken;
  for (const auto& item : zone.runs) {
    if (item.second.endpoint == endpoint) broken.push_back(item);
  }
  for (const auto& [id, item] : broken) {
    if (item.from.crashes && charged.insert(item.from.key).second) ++zone.losses[item.from.key];
    zone.runs.erase(id);
    outputs out;
    End(*zone.daemons[item.daemon], id, run_end::kBroken, instance, now, out);
    Deliver(zone, item.daemon, out, now);
    Subscribe(zone.timers, now + 10ms,
              [&zone, from = item.from](time_point at) { Send(zone, from, at); });
  }
  for (int daemon = 0; daemon < zone.config.daemons; ++daemon) {
    Subscribe(zone.timers, now + 50ms + UpTo(zone, 100ms),
              [&zone, daemon, instance](time_point at) {
                outputs out;
                Lost(*zone.daemons[daemon], instance, at, out);
                Deliver(zone, daemon, out, at);
              });
  }
  zone.instances[endpoint].incarnation += 1;
  zone.up_from[endpoint] = now + 200ms;
}

inline void Complete(zone_model& zone, run_id id, time_point now) {
  const auto found = zone.runs.find(id);
  if (found == zone.runs.end()) return;
  const active_run item = found->second;
  zone.runs.erase(found);
  outputs out;
  End(*zone.daemons[item.daemon], id, run_end::kCompleted, std::nullopt, now, out);
  Deliver(zone, item.daemon, out, now);
  ++zone.innocents_done;
  Answer(zone, item.from, now);
}

inline void Run(zone_model& zone, run_id id, const caller& from, int endpoint, time_point now) {
  zone.runs[id] = {from.daemon, endpoint, from};
  outputs out;
  Place(*zone.daemons[from.daemon], id, std::vector{zone.instances[endpoint]}, out);
  Deliver(zone, from.daemon, out, now);
  if (zone.config.tokens) {
    Subscribe(zone.timers, now + 1ms, [&zone, id, daemon = from.daemon](time_point at) {
      outputs next;
      Progress(*zone.daemons[daemon], id, at, next);
      Deliver(zone, daemon, next, at);
    });
  }
  if (!from.crashes) {
    Subscribe(zone.timers, now + UpTo(zone, 100ms),
              [&zone, id](time_point at) { Complete(zone, id, at); });
    return;
  }
  Subscribe(zone.timers, now + UpTo(zone, zone.config.crash_after), [&zone, id](time_point at) {
    const auto found = zone.runs.find(id);
    if (found != zone.runs.end()) CrashEndpoint(zone, found->second.endpoint, at);
  });
}

// One daemon's handling of a request: asks, waits when told to, places it or gives the answer.
inline void Send(zone_model& zone, caller from, time_point now) {
  table& state = *zone.daemons[from.daemon];
  outputs out;
  const run_id id = zone.next_id++;
  const int any = Choose(zone, from.daemon, false, now);
  const int idle = Choose(zone, from.daemon, true, now);
  const auto later = [&](duration wait) {
    Subscribe(zone.timers, now + wait, [&zone, from](time_point at) { Send(zone, from, at); });
  };
  if (any < 0 || idle < 0) return later(10ms);
  const decision decided = Start(state, id, from.key, now, out);
  Deliver(zone, from.daemon, out, now);
  if (decided.answer == verdict::kRefuse) {
    zone.innocents_refused += from.crashes ? 0 : 1;
    return Answer(zone, from, now);
  }
  if (decided.answer == verdict::kHold) return later(10ms);
  if (decided.answer == verdict::kAllow) zone.unaware[from.key].insert(from.daemon);
  Run(zone, id, from, decided.answer == verdict::kAllow ? any : idle, now);
}

inline void AddCallers(zone_model& zone, int count, bool crashes) {
  const int copies = crashes ? zone.config.copies : 2;
  for (int i = 0; i < count; ++i) {
    const fingerprint key = MakeFingerprint(crashes ? "bad" : "good", std::to_string(i));
    for (int copy = 0; copy < copies; ++copy) {
      const int daemon = static_cast<int>(UniformBelow(zone.rng, zone.config.daemons));
      const caller from{key, crashes, zone.config.resends, daemon};
      Subscribe(zone.timers, time_point(UpTo(zone, 500ms)),
                [&zone, from](time_point at) { Send(zone, from, at); });
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
  AddCallers(*zone, config.crashers, true);
  AddCallers(*zone, config.innocents, false);
  for (time_point now(0s); now < time_point(20s); now += 1ms) {
    RunDue(zone->timers, now);
    for (int i = 0; i < config.daemons; ++i) {
      outputs out;
      Tick(*zone->daemons[i], now, out);
      Deliver(*zone, i, out, now);
    }
  }
  return zone;
}

}  // namespace balsambay::quarantine
