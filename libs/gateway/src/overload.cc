// Load of the fleet as known to this gateway, and results of requests, for the admission by
// priority.
#include "details/overload.h"

#include <algorithm>
#include <set>

#include "details/fleet.h"
#include "details/pace.h"
#include "details/refusals.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Engines are asked for reports every 2 s, and reports reach other gateways within about 1 s.
constexpr duration kMaxReportAge = 4000ms;
// Longer pauses come from lost engines, not from load.
constexpr duration kMaxLoadPause = 1000ms;
// Changes of the state are logged at most once in this time.
constexpr duration kLogInterval = 1000ms;
// Higher priority values share a label in metrics.
constexpr int kMaxLabelledPriority = 9;

admission::overload_control* FindControl(gateway_state& state, const call& request) {
  const auto found = state.overload.find(request.service);
  return found == state.overload.end() ? nullptr : &found->second;
}

// Whether at least half of the other gateways were heard of lately.
bool HearsPeers(const gateway_state& state, time_point now) {
  const auto heard = std::ranges::count_if(
      state.peers, [&](const auto& entry) { return now - entry.second.heard <= kMaxReportAge; });
  return 2 * static_cast<size_t>(heard) >= state.peers.size();
}

// Whether the load of the engines is known: from the messages of all other gateways in a small
// installation, otherwise from reports of at least half of the engines that hold layers.
bool IsLoadCurrent(const gateway_state& state, std::string_view service, time_point now) {
  if (state.topology.exact) return HearsPeers(state, now);
  int current = 0;
  int all = 0;
  for (const auto& [id, target] : state.endpoints) {
    if (target.listed.service != service || !target.held || target.held->Size() == 0) continue;
    ++all;
    if (now - target.reported.at <= kMaxReportAge) ++current;
  }
  return all > 0 && 2 * current >= all;
}

admission::fullness_sample SampleEngines(const gateway_state& state, const call& request,
                                         const catalog::service& service, time_point now) {
  const pipeline::model_spec& model = *service.pipelined;
  const std::vector<pipeline::engine> engines = ViewEngines(state, service, now);
  const auto max_token_ms =
      MaxTokenMs(state.pace, request.route->event_gap_goal, model.typical_output_tokens);
  const auto fullness = EngineFullness(model, engines, max_token_ms);
  admission::fullness_sample sample;
  sample.gateways = static_cast<int>(state.peers.size()) + 1;
  sample.current = fullness && IsLoadCurrent(state, service.name, now);
  sample.fullness = fullness.value_or(0);
  for (const pipeline::engine& engine : engines) sample.requests += engine.head_requests;
  return sample;
}

// In large installations the load of other gateways on plain endpoints is not known.
admission::fullness_sample SamplePlain(const gateway_state& state, std::string_view service,
                                       time_point now) {
  admission::fullness_sample sample;
  double slots = 0;
  for (const auto& [id, target] : state.endpoints) {
    if (target.listed.service != service || !IsUsable(state, target, now)) continue;
    sample.requests += target.own.sequences + target.peers.sequences;
    slots += target.listed.slots;
  }
  sample.gateways = static_cast<int>(state.peers.size()) + 1;
  sample.current = state.topology.exact && HearsPeers(state, now) && slots > 0;
  sample.fullness = slots > 0 ? sample.requests / slots : 0;
  return sample;
}

void LogState(gateway_state& state, const std::string& service,
              const admission::overload_control& control, time_point now) {
  const bool sheds = control.accepted_fraction < 1;
  if (sheds == state.sheds.contains(service) || now - state.overload_logged_at < kLogInterval) {
    return;
  }
  state.overload_logged_at = now;
  if (sheds) {
    state.sheds.insert(service);
  } else {
    state.sheds.erase(service);
  }
  log::Log(log::level::kInfo, sheds ? "shedding by priority begins" : "shedding by priority ends",
           {{"service", service},
            {"fullness", control.fullness},
            {"target", control.target},
            {"accepted_fraction", control.accepted_fraction},
            {"running", control.running},
            {"capacity_share", control.capacity_share}});
}

bool IsControlled(gateway_state& state, const call& request) {
  if (!state.config.shed_by_priority) return false;
  const catalog::document& content = request.configuration->content;
  if (!state.priorities || state.priorities->version != content.version) {
    state.priorities = priority_count{content.version, HasSeveralPriorities(content)};
  }
  return state.priorities->several;
}

void RecordResultOnce(gateway_state& state, call& request, bool late) {
  if (!request.admitted || request.result_recorded) return;
  request.result_recorded = true;
  admission::overload_control* control = FindControl(state, request);
  if (control != nullptr) RecordResult(*control, late, MonotonicNow());
}

}  // namespace

