// Virtual-time model of gateways (daemons with one quarantine table each) in front of engines that
// run many streams at once (kConcurrent). A stream passes through one engine of each stage: the one
// that runs the fewest streams of the gateway. After a loss many streams choose an engine at the
// same time. Some requests crash engines with their first token or after
// `fleet_settings::tokens_before_crash` tokens; engines also crash for other reasons.
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

// Which engines of its path a crashing request crashes.
enum class crash_scope : uint8_t { kFirst, kLast, kAll };

struct fleet_settings {
  int gateways = 4;
  size_t stages = 3;
  size_t engines_per_stage = 6;
  // Number of different requests that crash engines. Each is sent again after its response.
  int crashing_requests = 2;
  crash_scope scope = crash_scope::kFirst;
  int tokens_before_crash = 0;
  duration harmless_for{0};  // from the start of the model; crashing requests do not crash before
  duration resend_interval = 700ms;  // of crashing requests
  int crashing_copies = 1;           // of each crashing request, sent at the same time
  duration arrival_interval = 15ms;  // between harmless streams
  bool same_content = false;         // all harmless streams have the same fingerprint
  duration outage_interval{0};       // between crashes for other reasons; 0: no such crashes
  size_t outage_engines = 1;         // number of engines that crash together then
  duration max_exchange_delay = 30ms;
  double message_loss_ratio = 0;
  duration simulated_time = 15s;
  duration proof_lifetime = 2s;
  faults test_faults = {};
};

struct model_stream {
  run_id id = 0;
  fingerprint key;
  bool crashes = false;
  size_t gateway = 0;
  std::vector<size_t> path;  // engine indexes; empty while the stream waits
  int tokens_since_placed = 0;
  int tokens_left = 0;
  int schedule_number = 0;  // steps scheduled with an earlier number are ignored
  std::optional<time_point> isolation_deadline;  // end of the wait for isolation
};
using stream_ptr = std::shared_ptr<model_stream>;

struct model_gateway {
  std::unique_ptr<table> quarantine;
  std::set<std::pair<std::string, uint64_t>> lost_instances;  // endpoint and incarnation
  std::map<size_t, time_point> last_token;  // time of the last token through each engine
};

struct fleet_model {
  fleet_settings config;
  random_generator rng;
  timer_service timers;
  std::vector<model_gateway> gateways;
  std::vector<endpoint_instance> instances;  // of the engines, ordered by stage
  std::vector<time_point> up_from;
  std::map<run_id, stream_ptr> streams;
  run_id next_id = 1;
  std::map<fingerprint, std::vector<time_point>> crash_times;      // by crashing request
  std::map<fingerprint, std::vector<time_point>> placement_times;  // by crashing request
  int harmless_completed = 0;
  int harmless_refused = 0;
};

inline constexpr time_point kModelStart(1s);
inline constexpr duration kMaxFirstTokenDelay = 60ms;
inline constexpr duration kTokenInterval = 30ms;
inline constexpr int kTokensPerStream = 60;
// Tokens on a path after which the gateway calls Progress().
inline constexpr int kProofTokens = 3;
// With more running suspects on its gateway, a suspect does not wait for isolation; otherwise it
// waits for kIsolationWait at most.
inline constexpr std::ptrdiff_t kMaxIsolatedSuspects = 6;
inline constexpr duration kIsolationWait = 400ms;
// Time until a gateway detects the loss of an engine of a later stage.
inline constexpr duration kLossDetectionTime = 250ms;
// No gateway detects a loss sooner than this.
inline constexpr duration kMinLossDetectionTime = 100ms;
inline constexpr duration kRestartTime = 1500ms;

inline duration RandomDuration(fleet_model& fleet, duration longest) {
  return duration(1 + UniformBelow(fleet.rng, static_cast<uint64_t>(longest.count())));
}

void StartStream(fleet_model& fleet, const stream_ptr& stream, time_point now);

inline bool IsUp(const fleet_model& fleet, size_t engine, time_point now) {
  return fleet.up_from[engine] <= now;
}

inline bool IsKnownLost(const fleet_model& fleet, size_t gateway, size_t engine) {
  const endpoint_instance& instance = fleet.instances[engine];
  return fleet.gateways[gateway].lost_instances.contains({instance.endpoint, instance.incarnation});
}

