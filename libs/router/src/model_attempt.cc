// Attempts of model requests.
#include "details/model_attempt.h"

#include <algorithm>

#include "details/dispatch.h"
#include "details/endpoint_monitor.h"
#include "details/planning.h"
#include "details/quarantine_driver.h"
#include "details/replies.h"
#include "details/requests.h"
#include "details/stored_result.h"

namespace balsambay::router {
namespace {

using admission::retry_reason;
using attempts::attempt_failure;

constexpr duration kStageStatusTimeout = std::chrono::milliseconds(300);
constexpr duration kUncoveredComeBack = std::chrono::seconds(5);

attempt_error Classify(net::run_failure failure) {
  switch (failure) {
    case net::run_failure::kNotSent:
      return {attempt_failure::kNotSent, retry_reason::kConnectFailed};
    case net::run_failure::kRefused:
      return {attempt_failure::kRefused, retry_reason::kOverloaded};
    case net::run_failure::kLeaving:
      return {attempt_failure::kRefused, retry_reason::kRefused};
    case net::run_failure::kStageLost:
      return {attempt_failure::kStageLost, retry_reason::kStageLost};
    case net::run_failure::kTimeout:
      return {attempt_failure::kStalled, retry_reason::kStalled};
    case net::run_failure::kBroken:
      break;
  }
  return {attempt_failure::kBroken, retry_reason::kReset};
}

void HandleProtocolError(router_state& state, const request_ptr& item, uint32_t attempt,
                         std::string detail) {
  const open_attempt* const from = FindOpen(*item, attempt);
  if (from == nullptr) return;
  const std::string head = from->route.front().endpoint;
  HandleAttemptFailure(state, item, attempt,
                       {attempt_failure::kBroken, retry_reason::kReset, head, std::move(detail)});
}

duration ProgressLimit(const router_state& state, const request& item) {
  return item.answer.may_have_run ? state.config.token_timeout : state.config.first_token_timeout;
}

void WatchProgress(router_state& state, const request_ptr& item);

// A stage that does not answer a status request either may be lost; its requests get a successor
// beyond the retry budget. When all stages answer, they are slow, and a successor would only add
// load.
void OnStageStatus(router_state& state, const request_ptr& item, uint32_t attempt,
                   const std::string& endpoint, const net::whole_reply& reply) {
  const bool latest = !item->open.empty() && item->open.back().number == attempt;
  const bool stalled = MonotonicNow() - item->last_progress >= ProgressLimit(state, *item);
  if (!latest || !stalled || reply.status == 200) return;
  HandleSilence(
      state, item,
      {attempt_failure::kStalled, retry_reason::kStalled, endpoint, "stage does not answer", true});
}

void AskStages(router_state& state, const request_ptr& item) {
  const std::weak_ptr<request> weak = item;
  for (const net::run_stage& stage : item->open.back().route) {
    net::client_request call;
    call.method = "GET";
    call.url = "http://" + stage.address + "/v1/status";
    call.header_timeout = kStageStatusTimeout;
    net::Fetch(*state.client, std::move(call),
               [&state, weak, attempt = item->open.back().number,
                endpoint = stage.endpoint](const net::whole_reply& reply) {
                 if (const auto held = weak.lock())
                   OnStageStatus(state, held, attempt, endpoint, reply);
               });
  }
}

// Asks the stages after each time without a token. After two, the attempt is silent even if they
// answer. The time while the caller does not read is not counted.
void CheckProgress(router_state& state, const request_ptr& item, time_point now) {
  if (item->open.empty()) return;
  if (item->reading_paused) item->last_progress = now;
  const duration limit = ProgressLimit(state, *item);
  const uint32_t latest = item->open.back().number;
  if (now - item->last_progress >= 2 * limit) {
    HandleSilence(state, item,
                  {attempt_failure::kStalled, retry_reason::kStalled, "", "no token in time"});
  }
  const bool same = item->open.back().number == latest;
  if (same && now - item->last_progress >= limit) AskStages(state, item);
  WatchProgress(state, item);
}

void WatchProgress(router_state& state, const request_ptr& item) {
  const std::weak_ptr<request> weak = item;
  Cancel(state.loop.Timers(), item->progress_timer);
  const duration limit = ProgressLimit(state, *item);
  const duration waited = MonotonicNow() - item->last_progress;
  const time_point due = item->last_progress + limit * (1 + waited / limit);
  item->progress_timer = Subscribe(state.loop.Timers(), due, [&state, weak](time_point now) {
    if (const auto held = weak.lock()) CheckProgress(state, held, now);
  });
}

void OnSlowReaderTimeout(router_state& state, const request_ptr& item) {
  if (!item->reading_paused) return;
  GiveUp(state, item, "slow_reader", "the caller did not read the answer");
}

// Stops reading from the engine while a slow caller has much left to take, so that memory stays
// bounded.
void ApplyBackPressure(router_state& state, const request_ptr& item) {
  if (item->exchange->PendingBytes() < state.config.max_pending_bytes || item->reading_paused)
    return;
  item->reading_paused = true;
  // The attempt that has just delivered is the only one.
  item->open.front().run->PauseReading();
  const std::weak_ptr<request> weak = item;
  Cancel(state.loop.Timers(), item->backoff_timer);
  item->backoff_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + state.config.slow_reader_timeout,
                [&state, weak](time_point) {
                  if (const auto held = weak.lock()) OnSlowReaderTimeout(state, held);
                });
  item->exchange->on_drained = [weak] {
    const auto held = weak.lock();
    if (!held || !held->reading_paused) return;
    held->reading_paused = false;
    held->last_progress = MonotonicNow();
    for (const open_attempt& attempt : held->open) {
      if (attempt.run) attempt.run->ResumeReading();
    }
  };
}

void OnFirstToken(router_state& state, const request_ptr& item, time_point now) {
  metrics::Observe(state.metrics.registry, state.metrics.first_token, Seconds(now - item->arrived));
  WatchProgress(state, item);
}

// Tokens that the library accepts go to the caller in one write.
void OnTokens(router_state& state, const request_ptr& item, uint32_t attempt, uint32_t first_index,
              std::span<const std::string> tokens) {
  const size_t before = item->answer.tokens.size();
  uint32_t index = first_index;
  for (const std::string& token : tokens) {
    const auto verdict = attempts::OnToken(item->answer, attempt, index++, token);
    if (verdict == attempts::token_verdict::kGap) {
      return HandleProtocolError(state, item, attempt, "token index out of order");
    }
    if (verdict != attempts::token_verdict::kDeliver) {
      metrics::Increment(state.metrics.registry, state.metrics.stale_messages);
    }
  }
  const size_t delivered = item->answer.tokens.size() - before;
  if (delivered == 0) return;
  CloseOthers(state, *item, attempt);
  item->open.front().silent.clear();
  item->last_progress = MonotonicNow();
  if (before == 0) OnFirstToken(state, item, item->last_progress);
  if (!std::exchange(item->progressed, true)) OnRunProgress(state, *item);
  metrics::Increment(state.metrics.registry, state.metrics.tokens, delivered);
  SendTokens(*item, std::span(item->answer.tokens).subspan(before));
  if (item->stream) ApplyBackPressure(state, item);
}

void OnEnd(router_state& state, const request_ptr& item, uint32_t attempt, uint32_t count,
           std::string_view finish_reason) {
  if (attempts::OnEnd(item->answer, attempt, count) != attempts::end_verdict::kComplete) {
    return HandleProtocolError(state, item, attempt, "end mark does not match the tokens");
  }
  CloseOthers(state, *item, attempt);
  const std::vector<net::run_stage> route = item->open.front().route;
  std::ranges::for_each(route, [&](const net::run_stage& stage) {
    ReportEvidence(state, stage.endpoint, health::evidence_kind::kSuccess);
  });
  OnRouteSucceeded(state, *item, route);
  SendCompletion(*item, finish_reason);
  Complete(state, item, item->submission ? EncodeModelResult(*item, finish_reason) : "");
}

net::run_request MakeRun(const router_state& state, const request& item,
                         const open_attempt& attempt) {
  net::run_request run;
  run.run_id = item.id;
  run.attempt = attempt.number;
  run.model = item.model;
  run.stages = attempt.route;
  run.prompt = item.prompt;
  run.delivered = item.answer.tokens;
  run.max_tokens = item.max_tokens;
  run.repeatable = item.answer.repeatable;
  run.connect_timeout = state.config.first_token_timeout;
  // Once the request is sent, silence is judged by CheckProgress.
  run.header_timeout = item.deadline - attempt.started;
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
    attempt_error error = Classify(failure);
    error.endpoint = endpoint;
    error.detail = detail;
    HandleAttemptFailure(state, held, attempt, error);
  };
  return events;
}

}  // namespace

void DispatchModelRequest(router_state& state, const request_ptr& item) {
  auto route = ChooseRoute(state, *item);
  if (route.empty()) {
    return GiveUp(state, item, "uncovered_model", DescribeUncovered(state, item->model),
                  kUncoveredComeBack);
  }
  StartModelAttempt(state, item, std::move(route));
}

void StartModelAttempt(router_state& state, const request_ptr& item,
                       std::vector<net::run_stage> route) {
  open_attempt* const attempt = BeginDispatch(state, item, std::move(route));
  if (attempt == nullptr) return;
  item->last_progress = MonotonicNow();
  WatchProgress(state, item);
  attempt->run =
      net::StartRun(*state.client, MakeRun(state, *item, *attempt), MakeEvents(state, item));
}

}  // namespace balsambay::router
