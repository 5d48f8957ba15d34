// Life of requests.
#include "details/calls.h"

#include <algorithm>
#include <array>

#include "details/attempt.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "details/replacement.h"
#include "details/retries.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Bytes buffered for a slow caller before reading from the endpoint stops.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
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
// Status of an endpoint that is not the one that was meant.
constexpr int kWrongEndpoint = 421;
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
// that follow the table, so the age of what they know decides, and whether others know more.
bool IsConfigurationCurrent(const gateway_state& state) {
  if (state.topology.exact) return state.configuration_fed;
  const freshness& item = state.feeds.at(static_cast<size_t>(feed::kConfiguration));
  return KnownElsewhere(item) == 0 &&
         Age(item, state.store_clock, MonotonicNow()) < kCurrentLimits * item.limit;
}

// A route or key that is not known may belong to a version that could not be read yet.
void RefuseUnknown(gateway_state& state, const net::exchange_ptr& exchange, std::string_view id,
                   const refusal& why) {
  if (IsConfigurationCurrent(state)) return Refuse(state, exchange, id, why);
  if (!state.topology.exact) CheckFeedNow(state, feed::kConfiguration, "a request is not known");
  Refuse(state, exchange, id, {503, "configuration_outdated", kStartRetryAfter});
}

void Retire(gateway_state& state, const call_ptr& item) {
  if (item->open) EndAttempt(state, *item, attempt_end::kClosed);
  for (const attempt_ptr& sent : {item->open, item->successor}) {
    if (sent) CloseAttempt(state, *sent);
  }
  item->open = item->successor = nullptr;
  item->held = false;
  Cancel(state.loop.Timers(), item->try_timer);
  Cancel(state.loop.Timers(), item->lost_timer);
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
              {"attempt", item->attempts}});
    if (item->open) item->exchange->Write(item->open->withheld);
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
            {"attempts", item->attempts},
            {"may_have_run", item->may_have_run},
            {"fingerprint", quarantine::ToString(item->fingerprint)},
            {"tokens", item->open ? item->open->committed_tokens : 0},
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
            {"attempt", item.open->number},
            {"endpoint", item.open->path.front().endpoint_id},
            {"hops", item.open->path.size()}});
}

void OnAnswer(gateway_state& state, const call_ptr& item, const attempt_ptr& from) {
  const time_point now = MonotonicNow();
  if (from == item->successor) TakeOver(state, item);
  if (item->successor) DropSuccessor(state, item, "answered");
  endpoint* target = FindEndpoint(state, from->path.front().endpoint_id);
  if (target != nullptr) RecordOutcome(*target, from->head.status >= 500, now);
  metrics::Increment(state.metrics.registry, state.metrics.completed);
  metrics::Observe(state.metrics.registry, state.metrics.duration_seconds,
                   Seconds(now - item->arrived));
  LogIfLate(*item, now);
  if (item->streaming) {
    AddStreamLength(state.pace, item->events.events);
    item->exchange->End();
  } else {
    Answer(state, item->exchange, from->head.status, state.wire.reply_headers(from->head),
           from->reply_body);
  }
  const bool success = from->head.status >= 200 && from->head.status < 300;
  if (success) EndAttempt(state, *item, attempt_end::kAnswered);
  Retire(state, item);
}

void OnOutput(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
              std::string_view events) {
  if (from == item->successor) {
    TakeOver(state, item);
  } else if (item->successor && MustWithhold(*item, MonotonicNow())) {
    from->withheld += events;
    if (from->withheld.size() > kMaxPendingBytes) from->upstream->PauseReading();
    return;
  } else if (item->successor) {
    from->withheld += events;
    return DropSuccessor(state, item, "open attempt goes on");
  }
  PassOn(state, item, events);
  NoteOutput(state, *item);
}

// What a failed attempt says about its endpoints and the request.
struct failed_attempt {
  attempt_failure failure = attempt_failure::kBroken;
  std::string endpoint_id;
  std::string fault_id;  // of the engine that caused it, as far as it is known
};

void LogFailure(const gateway_state& state, const call& item, const attempt& from,
                const failed_attempt& what, time_point now) {
  log::Log(log::level::kInfo, "attempt failed",
           {{"request", item.incoming.id},
            {"fingerprint", quarantine::ToString(item.fingerprint)},
            {"attempt", from.number},
            {"successor", &from == item.successor.get()},
            {"endpoint", what.endpoint_id},
            {"fault", what.fault_id},
            {"reason", ToString(what.failure)},
            {"status", from.head.status},
            {"events", item.events.events},
            {"silent_ms", WholeMilliseconds(now - from.last_progress)},
            {"list_version", EndpointListVersion(state)},
            {"list_age_ms", WholeMilliseconds(EndpointListAge(state, now))}});
}

