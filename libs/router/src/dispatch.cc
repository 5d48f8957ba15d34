// Start and failure of attempts: evidence about endpoints, retry decisions and successors of silent
// attempts.
#include "details/dispatch.h"

#include <algorithm>

#include "details/endpoint_monitor.h"
#include "details/ledger_driver.h"
#include "details/logging.h"
#include "details/model_attempt.h"
#include "details/planning.h"
#include "details/quarantine_driver.h"
#include "details/replies.h"
#include "details/requests.h"
#include "details/service_calls.h"

namespace balsambay::router {
namespace {

using admission::retry_reason;
using attempts::attempt_failure;
using health::evidence_kind;

// Excludes the failed endpoint from further attempts of the request. A stall does not show which
// stage is slow, so without an endpoint the whole route is excluded.
void Exclude(caller_request& request, std::span<const net::run_stage> route,
             std::string_view endpoint) {
  if (!endpoint.empty()) {
    request.excluded_endpoints.emplace(endpoint);
    return;
  }
  std::ranges::for_each(route, [&](const net::run_stage& stage) {
    request.excluded_endpoints.insert(stage.endpoint);
  });
}

std::optional<evidence_kind> ToEvidenceKind(const attempt_error& error) {
  switch (error.reason) {
    case retry_reason::kConnectFailed:
      return evidence_kind::kConnectionRefused;
    case retry_reason::kRefused:
      return evidence_kind::kReportedLeaving;
    case retry_reason::kStageLost:
    case retry_reason::kReset:
      return evidence_kind::kConnectionLost;
    case retry_reason::kStalled:
      return error.endpoint_lost ? evidence_kind::kConnectionLost : evidence_kind::kFailure;
    case retry_reason::kOverloaded:
      break;  // lack of capacity is no fault
  }
  return std::nullopt;
}

bool IsEndpointLoss(const attempt_error& error) {
  if (error.endpoint.empty()) return false;
  switch (error.reason) {
    case retry_reason::kConnectFailed:
    case retry_reason::kStageLost:
    case retry_reason::kReset:
      return true;
    default:
      return error.endpoint_lost;
  }
}

void ReportFailure(router_state& state, std::span<const net::run_stage> route,
                   const attempt_error& error) {
  const auto kind = ToEvidenceKind(error);
  if (!kind) return;
  if (!error.endpoint.empty()) return ReportEvidence(state, error.endpoint, *kind);
  std::ranges::for_each(
      route, [&](const net::run_stage& stage) { ReportEvidence(state, stage.endpoint, *kind); });
}

void RecordEndpointLoss(router_state& state, const attempt_error& error) {
  if (!IsEndpointLoss(error)) return;
  admission::OnEndpointLost(state.retry_budget, error.endpoint, state.in_flight[error.endpoint],
                            MonotonicNow());
}

void CountInFlight(router_state& state, const open_attempt& attempt, int delta) {
  std::ranges::for_each(attempt.route, [&](const net::run_stage& stage) {
    state.in_flight[stage.endpoint] += delta;
  });
}

void Close(router_state& state, const open_attempt& attempt) {
  CountInFlight(state, attempt, -1);
  if (attempt.run) attempt.run->Cancel();
  if (attempt.call) attempt.call->Cancel();
}

// Reports a failed attempt to the quarantine after its removal from the open attempts.
void ReportAttemptEndToQuarantine(router_state& state, caller_request& request,
                                  const attempt_error& error) {
  if (error.reason == retry_reason::kConnectFailed) OnEndpointRefused(state, error.endpoint);
  const bool broken =
      error.reason == retry_reason::kStageLost || error.reason == retry_reason::kReset;
  const bool names_endpoint = broken && !error.endpoint.empty();
  if (!request.open_attempts.empty()) {
    if (names_endpoint) return OnAttemptBroken(state, request, error.endpoint);
    return OnRunEndpointsChanged(state, request);
  }
  request.quarantine_registered = false;
  if (names_endpoint) return OnRunBroken(state, request, error.endpoint);
  OnRunEnded(state, request, false);
}

admission::retry_decision DecideRetry(router_state& state, const caller_request& request,
                                      bool may_have_run, const attempt_error& error,
                                      time_point now) {
  const admission::failed_attempt failed{.workspace = request.workspace,
                                         .reason = error.reason,
                                         .repeatable = request.response.repeatable,
                                         .may_have_run = may_have_run,
                                         .attempts = static_cast<int>(request.response.attempt),
                                         .deadline = request.deadline,
                                         .service_time = duration::zero(),
                                         .endpoint_lost = IsEndpointLoss(error)};
  return admission::DecideRetry(state.retry_budget, failed, now, state.rng);
}

void ScheduleRetry(router_state& state, const request_ptr& request, duration delay) {
  const std::weak_ptr<caller_request> weak = request;
  request->backoff_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + delay, [&state, weak](time_point) {
        const auto locked = weak.lock();
        if (!locked) return;
        attempts::Advance(locked->phase, attempts::phase_event::kBackoffOver);
        Dispatch(state, locked);
      });
}

// A stall does not show which stage is slow, so without an endpoint the whole route is marked.
void MarkSilent(open_attempt& attempt, std::string_view endpoint) {
  attempt.silent_endpoints.clear();
  if (!endpoint.empty()) {
    attempt.silent_endpoints.emplace(endpoint);
    return;
  }
  for (const net::run_stage& stage : attempt.route) attempt.silent_endpoints.insert(stage.endpoint);
}

void ExcludeSilentEndpoints(caller_request& request) {
  for (const open_attempt& attempt : request.open_attempts)
    request.excluded_endpoints.insert(attempt.silent_endpoints.begin(),
                                      attempt.silent_endpoints.end());
}

// Chooses a route without the endpoints that are silent now. Endpoints that failed for the request
// earlier are used when there is no other route.
std::vector<net::run_stage> ChooseSuccessorRoute(router_state& state, caller_request& request) {
  ExcludeSilentEndpoints(request);
  auto route = ChooseRouteWithoutExcluded(state, request);
  if (!route.empty()) return route;
  request.excluded_endpoints.clear();
  ExcludeSilentEndpoints(request);
  return ChooseRouteWithoutExcluded(state, request);
}

void LogSilentAttempt(const caller_request& request, const attempt_error& error,
                      std::string_view decision) {
  log::Log(log::level::kInfo, "attempt is silent",
           {{"request", request.id},
            {"attempt", request.open_attempts.back().number},
            {"endpoint", error.endpoint},
            {"detail", error.detail},
            {"decision", decision}});
}

void KeepSilentAttempt(router_state& state, const caller_request& request,
                       const attempt_error& error, std::string_view reason) {
  CountKeptAttempt(state.metrics, reason);
  LogSilentAttempt(request, error, "kept: " + std::string(reason));
}

}  // namespace

