// Attempts: begin, failure, evidence about endpoints, retry decision.
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

// Avoids what failed. A stall does not tell which stage is slow, so the whole route is avoided.
void Exclude(request& item, std::span<const net::run_stage> route, std::string_view endpoint) {
  if (!endpoint.empty()) {
    item.excluded.emplace(endpoint);
    return;
  }
  std::ranges::for_each(route,
                        [&](const net::run_stage& stage) { item.excluded.insert(stage.endpoint); });
}

std::optional<evidence_kind> EvidenceOf(const attempt_error& error) {
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
      break;  // having no room is no fault
  }
  return std::nullopt;
}

bool IsLoss(const attempt_error& error) {
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
  const auto kind = EvidenceOf(error);
  if (!kind) return;
  if (!error.endpoint.empty()) return ReportEvidence(state, error.endpoint, *kind);
  std::ranges::for_each(
      route, [&](const net::run_stage& stage) { ReportEvidence(state, stage.endpoint, *kind); });
}

void NoteLoss(router_state& state, const attempt_error& error) {
  if (!IsLoss(error)) return;
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

// Tells the quarantine of an attempt that has ended and is no longer among the open ones.
void EndPermission(router_state& state, request& item, const attempt_error& error) {
  if (error.reason == retry_reason::kConnectFailed) OnEndpointRefused(state, error.endpoint);
  const bool broken =
      error.reason == retry_reason::kStageLost || error.reason == retry_reason::kReset;
  const bool names_endpoint = broken && !error.endpoint.empty();
  if (!item.open.empty()) {
    if (names_endpoint) return OnAttemptBroken(state, item, error.endpoint);
    return OnRunPlaced(state, item);
  }
  item.permitted = false;
  if (names_endpoint) return OnRunBroken(state, item, error.endpoint);
  OnRunEnded(state, item, false);
}

admission::retry_decision Decide(router_state& state, const request& item, bool may_have_run,
                                 const attempt_error& error, time_point now) {
  const admission::failed_attempt failed{.workspace = item.workspace,
                                         .reason = error.reason,
                                         .repeatable = item.answer.repeatable,
                                         .may_have_run = may_have_run,
                                         .attempts = static_cast<int>(item.answer.attempt),
                                         .deadline = item.deadline,
                                         .service_time = duration::zero(),
                                         .endpoint_lost = IsLoss(error)};
  return admission::DecideRetry(state.retry_budget, failed, now, state.rng);
}

void ScheduleRetry(router_state& state, const request_ptr& item, duration delay) {
  const std::weak_ptr<request> weak = item;
  item->backoff_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + delay, [&state, weak](time_point) {
        const auto held = weak.lock();
        if (!held) return;
        attempts::Advance(held->phase, attempts::phase_event::kBackoffOver);
        Dispatch(state, held);
      });
}

// A stall does not tell which stage is slow, so it is the whole route.
void NoteSilent(open_attempt& attempt, std::string_view endpoint) {
  attempt.silent.clear();
  if (!endpoint.empty()) {
    attempt.silent.emplace(endpoint);
    return;
  }
  for (const net::run_stage& stage : attempt.route) attempt.silent.insert(stage.endpoint);
}

void ExcludeSilent(request& item) {
  for (const open_attempt& attempt : item.open)
    item.excluded.insert(attempt.silent.begin(), attempt.silent.end());
}

// A route that avoids what is silent now. Endpoints that failed for the request before are used
// when there is no other.
std::vector<net::run_stage> ChooseSuccessorRoute(router_state& state, request& item) {
  ExcludeSilent(item);
  auto route = ChooseOtherRoute(state, item);
  if (!route.empty()) return route;
  item.excluded.clear();
  ExcludeSilent(item);
  return ChooseOtherRoute(state, item);
}

void LogSilence(const request& item, const attempt_error& error, std::string_view decision) {
  log::Log(log::level::kInfo, "attempt is silent",
           {{"request", item.id},
            {"attempt", item.open.back().number},
            {"endpoint", error.endpoint},
            {"detail", error.detail},
            {"decision", decision}});
}

void KeepSilent(router_state& state, const request& item, const attempt_error& error,
                std::string_view reason) {
  CountKept(state.metrics, reason);
  LogSilence(item, error, "kept: " + std::string(reason));
}

}  // namespace

void Dispatch(router_state& state, const request_ptr& item) {
  const run_permission permission = AskToRun(state, item);
  if (permission == run_permission::kNotNow) return;
  item->permitted = true;
  item->alone = permission == run_permission::kAllowedAlone;
  if (!item->service.empty()) return DispatchServiceCall(state, item);
  DispatchModelRequest(state, item);
}

