// Acceptance, admission, deadline, hang-up and end of requests.
#include "details/requests.h"

#include <algorithm>

#include "details/admission_driver.h"
#include "details/dispatch.h"
#include "details/ledger_driver.h"
#include "details/logging.h"
#include "details/quarantine_driver.h"

namespace balsambay::router {
namespace {

using attempts::phase_event;

void CancelTimers(router_state& state, const request& item) {
  timer_service& timers = state.loop.Timers();
  Cancel(timers, item.deadline_timer);
  Cancel(timers, item.progress_timer);
  Cancel(timers, item.backoff_timer);
  Cancel(timers, item.claim_timer);
}

void OnHangup(router_state& state, const request_ptr& item) {
  metrics::Increment(state.metrics.registry, state.metrics.cancelled);
  log::Log(log::level::kDebug, "caller hung up",
           {{"request", item->id}, {"attempt", item->answer.attempt}});
  Retire(state, item);
}

}  // namespace

void Accept(router_state& state, const request_ptr& item) {
  state.requests[item->id] = item;
  state.by_number[item->number] = item;
  metrics::Increment(state.metrics.registry, state.metrics.accepted);
  const std::weak_ptr<request> weak = item;
  item->exchange->on_hangup = [&state, weak] {
    if (const auto held = weak.lock()) OnHangup(state, held);
  };
  item->deadline_timer = Subscribe(state.loop.Timers(), item->deadline, [&state, weak](time_point) {
    if (const auto held = weak.lock()) GiveUp(state, held, "deadline", "the deadline has passed");
  });
  OfferRequest(state, item);
}

void OnAdmitted(router_state& state, const request_ptr& item) {
  admission::OnFirstAttempt(state.retry_budget);
  if (item->answer.repeatable) {
    attempts::Advance(item->phase, phase_event::kAdmitted);
    return Dispatch(state, item);
  }
  attempts::Advance(item->phase, phase_event::kAdmittedWithClaim);
  ClaimRequest(state, item);
}

void Complete(router_state& state, const request_ptr& item, std::string stored_result) {
  const time_point now = MonotonicNow();
  metrics::Increment(state.metrics.registry, state.metrics.completed);
  metrics::Observe(state.metrics.registry, state.metrics.duration_seconds,
                   Seconds(now - item->arrived));
  admission::OnSuccess(state.retry_budget, item->workspace, now);
  CloseClaim(state, *item, true, std::move(stored_result));
  Retire(state, item);
}

void GiveUp(router_state& state, const request_ptr& item, std::string_view reason,
            std::string detail, std::optional<duration> retry_after) {
  const problem error{reason, std::move(detail), attempts::OutcomeOf(item->answer), retry_after};
  log::Log(log::level::kInfo, "request given up",
           {{"request", item->id},
            {"attempt", item->answer.attempt},
            {"reason", reason},
            {"outcome", attempts::ToString(error.outcome)},
            {"detail", error.detail}});
  if (item->stream_started) {
    SendStreamError(state, *item, error);
  } else {
    RespondProblem(state, item->exchange, error);
  }
  Retire(state, item);
}

void Retire(router_state& state, request_ptr item) {
  if (!attempts::Advance(item->phase, phase_event::kFinished)) return;
  CloseAttempts(state, *item);
  if (std::exchange(item->permitted, false)) OnRunEnded(state, *item, item->answer.complete);
  CloseClaim(state, *item, false, "");
  CancelTimers(state, *item);
  item->exchange->on_hangup = nullptr;
  item->exchange->on_drained = nullptr;
  state.requests.erase(item->id);
  state.by_number.erase(item->number);
  ReleaseAdmission(state, *item);
  CheckStopped(state);
}

void CheckStopped(router_state& state) {
  if (!state.draining || !state.requests.empty() || !state.closings.empty() || !state.on_stopped)
    return;
  if (!state.releasing) {
    state.releasing = true;
    ReleaseLedger(state);
  }
  if (!LedgerReleased(state) || !state.on_stopped) return;
  const auto on_stopped = std::exchange(state.on_stopped, nullptr);
  // The last reply is still being written by libsoup.
  Subscribe(state.loop.Timers(), MonotonicNow() + std::chrono::milliseconds(200),
            [on_stopped](time_point) { on_stopped(0); });
}

}  // namespace balsambay::router
