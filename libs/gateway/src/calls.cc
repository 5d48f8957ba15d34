// Lifecycle of requests: acceptance, outcomes of attempts, retries and the final reply.
#include "details/calls.h"

#include <algorithm>
#include <array>

#include "details/attempt.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "details/overload.h"
#include "details/refusals.h"
#include "details/replacement.h"
#include "details/retries.h"
#include "details/stop_check.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Bytes that are buffered for a slow caller before reading from the endpoint pauses, and share of
// the common limit that all callers together may use. Reading pauses earlier with many requests.
constexpr size_t kMaxPendingBytes = size_t{256} * 1024;
constexpr size_t kPendingDivisor = 2;
constexpr duration kStartRetryAfter = 500ms;
// Callers that are refused because of a stop go to another gateway, which can take them at once.
constexpr duration kStopRetryAfter = 50ms;
// Age from which a copy of the configuration no longer counts as current, in multiples of
// `freshness::max_age`: one for the check and one for its reply.
constexpr int kMaxConfigurationAgeLimits = 2;
// HTTP 421 Misdirected Request: the reply is not from the intended endpoint.
constexpr int kMisdirectedRequest = 421;
// Interval at which a draining gateway checks whether all replies are written, and the time after
// that until it ends.
constexpr duration kIdleCheckInterval = 5ms;
constexpr duration kLastReplyTime = 200ms;
// Interval at which a request that waits for the quarantine or for other engines is tried again.
constexpr duration kHoldRetryInterval = 25ms;

// Time without output up to which an interrupted stream is still continued, and the interval at
// which an endpoint for it is looked for.
constexpr duration kMaxStreamGap = 1500ms;
constexpr duration kEndpointRetryInterval = 100ms;

uint64_t VersionInForce(const gateway_state& state) {
  return state.configuration ? state.configuration->content.version : 0;
}

// Refuses a request before an endpoint was chosen for it.
void Refuse(gateway_state& state, const net::exchange_ptr& exchange, std::string_view request_id,
            const refusal& refusal) {
  log::Log(log::level::kInfo, "request refused",
           {{"request", request_id},
            {"status", refusal.status},
            {"reason", refusal.reason},
            {"version", VersionInForce(state)},
            {"version_current", state.configuration_reachable}});
  SendRefusal(state, exchange, refusal);
}

// Whether a newer configuration would be known here. In a large installation most gateways receive
// changes from the few that read the table. There a copy is current if it was confirmed recently
// and no other gateway has announced a newer version.
bool IsConfigurationCurrent(const gateway_state& state) {
  if (state.topology.exact) return state.configuration_reachable;
  const freshness& configuration_feed = state.feeds.at(static_cast<size_t>(feed::kConfiguration));
  return NewestAnnouncedVersion(configuration_feed) == 0 &&
         Age(configuration_feed, state.store_clock, MonotonicNow()) <
             kMaxConfigurationAgeLimits * configuration_feed.max_age;
}

// Refuses a request with an unknown route or key. The route or key may be part of a version that
// this gateway has not received yet, so the caller is asked to retry while the copy is not current.
void RefuseUnknown(gateway_state& state, const net::exchange_ptr& exchange, std::string_view id,
                   const refusal& refusal) {
  if (IsConfigurationCurrent(state)) return Refuse(state, exchange, id, refusal);
  if (!state.topology.exact) CheckFeedNow(state, feed::kConfiguration, "a request is not known");
  Refuse(state, exchange, id, {503, "configuration_outdated", kStartRetryAfter});
}

// Ends a request after its final reply: closes its attempts and forgets it.
void Retire(gateway_state& state, const call_ptr& request) {
  const std::array<attempt_ptr, 2> attempts = {request->open, request->successor};
  for (const attempt_ptr& attempt : attempts) {
    if (attempt) RecordUnanswered(state, *request, *attempt);
  }
  if (request->open) EndAttempt(state, *request, attempt_end::kClosed);
  for (const attempt_ptr& attempt : attempts) {
    if (attempt) CloseAttempt(state, *attempt);
  }
  request->open = request->successor = nullptr;
  request->held = false;
  Cancel(state.loop.Timers(), request->retry_timer);
  Cancel(state.loop.Timers(), request->lost_timer);
  Cancel(state.loop.Timers(), request->due_timer);
  request->exchange->on_hangup = nullptr;
  request->exchange->on_drained = nullptr;
  RecordEndOfCall(state, *request);
  state.calls.erase(request->number);
  FinishStopIfIdle(state);
}

