// Life of requests.
#include "details/calls.h"

#include <algorithm>
#include <array>

#include "details/attempt.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Bytes buffered for a slow caller before reading from the endpoint stops.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
// A further attempt that would begin later than this before the deadline cannot succeed.
constexpr duration kLeastTimeLeft = 20ms;
// Callers that were refused for want of room return spread over this time: the first requests in
// progress end within it.
constexpr duration kRoomRetryAfter = 600ms;
constexpr duration kRoomRetrySpread = 1400ms;
// An endpoint that is missing is back or replaced after about this time.
constexpr duration kEndpointRetryAfter = 1000ms;
// Spread of callers over the time after an endpoint's own pause.
constexpr duration kRefusalRetrySpread = 200ms;
constexpr duration kStartRetryAfter = 500ms;
// Limits of age after which a copy of the configuration no longer counts as current: one for the
// check and one for its answer.
constexpr int kCurrentLimits = 2;
// An idempotent plain call is tried elsewhere when the endpoint has not answered by then; multiples
// of the route's latency goal.
constexpr double kTryGoalParts = 1.0;
constexpr duration kLeastTryTime = 100ms;
// A refusal counts against an endpoint for this long; by then the platform's list or a report tells
// why.
constexpr duration kRefusalHold = 700ms;
// Refusals are proofs that nothing ran, so a request may meet a few.
constexpr int kMaxSends = 5;

// An engine is suspected when at least this part of the requests through it has stalled: those that
// only share a path with a lost engine also run requests that go on.
constexpr double kSuspectPart = 0.8;
// Each check costs a connection. Enough for all engines of a path at once: the one that is lost
// shows by its silence while the others answer.
constexpr size_t kMaxChecksPerTick = 14;

// Requests of this gateway through one engine.
struct suspicion {
  int calls = 0;
  int stalled = 0;
};

// Requests move off an endpoint that leaves before it ends, which is 2 s after its notice or later.
// By then most have ended, or another engine holds its layers, so that they move in place.
constexpr duration kMoveLatest = 1800ms;
constexpr duration kMoveRetry = 150ms;

// Time between two looks of a request that waits for the quarantine.
constexpr duration kHoldStep = 25ms;

// Longest pause in a stream after which it is still worth continuing it, and the time between two
// looks for an endpoint that can.
constexpr duration kLongestPause = 1500ms;
constexpr duration kEndpointWaitStep = 100ms;

struct refusal {
  int status = 503;
  std::string_view reason;
  duration retry_after{0};  // 0: none
};

std::string RetryAfterText(duration value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", Seconds(value));
  return text.data();
}

void Answer(gateway_state& state, const net::exchange_ptr& exchange, int status,
            std::vector<net::header> headers, std::string_view body) {
  if (state.unready) headers.push_back({"Connection", "close"});
  exchange->Respond(status, headers, body);
}

void SendRefusal(gateway_state& state, const net::exchange_ptr& exchange, const refusal& why) {
  CountRefusal(state.metrics, why.reason);
  std::vector<net::header> headers = {{"Content-Type", "text/plain"}};
  if (why.retry_after > duration::zero()) {
    headers.push_back({"Retry-After", RetryAfterText(why.retry_after)});
  }
  Answer(state, exchange, why.status, std::move(headers), std::string(why.reason) + "\n");
}

uint64_t VersionInForce(const gateway_state& state) {
  return state.configuration ? state.configuration->content.version : 0;
}

// For requests that never reached the choice of an endpoint.
void Refuse(gateway_state& state, const net::exchange_ptr& exchange, std::string_view request_id,
            const refusal& why) {
  log::Log(log::level::kInfo, "request refused",
           {{"request", request_id},
            {"status", why.status},
            {"reason", why.reason},
            {"version", VersionInForce(state)},
            {"version_current", state.configuration_fed}});
  SendRefusal(state, exchange, why);
}

// Whether newer versions would be known. With many gateways most of them hear of changes from those
// that follow the table, so the age of what they know decides.
bool IsConfigurationCurrent(const gateway_state& state) {
  if (state.topology.exact) return state.configuration_fed;
  const freshness& item = state.feeds.at(static_cast<size_t>(feed::kConfiguration));
  return MonotonicNow() - item.confirmed_at < kCurrentLimits * item.limit;
}

