// Acceptance, deadline, hang-up and end of requests.
#include "details/requests.h"

#include "details/dispatch.h"

namespace balsambay::router {
namespace {

using attempts::phase_event;

void StopAttempt(router_state& state, const request_ptr& item) {
  if (!item->route.empty()) CountInFlight(state, *item, -1);
  item->route.clear();
  if (item->run) item->run->Cancel();
  if (item->call) item->call->Cancel();
  item->run.reset();
  item->call.reset();
}

}  // namespace

void Accept(router_state& state, const request_ptr& item) {
  state.requests[item->id] = item;
  ++state.accepted_requests;
  const std::weak_ptr<request> weak = item;
  item->exchange->on_hangup = [&state, weak] {
    if (const auto held = weak.lock()) Retire(state, held);
  };
  item->deadline_timer = Subscribe(state.loop.timers(), item->deadline, [&state, weak](time_point) {
    if (const auto held = weak.lock()) GiveUp(state, held, "deadline", "the deadline has passed");
  });
  if (!item->answer.repeatable) {
    return GiveUp(state, item, "ledger_unavailable", "no ledger is connected",
                  std::chrono::seconds(5));
  }
  attempts::Advance(item->phase, phase_event::kAdmitted);
  Dispatch(state, item);
}

void GiveUp(router_state& state, const request_ptr& item, std::string_view reason,
            std::string detail, std::optional<duration> retry_after) {
  const problem error{reason, std::move(detail), attempts::OutcomeOf(item->answer), retry_after};
  if (item->stream_started) {
    SendStreamError(state, *item, error);
  } else {
    RespondProblem(state, item->exchange, error);
  }
  Retire(state, item);
}

void Retire(router_state& state, const request_ptr& item) {
  if (!attempts::Advance(item->phase, phase_event::kFinished)) return;
  StopAttempt(state, item);
  timer_service& timers = state.loop.timers();
  Cancel(timers, item->deadline_timer);
  Cancel(timers, item->progress_timer);
  Cancel(timers, item->backoff_timer);
  item->exchange->on_hangup = nullptr;
  item->exchange->on_drained = nullptr;
  state.requests.erase(item->id);
  CheckStopped(state);
}

void CheckStopped(router_state& state) {
  if (!state.draining || !state.requests.empty() || !state.on_stopped) return;
  const auto on_stopped = std::exchange(state.on_stopped, nullptr);
  // The last reply is still being written by libsoup.
  Subscribe(state.loop.timers(), MonotonicNow() + std::chrono::milliseconds(200),
            [on_stopped](time_point) { on_stopped(0); });
}

}  // namespace balsambay::router