// Ends a request without a reply from an endpoint. The connection of a stream that has begun is
// aborted, so that the stream does not look complete.
void GiveUp(gateway_state& state, const call_ptr& request, refusal refusal) {
  if (request->streaming) {
    metrics::Increment(state.metrics.registry, state.metrics.truncated_replies);
    log::Log(log::level::kWarning, "stream cut",
             {{"request", request->incoming.id},
              {"reason", refusal.reason},
              {"events", request->events.events},
              {"attempt", request->attempts}});
    if (request->open) request->exchange->Write(request->open->withheld);
    request->exchange->Abort();
    return Retire(state, request);
  }
  if (request->may_have_run && refusal.status == 503) refusal.status = 502;
  if (request->may_have_run) refusal.retry_after = duration::zero();
  log::Log(log::level::kInfo, "request given up",
           {{"request", request->incoming.id},
            {"status", refusal.status},
            {"reason", refusal.reason},
            {"service", request->service},
            {"version", request->configuration->content.version},
            {"attempts", request->attempts},
            {"may_have_run", request->may_have_run},
            {"fingerprint", quarantine::ToString(request->fingerprint)},
            {"prompt_parts", PromptPartsText(*request)},
            {"quarantined_part", QuarantinedPart(state, *request)},
            {"tokens", request->open ? request->open->committed_tokens : 0},
            {"age_ms", WholeMilliseconds(MonotonicNow() - request->arrived)},
            {"open_requests", state.calls.size()}});
  SendRefusal(state, request->exchange, refusal);
  Retire(state, request);
}

// Refuses a quarantined request. A retry can succeed only after the quarantine has ended.
void GiveUpQuarantined(gateway_state& state, const call_ptr& request) {
  const duration time_left = QuarantinedUntil(state, *request) - MonotonicNow();
  GiveUp(state, request, {.status = 503, .reason = "quarantined", .retry_after = time_left});
}

void TryStart(gateway_state& state, const call_ptr& request);

// Refuses a request without an open attempt that cannot end before the gateway does. Another
// gateway can take it at once. Returns whether it was refused.
bool RefuseIfStopEndsFirst(gateway_state& state, const call_ptr& request) {
  const time_point now = MonotonicNow();
  const auto decision = CheckAgainstStop(state, *request, now);
  if (!decision || decision->verdict == stop_verdict::kFits) return false;
  RecordStopDecision(state, *request, *decision, now);
  GiveUp(state, request, {.status = 503, .reason = "stopping", .retry_after = kStopRetryAfter});
  return true;
}

size_t MaxPendingBytes(const gateway_state& state) {
  const size_t requests = std::max<size_t>(state.calls.size(), 1);
  return std::min(kMaxPendingBytes, state.reply_buffers->limit_bytes / kPendingDivisor / requests);
}

// --- Outcomes of attempts.

// Logs a complete reply that missed a latency goal of its route.
void LogMissedGoal(const call& request, time_point now) {
  const catalog::route& route = *request.route;
  const duration first = route.streamed ? request.first_output : now - request.arrived;
  const bool gap_late =
      route.event_gap_goal > duration::zero() && request.longest_gap > route.event_gap_goal;
  if (first <= route.latency_goal && !gap_late) return;
  log::Log(log::level::kInfo, "reply missed a latency goal",
           {{"request", request.incoming.id},
            {"service", request.service},
            {"first_ms", WholeMilliseconds(first)},
            {"gap_ms", WholeMilliseconds(request.longest_gap)},
            {"attempt", request.open->number},
            {"endpoint", request.open->path.front().endpoint_id},
            {"hops", request.open->path.size()}});
}

