// Acceptance, admission, deadline, caller disconnect and end of requests.
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

void CancelTimers(router_state& state, const caller_request& request) {
  timer_service& timers = state.loop.Timers();
  Cancel(timers, request.deadline_timer);
  Cancel(timers, request.progress_timer);
  Cancel(timers, request.backoff_timer);
  Cancel(timers, request.claim_timer);
}

constexpr duration kMemoryRetryAfter = std::chrono::seconds(1);

// Frees the answer of the request at once. What the caller sent is freed when the request fails in
// the next turn of the loop, because the end of a run is reported by it.
void OnReclaimed(router_state& state, const request_ptr& request) {
  // Assignment of an empty value would keep the memory.
  std::string().swap(request->reply_body);
  std::vector<std::string>().swap(request->response.tokens);
  const std::weak_ptr<caller_request> weak = request;
  Subscribe(state.loop.Timers(), MonotonicNow(), [&state, weak](time_point) {
    if (const auto locked = weak.lock()) FailForMemory(state, locked);
  });
}

void OnHangup(router_state& state, const request_ptr& request) {
  metrics::Increment(state.metrics.registry, state.metrics.cancelled);
  log::Log(log::level::kDebug, "caller closed the connection",
           {{"request", request->id}, {"attempt", request->response.attempt}});
  RemoveRequest(state, request);
}

}  // namespace

void AcceptRequest(router_state& state, const request_ptr& request) {
  state.requests[request->id] = request;
  state.requests_by_gate_id[request->gate_id] = request;
  metrics::Increment(state.metrics.registry, state.metrics.accepted);
  const std::weak_ptr<caller_request> weak = request;
  request->exchange->on_hangup = [&state, weak] {
    if (const auto locked = weak.lock()) OnHangup(state, locked);
  };
  request->deadline_timer =
      Subscribe(state.loop.Timers(), request->deadline, [&state, weak](time_point) {
        if (const auto locked = weak.lock())
          FailRequest(state, locked, "deadline", "the deadline has passed");
      });
  request->buffer = std::make_unique<buffer_share>(state.buffers, [&state, weak] {
    if (const auto locked = weak.lock()) OnReclaimed(state, locked);
  });
  if (HoldAnswer(state, request, 0)) OfferRequest(state, request);
}

bool HoldAnswer(router_state& state, const request_ptr& request, size_t bytes) {
  buffer_share& buffer = *request->buffer;
  if (buffer.IsReclaimed()) return false;
  if (buffer.Resize(request->prompt.size() + request->exchange->Body().size() + bytes)) return true;
  FailForMemory(state, request);
  return false;
}

void FailForMemory(router_state& state, const request_ptr& request) {
  if (request->phase == attempts::phase::kDone) return;
  log::Log(log::level::kWarning, "request ended for lack of memory",
           {{"request", request->id},
            {"reclaimed", request->buffer->IsReclaimed()},
            {"bytes", request->buffer->Bytes()},
            {"buffer_bytes", state.buffers->used_bytes},
            {"buffer_limit_bytes", state.buffers->limit_bytes}});
  const bool not_run = attempts::OutcomeOf(request->response) == attempts::outcome::kNotRun;
  FailRequest(state, request, "memory_limit", "the request and its answer need too much memory",
              not_run ? std::optional<duration>(kMemoryRetryAfter) : std::nullopt);
}

void OnAdmitted(router_state& state, const request_ptr& request) {
  admission::OnFirstAttempt(state.retry_budget);
  if (request->response.repeatable) {
    attempts::Advance(request->phase, phase_event::kAdmitted);
    return Dispatch(state, request);
  }
  attempts::Advance(request->phase, phase_event::kAdmittedWithClaim);
  ClaimRequest(state, request);
}

void CompleteRequest(router_state& state, const request_ptr& request, std::string stored_result) {
  const time_point now = MonotonicNow();
  metrics::Increment(state.metrics.registry, state.metrics.completed);
  metrics::Observe(state.metrics.registry, state.metrics.duration_seconds,
                   Seconds(now - request->arrived));
  admission::OnSuccess(state.retry_budget, request->workspace, now);
  CloseClaim(state, *request, true, std::move(stored_result));
  RemoveRequest(state, request);
}

void FailRequest(router_state& state, const request_ptr& request, std::string_view reason,
                 std::string detail, std::optional<duration> retry_after) {
  const problem error{reason, std::move(detail), attempts::OutcomeOf(request->response),
                      retry_after};
  log::Log(log::level::kInfo, "request failed",
           {{"request", request->id},
            {"attempt", request->response.attempt},
            {"reason", reason},
            {"outcome", attempts::ToString(error.outcome)},
            {"detail", error.detail}});
  if (request->stream_started) {
    SendStreamError(state, *request, error);
  } else {
    RespondProblem(state, request->exchange, error);
  }
  RemoveRequest(state, request);
}

void RemoveRequest(router_state& state, request_ptr request) {
  if (!attempts::Advance(request->phase, phase_event::kFinished)) return;
  CloseAllAttempts(state, *request);
  if (std::exchange(request->quarantine_registered, false))
    OnRunEnded(state, *request, request->response.complete);
  CloseClaim(state, *request, false, "");
  CancelTimers(state, *request);
  request->exchange->on_hangup = nullptr;
  request->exchange->on_drained = nullptr;
  static_cast<void>(request->buffer->Resize(0));
  state.requests.erase(request->id);
  state.requests_by_gate_id.erase(request->gate_id);
  ReleaseAdmission(state, *request);
  CheckStopped(state);
}

void CheckStopped(router_state& state) {
  if (!state.draining || !state.requests.empty() || !state.unconfirmed_ends.empty() ||
      !state.on_stopped)
    return;
  if (!state.releasing) {
    state.releasing = true;
    ReleaseLedger(state);
  }
  if (!LedgerReleased(state) || !state.on_stopped) return;
  const auto on_stopped = std::exchange(state.on_stopped, nullptr);
  // Leaves libsoup 200 ms to finish writing the last reply.
  Subscribe(state.loop.Timers(), MonotonicNow() + std::chrono::milliseconds(200),
            [on_stopped](time_point) { on_stopped(0); });
}

}  // namespace balsambay::router