// A route or key that is not known may belong to a version that could not be read yet.
void RefuseUnknown(gateway_state& state, const net::exchange_ptr& exchange, std::string_view id,
                   const refusal& why) {
  if (IsConfigurationCurrent(state)) return Refuse(state, exchange, id, why);
  Refuse(state, exchange, id, {503, "configuration_outdated", kStartRetryAfter});
}

void Retire(gateway_state& state, const call_ptr& item) {
  CloseAttempt(state, *item);
  item->held = false;
  Cancel(state.loop.Timers(), item->try_timer);
  Cancel(state.loop.Timers(), item->due_timer);
  item->exchange->on_hangup = nullptr;
  item->exchange->on_drained = nullptr;
  state.calls.erase(item->number);
  CheckStopped(state);
}

// Final answer without an endpoint's answer. A reply that has begun is cut, so that it does not
// look complete.
void GiveUp(gateway_state& state, const call_ptr& item, refusal why) {
  if (item->streaming) {
    metrics::Increment(state.metrics.registry, state.metrics.broken_off);
    log::Log(log::level::kWarning, "stream cut",
             {{"request", item->incoming.id},
              {"reason", why.reason},
              {"events", item->events.events},
              {"attempt", item->attempt}});
    item->exchange->Abort();
    return Retire(state, item);
  }
  if (item->may_have_run && why.status == 503) why.status = 502;
  if (item->may_have_run) why.retry_after = duration::zero();
  log::Log(log::level::kInfo, "request given up",
           {{"request", item->incoming.id},
            {"status", why.status},
            {"reason", why.reason},
            {"service", item->service},
            {"version", item->configuration->content.version},
            {"attempts", item->attempt},
            {"may_have_run", item->may_have_run},
            {"fingerprint", quarantine::ToString(item->fingerprint)},
            {"tokens", item->committed_tokens},
            {"age_ms", WholeMilliseconds(MonotonicNow() - item->arrived)},
            {"open_requests", state.calls.size()}});
  SendRefusal(state, item->exchange, why);
  Retire(state, item);
}

duration SpreadRetry(gateway_state& state) {
  return kRoomRetryAfter +
         duration(static_cast<duration::rep>(
             UniformUnit(state.rng) * static_cast<double>(duration(kRoomRetrySpread).count())));
}

// Coming back is of use when the quarantine ends.
void GiveUpQuarantined(gateway_state& state, const call_ptr& item) {
  const duration left = QuarantinedUntil(state, *item) - MonotonicNow();
  GiveUp(state, item, {.status = 503, .reason = "quarantined", .retry_after = left});
}

void Begin(gateway_state& state, const call_ptr& item);

// --- Outcomes of attempts.

// An answer that came whole but missed a goal of its route.
void LogIfLate(const call& item, time_point now) {
  const catalog::route& route = *item.route;
  const duration first = route.streamed ? item.first_output : now - item.arrived;
  const bool gap_late =
      route.event_gap_goal > duration::zero() && item.longest_gap > route.event_gap_goal;
  if (first <= route.latency_goal && !gap_late) return;
  log::Log(log::level::kInfo, "answer late",
           {{"request", item.incoming.id},
            {"service", item.service},
            {"first_ms", WholeMilliseconds(first)},
            {"gap_ms", WholeMilliseconds(item.longest_gap)},
            {"attempt", item.attempt},
            {"endpoint", item.path.front().endpoint_id},
            {"hops", item.path.size()}});
}

void OnAnswer(gateway_state& state, const call_ptr& item) {
  const time_point now = MonotonicNow();
  endpoint* target = FindEndpoint(state, item->path.front().endpoint_id);
  if (target != nullptr) RecordOutcome(*target, item->head.status >= 500, now);
  metrics::Increment(state.metrics.registry, state.metrics.completed);
  metrics::Observe(state.metrics.registry, state.metrics.duration_seconds,
                   Seconds(now - item->arrived));
  LogIfLate(*item, now);
  if (item->streaming) {
    item->exchange->End();
  } else {
    Answer(state, item->exchange, item->head.status, state.wire.reply_headers(item->head),
           item->reply_body);
  }
  const bool success = item->head.status >= 200 && item->head.status < 300;
  if (success) EndAttempt(state, *item, attempt_end::kAnswered);
  Retire(state, item);
}