void OnReply(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt) {
  const time_point now = MonotonicNow();
  if (attempt == request->successor) PromoteSuccessor(state, request);
  if (request->successor) DropSuccessor(state, request, "answered");
  endpoint* target = FindEndpoint(state, attempt->path.front().endpoint_id);
  if (target != nullptr) RecordOutcome(*target, attempt->head.status >= 500, now);
  metrics::Increment(state.metrics.registry, state.metrics.completed);
  metrics::Observe(state.metrics.registry, state.metrics.duration_seconds,
                   Seconds(now - request->arrived));
  LogMissedGoal(*request, now);
  if (request->streaming) {
    AddStreamLength(state.pace, request->events.events);
    request->exchange->End();
  } else {
    // From here on, the bytes count as those of a reply that waits for its caller.
    attempt->buffer.reset();
    SendReply(state, request->exchange, attempt->head.status,
              state.wire.reply_headers(attempt->head), attempt->reply_body);
  }
  const bool success = attempt->head.status >= 200 && attempt->head.status < 300;
  if (success) EndAttempt(state, *request, attempt_end::kCompleted);
  if (success) RecordDuration(state, *request, now);
  if (success) RecordServed(state, *request);
  Retire(state, request);
}

void OnOutput(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
              std::string_view events) {
  if (attempt == request->successor) {
    PromoteSuccessor(state, request);
  } else if (request->successor && MustWithhold(*request, MonotonicNow())) {
    attempt->withheld += events;
    if (attempt->withheld.size() > MaxPendingBytes(state)) attempt->upstream->PauseReading();
    return;
  } else if (request->successor) {
    attempt->withheld += events;
    return DropSuccessor(state, request, "open attempt goes on");
  }
  ForwardToCaller(state, request, events);
  RecordProgress(state, *request);
}

// A failed attempt and the endpoints concerned.
struct attempt_fault {
  attempt_failure failure = attempt_failure::kBroken;
  std::string endpoint_id;  // to which the attempt was sent
  std::string faulty_id;    // engine that caused the failure; `endpoint_id` if none was named
};

void LogFailure(const gateway_state& state, const call& request, const attempt& attempt,
                const attempt_fault& fault, time_point now) {
  log::Log(log::level::kInfo, "attempt failed",
           {{"request", request.incoming.id},
            {"fingerprint", quarantine::ToString(request.fingerprint)},
            {"prompt_parts", PromptPartsText(request)},
            {"attempt", attempt.number},
            {"outputs", attempt.outputs},
            {"successor", &attempt == request.successor.get()},
            {"endpoint", fault.endpoint_id},
            {"fault", fault.faulty_id},
            {"reason", ToString(fault.failure)},
            {"detail", attempt.detail},
            {"status", attempt.head.status},
            {"events", request.events.events},
            {"silent_ms", WholeMilliseconds(now - attempt.last_progress)},
            {"no_socket", attempt.no_socket},
            {"list_version", EndpointListVersion(state)},
            {"list_age_ms", WholeMilliseconds(EndpointListAge(state, now))}});
}

// Records what the failure says about the request and its endpoints.
attempt_fault RecordFailure(gateway_state& state, call& request, const attempt& attempt,
                            attempt_failure failure, time_point now) {
  attempt_fault fault{failure, attempt.path.front().endpoint_id, attempt.path.front().endpoint_id};
  if (const endpoint* named = FindByAddress(state, attempt.facts.fault_address)) {
    fault.faulty_id = named->listed.id;
  }
  LogFailure(state, request, attempt, fault, now);
  if (failure == attempt_failure::kNotSent) {
    --request.sends;
    if (attempt.first_at_endpoint) request.reached.erase(fault.endpoint_id);
  } else if (failure != attempt_failure::kNotExecuted) {
    request.may_have_run = true;
  }
  // A lack of sockets says nothing about the endpoint.
  if (attempt.no_socket) return fault;
  request.avoided.insert(fault.faulty_id);
  // The connections of an endpoint break when it ends, so one that has left the list has ended now.
  if (attempt.cut || failure == attempt_failure::kNotSent) state.unlisted.erase(fault.endpoint_id);
  endpoint* faulty = FindEndpoint(state, fault.faulty_id);
  if (faulty != nullptr && failure == attempt_failure::kNotExecuted && IsPipelined(attempt)) {
    faulty->backoff_until = std::max(faulty->backoff_until, now + kRefusalBackoff);
  }
  endpoint* target = FindEndpoint(state, fault.endpoint_id);
  if (target != nullptr && failure != attempt_failure::kNotExecuted) {
    RecordOutcome(*target, true, now);
  }
  return fault;
}