open_attempt* BeginDispatch(router_state& state, const request_ptr& item,
                            std::vector<net::run_stage> route) {
  if (item->open.empty() && !TryDispatchClaim(*item)) {
    GiveUp(state, item, "ledger_unavailable", "the grant to run has expired",
           std::chrono::seconds(1));
    return nullptr;
  }
  attempts::Advance(item->phase, attempts::phase_event::kDispatched);
  const uint32_t number = item->open.empty() ? attempts::BeginAttempt(item->answer)
                                             : attempts::BeginSuccessor(item->answer);
  item->open.push_back({.number = number, .route = std::move(route), .started = MonotonicNow()});
  item->progressed = false;
  CountInFlight(state, item->open.back(), 1);
  OnRunPlaced(state, *item);
  return &item->open.back();
}

open_attempt* FindOpen(request& item, uint32_t attempt) {
  const auto it = std::ranges::find(item.open, attempt, &open_attempt::number);
  return it == item.open.end() ? nullptr : &*it;
}

void CloseOthers(router_state& state, request& item, uint32_t attempt) {
  if (item.open.size() <= 1) return;
  for (const open_attempt& other : item.open) {
    if (other.number != attempt) Close(state, other);
  }
  std::erase_if(item.open, [&](const open_attempt& other) { return other.number != attempt; });
  OnRunPlaced(state, item);
}

void CloseAttempts(router_state& state, request& item) {
  for (const open_attempt& attempt : item.open) Close(state, attempt);
  item.open.clear();
  item.reading_paused = false;
}

void HandleSilence(router_state& state, const request_ptr& item, const attempt_error& error) {
  open_attempt& latest = item->open.back();
  NoteLoss(state, error);
  // A slow route is reported once for each of its silences, as a failed one would be.
  if (latest.silent.empty() || error.endpoint_lost) ReportFailure(state, latest.route, error);
  NoteSilent(latest, error.endpoint);
  if (!attempts::MayHaveSuccessor(item->answer))
    return KeepSilent(state, *item, error, "may_not_repeat");
  if (!MayRunBeside(state, *item)) return KeepSilent(state, *item, error, "suspected");
  auto route = ChooseSuccessorRoute(state, *item);
  if (route.empty()) return KeepSilent(state, *item, error, "no_other_route");
  // The delay of the decision is not waited for: a silence took longer than any of them.
  const auto decision = Decide(state, *item, false, error, MonotonicNow());
  if (!decision.retry)
    return KeepSilent(state, *item, error, admission::ToString(decision.give_up_reason));
  CountRetry(state.metrics, admission::ToString(error.reason));
  LogSilence(*item, error, "successor");
  StartModelAttempt(state, item, std::move(route));
}

void HandleAttemptFailure(router_state& state, const request_ptr& item, uint32_t attempt,
                          const attempt_error& error) {
  const auto step = attempts::OnAttemptFailed(item->answer, attempt, error.failure);
  if (step == attempts::next_step::kIgnore) return;
  log::Log(log::level::kInfo, "attempt failed",
           {{"request", item->id},
            {"attempt", attempt},
            {"endpoint", error.endpoint},
            {"reason", admission::ToString(error.reason)},
            {"detail", error.detail},
            {"others_open", step == attempts::next_step::kWait}});
  const auto ended = std::ranges::find(item->open, attempt, &open_attempt::number);
  CheckInvariant(ended != item->open.end(), "an open attempt of the answer is one of the request");
  const open_attempt closed = std::move(*ended);
  item->open.erase(ended);
  EndPermission(state, *item, error);
  NoteLoss(state, error);
  ReportFailure(state, closed.route, error);
  Exclude(*item, closed.route, error.endpoint);
  Close(state, closed);
  if (step == attempts::next_step::kWait) return;
  item->reading_paused = false;
  if (!item->answer.may_have_run) ClaimNotStarted(*item);
  attempts::Advance(item->phase, attempts::phase_event::kAttemptFailed);
  const auto decision =
      Decide(state, *item, step == attempts::next_step::kGiveUp, error, MonotonicNow());
  if (!decision.retry) {
    return GiveUp(state, item, admission::ToString(decision.give_up_reason), error.detail,
                  decision.retry_after);
  }
  CountRetry(state.metrics, admission::ToString(error.reason));
  ScheduleRetry(state, item, decision.delay);
}

}  // namespace balsambay::router