void OnOutput(gateway_state& state, const call_ptr& item, std::string_view events) {
  const time_point now = MonotonicNow();
  if (item->streaming) item->longest_gap = std::max(item->longest_gap, now - item->last_output);
  item->last_output = now;
  if (!item->streaming) {
    item->streaming = true;
    item->first_output = now - item->arrived;
    metrics::Observe(state.metrics.registry, state.metrics.first_output_seconds,
                     Seconds(item->first_output));
    std::vector<net::header> headers = state.wire.reply_headers(item->head);
    if (state.unready) headers.push_back({"Connection", "close"});
    item->exchange->BeginStream(item->head.status, headers);
  }
  item->exchange->Write(events);
  if (item->exchange->PendingBytes() > kMaxPendingBytes) item->upstream->PauseReading();
}

bool IsIdempotent(const call& item) { return item.route->idempotent || item.route->resumable; }

// Whether a further attempt may be sent, and if not, which limit forbids it.
enum class permission : uint8_t {
  kGranted,
  kNoTime,
  kQuarantined,
  kMayHaveRun,
  kSendsUsed,
  kEndpointsUsed,
  kBudgetUsed,
};

std::string_view ToString(permission item) {
  constexpr std::array<std::string_view, 7> kNames = {
      "granted",    "no_time",        "quarantined", "may_have_run",
      "sends_used", "endpoints_used", "budget_used"};
  return kNames.at(static_cast<size_t>(item));
}

permission MayTryAgain(gateway_state& state, const call& item, attempt_failure failure,
                       bool pipelined, time_point now) {
  if (item.due - now < kLeastTimeLeft) return permission::kNoTime;
  if (IsQuarantined(state, item)) return permission::kQuarantined;
  if (item.may_have_run && !IsIdempotent(item)) return permission::kMayHaveRun;
  if (failure == attempt_failure::kNotSent) return permission::kGranted;
  if (item.sends >= kMaxSends) return permission::kSendsUsed;
  // A pipelined request may go through a head again with other engines behind it.
  const auto counted = static_cast<int>(CountedEndpoints(state, item).size());
  const bool sent_out = counted >= item.route->max_attempts;
  if (sent_out && !pipelined) return permission::kEndpointsUsed;
  const bool within = MayRepeat(state.budget, item.service, now);
  return within ? permission::kGranted : permission::kBudgetUsed;
}

// The inputs of MayTryAgain(), for a call that ends because of it.
void LogDenied(gateway_state& state, const call& item, permission why, time_point now) {
  metrics::Increment(state.metrics.registry, state.metrics.denied);
  const budget_use used = UseOf(state.budget, item.service, now);
  log::Log(log::level::kInfo, "further attempt denied",
           {{"request", item.incoming.id},
            {"limit", ToString(why)},
            {"sends", item.sends},
            {"endpoints", CountedEndpoints(state, item).size()},
            {"endpoints_allowed", item.route->max_attempts},
            {"repeats", used.repeats},
            {"repeats_allowed", used.allowed},
            {"left_ms", WholeMilliseconds(item.due - now)}});
}

