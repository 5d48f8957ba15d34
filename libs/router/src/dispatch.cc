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
void Exclude(request& item, std::string_view endpoint) {
  if (!endpoint.empty()) {
    item.excluded.emplace(endpoint);
    return;
  }
  std::ranges::for_each(item.route,
                        [&](const net::run_stage& stage) { item.excluded.insert(stage.endpoint); });
}

std::optional<evidence_kind> EvidenceOf(const attempt_error& error) {
  switch (error.reason) {
    case retry_reason::kConnectFailed:
      return evidence_kind::kConnectRefused;
    case retry_reason::kRefused:
      return evidence_kind::kReportedLeaving;
    case retry_reason::kStageLost:
    case retry_reason::kReset:
      return evidence_kind::kLost;
    case retry_reason::kStalled:
      return error.endpoint_lost ? evidence_kind::kLost : evidence_kind::kFailure;
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

void ReportFailure(router_state& state, const request& item, const attempt_error& error) {
  const auto kind = EvidenceOf(error);
  if (!kind) return;
  if (!error.endpoint.empty()) return ReportEvidence(state, error.endpoint, *kind);
  std::ranges::for_each(item.route, [&](const net::run_stage& stage) {
    ReportEvidence(state, stage.endpoint, *kind);
  });
}

void EndPermission(router_state& state, request& item, const attempt_error& error) {
  item.permitted = false;
  if (error.reason == retry_reason::kConnectFailed) OnEndpointRefused(state, error.endpoint);
  const bool broken =
      error.reason == retry_reason::kStageLost || error.reason == retry_reason::kReset;
  if (broken && !error.endpoint.empty()) return OnRunBroken(state, item, error.endpoint);
  OnRunEnded(state, item, false);
}

admission::retry_decision Decide(router_state& state, const request& item, attempts::next_step step,
                                 const attempt_error& error, time_point now) {
  const admission::failed_attempt failed{.workspace = item.workspace,
                                         .reason = error.reason,
                                         .repeatable = item.answer.repeatable,
                                         .may_have_run = step == attempts::next_step::kGiveUp,
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

}  // namespace

void Dispatch(router_state& state, const request_ptr& item) {
  const run_permission permission = AskToRun(state, item);
  if (permission == run_permission::kNotNow) return;
  item->permitted = true;
  item->alone = permission == run_permission::kAllowedAlone;
  if (!item->service.empty()) return DispatchServiceCall(state, item);
  DispatchModelRequest(state, item);
}

bool BeginDispatch(router_state& state, const request_ptr& item) {
  if (!TryDispatchClaim(*item)) {
    item->route.clear();
    GiveUp(state, item, "ledger_unavailable", "the grant to run has expired",
           std::chrono::seconds(1));
    return false;
  }
  attempts::Advance(item->phase, attempts::phase_event::kDispatched);
  attempts::BeginAttempt(item->answer);
  item->attempt_started = MonotonicNow();
  CountInFlight(state, *item, 1);
  OnRunPlaced(state, *item);
  return true;
}

void CountInFlight(router_state& state, const request& item, int delta) {
  std::ranges::for_each(
      item.route, [&](const net::run_stage& stage) { state.in_flight[stage.endpoint] += delta; });
}

void CloseAttempt(router_state& state, request& item) {
  CountInFlight(state, item, -1);
  item.route.clear();
  if (item.run) item.run->Cancel();
  if (item.call) item.call->Cancel();
  item.run.reset();
  item.call.reset();
  item.reading_paused = false;
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
            {"detail", error.detail}});
  EndPermission(state, *item, error);
  if (IsLoss(error)) {
    admission::OnEndpointLost(state.retry_budget, error.endpoint, state.in_flight[error.endpoint],
                              MonotonicNow());
  }
  ReportFailure(state, *item, error);
  Exclude(*item, error.endpoint);
  CloseAttempt(state, *item);
  if (!item->answer.maybe_ran) ClaimNotStarted(*item);
  attempts::Advance(item->phase, attempts::phase_event::kAttemptFailed);
  const auto decision = Decide(state, *item, step, error, MonotonicNow());
  if (!decision.retry) {
    return GiveUp(state, item, admission::ToString(decision.give_up), error.detail,
                  decision.retry_after);
  }
  CountRetry(state.metrics, admission::ToString(error.reason));
  ScheduleRetry(state, item, decision.delay);
}

}  // namespace balsambay::router