inline void ResendAfterResponse(fleet_model& fleet, const stream_ptr& stream, time_point now) {
  ++stream->schedule_number;
  fleet.streams.erase(stream->id);
  if (!stream->crashes) return;
  auto resent = std::make_shared<model_stream>(*stream);
  resent->gateway = UniformBelow(fleet.rng, fleet.gateways.size());
  resent->path.clear();
  resent->tokens_left = kTokensPerStream;
  resent->isolation_deadline.reset();
  Subscribe(fleet.timers, now + fleet.config.resend_interval,
            [&fleet, resent](time_point at) { StartStream(fleet, resent, at); });
}

inline void Refuse(fleet_model& fleet, const stream_ptr& stream, time_point now) {
  fleet.harmless_refused += stream->crashes ? 0 : 1;
  ResendAfterResponse(fleet, stream, now);
}

// Delivers the published updates to the other gateways and ends streams that are refused from now
// on.
inline void CarryOut(fleet_model& fleet, size_t gateway, const side_effects& effects,
                     time_point now) {
  for (const update& message : effects.publish) {
    for (size_t receiver = 0; receiver < fleet.gateways.size(); ++receiver) {
      const bool lost = UniformUnit(fleet.rng) < fleet.config.message_loss_ratio;
      if (receiver == gateway || lost) continue;
      Subscribe(fleet.timers, now + RandomDuration(fleet, fleet.config.max_exchange_delay),
                [&fleet, receiver, message](time_point at) {
                  side_effects next_effects;
                  Merge(*fleet.gateways[receiver].quarantine, message, at, next_effects);
                  CarryOut(fleet, receiver, next_effects, at);
                });
    }
  }
  for (const fingerprint& key : effects.quarantined) {
    std::vector<stream_ptr> ended;
    for (const auto& [id, stream] : fleet.streams) {
      const bool unproven = stream->tokens_since_placed < kProofTokens;
      if (stream->gateway == gateway && stream->key == key && unproven) ended.push_back(stream);
    }
    for (const stream_ptr& stream : ended) {
      side_effects next_effects;
      End(*fleet.gateways[gateway].quarantine, stream->id, run_end::kFailed, std::nullopt, now,
          next_effects);
      CarryOut(fleet, gateway, next_effects, now);
      Refuse(fleet, stream, now);
    }
  }
}

inline std::vector<size_t> AvailableEngines(const fleet_model& fleet, size_t gateway, size_t stage,
                                            bool without_suspects) {
  std::vector<size_t> engines;
  const size_t first = stage * fleet.config.engines_per_stage;
  const auto& quarantine = *fleet.gateways[gateway].quarantine;
  for (size_t engine = first; engine < first + fleet.config.engines_per_stage; ++engine) {
    const bool suspect = HasSuspect(quarantine, fleet.instances[engine].endpoint);
    if (!IsKnownLost(fleet, gateway, engine) && !(without_suspects && suspect))
      engines.push_back(engine);
  }
  return engines;
}

// The engine of the stage with the fewest streams of the gateway, among those that the gateway
// considers alive. For suspects a random engine without other suspects, if there is one. nullopt if
// no engine is alive.
inline std::optional<size_t> ChooseEngine(fleet_model& fleet, size_t gateway, size_t stage,
                                          bool suspect) {
  const auto isolated = AvailableEngines(fleet, gateway, stage, true);
  if (suspect && !isolated.empty()) return isolated[UniformBelow(fleet.rng, isolated.size())];
  const auto live = AvailableEngines(fleet, gateway, stage, false);
  if (live.empty()) return std::nullopt;
  std::map<size_t, int> streams;
  for (const auto& [id, stream] : fleet.streams) {
    if (stream->gateway != gateway) continue;
    for (const size_t engine : stream->path) ++streams[engine];
  }
  return *std::ranges::min_element(live, {}, [&](size_t engine) { return streams[engine]; });
}