// Marks the endpoint that caused a failure as down, or asks it for a report. May move requests off
// it.
void CheckFaultyEndpoint(gateway_state& state, const attempt_fault& fault, bool pipelined) {
  endpoint* faulty = FindEndpoint(state, fault.faulty_id);
  if (faulty == nullptr) return;
  if (fault.failure == attempt_failure::kNotSent && !pipelined) {
    MarkDown(state, *faulty, "cannot be reached", loss_evidence::kProof);
  } else if (fault.failure == attempt_failure::kNotSent) {
    RequestReport(state, *faulty, "cannot be reached");
  } else if (pipelined && fault.failure == attempt_failure::kBroken) {
    RequestReport(state, *faulty, "broke off");
  } else if (pipelined && fault.failure == attempt_failure::kNotExecuted) {
    RequestReport(state, *faulty, "refused");
  }
}

void RetryOrEndLater(gateway_state& state, const call_ptr& request, const attempt_ptr& failed,
                     attempt_failure failure);

// Starts another attempt, or ends the request if it may not be sent again. Call after an attempt
// has failed and no other one is open.
void RetryOrEnd(gateway_state& state, const call_ptr& request, const attempt_ptr& failed,
                attempt_failure failure) {
  const time_point now = MonotonicNow();
  const bool pipelined = IsPipelined(*failed);
  const retry_verdict allowed = MayRetry(state, *request, failure, pipelined, now);
  if (allowed == retry_verdict::kGranted) {
    if (failure != attempt_failure::kNotSent) CountRepeat(state.budget, request->service, now);
    CountRetry(state.metrics, ToString(failure));
    return TryStart(state, request);
  }
  const bool may_wait = request->streaming && now - request->last_output <= kMaxStreamGap;
  if (allowed == retry_verdict::kBudgetUsed && may_wait) {
    // The budget allows another repeat when earlier ones have left the window.
    return RetryOrEndLater(state, request, failed, failure);
  }
  LogRetryDenied(state, *request, allowed, now);
  // Without another attempt, the error reply of the endpoint is the best reply there is.
  if (failure == attempt_failure::kFailed && !request->streaming) {
    metrics::Increment(state.metrics.registry, state.metrics.completed);
    failed->buffer.reset();
    SendReply(state, request->exchange, failed->head.status, state.wire.reply_headers(failed->head),
              failed->reply_body);
    return Retire(state, request);
  }
  if (IsQuarantined(state, *request)) return GiveUpQuarantined(state, request);
  if (allowed == retry_verdict::kStopping && RefuseIfStopEndsFirst(state, request)) return;
  const bool overloaded =
      failure == attempt_failure::kNotExecuted && failed->head.status != kMisdirectedRequest;
  if (overloaded) RecordOverloaded(state, *request);
  GiveUp(state, request,
         {.status = 503,
          .reason = overloaded ? "endpoint_full" : "endpoint_failed",
          .retry_after = RoomRetryAfter(state, *request)});
}

void RetryOrEndLater(gateway_state& state, const call_ptr& request, const attempt_ptr& failed,
                     attempt_failure failure) {
  const std::weak_ptr<call> weak_request = request;
  request->retry_timer = Subscribe(state.loop.Timers(), MonotonicNow() + kEndpointRetryInterval,
                                   [&state, weak_request, failed, failure](time_point) {
                                     const call_ptr locked_request = weak_request.lock();
                                     if (locked_request && !locked_request->open) {
                                       RetryOrEnd(state, locked_request, failed, failure);
                                     }
                                   });
}