void Dispatch(router_state& state, const request_ptr& request) {
  if (request->buffer->IsReclaimed()) return FailForMemory(state, request);
  const run_permission permission = AdmitAttempt(state, request);
  if (permission == run_permission::kNotNow) return;
  request->quarantine_registered = true;
  request->isolated = permission == run_permission::kAllowedIsolated;
  if (!request->service.empty()) return DispatchServiceCall(state, request);
  DispatchModelRequest(state, request);
}

open_attempt* BeginDispatch(router_state& state, const request_ptr& request,
                            std::vector<net::run_stage> route) {
  if (request->open_attempts.empty() && !TryDispatchClaim(*request)) {
    FailRequest(state, request, "ledger_unavailable", "the grant to run has expired",
                std::chrono::seconds(1));
    return nullptr;
  }
  attempts::Advance(request->phase, attempts::phase_event::kDispatched);
  const uint32_t number = request->open_attempts.empty()
                              ? attempts::BeginAttempt(request->response)
                              : attempts::BeginSuccessor(request->response);
  request->open_attempts.push_back(
      {.number = number, .route = std::move(route), .started = MonotonicNow()});
  request->progressed = false;
  CountInFlight(state, request->open_attempts.back(), 1);
  OnRunEndpointsChanged(state, *request);
  return &request->open_attempts.back();
}