failed_attempt NoteFailure(gateway_state& state, call& item, const attempt& from,
                           attempt_failure failure, time_point now) {
  failed_attempt out{failure, from.path.front().endpoint_id, from.path.front().endpoint_id};
  if (const endpoint* named = FindByAddress(state, from.facts.fault_address)) {
    out.fault_id = named->listed.id;
  }
  LogFailure(state, item, from, out, now);
  if (failure == attempt_failure::kNotSent) {
    --item.sends;
    if (from.first_there) item.reached.erase(out.endpoint_id);
  } else if (failure != attempt_failure::kNotExecuted) {
    item.may_have_run = true;
  }
  item.avoided.insert(out.fault_id);
  // An endpoint that has left the list breaks its connections when it ends.
  if (from.cut || failure == attempt_failure::kNotSent) state.unlisted.erase(out.endpoint_id);
  endpoint* fault = FindEndpoint(state, out.fault_id);
  if (fault != nullptr && failure == attempt_failure::kNotExecuted && IsPipelined(from)) {
    fault->refused_until = std::max(fault->refused_until, now + kRefusalHold);
  }
  endpoint* target = FindEndpoint(state, out.endpoint_id);
  if (target != nullptr && failure != attempt_failure::kNotExecuted) {
    RecordOutcome(*target, true, now);
  }
  return out;
}

// Finds out about the endpoint that caused a failure. May move requests off it.
void ExamineFault(gateway_state& state, const failed_attempt& what, bool pipelined) {
  endpoint* fault = FindEndpoint(state, what.fault_id);
  if (fault == nullptr) return;
  if (what.failure == attempt_failure::kNotSent && !pipelined) {
    MarkDown(state, *fault, "cannot be reached", loss_evidence::kProof);
  } else if (what.failure == attempt_failure::kNotSent) {
    AskEndpoint(state, *fault, "cannot be reached");
  } else if (pipelined && what.failure == attempt_failure::kBroken) {
    AskEndpoint(state, *fault, "broke off");
  } else if (pipelined && what.failure == attempt_failure::kNotExecuted) {
    AskEndpoint(state, *fault, "refused");
  }
}

void ContinueLater(gateway_state& state, const call_ptr& item, const attempt_ptr& failed,
                   attempt_failure failure);

// After the last open attempt has failed.
void Continue(gateway_state& state, const call_ptr& item, const attempt_ptr& failed,
              attempt_failure failure) {
  const time_point now = MonotonicNow();
  const bool pipelined = IsPipelined(*failed);
  const permission allowed = MayRetry(state, *item, failure, pipelined, now);
  if (allowed == permission::kGranted) {
    if (failure != attempt_failure::kNotSent) CountRepeat(state.budget, item->service, now);
    CountRetry(state.metrics, ToString(failure));
    return Begin(state, item);
  }
  const bool bears_pause = item->streaming && now - item->last_output <= kLongestPause;
  if (allowed == permission::kBudgetUsed && bears_pause) {
    // Repeats that are older than the window make room.
    return ContinueLater(state, item, failed, failure);
  }
  LogRetryDenied(state, *item, allowed, now);
  // An answer of the endpoint is passed on when there is no better one to be had.
  if (failure == attempt_failure::kFailed && !item->streaming) {
    metrics::Increment(state.metrics.registry, state.metrics.completed);
    Answer(state, item->exchange, failed->head.status, state.wire.reply_headers(failed->head),
           failed->reply_body);
    return Retire(state, item);
  }
  if (IsQuarantined(state, *item)) return GiveUpQuarantined(state, item);
  const bool overloaded =
      failure == attempt_failure::kNotExecuted && failed->head.status != kWrongEndpoint;
  GiveUp(state, item,
         {.status = 503,
          .reason = overloaded ? "endpoint_full" : "endpoint_failed",
          .retry_after = SpreadRetry(state)});
}

void ContinueLater(gateway_state& state, const call_ptr& item, const attempt_ptr& failed,
                   attempt_failure failure) {
  const std::weak_ptr<call> weak = item;
  item->try_timer = Subscribe(state.loop.Timers(), MonotonicNow() + kEndpointWaitStep,
                              [&state, weak, failed, failure](time_point) {
                                const call_ptr held = weak.lock();
                                if (held && !held->open) Continue(state, held, failed, failure);
                              });
}