void OnFailure(gateway_state& state, const call_ptr& item, attempt_failure failure) {
  const time_point now = MonotonicNow();
  const std::string target_id = item->path.front().endpoint_id;
  std::string fault_id = target_id;
  if (endpoint* named = FindByAddress(state, item->facts.fault_address)) {
    fault_id = named->listed.id;
  }
  // Otherwise the endpoint or the connection ended it.
  const bool ended_by_gateway =
      failure == attempt_failure::kMoved || failure == attempt_failure::kStalled;
  log::Log(log::level::kInfo, "attempt failed",
           {{"request", item->incoming.id},
            {"fingerprint", quarantine::ToString(item->fingerprint)},
            {"attempt", item->attempt},
            {"endpoint", target_id},
            {"fault", fault_id},
            {"reason", ToString(failure)},
            {"status", item->head.status},
            {"events", item->events.events},
            {"ended_by_gateway", ended_by_gateway},
            {"silent_ms", WholeMilliseconds(now - item->last_progress)}});
  if (ended_by_gateway) CountEndedRunning(state.metrics, ToString(failure));
  endpoint* target = FindEndpoint(state, target_id);
  endpoint* fault = FindEndpoint(state, fault_id);
  if (failure != attempt_failure::kNotSent) ++item->sends;
  const bool pipelined = item->path.front().range.Size() > 0;
  if (failure != attempt_failure::kNotSent && target != nullptr) {
    item->reached[target_id] = target->listed.incarnation;
  }
  if (fault != nullptr && failure == attempt_failure::kNotExecuted && pipelined) {
    fault->refused_until = std::max(fault->refused_until, now + kRefusalHold);
  }
  if (failure == attempt_failure::kBroken || failure == attempt_failure::kStalled ||
      failure == attempt_failure::kFailed || failure == attempt_failure::kMoved) {
    item->may_have_run = true;
  }
  const bool blamed =
      failure != attempt_failure::kNotExecuted && failure != attempt_failure::kMoved;
  if (target != nullptr && blamed) RecordOutcome(*target, true, now);
  if (failure != attempt_failure::kMoved) item->avoided.insert(fault_id);
  // An answer of the endpoint is passed on when there is no better one to be had.
  const bool has_answer = failure == attempt_failure::kFailed && !item->streaming;
  const net::reply_head head = item->head;
  const std::string body = item->reply_body;
  const bool overloaded = failure == attempt_failure::kNotExecuted && item->head.status != 421;
  if (item->cut && target != nullptr) NoteBroken(state, *item, *target);
  CloseAttempt(state, *item);
  if (fault != nullptr && failure == attempt_failure::kNotSent && !pipelined) {
    MarkDown(state, *fault, "cannot be reached");
  } else if (fault != nullptr && failure == attempt_failure::kNotSent) {
    AskEndpoint(state, *fault, "cannot be reached");
  } else if (fault != nullptr && pipelined &&
             (failure == attempt_failure::kBroken || failure == attempt_failure::kNotExecuted)) {
    AskEndpoint(state, *fault, failure == attempt_failure::kNotExecuted ? "refused" : "broke off");
  }
  if (!state.calls.contains(item->number)) return;
  const permission allowed = MayTryAgain(state, *item, failure, pipelined, now);
  if (allowed == permission::kGranted) {
    if (failure != attempt_failure::kNotSent) CountRepeat(state.budget, item->service, now);
    CountRetry(state.metrics, ToString(failure));
    return Begin(state, item);
  }
  LogDenied(state, *item, allowed, now);
  if (has_answer) {
    metrics::Increment(state.metrics.registry, state.metrics.completed);
    Answer(state, item->exchange, head.status, state.wire.reply_headers(head), body);
    return Retire(state, item);
  }
  if (IsQuarantined(state, *item)) return GiveUpQuarantined(state, item);
  GiveUp(state, item,
         {.status = 503,
          .reason = overloaded ? "endpoint_full" : "endpoint_failed",
          .retry_after = SpreadRetry(state)});
}

void OnRerouteFailed(gateway_state& state, const call_ptr& item);

constexpr attempt_events kEvents{OnAnswer, OnFailure, OnOutput, OnRerouteFailed};

// Begins the open attempt anew elsewhere. False when the request may not be sent again; the attempt
// then goes on, since an engine that seemed lost may only be slow.
bool Restart(gateway_state& state, const call_ptr& item, attempt_failure why) {
  if (!IsIdempotent(*item)) return false;
  const permission allowed = MayTryAgain(state, *item, why, true, MonotonicNow());
  if (allowed != permission::kGranted) return false;
  if (!MayStartElsewhere(state, *item)) return false;
  OnFailure(state, item, why);
  return true;
}

// Whether an engine of the open path cannot serve any more. One that only leaves still does.
bool HasLostPart(gateway_state& state, const call& item) {
  return std::ranges::any_of(item.path, [&](const call_hop& part) {
    const endpoint* engine = FindEndpoint(state, part.endpoint_id);
    return engine == nullptr || engine->down;
  });
}