std::optional<double> EngineFullness(const pipeline::model_spec& model,
                                     std::span<const pipeline::engine> engines,
                                     std::optional<double> max_token_ms) {
  struct layer_load {
    double capacity = 0;
    double committed = 0;
    double idle_speed = 0;  // sums of 1/ms, for harmonic means: fast engines run more streams
    double speed = 0;
    int holders = 0;
  };
  std::vector<layer_load> layers(static_cast<size_t>(std::max(0, model.layers)));
  double heads = 0;
  double head_requests = 0;
  for (const pipeline::engine& engine : engines) {
    if (!engine.usable || engine.held.Size() <= 0) continue;
    const pipeline::accelerator_kind& kind = model.kinds[engine.kind];
    const double size = engine.held.Size();
    const double capacity =
        std::max(0.0, KvCapacityTokenLayers(model, kind, engine.held.Size())) / size;
    const double context =
        engine.sequences * (model.typical_prompt_tokens + model.typical_output_tokens / 2);
    const double factor = pipeline::kStepWaitFactor * engine.slowdown;
    const double idle_ms = factor * DecodeStepMs(model, kind, 1, 1, 0);
    const double ms = factor * DecodeStepMs(model, kind, 1, engine.sequences + 1, context);
    for (int i = std::max(0, engine.held.begin); i < std::min(engine.held.end, model.layers); ++i) {
      layer_load& layer = layers[static_cast<size_t>(i)];
      layer.capacity += capacity;
      layer.committed += engine.committed / size;
      if (idle_ms > 0) layer.idle_speed += 1 / idle_ms;
      if (ms > 0) layer.speed += 1 / ms;
      ++layer.holders;
    }
    if (engine.held.begin > 0) continue;
    heads += 1;
    head_requests += engine.head_requests;
  }
  double fullness = 0;
  double idle_ms = 0;
  double token_ms = 0;
  for (const layer_load& layer : layers) {
    if (layer.holders == 0 || layer.capacity <= 0) return std::nullopt;
    fullness = std::max(fullness, layer.committed / layer.capacity);
    if (layer.idle_speed > 0) idle_ms += layer.holders / layer.idle_speed;
    if (layer.speed > 0) token_ms += layer.holders / layer.speed;
  }
  if (heads > 0 && model.slots > 0) {
    fullness = std::max(fullness, head_requests / (heads * model.slots));
  }
  // A goal that idle engines miss says nothing about their load.
  if (max_token_ms && *max_token_ms > idle_ms) {
    fullness = std::max(fullness, (token_ms - idle_ms) / (*max_token_ms - idle_ms));
  }
  return fullness;
}

bool HasSeveralPriorities(const catalog::document& content) {
  const std::vector<catalog::workspace> workspaces =
      content.workspaces.value_or(std::vector<catalog::workspace>());
  const bool all_own_theirs = std::ranges::all_of(
      workspaces, [](const auto& workspace) { return workspace.priority.has_value(); });
  std::set<int> priorities;
  for (const catalog::workspace& workspace : workspaces) {
    if (workspace.priority) priorities.insert(*workspace.priority);
  }
  for (const catalog::route& route : content.routes) {
    const bool decides = !catalog::NeedsKey(content, route) || !all_own_theirs;
    if (decides) priorities.insert(route.priority);
  }
  return priorities.size() > 1;
}

std::optional<duration> ShedByPriority(gateway_state& state, call& request) {
  if (request.admission_decided || request.attempts > 0) return std::nullopt;
  request.admission_decided = true;
  // A caller that resumes an interrupted stream has been accepted before.
  if (!request.incoming.last_event_id.empty()) return std::nullopt;
  const catalog::service* service = catalog::FindService(*request.configuration, request.service);
  if (service == nullptr || !IsControlled(state, request)) return std::nullopt;
  const time_point now = MonotonicNow();
  admission::overload_control& control = state.overload[request.service];
  if (NeedsSample(control, now)) {
    RecordFullness(control,
                   service->pipelined ? SampleEngines(state, request, *service, now)
                                      : SamplePlain(state, request.service, now),
                   now);
  }
  const admission::overload_verdict verdict = DecideOverload(control,
                                                             {.priority = request.priority,
                                                              .workspace = request.workspace,
                                                              .work = 1,
                                                              .time_left = request.due - now},
                                                             now, state.rng);
  LogState(state, request.service, control, now);
  request.admitted = verdict.reason == admission::overload_reason::kAccepted;
  if (request.admitted) return std::nullopt;
  CountShed(state.metrics, std::clamp(request.priority, 0, kMaxLabelledPriority),
            ToString(verdict.reason));
  return verdict.retry_after;
}

duration RoomRetryAfter(gateway_state& state, const call& request) {
  const admission::overload_control* control = FindControl(state, request);
  if (!request.admitted || control == nullptr) return RandomRetryAfter(state);
  const time_point now = MonotonicNow();
  return RetryAfter(*control, request.priority, request.due - now, now, state.rng);
}

void RecordOverloaded(gateway_state& state, call& request) {
  RecordResultOnce(state, request, true);
}

void RecordFirstOutput(gateway_state& state, call& request) {
  const duration goal = request.route->latency_goal;
  // Later attempts are late because of a fault.
  if (request.attempts > 1 || goal <= duration::zero()) return;
  if (request.first_output > goal) RecordOverloaded(state, request);
}

void RecordPause(gateway_state& state, call& request, duration pause) {
  const duration goal = request.route->event_gap_goal;
  if (request.attempts > 1 || goal <= duration::zero()) return;
  if (pause > goal && pause <= kMaxLoadPause) RecordOverloaded(state, request);
}

void RecordServed(gateway_state& state, call& request) {
  const duration goal = request.route->latency_goal;
  const bool late = !request.route->streamed && goal > duration::zero() && request.attempts == 1 &&
                    MonotonicNow() - request.arrived > goal;
  RecordResultOnce(state, request, late);
}

void RecordEndOfCall(gateway_state& state, call& request) {
  if (!request.admitted) return;
  admission::overload_control* control = FindControl(state, request);
  if (control != nullptr) RecordEnd(*control, MonotonicNow());
  request.admitted = false;
}

}  // namespace balsambay::gateway