// The successor of an attempt that has failed goes on in its place, unless the quarantine is
// against it.
void Promote(gateway_state& state, const call_ptr& item) {
  item->open = std::exchange(item->successor, nullptr);
  item->withholding = false;
  if (AskAgain(state, item)) {
    PlaceAttempt(state, *item, item->open->path);
    return WatchTry(state, item);
  }
  item->may_have_run = true;
  const attempt_ptr ended = std::exchange(item->open, nullptr);
  CloseAttempt(state, *ended);
  // The next one is another repeat.
  Continue(state, item, ended, item->replaced_for);
}

void OnFailure(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
               attempt_failure failure) {
  const bool was_open = from == item->open;
  const failed_attempt what = NoteFailure(state, *item, *from, failure, MonotonicNow());
  endpoint* target = FindEndpoint(state, what.endpoint_id);
  if (from->cut && target != nullptr) {
    NoteBroken(state, *item, *target);
  } else {
    EndAttempt(state, *item, attempt_end::kClosed);
  }
  CloseAttempt(state, *from);
  (was_open ? item->open : item->successor) = nullptr;
  if (!was_open) {
    if (AskAgain(state, item)) PlaceAttempt(state, *item, item->open->path);
    GoOn(state, item, kRefusalHold);
    return ExamineFault(state, what, IsPipelined(*from));
  }
  Cancel(state.loop.Timers(), item->try_timer);
  if (item->successor) {
    Promote(state, item);
    return ExamineFault(state, what, IsPipelined(*from));
  }
  ExamineFault(state, what, IsPipelined(*from));
  if (state.calls.contains(item->number)) Continue(state, item, from, failure);
}

constexpr attempt_callbacks kEvents{OnAnswer, OnFailure, OnOutput, OnRerouteFailed};

// A stream that has begun cannot be refused any more, so it waits a little for an endpoint: layers
// come back within about a second, and callers bear a pause of two.
bool WaitForEndpoint(gateway_state& state, const call_ptr& item) {
  const time_point now = MonotonicNow();
  if (!item->streaming || now - item->last_output > kLongestPause) return false;
  const std::weak_ptr<call> weak = item;
  item->try_timer =
      Subscribe(state.loop.Timers(), now + kEndpointWaitStep, [&state, weak](time_point) {
        const call_ptr held = weak.lock();
        if (!held || held->open) return;
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
    case start_result::kNoIsolatedEngines:
      return Hold(state, item, now + kHoldStep);
    case start_result::kNoRoom:
      if (WaitForEndpoint(state, item)) return;
      return GiveUp(state, item, {503, "no_room", SpreadRetry(state)});
    case start_result::kTooSlow:
      return GiveUp(state, item, {503, "too_slow", SpreadRetry(state)});
    case start_result::kNoEndpoint:
      if (WaitForEndpoint(state, item)) return;
      return GiveUp(state, item, {503, "no_endpoint", EndpointRetryAfter(state, *item)});
  }
}

void OnDue(gateway_state& state, const call_ptr& item) {
  if (item->open) item->may_have_run = true;
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
    if (held && held->open) held->open->upstream->ResumeReading();
  };
  item->due_timer = Subscribe(state.loop.Timers(), item->due, [&state, weak](time_point) {
    if (const call_ptr held = weak.lock()) OnDue(state, held);
  });
}

}  // namespace

const attempt_callbacks& CallEvents() { return kEvents; }

void PassOn(gateway_state& state, const call_ptr& item, std::string_view events) {
  const time_point now = MonotonicNow();
  const attempt& from = *item->open;
  if (item->streaming) item->longest_gap = std::max(item->longest_gap, now - item->last_output);
  item->last_output = now;
  item->events = from.events;
  if (!item->streaming) {
    item->streaming = true;
    item->first_output = now - item->arrived;
    metrics::Observe(state.metrics.registry, state.metrics.first_output_seconds,
                     Seconds(item->first_output));
    std::vector<net::header> headers = state.wire.reply_headers(from.head);
    if (state.unready) headers.push_back({"Connection", "close"});
    item->exchange->BeginStream(from.head.status, headers);
  }
  item->exchange->Write(events);
  if (item->exchange->PendingBytes() > kMaxPendingBytes) from.upstream->PauseReading();
}

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
    if (HasShownProgress(*item)) continue;
    if (item->open) item->may_have_run = true;
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

int CutCalls(gateway_state& state) {
  std::vector<call_ptr> open;
  std::ranges::transform(state.calls, std::back_inserter(open),
                         [](const auto& entry) { return entry.second; });
  for (const call_ptr& item : open) {
    item->may_have_run = item->may_have_run || item->open != nullptr;
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
