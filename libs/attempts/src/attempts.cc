// Rules for attempts, token order and outcome of a request.
#include "attempts/attempts.h"

#include <algorithm>
#include <array>

#include "base/result.h"
#include "chart/chart.h"
#include "request_chart.h"

namespace balsambay::attempts {
namespace {

constexpr std::array<std::string_view, 6> kPhaseNames = {"queued",  "claiming", "ready",
                                                         "running", "backoff",  "done"};
constexpr std::array<std::string_view, 7> kEventNames = {
    "admitted",       "admitted_with_claim", "granted", "dispatched",
    "attempt_failed", "backoff_over",        "finished"};

bool ProvesNotStarted(attempt_failure failure) {
  return failure == attempt_failure::kNotSent || failure == attempt_failure::kRefused;
}

bool IsAnyOpen(const response_state& response) {
  return response.open || !response.earlier_open.empty();
}

// Closes all attempts except this one.
void CloseOthers(response_state& response, uint32_t attempt) {
  response.open = response.open && attempt == response.attempt;
  std::erase_if(response.earlier_open, [&](uint32_t number) { return number != attempt; });
}

void Close(response_state& response, uint32_t attempt) {
  if (attempt == response.attempt) response.open = false;
  std::erase(response.earlier_open, attempt);
}

}  // namespace

bool Advance(phase& current, phase_event event) {
  static const chart::table request_chart =
      chart::ParseEmbedded(charts::request, kPhaseNames, kEventNames);
  return chart::Step(request_chart, current, event);
}

std::string_view ToString(outcome value) {
  switch (value) {
    case outcome::kNotRun:
      return "not-run";
    case outcome::kRan:
      return "ran";
    case outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

uint32_t BeginAttempt(response_state& response) {
  CheckInvariant(!IsAnyOpen(response) && !response.complete,
                 "a new attempt requires that no attempt is open and the response is not complete");
  response.open = true;
  return ++response.attempt;
}

uint32_t BeginSuccessor(response_state& response) {
  CheckInvariant(IsAnyOpen(response) && MayHaveSuccessor(response),
                 "a successor requires an open attempt and a request that may be repeated");
  if (response.open) response.earlier_open.push_back(response.attempt);
  response.open = true;
  return ++response.attempt;
}

bool MayHaveSuccessor(const response_state& response) {
  return response.repeatable && !response.complete;
}

bool IsOpen(const response_state& response, uint32_t attempt) {
  return (response.open && attempt == response.attempt) ||
         std::ranges::find(response.earlier_open, attempt) != response.earlier_open.end();
}

token_verdict OnToken(response_state& response, uint32_t attempt, uint32_t index,
                      std::string_view token, const injected_faults& faults) {
  const bool open = IsOpen(response, attempt);
  if (!open && !faults.accept_stale_attempt) return token_verdict::kStaleAttempt;
  response.may_have_run = true;
  if (index < response.tokens.size()) return token_verdict::kDuplicate;
  if (index > response.tokens.size()) return token_verdict::kGap;
  response.tokens.emplace_back(token);
  if (open) CloseOthers(response, attempt);
  return token_verdict::kDeliver;
}

end_verdict OnEnd(response_state& response, uint32_t attempt, uint32_t token_count) {
  if (!IsOpen(response, attempt)) return end_verdict::kStaleAttempt;
  response.may_have_run = true;
  if (token_count != response.tokens.size()) return end_verdict::kIncomplete;
  response.open = false;
  response.earlier_open.clear();
  response.complete = true;
  return end_verdict::kComplete;
}

next_step OnAttemptFailed(response_state& response, uint32_t attempt, attempt_failure failure,
                          const injected_faults& faults) {
  if (!IsOpen(response, attempt)) return next_step::kIgnore;
  Close(response, attempt);
  if (!ProvesNotStarted(failure) && !faults.not_run_after_reset) response.may_have_run = true;
  if (IsAnyOpen(response)) return next_step::kWait;
  return response.repeatable || !response.may_have_run ? next_step::kMayRetry : next_step::kGiveUp;
}

outcome OutcomeOf(const response_state& response) {
  if (response.complete) return outcome::kRan;
  // An endpoint may be working on an open attempt without having replied yet.
  return response.may_have_run || IsAnyOpen(response) ? outcome::kUnknown : outcome::kNotRun;
}

}  // namespace balsambay::attempts