// Makes the successor of a failed attempt the open one, unless the quarantine forbids it.
void Promote(gateway_state& state, const call_ptr& request) {
  request->open = std::exchange(request->successor, nullptr);
  request->withholding = false;
  if (RegisterRun(state, request)) {
    RecordAttemptPath(state, *request, request->open->path);
    return StartHedgeTimer(state, request);
  }
  request->may_have_run = true;
  const attempt_ptr ended = std::exchange(request->open, nullptr);
  CloseAttempt(state, *ended);
  // A further attempt counts as another repeat.
  RetryOrEnd(state, request, ended, request->replaced_for);
}

bool WaitForEndpoint(gateway_state& state, const call_ptr& request);

// Ends a request that could not be sent because this process has no socket left. A stream that has
// begun waits instead, because sockets are soon free again.
void WaitOrRefuseWithoutSocket(gateway_state& state, const call_ptr& request) {
  if (WaitForEndpoint(state, request)) return;
  GiveUp(state, request,
         {.status = 503, .reason = "no_descriptors", .retry_after = RandomRetryAfter(state)});
}

void OnFailure(gateway_state& state, const call_ptr& request, const attempt_ptr& attempt,
               attempt_failure failure) {
  const bool was_open = attempt == request->open;
  const attempt_fault fault = RecordFailure(state, *request, *attempt, failure, MonotonicNow());
  endpoint* target = FindEndpoint(state, fault.endpoint_id);
  if (attempt->cut && target != nullptr) {
    OnConnectionBroken(state, *request, *target);
  } else {
    if (failure == attempt_failure::kStalled) RecordUnanswered(state, *request, *attempt);
    EndAttempt(state, *request, attempt_end::kClosed);
  }
  CloseAttempt(state, *attempt);
  (was_open ? request->open : request->successor) = nullptr;
  if (!was_open) {
    if (RegisterRun(state, request)) RecordAttemptPath(state, *request, request->open->path);
    ContinueOpenAttempt(state, request, kRefusalBackoff);
    if (attempt->no_socket) return;
    return CheckFaultyEndpoint(state, fault, IsPipelined(*attempt));
  }
  Cancel(state.loop.Timers(), request->retry_timer);
  if (request->successor) {
    Promote(state, request);
    if (attempt->no_socket) return;
    return CheckFaultyEndpoint(state, fault, IsPipelined(*attempt));
  }
  if (attempt->no_socket) return WaitOrRefuseWithoutSocket(state, request);
  CheckFaultyEndpoint(state, fault, IsPipelined(*attempt));
  if (state.calls.contains(request->number)) RetryOrEnd(state, request, attempt, failure);
}

constexpr attempt_callbacks kAttemptCallbacks{OnReply, OnFailure, OnOutput, OnRerouteFailed};

// Lets a stream that has begun wait for an endpoint, because it can no longer be refused. Layers of
// a lost engine are usually held by another one within about 1 s, and callers give up after 2 s
// without output. Returns whether the request waits.
bool WaitForEndpoint(gateway_state& state, const call_ptr& request) {
  const time_point now = MonotonicNow();
  if (!request->streaming || now - request->last_output > kMaxStreamGap) return false;
  const std::weak_ptr<call> weak_request = request;
  request->retry_timer = Subscribe(state.loop.Timers(), now + kEndpointRetryInterval,
                                   [&state, weak_request](time_point) {
                                     const call_ptr locked_request = weak_request.lock();
                                     if (!locked_request || locked_request->open) return;
                                     // Endpoints that failed may have recovered, and there is no
                                     // other to wait for.
                                     locked_request->avoided.clear();
                                     TryStart(state, locked_request);
                                   });
  return true;
}

