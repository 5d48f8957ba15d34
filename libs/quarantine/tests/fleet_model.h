// Virtual-time model of gateways before engines that each run many streams at once
// (trial::kShared). Streams pass through one engine of each stage, the one that runs fewest of the
// gateway's streams. After a loss many streams choose at the same time. Some requests crash engines
// with their first output; engines crash for other reasons, too.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/timer_service.h"
#include "quarantine/quarantine.h"

namespace balsambay::quarantine {

enum class victim : uint8_t { kHead, kLast, kAll };

struct fleet_settings {
  int gateways = 4;
  size_t stages = 3;
  size_t engines_per_stage = 6;
  int crashers = 2;  // different requests that crash engines, each sent again after its answer
  victim crashes = victim::kHead;
  int crash_after = 0;     // outputs
  duration crash_from{0};  // of the run of the model; harmless before
  duration crasher_pause = 700ms;
  int crasher_copies = 1;              // sent at the same time
  duration arrival_pause = 15ms;       // between harmless streams
  bool same_content = false;           // all harmless streams have the same fingerprint
  duration outage_pause{0};            // between crashes for other reasons; 0: none
  size_t outage_engines = 1;           // that crash together then
  duration max_exchange_delay = 30ms;  // longest
  double lost_messages = 0;            // part
  duration length = 15s;
  duration proof_lifetime = 2s;
  faults test_faults = {};
};

struct model_stream {
  run_id id = 0;
  fingerprint key;
  bool crashes = false;
  size_t gateway = 0;
  std::vector<size_t> path;  // engines; empty: waits
  int outputs = 0;           // since it was last placed
  int left = 0;              // outputs
  int step = 0;              // steps that were planned before this one are void
  std::optional<time_point> apart_until;
};
using stream_ptr = std::shared_ptr<model_stream>;

struct model_gateway {
  std::unique_ptr<table> quarantine;
  std::set<std::pair<std::string, uint64_t>> known_lost;  // lives
  std::map<size_t, time_point> last_output;               // through each engine
};

struct fleet_model {
  fleet_settings config;
  random_generator rng;
  timer_service timers;
  std::vector<model_gateway> gateways;
  std::vector<endpoint_life> instances;  // of the engines, stage after stage
  std::vector<time_point> up_from;
  std::map<run_id, stream_ptr> streams;
  run_id next_id = 1;
  std::map<fingerprint, std::vector<time_point>> crashes;     // by the request
  std::map<fingerprint, std::vector<time_point>> placements;  // of those that crash engines
  int done = 0;                                               // harmless streams
  int refused = 0;                                            // likewise
};

inline constexpr time_point kModelStart(1s);
inline constexpr duration kReadTime = 60ms;
inline constexpr duration kOutputPause = 30ms;
inline constexpr int kOutputs = 60;
inline constexpr int kProofOutputs = 3;
inline constexpr std::ptrdiff_t kMostApart = 6;
inline constexpr duration kApartWait = 400ms;
// Until a gateway notices that an engine behind the first one is lost.
inline constexpr duration kNoticeTime = 250ms;
inline constexpr duration kLeastNotice = 100ms;
inline constexpr duration kDownTime = 1500ms;

inline duration UpTo(fleet_model& fleet, duration longest) {
  return duration(1 + UniformBelow(fleet.rng, static_cast<uint64_t>(longest.count())));
}

void BeginStream(fleet_model& fleet, const stream_ptr& item, time_point now);

inline bool IsUp(const fleet_model& fleet, size_t engine, time_point now) {
  return fleet.up_from[engine] <= now;
}

inline bool IsKnownLost(const fleet_model& fleet, size_t gateway, size_t engine) {
  const endpoint_life& instance = fleet.instances[engine];
  return fleet.gateways[gateway].known_lost.contains({instance.endpoint, instance.incarnation});
}

inline void Answer(fleet_model& fleet, const stream_ptr& item, time_point now) {
  ++item->step;
  fleet.streams.erase(item->id);
  if (!item->crashes) return;
  auto again = std::make_shared<model_stream>(*item);
  again->gateway = UniformBelow(fleet.rng, fleet.gateways.size());
  again->path.clear();
  again->left = kOutputs;
  again->apart_until.reset();
  Subscribe(fleet.timers, now + fleet.config.crasher_pause,
            [&fleet, again](time_point at) { BeginStream(fleet, again, at); });
}

inline void Refuse(fleet_model& fleet, const stream_ptr& item, time_point now) {
  fleet.refused += item->crashes ? 0 : 1;
  Answer(fleet, item, now);
}

inline void Process(fleet_model& fleet, size_t gateway, const outputs& out, time_point now) {
  for (const update& item : out.publish) {
    for (size_t to = 0; to < fleet.gateways.size(); ++to) {
      const bool lost = UniformUnit(fleet.rng) < fleet.config.lost_messages;
      if (to == gateway || lost) continue;
      Subscribe(fleet.timers, now + UpTo(fleet, fleet.config.max_exchange_delay),
                [&fleet, to, item](time_point at) {
                  outputs next;
                  Merge(*fleet.gateways[to].quarantine, item, at, next);
                  Process(fleet, to, next, at);
                });
    }
  }
  for (const fingerprint& key : out.condemned) {
    std::vector<stream_ptr> ended;
    for (const auto& [id, item] : fleet.streams) {
      const bool early = item->outputs < kProofOutputs;
      if (item->gateway == gateway && item->key == key && early) ended.push_back(item);
    }
    for (const stream_ptr& item : ended) {
      outputs next;
      End(*fleet.gateways[gateway].quarantine, item->id, run_end::kFailed, std::nullopt, now, next);
      Process(fleet, gateway, next, now);
      Refuse(fleet, item, now);
    }
  }
}

inline std::vector<size_t> EnginesOf(const fleet_model& fleet, size_t gateway, size_t stage,
                                     bool apart) {
  std::vector<size_t> out;
  const size_t first = stage * fleet.config.engines_per_stage;
  const auto& quarantine = *fleet.gateways[gateway].quarantine;
  for (size_t engine = first; engine < first + fleet.config.engines_per_stage; ++engine) {
    const bool suspect = HasSuspect(quarantine, fleet.instances[engine].endpoint);
    if (!IsKnownLost(fleet, gateway, engine) && !(apart && suspect)) out.push_back(engine);
  }
  return out;
}

// The first engine of the stage that the gateway takes for alive; for suspects a random one without
// other suspects, if there is one.
inline std::optional<size_t> ChooseEngine(fleet_model& fleet, size_t gateway, size_t stage,
                                          bool suspect) {
  const auto apart = EnginesOf(fleet, gateway, stage, true);
  if (suspect && !apart.empty()) return apart[UniformBelow(fleet.rng, apart.size())];
  const auto any = EnginesOf(fleet, gateway, stage, false);
  if (any.empty()) return std::nullopt;
  std::map<size_t, int> streams;
  for (const auto& [id, item] : fleet.streams) {
    if (item->gateway != gateway) continue;
    for (const size_t engine : item->path) ++streams[engine];
  }
  return *std::ranges::min_element(any, {}, [&](size_t engine) { return streams[engine]; });
}

// Whether a suspect should wait for engines without others.
inline bool MayWaitApart(const fleet_model& fleet, model_stream& item, time_point now) {
  bool crowded = false;
  for (size_t stage = 0; stage < fleet.config.stages; ++stage) {
    crowded |= EnginesOf(fleet, item.gateway, stage, true).empty();
  }
  if (!crowded) return false;
  if (!item.apart_until) {
    const auto& quarantine = *fleet.gateways[item.gateway].quarantine;
    const auto suspects = std::ranges::count_if(
        quarantine.runs, [](const auto& pair) { return pair.second.as_suspect; });
    item.apart_until = suspects <= kMostApart ? now + kApartWait : now;
  }
  return now < *item.apart_until;
}

inline void TellPlace(fleet_model& fleet, const model_stream& item, time_point now) {
  std::vector<endpoint_life> route;
  for (const size_t engine : item.path) route.push_back(fleet.instances[engine]);
  outputs out;
  Place(*fleet.gateways[item.gateway].quarantine, item.id, route, out, now);
  Process(fleet, item.gateway, out, now);
}

inline void NoticeLost(fleet_model& fleet, size_t gateway, const endpoint_life& instance,
                       size_t engine, time_point now);

inline void CrashEngine(fleet_model& fleet, size_t engine, time_point now) {
  if (!IsUp(fleet, engine, now)) return;
  const endpoint_life instance = fleet.instances[engine];
  fleet.up_from[engine] = now + kDownTime;
  Subscribe(fleet.timers, now + kDownTime,
            [&fleet, engine](time_point) { ++fleet.instances[engine].incarnation; });
  std::vector<stream_ptr> broken;
  for (const auto& [id, item] : fleet.streams) {
    if (!item->path.empty() && item->path.front() == engine) broken.push_back(item);
  }
  for (const stream_ptr& item : broken) {
    item->path.clear();
    const int step = ++item->step;
    outputs out;
    End(*fleet.gateways[item->gateway].quarantine, item->id, run_end::kBroken, instance, now, out);
    Process(fleet, item->gateway, out, now);
    Subscribe(fleet.timers, now + 2ms, [&fleet, item, instance, engine, step](time_point at) {
      NoticeLost(fleet, item->gateway, instance, engine, at);
      if (item->step == step) BeginStream(fleet, item, at);
    });
  }
}

inline void Step(fleet_model& fleet, const stream_ptr& item, int step, time_point now) {
  if (item->step != step) return;
  const auto next = [&](duration pause) {
    Subscribe(fleet.timers, now + pause,
              [&fleet, item, step](time_point at) { Step(fleet, item, step, at); });
  };
  const auto lost =
      std::ranges::find_if(item->path, [&](size_t engine) { return !IsUp(fleet, engine, now); });
  if (lost != item->path.end()) {
    const size_t engine = *lost;
    Subscribe(fleet.timers, now + kNoticeTime,
              [&fleet, item, step, engine, instance = fleet.instances[engine]](time_point at) {
                if (item->step == step) NoticeLost(fleet, item->gateway, instance, engine, at);
              });
    return;
  }
  const bool ripe = now >= kModelStart + fleet.config.crash_from;
  if (item->crashes && ripe && item->outputs >= fleet.config.crash_after) {
    fleet.crashes[item->key].push_back(now);
    const std::vector<size_t> path = item->path;
    next(kOutputPause);
    if (fleet.config.crashes == victim::kHead) return CrashEngine(fleet, path.front(), now);
    if (fleet.config.crashes == victim::kLast) return CrashEngine(fleet, path.back(), now);
    for (const size_t engine : path) CrashEngine(fleet, engine, now);
    return;
  }
  for (const size_t engine : item->path) fleet.gateways[item->gateway].last_output[engine] = now;
  table& quarantine = *fleet.gateways[item->gateway].quarantine;
  outputs out;
  if (++item->outputs == kProofOutputs) Progress(quarantine, item->id, now, out);
  if (--item->left == 0) {
    End(quarantine, item->id, run_end::kCompleted, std::nullopt, now, out);
    fleet.done += item->crashes ? 0 : 1;
    Answer(fleet, item, now);
  } else {
    next(kOutputPause);
  }
  Process(fleet, item->gateway, out, now);
}

// Sends the stream to the engines of its path, or to those that replace some of them.
inline void Run(fleet_model& fleet, const stream_ptr& item, time_point now) {
  item->outputs = 0;
  if (item->crashes) fleet.placements[item->key].push_back(now);
  TellPlace(fleet, *item, now);
  Subscribe(fleet.timers, now + UpTo(fleet, kReadTime),
            [&fleet, item, step = ++item->step](time_point at) { Step(fleet, item, step, at); });
}

inline void NoticeLost(fleet_model& fleet, size_t gateway, const endpoint_life& instance,
                       size_t engine, time_point now) {
  model_gateway& self = fleet.gateways[gateway];
  if (!self.known_lost.insert({instance.endpoint, instance.incarnation}).second) return;
  const auto output = self.last_output.find(engine);
  const bool served = output != self.last_output.end() && now - output->second < 1s;
  const time_point alive_until = std::min(served ? output->second : kNever, now - kLeastNotice);
  outputs out;
  Lost(*self.quarantine, instance, now, out, alive_until);
  Process(fleet, gateway, out, now);
  std::vector<stream_ptr> affected;
  for (const auto& [id, item] : fleet.streams) {
    const bool there = std::ranges::find(item->path, engine) != item->path.end();
    if (item->gateway == gateway && there) affected.push_back(item);
  }
  for (const stream_ptr& item : affected) {
    const auto& quarantine = *self.quarantine;
    if (StateOf(quarantine, item->key) == fingerprint_state::kQuarantined) continue;
    const bool suspect = StateOf(quarantine, item->key) == fingerprint_state::kSuspected;
    const size_t stage = engine / fleet.config.engines_per_stage;
    const auto other = ChooseEngine(fleet, gateway, stage, suspect);
    if (!other) continue;
    std::ranges::replace(item->path, engine, *other);
    Run(fleet, item, now);
  }
  for (size_t to = 0; to < fleet.gateways.size(); ++to) {
    if (to == gateway) continue;
    Subscribe(fleet.timers, now + UpTo(fleet, 5ms), [&fleet, to, instance, engine](time_point at) {
      NoticeLost(fleet, to, instance, engine, at);
    });
  }
}

inline void BeginStream(fleet_model& fleet, const stream_ptr& item, time_point now) {
  fleet.streams[item->id] = item;
  table& quarantine = *fleet.gateways[item->gateway].quarantine;
  outputs out;
  const decision decided = Start(quarantine, item->id, item->key, now, out);
  Process(fleet, item->gateway, out, now);
  const auto later = [&](duration pause) {
    Subscribe(fleet.timers, now + pause, [&fleet, item, step = ++item->step](time_point at) {
      if (item->step == step) BeginStream(fleet, item, at);
    });
  };
  if (decided.answer == verdict::kRefuse) return Refuse(fleet, item, now);
  if (decided.answer == verdict::kHold) return later(20ms);
  const bool suspect = decided.answer == verdict::kAllowAlone;
  if (suspect && MayWaitApart(fleet, *item, now)) {
    outputs none;
    End(quarantine, item->id, run_end::kFailed, std::nullopt, now, none);
    Process(fleet, item->gateway, none, now);
    return later(20ms);
  }
  std::vector<size_t> path;
  for (size_t stage = 0; stage < fleet.config.stages; ++stage) {
    const auto engine = ChooseEngine(fleet, item->gateway, stage, suspect);
    if (engine) path.push_back(*engine);
  }
  if (path.size() == fleet.config.stages) {
    item->path = path;
    return Run(fleet, item, now);
  }
  outputs none;
  End(quarantine, item->id, run_end::kFailed, std::nullopt, now, none);
  Process(fleet, item->gateway, none, now);
  later(50ms);
}

inline void AddStream(fleet_model& fleet, const fingerprint& key, bool crashes, time_point now) {
  auto item = std::make_shared<model_stream>();
  item->id = fleet.next_id++;
  item->key = key;
  item->crashes = crashes;
  item->left = kOutputs;
  item->gateway = UniformBelow(fleet.rng, fleet.gateways.size());
  BeginStream(fleet, item, now);
}

inline void AddHarmless(fleet_model& fleet, time_point now) {
  const std::string content = fleet.config.same_content ? "same" : std::to_string(fleet.next_id);
  AddStream(fleet, MakeFingerprint("harmless", content), false, now);
  Subscribe(fleet.timers, now + fleet.config.arrival_pause,
            [&fleet](time_point at) { AddHarmless(fleet, at); });
}

inline void Outage(fleet_model& fleet, time_point now) {
  for (size_t i = 0; i < fleet.config.outage_engines; ++i) {
    CrashEngine(fleet, UniformBelow(fleet.rng, fleet.instances.size()), now);
  }
  Subscribe(fleet.timers, now + fleet.config.outage_pause,
            [&fleet](time_point at) { Outage(fleet, at); });
}

inline std::unique_ptr<fleet_model> RunFleet(uint64_t seed, const fleet_settings& config) {
  auto fleet = std::make_unique<fleet_model>();
  fleet->config = config;
  fleet->rng.seed(seed);
  for (int i = 0; i < config.gateways; ++i) {
    const settings values{.daemon = "g" + std::to_string(i),
                          .trial = trial::kShared,
                          .max_unproven_runs = 0,
                          .peer_claim = 5s,
                          .confirm_within = 500ms,
                          .proof_lifetime = config.proof_lifetime,
                          .test_faults = config.test_faults};
    fleet->gateways.push_back({std::make_unique<table>(values), {}, {}});
  }
  for (size_t i = 0; i < config.stages * config.engines_per_stage; ++i) {
    fleet->instances.push_back({"e" + std::to_string(i), 1});
  }
  fleet->up_from.resize(fleet->instances.size());
  const time_point start = kModelStart;
  Subscribe(fleet->timers, start, [&](time_point at) { AddHarmless(*fleet, at); });
  for (int i = 0; i < config.crashers; ++i) {
    const fingerprint key = MakeFingerprint("crashes", std::to_string(i));
    const time_point first = start + 1s + UpTo(*fleet, 2s);
    for (int copy = 0; copy < config.crasher_copies; ++copy) {
      Subscribe(fleet->timers, first,
                [&, key](time_point at) { AddStream(*fleet, key, true, at); });
    }
  }
  if (config.outage_pause > duration::zero()) {
    Subscribe(fleet->timers, start + 1s, [&](time_point at) { Outage(*fleet, at); });
  }
  for (time_point now = start; now < start + config.length; now += 1ms) {
    RunDue(fleet->timers, now);
    for (size_t i = 0; i < fleet->gateways.size(); ++i) {
      outputs out;
      Tick(*fleet->gateways[i].quarantine, now, out);
      Process(*fleet, i, out, now);
    }
  }
  return fleet;
}

// Placements of one request later than `contact` after it had crashed the third engine.
inline std::ptrdiff_t MostLatePlacements(const fleet_model& fleet, duration contact) {
  std::ptrdiff_t most = 0;
  for (const auto& [key, crashes] : fleet.crashes) {
    if (crashes.size() < 3) continue;
    const time_point from = crashes[2] + contact;
    most = std::max(most, std::ranges::count_if(fleet.placements.at(key),
                                                [&](time_point at) { return at > from; }));
  }
  return most;
}

}  // namespace balsambay::quarantine