open_attempt* FindOpenAttempt(caller_request& request, uint32_t attempt) {
  const auto it = std::ranges::find(request.open_attempts, attempt, &open_attempt::number);
  return it == request.open_attempts.end() ? nullptr : &*it;
}

void CloseOtherAttempts(router_state& state, caller_request& request, uint32_t attempt) {
  if (request.open_attempts.size() <= 1) return;
  for (const open_attempt& other : request.open_attempts) {
    if (other.number != attempt) Close(state, other);
  }
  std::erase_if(request.open_attempts,
                [&](const open_attempt& other) { return other.number != attempt; });
  OnRunEndpointsChanged(state, request);
}

void CloseAllAttempts(router_state& state, caller_request& request) {
  for (const open_attempt& attempt : request.open_attempts) Close(state, attempt);
  request.open_attempts.clear();
  request.reading_paused = false;
}

void HandleSilentAttempt(router_state& state, const request_ptr& request,
                         const attempt_error& error) {
  open_attempt& latest = request->open_attempts.back();
  RecordEndpointLoss(state, error);
  // A slow route is reported once per stall, as a failed one would be.
  if (latest.silent_endpoints.empty() || error.endpoint_lost)
    ReportFailure(state, latest.route, error);
  MarkSilent(latest, error.endpoint);
  if (!attempts::MayHaveSuccessor(request->response))
    return KeepSilentAttempt(state, *request, error, "may_not_repeat");
  if (!MayOpenSuccessor(state, *request))
    return KeepSilentAttempt(state, *request, error, "suspected");
  auto route = ChooseSuccessorRoute(state, *request);
  if (route.empty()) return KeepSilentAttempt(state, *request, error, "no_other_route");
  // The back-off delay of the decision is not applied: the stall has already lasted longer than any
  // back-off.
  const auto decision = DecideRetry(state, *request, false, error, MonotonicNow());
  if (!decision.retry)
    return KeepSilentAttempt(state, *request, error, admission::ToString(decision.give_up_reason));
  CountRetry(state.metrics, admission::ToString(error.reason));
  LogSilentAttempt(*request, error, "successor");
  StartModelAttempt(state, request, std::move(route));
}

void HandleAttemptFailure(router_state& state, const request_ptr& request, uint32_t attempt,
                          const attempt_error& error) {
  const auto step = attempts::OnAttemptFailed(request->response, attempt, error.failure);
  if (step == attempts::next_step::kIgnore) return;
  log::Log(log::level::kInfo, "attempt failed",
           {{"request", request->id},
            {"attempt", attempt},
            {"endpoint", error.endpoint},
            {"reason", admission::ToString(error.reason)},
            {"detail", error.detail},
            {"others_open", step == attempts::next_step::kWait}});
  const auto ended = std::ranges::find(request->open_attempts, attempt, &open_attempt::number);
  CheckInvariant(ended != request->open_attempts.end(),
                 "each open attempt of the response state is an open attempt of the request");
  const open_attempt closed = std::move(*ended);
  request->open_attempts.erase(ended);
  ReportAttemptEndToQuarantine(state, *request, error);
  RecordEndpointLoss(state, error);
  ReportFailure(state, closed.route, error);
  Exclude(*request, closed.route, error.endpoint);
  Close(state, closed);
  if (step == attempts::next_step::kWait) return;
  request->reading_paused = false;
  if (!request->response.may_have_run) MarkClaimNotStarted(*request);
  attempts::Advance(request->phase, attempts::phase_event::kAttemptFailed);
  const auto decision =
      DecideRetry(state, *request, step == attempts::next_step::kGiveUp, error, MonotonicNow());
  if (!decision.retry) {
    return FailRequest(state, request, admission::ToString(decision.give_up_reason), error.detail,
                       decision.retry_after);
  }
  CountRetry(state.metrics, admission::ToString(error.reason));
  ScheduleRetry(state, request, decision.delay);
}

}  // namespace balsambay::router