// Holds the request until `when`, or until the quarantine decides on its fingerprint.
void Hold(gateway_state& state, const call_ptr& request, time_point when) {
  request->held = true;
  const std::weak_ptr<call> weak_request = request;
  request->retry_timer = Subscribe(state.loop.Timers(), when, [&state, weak_request](time_point) {
    const call_ptr locked_request = weak_request.lock();
    if (locked_request && locked_request->held) TryStart(state, locked_request);
  });
}

void TryStart(gateway_state& state, const call_ptr& request) {
  request->held = false;
  if (RefuseIfStopEndsFirst(state, request)) return;
  if (const auto retry_after = ShedByPriority(state, *request)) {
    return GiveUp(state, request, {503, "overloaded", *retry_after});
  }
  const time_point now = MonotonicNow();
  const quarantine::decision decision = AdmitAttempt(state, *request);
  if (decision.answer == quarantine::verdict::kRefuse) return GiveUpQuarantined(state, request);
  if (decision.answer == quarantine::verdict::kHold) {
    return Hold(state, request, std::max(decision.until, now + kHoldRetryInterval));
  }
  request->suspect = decision.answer == quarantine::verdict::kAllowIsolated;
  const start_result started = StartAttempt(state, request, kAttemptCallbacks);
  if (started == start_result::kStarted) return StartHedgeTimer(state, request);
  EndAttempt(state, *request, attempt_end::kClosed);
  switch (started) {
    case start_result::kStarted:
      return;
    case start_result::kNoIsolatedEngines:
      return Hold(state, request, now + kHoldRetryInterval);
    case start_result::kNoRoom:
      if (WaitForEndpoint(state, request)) return;
      RecordOverloaded(state, *request);
      return GiveUp(state, request, {503, "no_room", RoomRetryAfter(state, *request)});
    case start_result::kTooSlow:
      RecordOverloaded(state, *request);
      return GiveUp(state, request, {503, "too_slow", RoomRetryAfter(state, *request)});
    case start_result::kNoEndpoint:
      if (WaitForEndpoint(state, request)) return;
      return GiveUp(state, request, {503, "no_endpoint", EndpointRetryAfter(state, *request)});
  }
}

void OnDue(gateway_state& state, const call_ptr& request) {
  if (request->open) request->may_have_run = true;
  GiveUp(state, request, {.status = request->may_have_run ? 504 : 503, .reason = "deadline"});
}

void OnHangup(gateway_state& state, const call_ptr& request) {
  metrics::Increment(state.metrics.registry, state.metrics.caller_disconnects);
  log::Log(log::level::kDebug, "caller hung up",
           {{"request", request->incoming.id}, {"events", request->events.events}});
  Retire(state, request);
}

void Register(gateway_state& state, const call_ptr& request) {
  state.calls[request->number] = request;
  metrics::Increment(state.metrics.registry, state.metrics.accepted);
  const std::weak_ptr<call> weak_request = request;
  request->exchange->on_hangup = [&state, weak_request] {
    if (const call_ptr locked_request = weak_request.lock()) OnHangup(state, locked_request);
  };
  request->exchange->on_drained = [weak_request] {
    const call_ptr locked_request = weak_request.lock();
    if (locked_request && locked_request->open) locked_request->open->upstream->ResumeReading();
  };
  request->due_timer =
      Subscribe(state.loop.Timers(), request->due, [&state, weak_request](time_point) {
        if (const call_ptr locked_request = weak_request.lock()) OnDue(state, locked_request);
      });
}

}  // namespace

const attempt_callbacks& CallAttemptCallbacks() { return kAttemptCallbacks; }