void OnRerouteFailed(gateway_state& state, const call_ptr& item) {
  if (HasLostPart(state, *item)) Restart(state, item, attempt_failure::kMoved);
}

// Takes a request off an engine of its path. `last_chance`: also by ways that delay it.
void MoveOff(gateway_state& state, const call_ptr& item, const std::string& endpoint_id,
             bool last_chance, attempt_failure why) {
  const bool is_head = item->path.front().endpoint_id == endpoint_id;
  if (IsQuarantined(state, *item)) return;  // about to be ended
  if (!is_head && Reroute(state, item, false, kEvents)) return;
  if (!last_chance || Restart(state, item, why) || is_head) return;
  Reroute(state, item, true, kEvents);
}

void WatchTry(gateway_state& state, const call_ptr& item) {
  if (item->path.front().range.Size() > 0 || !item->route->idempotent) return;
  const auto counted = static_cast<int>(CountedEndpoints(state, *item).size());
  if (counted + 1 >= item->route->max_attempts) return;
  const duration goal(static_cast<duration::rep>(
      kTryGoalParts * static_cast<double>(item->route->latency_goal.count())));
  const std::weak_ptr<call> weak = item;
  item->try_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + std::max<duration>(goal, kLeastTryTime),
                [&state, weak, attempt = item->attempt](time_point) {
                  const call_ptr held = weak.lock();
                  if (!held || !held->upstream || held->attempt != attempt) return;
                  OnFailure(state, held, attempt_failure::kStalled);
                });
}

// A stream that has begun cannot be refused any more, so it waits a little for an endpoint: layers
// come back within about a second, and callers bear a pause of two.
bool WaitForEndpoint(gateway_state& state, const call_ptr& item) {
  const time_point now = MonotonicNow();
  if (!item->streaming || now - item->last_output > kLongestPause) return false;
  const std::weak_ptr<call> weak = item;
  item->try_timer =
      Subscribe(state.loop.Timers(), now + kEndpointWaitStep, [&state, weak](time_point) {
        const call_ptr held = weak.lock();
        if (!held || held->upstream) return;
        // What failed may have recovered, and there is nothing else to wait for.
        held->avoided.clear();
        Begin(state, held);
      });
  return true;
}

// When all endpoints have asked not to be called for a while, callers come back after the first of
// these pauses, spread a little so that they do not all come at once.
duration EndpointRetryAfter(gateway_state& state, const call& item) {
  const time_point now = MonotonicNow();
  const auto next = NextRoom(state, item.service, now);
  if (!next) return kEndpointRetryAfter;
  const auto spread = static_cast<duration::rep>(
      UniformUnit(state.rng) * static_cast<double>(duration(kRefusalRetrySpread).count()));
  return *next - now + duration(spread);
}

// Tries again at `when`, or before if the quarantine finds something.
void Hold(gateway_state& state, const call_ptr& item, time_point when) {
  item->held = true;
  const std::weak_ptr<call> weak = item;
  item->try_timer = Subscribe(state.loop.Timers(), when, [&state, weak](time_point) {
    const call_ptr held = weak.lock();
    if (held && held->held) Begin(state, held);
  });
}

void Begin(gateway_state& state, const call_ptr& item) {
  item->held = false;
  const time_point now = MonotonicNow();
  const quarantine::decision decided = AskToRun(state, *item);
  if (decided.answer == quarantine::verdict::kRefuse) return GiveUpQuarantined(state, item);
  if (decided.answer == quarantine::verdict::kHold) {
    return Hold(state, item, std::max(decided.until, now + kHoldStep));
  }
  item->suspect = decided.answer == quarantine::verdict::kAllowAlone;
  const start_result started = StartAttempt(state, item, kEvents);
  if (started == start_result::kStarted) return WatchTry(state, item);
  EndAttempt(state, *item, attempt_end::kClosed);
  switch (started) {
    case start_result::kStarted:
      return;
    case start_result::kNoneApart:
      return Hold(state, item, now + kHoldStep);
    case start_result::kNoRoom:
      if (WaitForEndpoint(state, item)) return;
      return GiveUp(state, item, {503, "no_room", SpreadRetry(state)});
    case start_result::kNoEndpoint:
      if (WaitForEndpoint(state, item)) return;
      return GiveUp(state, item, {503, "no_endpoint", EndpointRetryAfter(state, *item)});
  }
}