// Whether a suspect should wait until each stage has an engine without other suspects.
inline bool ShouldWaitForIsolation(const fleet_model& fleet, model_stream& stream, time_point now) {
  bool crowded = false;
  for (size_t stage = 0; stage < fleet.config.stages; ++stage) {
    crowded |= AvailableEngines(fleet, stream.gateway, stage, true).empty();
  }
  if (!crowded) return false;
  if (!stream.isolation_deadline) {
    const auto& quarantine = *fleet.gateways[stream.gateway].quarantine;
    const auto suspects = std::ranges::count_if(
        quarantine.runs, [](const auto& pair) { return pair.second.as_suspect; });
    stream.isolation_deadline = suspects <= kMaxIsolatedSuspects ? now + kIsolationWait : now;
  }
  return now < *stream.isolation_deadline;
}

inline void ReportRoute(fleet_model& fleet, const model_stream& stream, time_point now) {
  std::vector<endpoint_instance> route;
  for (const size_t engine : stream.path) route.push_back(fleet.instances[engine]);
  side_effects effects;
  SetRoute(*fleet.gateways[stream.gateway].quarantine, stream.id, route, effects, now);
  CarryOut(fleet, stream.gateway, effects, now);
}

inline void DetectLoss(fleet_model& fleet, size_t gateway, const endpoint_instance& instance,
                       size_t engine, time_point now);

inline void CrashEngine(fleet_model& fleet, size_t engine, time_point now) {
  if (!IsUp(fleet, engine, now)) return;
  const endpoint_instance instance = fleet.instances[engine];
  fleet.up_from[engine] = now + kRestartTime;
  Subscribe(fleet.timers, now + kRestartTime,
            [&fleet, engine](time_point) { ++fleet.instances[engine].incarnation; });
  std::vector<stream_ptr> broken;
  for (const auto& [id, stream] : fleet.streams) {
    if (!stream->path.empty() && stream->path.front() == engine) broken.push_back(stream);
  }
  for (const stream_ptr& stream : broken) {
    stream->path.clear();
    const int schedule_number = ++stream->schedule_number;
    side_effects effects;
    End(*fleet.gateways[stream->gateway].quarantine, stream->id, run_end::kBroken, instance, now,
        effects);
    CarryOut(fleet, stream->gateway, effects, now);
    Subscribe(fleet.timers, now + 2ms,
              [&fleet, stream, instance, engine, schedule_number](time_point at) {
                DetectLoss(fleet, stream->gateway, instance, engine, at);
                if (stream->schedule_number == schedule_number) StartStream(fleet, stream, at);
              });
  }
}

// One step of a running stream: waits for the detection of a lost engine, crashes engines, or
// produces a token.
inline void ProduceToken(fleet_model& fleet, const stream_ptr& stream, int schedule_number,
                         time_point now) {
  if (stream->schedule_number != schedule_number) return;
  const auto schedule_next = [&](duration delay) {
    Subscribe(fleet.timers, now + delay, [&fleet, stream, schedule_number](time_point at) {
      ProduceToken(fleet, stream, schedule_number, at);
    });
  };
  const auto lost =
      std::ranges::find_if(stream->path, [&](size_t engine) { return !IsUp(fleet, engine, now); });
  if (lost != stream->path.end()) {
    const size_t engine = *lost;
    Subscribe(fleet.timers, now + kLossDetectionTime,
              [&fleet, stream, schedule_number, engine,
               instance = fleet.instances[engine]](time_point at) {
                if (stream->schedule_number == schedule_number)
                  DetectLoss(fleet, stream->gateway, instance, engine, at);
              });
    return;
  }
  const bool crash_enabled = now >= kModelStart + fleet.config.harmless_for;
  if (stream->crashes && crash_enabled &&
      stream->tokens_since_placed >= fleet.config.tokens_before_crash) {
    fleet.crash_times[stream->key].push_back(now);
    const std::vector<size_t> path = stream->path;
    schedule_next(kTokenInterval);
    if (fleet.config.scope == crash_scope::kFirst) return CrashEngine(fleet, path.front(), now);
    if (fleet.config.scope == crash_scope::kLast) return CrashEngine(fleet, path.back(), now);
    for (const size_t engine : path) CrashEngine(fleet, engine, now);
    return;
  }
  for (const size_t engine : stream->path) fleet.gateways[stream->gateway].last_token[engine] = now;
  table& quarantine = *fleet.gateways[stream->gateway].quarantine;
  side_effects effects;
  if (++stream->tokens_since_placed == kProofTokens) Progress(quarantine, stream->id, now, effects);
  if (--stream->tokens_left == 0) {
    End(quarantine, stream->id, run_end::kCompleted, std::nullopt, now, effects);
    fleet.harmless_completed += stream->crashes ? 0 : 1;
    ResendAfterResponse(fleet, stream, now);
  } else {
    schedule_next(kTokenInterval);
  }
  CarryOut(fleet, stream->gateway, effects, now);
}

