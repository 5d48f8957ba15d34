// Runs attempts of model requests: progress supervision, delivery of tokens and back pressure.
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
constexpr duration kUncoveredRetryAfter = std::chrono::seconds(5);

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
    case net::run_failure::kNoMemory:  // ends the request instead
      break;
  }
  return {attempt_failure::kBroken, retry_reason::kReset};
}

void HandleProtocolError(router_state& state, const request_ptr& request, uint32_t attempt,
                         std::string detail) {
  const open_attempt* const current = FindOpenAttempt(*request, attempt);
  if (current == nullptr) return;
  const std::string head = current->route.front().endpoint;
  HandleAttemptFailure(state, request, attempt,
                       {attempt_failure::kBroken, retry_reason::kReset, head, std::move(detail)});
}

duration ProgressLimit(const router_state& state, const caller_request& request) {
  return request.response.may_have_run ? state.config.token_timeout
                                       : state.config.first_token_timeout;
}

void WatchProgress(router_state& state, const request_ptr& request);

// A stage that does not answer a status request either may be lost; its requests get a successor
// outside the retry budget. When all stages answer, they are only slow, and a successor would
// merely add load.
void OnStageStatus(router_state& state, const request_ptr& request, uint32_t attempt,
                   const std::string& endpoint, const net::whole_reply& reply) {
  const bool latest =
      !request->open_attempts.empty() && request->open_attempts.back().number == attempt;
  const bool stalled = MonotonicNow() - request->last_progress >= ProgressLimit(state, *request);
  const bool answers = reply.end.failure == net::call_failure::kNone && reply.status == 200;
  if (!latest || !stalled || answers) return;
  HandleSilentAttempt(
      state, request,
      {attempt_failure::kStalled, retry_reason::kStalled, endpoint, "stage does not answer", true});
}

void ProbeStages(router_state& state, const request_ptr& request) {
  const std::weak_ptr<caller_request> weak = request;
  for (const net::run_stage& stage : request->open_attempts.back().route) {
    net::client_request call;
    call.method = "GET";
    call.url = "http://" + stage.address + "/v1/status";
    call.header_timeout = kStageStatusTimeout;
    net::Fetch(*state.client, std::move(call),
               [&state, weak, attempt = request->open_attempts.back().number,
                endpoint = stage.endpoint](const net::whole_reply& reply) {
                 if (const auto locked = weak.lock())
                   OnStageStatus(state, locked, attempt, endpoint, reply);
               },
               {.body_bytes = kMaxStatusBytes});
  }
}

// Requests the status of all stages after each progress limit without a token. After two limits the
// attempt counts as silent even if the stages answer. Time in which reading is paused for a slow
// caller is not counted.
void CheckProgress(router_state& state, const request_ptr& request, time_point now) {
  if (request->open_attempts.empty()) return;
  if (request->reading_paused) request->last_progress = now;
  const duration limit = ProgressLimit(state, *request);
  const uint32_t latest = request->open_attempts.back().number;
  if (now - request->last_progress >= 2 * limit) {
    HandleSilentAttempt(
        state, request,
        {attempt_failure::kStalled, retry_reason::kStalled, "", "no token in time"});
  }
  const bool same = request->open_attempts.back().number == latest;
  if (same && now - request->last_progress >= limit) ProbeStages(state, request);
  WatchProgress(state, request);
}

void WatchProgress(router_state& state, const request_ptr& request) {
  const std::weak_ptr<caller_request> weak = request;
  Cancel(state.loop.Timers(), request->progress_timer);
  const duration limit = ProgressLimit(state, *request);
  const duration waited = MonotonicNow() - request->last_progress;
  const time_point due = request->last_progress + limit * (1 + waited / limit);
  request->progress_timer = Subscribe(state.loop.Timers(), due, [&state, weak](time_point now) {
    if (const auto locked = weak.lock()) CheckProgress(state, locked, now);
  });
}

void OnSlowReaderTimeout(router_state& state, const request_ptr& request) {
  if (!request->reading_paused) return;
  FailRequest(state, request, "slow_reader", "the caller did not read the answer");
}

// Pauses reading from the engine while too many bytes are pending for a slow caller, so that memory
// use stays bounded.
void ApplyBackPressure(router_state& state, const request_ptr& request) {
  if (request->exchange->PendingBytes() < state.config.max_pending_bytes || request->reading_paused)
    return;
  request->reading_paused = true;
  // OnTokens() has closed all other attempts.
  request->open_attempts.front().run->PauseReading();
  const std::weak_ptr<caller_request> weak = request;
  Cancel(state.loop.Timers(), request->backoff_timer);
  request->backoff_timer =
      Subscribe(state.loop.Timers(), MonotonicNow() + state.config.slow_reader_timeout,
                [&state, weak](time_point) {
                  if (const auto locked = weak.lock()) OnSlowReaderTimeout(state, locked);
                });
  request->exchange->on_drained = [weak] {
    const auto locked = weak.lock();
    if (!locked || !locked->reading_paused) return;
    locked->reading_paused = false;
    locked->last_progress = MonotonicNow();
    for (const open_attempt& attempt : locked->open_attempts) {
      if (attempt.run) attempt.run->ResumeReading();
    }
  };
}

void OnFirstToken(router_state& state, const request_ptr& request, time_point now) {
  metrics::Observe(state.metrics.registry, state.metrics.first_token,
                   Seconds(now - request->arrived));
  WatchProgress(state, request);
}