void OnDue(gateway_state& state, const call_ptr& item) {
  if (item->upstream) item->may_have_run = true;
  GiveUp(state, item, {.status = item->may_have_run ? 504 : 503, .reason = "deadline"});
}

void OnHangup(gateway_state& state, const call_ptr& item) {
  metrics::Increment(state.metrics.registry, state.metrics.hung_up);
  log::Log(log::level::kDebug, "caller hung up",
           {{"request", item->incoming.id}, {"events", item->events.events}});
  Retire(state, item);
}

void Register(gateway_state& state, const call_ptr& item) {
  state.calls[item->number] = item;
  metrics::Increment(state.metrics.registry, state.metrics.accepted);
  const std::weak_ptr<call> weak = item;
  item->exchange->on_hangup = [&state, weak] {
    if (const call_ptr held = weak.lock()) OnHangup(state, held);
  };
  item->exchange->on_drained = [weak] {
    const call_ptr held = weak.lock();
    if (held && held->upstream) held->upstream->ResumeReading();
  };
  item->due_timer = Subscribe(state.loop.Timers(), item->due, [&state, weak](time_point) {
    if (const call_ptr held = weak.lock()) OnDue(state, held);
  });
}

bool HasPart(const call& item, std::string_view endpoint_id) {
  return std::ranges::find(item.path, endpoint_id, &call_hop::endpoint_id) != item.path.end();
}

// An endpoint that leaves goes on serving for a while. Most requests end in that time; the others
// move one after the other, since those that move together wait for each other.
void MoveLater(gateway_state& state, const call_ptr& item, const std::string& endpoint_id,
               time_point latest) {
  const time_point now = MonotonicNow();
  const duration spread = std::max<duration>(latest - now, kMoveRetry);
  const duration delay = std::min<duration>(
      kMoveRetry + duration(static_cast<duration::rep>(UniformUnit(state.rng) *
                                                       static_cast<double>(spread.count()) / 2)),
      spread);
  const std::weak_ptr<call> weak = item;
  Subscribe(state.loop.Timers(), now + delay, [&state, weak, endpoint_id, latest](time_point at) {
    const call_ptr held = weak.lock();
    if (!held || !held->upstream || !HasPart(*held, endpoint_id)) return;
    const bool last_chance = at + kMoveRetry >= latest;
    MoveOff(state, held, endpoint_id, last_chance, attempt_failure::kMoved);
    // The order to move may still be refused.
    if (!last_chance) MoveLater(state, held, endpoint_id, latest);
  });
}

}  // namespace

void AcceptCall(gateway_state& state, const net::exchange_ptr& exchange) {
  auto item = std::make_shared<call>();
  item->incoming = state.wire.read_call(*exchange);
  const std::string& id = item->incoming.id;
  if (state.draining) return Refuse(state, exchange, id, {503, "stopping", kStartRetryAfter});
  if (!state.configuration || !state.endpoints_known) {
    return Refuse(state, exchange, id, {503, "not_ready", kStartRetryAfter});
  }
  item->configuration = state.configuration;
  item->route = catalog::FindRoute(*item->configuration, item->incoming.host, item->incoming.path);
  if (item->route == nullptr) return RefuseUnknown(state, exchange, id, {404, "unknown_route"});
  item->priority = item->route->priority;
  if (!item->configuration->content.workspaces.empty() && !item->route->anonymous) {
    const catalog::workspace* owner =
        catalog::FindWorkspace(*item->configuration, item->incoming.key);
    if (owner == nullptr) return RefuseUnknown(state, exchange, id, {401, "unknown_key"});
    item->workspace = owner->name;
    item->priority = owner->priority.value_or(item->priority);
  }
  item->number = state.next_call++;
  item->exchange = exchange;
  item->body = exchange->Body();
  item->service = catalog::PickTarget(*item->route, UniformUnit(state.rng)).service;
  item->arrived = MonotonicNow();
  item->due = item->arrived + item->route->timeout;
  if (item->incoming.time_left) {
    item->due = std::min(item->due, item->arrived + *item->incoming.time_left);
  }
  item->fingerprint = FingerprintOf(*item);
  CountRequest(state.budget, item->service, item->arrived);
  Register(state, item);
  Begin(state, item);
}