// Sends the stream along its path, also after engines of the path were replaced.
inline void SendAlongPath(fleet_model& fleet, const stream_ptr& stream, time_point now) {
  stream->tokens_since_placed = 0;
  if (stream->crashes) fleet.placement_times[stream->key].push_back(now);
  ReportRoute(fleet, *stream, now);
  Subscribe(fleet.timers, now + RandomDuration(fleet, kMaxFirstTokenDelay),
            [&fleet, stream, schedule_number = ++stream->schedule_number](time_point at) {
              ProduceToken(fleet, stream, schedule_number, at);
            });
}

// The gateway detects the loss of an engine: reports it, moves the affected streams to other
// engines and informs the other gateways.
inline void DetectLoss(fleet_model& fleet, size_t gateway, const endpoint_instance& instance,
                       size_t engine, time_point now) {
  model_gateway& observer = fleet.gateways[gateway];
  if (!observer.lost_instances.insert({instance.endpoint, instance.incarnation}).second) return;
  const auto token = observer.last_token.find(engine);
  const bool served = token != observer.last_token.end() && now - token->second < 1s;
  const time_point alive_until =
      std::min(served ? token->second : kNever, now - kMinLossDetectionTime);
  side_effects effects;
  ReportLost(*observer.quarantine, instance, now, effects, alive_until);
  CarryOut(fleet, gateway, effects, now);
  std::vector<stream_ptr> affected;
  for (const auto& [id, stream] : fleet.streams) {
    const bool uses_engine = std::ranges::find(stream->path, engine) != stream->path.end();
    if (stream->gateway == gateway && uses_engine) affected.push_back(stream);
  }
  for (const stream_ptr& stream : affected) {
    const auto& quarantine = *observer.quarantine;
    if (StateOf(quarantine, stream->key) == fingerprint_state::kQuarantined) continue;
    const bool suspect = StateOf(quarantine, stream->key) == fingerprint_state::kSuspected;
    const size_t stage = engine / fleet.config.engines_per_stage;
    const auto replacement = ChooseEngine(fleet, gateway, stage, suspect);
    if (!replacement) continue;
    std::ranges::replace(stream->path, engine, *replacement);
    SendAlongPath(fleet, stream, now);
  }
  for (size_t receiver = 0; receiver < fleet.gateways.size(); ++receiver) {
    if (receiver == gateway) continue;
    Subscribe(fleet.timers, now + RandomDuration(fleet, 5ms),
              [&fleet, receiver, instance, engine](time_point at) {
                DetectLoss(fleet, receiver, instance, engine, at);
              });
  }
}

inline void StartStream(fleet_model& fleet, const stream_ptr& stream, time_point now) {
  fleet.streams[stream->id] = stream;
  table& quarantine = *fleet.gateways[stream->gateway].quarantine;
  side_effects effects;
  const bool resumed = stream->tokens_left < kTokensPerStream;
  const decision decided = Start(quarantine, stream->id, {stream->key, {}, resumed}, now, effects);
  CarryOut(fleet, stream->gateway, effects, now);
  const auto retry_after = [&](duration delay) {
    Subscribe(fleet.timers, now + delay,
              [&fleet, stream, schedule_number = ++stream->schedule_number](time_point at) {
                if (stream->schedule_number == schedule_number) StartStream(fleet, stream, at);
              });
  };
  if (decided.answer == verdict::kRefuse) return Refuse(fleet, stream, now);
  if (decided.answer == verdict::kHold) return retry_after(20ms);
  const bool suspect = decided.answer == verdict::kAllowIsolated;
  if (suspect && ShouldWaitForIsolation(fleet, *stream, now)) {
    side_effects end_effects;
    End(quarantine, stream->id, run_end::kFailed, std::nullopt, now, end_effects);
    CarryOut(fleet, stream->gateway, end_effects, now);
    return retry_after(20ms);
  }
  std::vector<size_t> path;
  for (size_t stage = 0; stage < fleet.config.stages; ++stage) {
    const auto engine = ChooseEngine(fleet, stream->gateway, stage, suspect);
    if (engine) path.push_back(*engine);
  }
  if (path.size() == fleet.config.stages) {
    stream->path = path;
    return SendAlongPath(fleet, stream, now);
  }
  side_effects end_effects;
  End(quarantine, stream->id, run_end::kFailed, std::nullopt, now, end_effects);
  CarryOut(fleet, stream->gateway, end_effects, now);
  retry_after(50ms);
}

