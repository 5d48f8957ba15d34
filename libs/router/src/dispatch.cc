// Attempts of model requests: start, tokens, end, failure.
#include "details/dispatch.h"

#include <algorithm>

#include "details/replies.h"
#include "details/requests.h"
#include "details/route_choice.h"
#include "details/service_calls.h"

namespace balsambay::router {
namespace {

using attempts::attempt_failure;
using attempts::phase_event;

constexpr duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr uint32_t kMaxBackoffDoublings = 6;
constexpr uint32_t kMaxAttempts = 6;

struct failure_kind {
  attempt_failure failure;
  std::string_view retry_reason;
};

failure_kind Classify(net::run_failure failure) {
  switch (failure) {
    case net::run_failure::kNotSent:
      return {attempt_failure::kNotSent, "connect_failed"};
    case net::run_failure::kRefused:
      return {attempt_failure::kRefused, "overloaded"};
    case net::run_failure::kLeaving:
      return {attempt_failure::kRefused, "refused"};
    case net::run_failure::kStageLost:
      return {attempt_failure::kStageLost, "stage_lost"};
    case net::run_failure::kTimeout:
      return {attempt_failure::kStalled, "stalled"};
    case net::run_failure::kBroken:
      break;
  }
  return {attempt_failure::kBroken, "reset"};
}

void WatchProgress(router_state& state, const request_ptr& item);

// Fails the attempt when no token came in time. The time while the caller does not read is not
// counted.
void CheckProgress(router_state& state, const request_ptr& item, time_point now) {
  if (item->phase != attempts::phase::kRunning) return;
  if (item->reading_paused) item->last_progress = now;
  const bool started = item->answer.maybe_ran;
  const duration limit = started ? state.config.token_timeout : state.config.first_token_timeout;
  if (now - item->last_progress < limit) return WatchProgress(state, item);
  HandleAttemptFailure(state, item, item->answer.attempt, attempt_failure::kStalled, "stalled", "",
                       "no token in time");
}

void WatchProgress(router_state& state, const request_ptr& item) {
  const duration limit =
      item->answer.maybe_ran ? state.config.token_timeout : state.config.first_token_timeout;
  const std::weak_ptr<request> weak = item;
  Cancel(state.loop.timers(), item->progress_timer);
  item->progress_timer =
      Subscribe(state.loop.timers(), item->last_progress + limit, [&state, weak](time_point now) {
        if (const auto held = weak.lock()) CheckProgress(state, held, now);
      });
}

// Stops reading from the engine while a slow caller has much left to take.
void ApplyBackPressure(router_state& state, const request_ptr& item) {
  if (item->exchange->PendingBytes() < state.config.max_pending_bytes || item->reading_paused)
    return;
  item->reading_paused = true;
  item->run->PauseReading();
  const std::weak_ptr<request> weak = item;
  item->exchange->on_drained = [&state, weak] {
    const auto held = weak.lock();
    if (!held || !held->reading_paused) return;
    held->reading_paused = false;
    held->last_progress = MonotonicNow();
    if (held->run) held->run->ResumeReading();
    (void)state;
  };
}

void OnTokens(router_state& state, const request_ptr& item, uint32_t attempt, uint32_t first_index,
              std::span<const std::string> tokens) {
  const size_t before = item->answer.tokens.size();
  uint32_t index = first_index;
  for (const std::string& token : tokens) {
    const auto verdict = attempts::OnToken(item->answer, attempt, index++, token);
    if (verdict != attempts::token_verdict::kGap) continue;
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kBroken, "reset",
                                item->route.front().endpoint, "token index out of order");
  }
  const bool first = before == 0;
  item->last_progress = MonotonicNow();
  if (first) WatchProgress(state, item);
  SendTokens(*item, std::span(item->answer.tokens).subspan(before));
  if (item->stream) ApplyBackPressure(state, item);
}

void OnEnd(router_state& state, const request_ptr& item, uint32_t attempt, uint32_t count,
           std::string_view finish_reason) {
  if (attempts::OnEnd(item->answer, attempt, count) != attempts::end_verdict::kComplete) {
    return HandleAttemptFailure(state, item, attempt, attempt_failure::kBroken, "reset",
                                item->route.front().endpoint, "end mark does not match the tokens");
  }
  SendCompletion(*item, finish_reason);
  Retire(state, item);
}

net::run_request MakeRun(const router_state& state, const request& item) {
  net::run_request run;
  run.run_id = item.id;
  run.attempt = item.answer.attempt;
  run.model = item.model;
  run.stages = item.route;
  run.prompt = item.prompt;
  run.delivered = item.answer.tokens;
  run.max_tokens = item.max_tokens;
  run.repeatable = item.answer.repeatable;
  run.header_timeout = state.config.first_token_timeout;
  const auto workspace = state.inventory.workspaces.find(item.workspace);
  if (workspace != state.inventory.workspaces.end()) run.priority = workspace->second.priority;
  return run;
}

net::run_events MakeEvents(router_state& state, const request_ptr& item) {
  const std::weak_ptr<request> weak = item;
  net::run_events events;
  events.on_tokens = [&state, weak](uint32_t attempt, uint32_t first,
                                    std::span<const std::string> tokens) {
    if (const auto held = weak.lock()) OnTokens(state, held, attempt, first, tokens);
  };
  events.on_end = [&state, weak](uint32_t attempt, uint32_t count, std::string_view finish_reason) {
    if (const auto held = weak.lock()) OnEnd(state, held, attempt, count, finish_reason);
  };
  events.on_failed = [&state, weak](uint32_t attempt, net::run_failure failure,
                                    std::string_view endpoint, std::string_view detail) {
    const auto held = weak.lock();
    if (!held) return;
    const failure_kind kind = Classify(failure);
    HandleAttemptFailure(state, held, attempt, kind.failure, kind.retry_reason, endpoint, detail);
  };
  return events;
}

void DispatchModelRequest(router_state& state, const request_ptr& item) {
  item->route = ChooseRoute(state, *item);
  if (item->route.empty()) {
    return GiveUp(state, item, "uncovered_model", "no endpoints hold all layers of " + item->model,
                  std::chrono::seconds(5));
  }
  attempts::Advance(item->phase, phase_event::kDispatched);
  attempts::BeginAttempt(item->answer);
  CountInFlight(state, *item, 1);
  item->last_progress = MonotonicNow();
  WatchProgress(state, item);
  item->run = net::StartRun(*state.client, MakeRun(state, *item), MakeEvents(state, item));
}

// Avoids what failed. A stall does not tell which stage is slow, so the whole route is avoided.
void Exclude(request& item, std::string_view endpoint) {
  if (!endpoint.empty()) {
    item.excluded.emplace(endpoint);
    return;
  }
  std::ranges::for_each(item.route,
                        [&](const net::run_stage& stage) { item.excluded.insert(stage.endpoint); });
}

duration Backoff(router_state& state, uint32_t failures) {
  const uint32_t doublings = std::min(failures, kMaxBackoffDoublings);
  return Jitter(state.rng, kFirstBackoff * (1 << doublings), 0.5);
}

}  // namespace