void MoveCallsOff(gateway_state& state, const std::string& endpoint_id, bool lost) {
  const time_point now = MonotonicNow();
  std::vector<call_ptr> affected;
  for (const auto& [number, item] : state.calls) {
    if (item->upstream && HasPart(*item, endpoint_id)) affected.push_back(item);
  }
  for (const call_ptr& item : affected) {
    if (!item->upstream || !HasPart(*item, endpoint_id)) continue;
    if (item->path.front().range.Size() == 0) continue;
    if (lost) {
      MoveOff(state, item, endpoint_id, true, attempt_failure::kStalled);
    } else {
      MoveLater(state, item, endpoint_id, now + kMoveLatest);
    }
  }
}

namespace {

std::vector<call_ptr> CallsLike(const gateway_state& state, const quarantine::fingerprint& key) {
  std::vector<call_ptr> out;
  for (const auto& [number, item] : state.calls) {
    if (item->fingerprint == key) out.push_back(item);
  }
  return out;
}

}  // namespace

void EndQuarantined(gateway_state& state, const quarantine::fingerprint& key) {
  for (const call_ptr& item : CallsLike(state, key)) {
    if (!IsQuarantined(state, *item)) return;
    if (item->upstream && HasShownProgress(*item)) continue;
    if (item->upstream) item->may_have_run = true;
    GiveUpQuarantined(state, item);
  }
}

void ResumeHeld(gateway_state& state, const quarantine::fingerprint& key) {
  for (const call_ptr& item : CallsLike(state, key)) {
    if (!item->held) continue;
    Cancel(state.loop.Timers(), item->try_timer);
    Begin(state, item);
  }
}

void CheckProgress(gateway_state& state) {
  const time_point now = MonotonicNow();
  std::map<std::string_view, suspicion> seen;
  for (const auto& [number, item] : state.calls) {
    if (!item->upstream || item->path.front().range.Size() == 0 || item->rerouting) continue;
    const duration patience = Patience(item->progressed ? state.pace.gap : state.pace.first);
    const bool stalled = now - item->last_progress >= patience;
    for (const call_hop& part : item->path) {
      suspicion& entry = seen[part.endpoint_id];
      ++entry.calls;
      if (stalled) ++entry.stalled;
    }
  }
  std::vector<std::pair<std::string_view, suspicion>> suspects;
  std::ranges::copy_if(seen, std::back_inserter(suspects), [&](const auto& entry) {
    const suspicion& counts = entry.second;
    if (counts.stalled == 0 || counts.stalled < kSuspectPart * counts.calls) return false;
    const endpoint* suspect = FindEndpoint(state, entry.first);
    return suspect != nullptr && MayAsk(*suspect, now);
  });
  std::ranges::stable_sort(suspects, std::greater<>(),
                           [](const auto& entry) { return entry.second.stalled; });
  if (suspects.size() > kMaxChecksPerTick) suspects.resize(kMaxChecksPerTick);
  for (const auto& [id, counts] : suspects) {
    endpoint* suspect = FindEndpoint(state, id);
    if (suspect != nullptr) AskEndpoint(state, *suspect, kNoProgress);
  }
}

int CutCalls(gateway_state& state) {
  std::vector<call_ptr> open;
  std::ranges::transform(state.calls, std::back_inserter(open),
                         [](const auto& entry) { return entry.second; });
  for (const call_ptr& item : open) {
    item->may_have_run = item->may_have_run || item->upstream != nullptr;
    GiveUp(state, item, {.status = 503, .reason = "stopping", .retry_after = kStartRetryAfter});
  }
  return static_cast<int>(open.size());
}

void CheckStopped(gateway_state& state) {
  if (!state.draining || !state.calls.empty() || !state.on_stopped) return;
  const auto on_stopped = std::exchange(state.on_stopped, nullptr);
  // The last reply is still being written.
  Subscribe(state.loop.Timers(), MonotonicNow() + 200ms,
            [on_stopped](time_point) { on_stopped(0); });
}

}  // namespace balsambay::gateway