inline void AddStream(fleet_model& fleet, const fingerprint& key, bool crashes, time_point now) {
  auto stream = std::make_shared<model_stream>();
  stream->id = fleet.next_id++;
  stream->key = key;
  stream->crashes = crashes;
  stream->tokens_left = kTokensPerStream;
  stream->gateway = UniformBelow(fleet.rng, fleet.gateways.size());
  StartStream(fleet, stream, now);
}

inline void AddHarmless(fleet_model& fleet, time_point now) {
  const std::string content = fleet.config.same_content ? "same" : std::to_string(fleet.next_id);
  AddStream(fleet, MakeFingerprint("harmless", content), false, now);
  Subscribe(fleet.timers, now + fleet.config.arrival_interval,
            [&fleet](time_point at) { AddHarmless(fleet, at); });
}

inline void CauseOutage(fleet_model& fleet, time_point now) {
  for (size_t i = 0; i < fleet.config.outage_engines; ++i) {
    CrashEngine(fleet, UniformBelow(fleet.rng, fleet.instances.size()), now);
  }
  Subscribe(fleet.timers, now + fleet.config.outage_interval,
            [&fleet](time_point at) { CauseOutage(fleet, at); });
}

inline std::unique_ptr<fleet_model> RunFleet(uint64_t seed, const fleet_settings& config) {
  auto fleet = std::make_unique<fleet_model>();
  fleet->config = config;
  fleet->rng.seed(seed);
  for (int i = 0; i < config.gateways; ++i) {
    const settings values{.daemon = "g" + std::to_string(i),
                          .suspect_policy = suspect_policy::kConcurrent,
                          .max_unproven_runs = 0,
                          .peer_claim_lifetime = 5s,
                          .confirmation_timeout = 500ms,
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
  for (int i = 0; i < config.crashing_requests; ++i) {
    const fingerprint key = MakeFingerprint("crashes", std::to_string(i));
    const time_point first = start + 1s + RandomDuration(*fleet, 2s);
    for (int copy = 0; copy < config.crashing_copies; ++copy) {
      Subscribe(fleet->timers, first,
                [&, key](time_point at) { AddStream(*fleet, key, true, at); });
    }
  }
  if (config.outage_interval > duration::zero()) {
    Subscribe(fleet->timers, start + 1s, [&](time_point at) { CauseOutage(*fleet, at); });
  }
  for (time_point now = start; now < start + config.simulated_time; now += 1ms) {
    RunDue(fleet->timers, now);
    for (size_t i = 0; i < fleet->gateways.size(); ++i) {
      side_effects effects;
      Tick(*fleet->gateways[i].quarantine, now, effects);
      CarryOut(*fleet, i, effects, now);
    }
  }
  return fleet;
}

// Maximum over the crashing requests of the number of placements later than `containment_time`
// after the request crashed the third engine.
inline std::ptrdiff_t MaxLatePlacements(const fleet_model& fleet, duration containment_time) {
  std::ptrdiff_t result = 0;
  for (const auto& [key, times] : fleet.crash_times) {
    if (times.size() < 3) continue;
    const time_point deadline = times[2] + containment_time;
    result = std::max(result, std::ranges::count_if(fleet.placement_times.at(key),
                                                    [&](time_point at) { return at > deadline; }));
  }
  return result;
}

}  // namespace balsambay::quarantine