// Writes all accepted tokens to the caller at once.
void OnTokens(router_state& state, const request_ptr& request, uint32_t attempt,
              uint32_t first_index, std::span<const std::string> tokens) {
  if (request->buffer->IsReclaimed()) return;  // a timer ends the request
  const size_t previous_count = request->response.tokens.size();
  uint32_t index = first_index;
  for (const std::string& token : tokens) {
    const auto verdict = attempts::OnToken(request->response, attempt, index++, token);
    if (verdict == attempts::token_verdict::kGap) {
      return HandleProtocolError(state, request, attempt, "token index out of order");
    }
    if (verdict != attempts::token_verdict::kDeliver) {
      metrics::Increment(state.metrics.registry, state.metrics.stale_messages);
    }
  }
  const size_t delivered = request->response.tokens.size() - previous_count;
  if (delivered == 0) return;
  for (const std::string& token : std::span(request->response.tokens).subspan(previous_count))
    request->token_bytes += sizeof(std::string) + token.size();
  if (!HoldAnswer(state, request, request->token_bytes + request->exchange->PendingBytes())) return;
  CloseOtherAttempts(state, *request, attempt);
  request->open_attempts.front().silent_endpoints.clear();
  request->last_progress = MonotonicNow();
  if (previous_count == 0) OnFirstToken(state, request, request->last_progress);
  if (!std::exchange(request->progressed, true)) OnRunProgress(state, *request);
  metrics::Increment(state.metrics.registry, state.metrics.tokens, delivered);
  SendTokens(*request, std::span(request->response.tokens).subspan(previous_count));
  if (request->stream) ApplyBackPressure(state, request);
}

void OnEnd(router_state& state, const request_ptr& request, uint32_t attempt, uint32_t count,
           std::string_view finish_reason) {
  if (request->buffer->IsReclaimed()) return;  // a timer ends the request
  if (attempts::OnEnd(request->response, attempt, count) != attempts::end_verdict::kComplete) {
    return HandleProtocolError(state, request, attempt, "end mark does not match the tokens");
  }
  CloseOtherAttempts(state, *request, attempt);
  const std::vector<net::run_stage> route = request->open_attempts.front().route;
  std::ranges::for_each(route, [&](const net::run_stage& stage) {
    ReportEvidence(state, stage.endpoint, health::evidence_kind::kSuccess);
  });
  OnRouteSucceeded(state, *request, route);
  SendCompletion(*request, finish_reason);
  CompleteRequest(state, request,
                  request->submission ? EncodeModelResult(*request, finish_reason) : "");
}

net::run_request MakeRun(const router_state& state, const caller_request& request,
                         const open_attempt& attempt) {
  net::run_request run;
  run.run_id = request.id;
  run.attempt = attempt.number;
  run.model = request.model;
  run.stages = attempt.route;
  run.prompt = request.prompt;
  run.delivered = request.response.tokens;
  run.max_tokens = request.max_tokens;
  run.repeatable = request.response.repeatable;
  run.buffers = state.buffers;
  run.connect_timeout = state.config.first_token_timeout;
  // After the request is sent, CheckProgress() detects stalls.
  run.header_timeout = request.deadline - attempt.started;
  const auto workspace = state.inventory.workspaces.find(request.workspace);
  if (workspace != state.inventory.workspaces.end()) run.priority = workspace->second.priority;
  return run;
}

net::run_events MakeEvents(router_state& state, const request_ptr& request) {
  const std::weak_ptr<caller_request> weak = request;
  net::run_events events;
  events.on_tokens = [&state, weak](uint32_t attempt, uint32_t first,
                                    std::span<const std::string> tokens) {
    if (const auto locked = weak.lock()) OnTokens(state, locked, attempt, first, tokens);
  };
  events.on_end = [&state, weak](uint32_t attempt, uint32_t count, std::string_view finish_reason) {
    if (const auto locked = weak.lock()) OnEnd(state, locked, attempt, count, finish_reason);
  };
  events.on_failed = [&state, weak](uint32_t attempt, net::run_failure failure,
                                    std::string_view endpoint, std::string_view detail) {
    const auto locked = weak.lock();
    if (!locked) return;
    if (failure == net::run_failure::kNoMemory) return FailForMemory(state, locked);
    attempt_error error = Classify(failure);
    error.endpoint = endpoint;
    error.detail = detail;
    HandleAttemptFailure(state, locked, attempt, error);
  };
  return events;
}

}  // namespace

void DispatchModelRequest(router_state& state, const request_ptr& request) {
  auto route = ChooseRoute(state, *request);
  if (route.empty()) {
    return FailRequest(state, request, "uncovered_model", DescribeUncovered(state, request->model),
                       kUncoveredRetryAfter);
  }
  StartModelAttempt(state, request, std::move(route));
}

void StartModelAttempt(router_state& state, const request_ptr& request,
                       std::vector<net::run_stage> route) {
  open_attempt* const attempt = BeginDispatch(state, request, std::move(route));
  if (attempt == nullptr) return;
  request->last_progress = MonotonicNow();
  WatchProgress(state, request);
  attempt->run =
      net::StartRun(*state.client, MakeRun(state, *request, *attempt), MakeEvents(state, request));
}

}  // namespace balsambay::router