void ForwardToCaller(gateway_state& state, const call_ptr& request, std::string_view events) {
  const time_point now = MonotonicNow();
  const attempt& attempt = *request->open;
  if (request->streaming) {
    request->longest_gap = std::max(request->longest_gap, now - request->last_output);
    RecordPause(state, *request, now - request->last_output);
  }
  request->last_output = now;
  // The start of the next event is held by the attempt only.
  request->events.last_id = attempt.events.last_id;
  request->events.events = attempt.events.events;
  request->events.malformed = attempt.events.malformed;
  if (!request->streaming) {
    request->streaming = true;
    request->first_output = now - request->arrived;
    RecordFirstOutput(state, *request);
    metrics::Observe(state.metrics.registry, state.metrics.first_output_seconds,
                     Seconds(request->first_output));
    std::vector<net::header> headers = state.wire.reply_headers(attempt.head);
    if (state.unready) headers.push_back({"Connection", "close"});
    request->exchange->BeginStream(attempt.head.status, headers);
  }
  request->exchange->Write(events);
  if (request->exchange->PendingBytes() > MaxPendingBytes(state)) attempt.upstream->PauseReading();
}

void AcceptCall(gateway_state& state, const net::exchange_ptr& exchange) {
  auto request = std::make_shared<call>();
  request->incoming = state.wire.read_call(*exchange);
  const std::string& id = request->incoming.id;
  if (state.draining) {
    CountStopRefusal(state.metrics, "drained");
    return Refuse(state, exchange, id, {503, "stopping", kStopRetryAfter});
  }
  if (!state.configuration || !state.endpoints_known) {
    return Refuse(state, exchange, id, {503, "not_ready", kStartRetryAfter});
  }
  request->configuration = state.configuration;
  request->route =
      catalog::FindRoute(*request->configuration, request->incoming.host, request->incoming.path);
  if (request->route == nullptr) return RefuseUnknown(state, exchange, id, {404, "unknown_route"});
  request->priority = request->route->priority;
  if (catalog::NeedsKey(request->configuration->content, *request->route)) {
    const catalog::workspace* owner =
        catalog::FindWorkspace(*request->configuration, request->incoming.key);
    if (owner == nullptr) return RefuseUnknown(state, exchange, id, {401, "unknown_key"});
    request->workspace = owner->name;
    request->priority = owner->priority.value_or(request->priority);
  }
  request->number = state.next_call++;
  request->exchange = exchange;
  request->body = exchange->Body();
  request->service = catalog::PickTarget(*request->route, UniformUnit(state.rng)).service;
  request->arrived = MonotonicNow();
  request->due = request->arrived + request->route->timeout;
  if (request->incoming.time_left) {
    request->due = std::min(request->due, request->arrived + *request->incoming.time_left);
  }
  request->fingerprint = ComputeFingerprint(*request);
  request->features = ComputeFeatures(*request);
  CountRequest(state.budget, request->service, request->arrived);
  Register(state, request);
  if (const auto decision = CheckAgainstStop(state, *request, request->arrived);
      decision && decision->verdict == stop_verdict::kFits) {
    RecordStopDecision(state, *request, *decision, request->arrived);
  }
  TryStart(state, request);
}

std::string RejectCall(gateway_state& state, net::rejection why,
                       std::vector<net::header>& headers) {
  const refusal refusal = RefusalOf(state, why);
  log::Log(log::level::kInfo, "request rejected before its body had arrived",
           {{"status", refusal.status},
            {"reason", refusal.reason},
            {"buffer_bytes", state.request_buffers->used_bytes},
            {"buffer_limit_bytes", state.request_buffers->limit_bytes},
            {"version", VersionInForce(state)}});
  CountRefusal(state.metrics, refusal.reason);
  headers = RefusalHeaders(refusal);
  return std::string(refusal.reason) + "\n";
}

void LogCutReply(gateway_state& state, net::cut_reason why, size_t bytes) {
  const std::string_view reason =
      why == net::cut_reason::kNoMemory ? "no_memory" : "caller_does_not_read";
  log::Log(log::level::kWarning, "reply cut before the caller had taken it",
           {{"reason", reason},
            {"bytes", bytes},
            {"buffer_bytes", state.reply_buffers->used_bytes},
            {"buffer_limit_bytes", state.reply_buffers->limit_bytes}});
  CountCutReply(state.metrics, reason);
}