void Dispatch(router_state& state, const request_ptr& item) {
  if (!item->service.empty()) return DispatchServiceCall(state, item);
  DispatchModelRequest(state, item);
}

void CountInFlight(router_state& state, const request& item, int delta) {
  std::ranges::for_each(
      item.route, [&](const net::run_stage& stage) { state.in_flight[stage.endpoint] += delta; });
}

void HandleAttemptFailure(router_state& state, const request_ptr& item, uint32_t attempt,
                          attempt_failure failure, std::string_view retry_reason,
                          std::string_view endpoint, std::string_view detail) {
  const auto step = attempts::OnAttemptFailed(item->answer, attempt, failure);
  if (step == attempts::next_step::kIgnore) return;
  if (item->run) item->run->Cancel();
  if (item->call) item->call->Cancel();
  item->run.reset();
  item->call.reset();
  item->reading_paused = false;
  CountInFlight(state, *item, -1);
  Exclude(*item, endpoint);
  item->route.clear();
  attempts::Advance(item->phase, phase_event::kAttemptFailed);
  ++item->failures;
  if (step == attempts::next_step::kGiveUp || item->failures >= kMaxAttempts) {
    return GiveUp(state, item, "endpoint_failed", std::string(detail), std::chrono::seconds(1));
  }
  ++state.retries[std::string(retry_reason)];
  const duration wait = Backoff(state, item->failures - 1);
  const std::weak_ptr<request> weak = item;
  item->backoff_timer =
      Subscribe(state.loop.timers(), MonotonicNow() + wait, [&state, weak](time_point) {
        const auto held = weak.lock();
        if (!held) return;
        attempts::Advance(held->phase, phase_event::kBackoffOver);
        Dispatch(state, held);
      });
}

}  // namespace balsambay::router