void LogClosed(gateway_state& state, net::close_reason why, std::string_view field) {
  log::Log(log::level::kInfo, "connection of a caller refused or closed",
           {{"reason", net::ToString(why)},
            {"field", field},
            {"header_bytes", net::UsedBytes(*state.head_buffers)}});
  CountClosedConnection(state.metrics, net::ToString(why));
}

namespace {

std::vector<call_ptr> FindCalls(const gateway_state& state, const quarantine::fingerprint& key) {
  std::vector<call_ptr> matches;
  for (const auto& [number, request] : state.calls) {
    if (HasKey(*request, key)) matches.push_back(request);
  }
  return matches;
}

}  // namespace

void EndQuarantinedCalls(gateway_state& state, const quarantine::fingerprint& key) {
  for (const call_ptr& request : FindCalls(state, key)) {
    if (!IsQuarantined(state, *request)) continue;
    // A stream with a quarantined part that has begun continues where it is, but does not move.
    const bool begun = request->fingerprint != key && request->streaming;
    if (HasShownProgress(*request) || (begun && request->open)) continue;
    if (request->open) request->may_have_run = true;
    GiveUpQuarantined(state, request);
  }
}

void ResumeHeldCalls(gateway_state& state, const quarantine::fingerprint& key) {
  for (const call_ptr& request : FindCalls(state, key)) {
    if (!request->held) continue;
    Cancel(state.loop.Timers(), request->retry_timer);
    TryStart(state, request);
  }
}

void RefuseWaitingCalls(gateway_state& state) {
  std::vector<call_ptr> waiting;
  for (const auto& [number, request] : state.calls) {
    if (!request->open) waiting.push_back(request);
  }
  for (const call_ptr& request : waiting) RefuseIfStopEndsFirst(state, request);
}

int AbortCalls(gateway_state& state) {
  std::vector<call_ptr> open;
  std::ranges::transform(state.calls, std::back_inserter(open),
                         [](const auto& entry) { return entry.second; });
  for (const call_ptr& request : open) {
    request->may_have_run = request->may_have_run || request->open != nullptr;
    CountStopRefusal(state.metrics, "end_of_grace");
    GiveUp(state, request, {.status = 503, .reason = "stopping", .retry_after = kStopRetryAfter});
  }
  return static_cast<int>(open.size());
}

void RefuseUnreadRequests(gateway_state& state) {
  const std::array<net::header, 1> headers = {
      net::header{"Retry-After", RetryAfterText(kStopRetryAfter)}};
  state.server->RefuseUnread(headers, "stopping\n");
}

namespace {

// Calls `on_stopped` after `delay`, when no reply was due at two checks in a row; at the latest at
// the forced end. A single check would miss the requests that wait in sockets when the loop is
// late, because timers run first. `was_idle`: no reply was due at the last check.
void EndWhenWritten(gateway_state& state, const std::function<void(int)>& on_stopped,
                    duration delay, bool was_idle) {
  Subscribe(state.loop.Timers(), MonotonicNow() + delay,
            [&state, on_stopped, was_idle](time_point now) {
              const bool idle = state.server->UnfinishedReplies() == 0;
              if ((idle && was_idle) || now >= *state.forced_end) return on_stopped(0);
              EndWhenWritten(state, on_stopped, kIdleCheckInterval, idle);
            });
}

}  // namespace

void FinishStopIfIdle(gateway_state& state) {
  if (!state.draining || !state.calls.empty() || !state.on_stopped) return;
  timer_service& timers = state.loop.Timers();
  Cancel(timers, state.idle_check_timer);
  RefuseUnreadRequests(state);
  // A new connection that is never accepted may carry a whole request.
  if (state.server->UnfinishedReplies() > 0 || !state.server->StopListening()) {
    state.idle_check_timer = Subscribe(timers, MonotonicNow() + kIdleCheckInterval,
                                       [&state](time_point) { FinishStopIfIdle(state); });
    return;
  }
  // Open connections get their refusals meanwhile.
  EndWhenWritten(state, std::exchange(state.on_stopped, nullptr), kLastReplyTime, false);
}

}  // namespace balsambay::gateway
