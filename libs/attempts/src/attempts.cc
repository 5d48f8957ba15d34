// Token order and outcome rules.
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

bool IsAnyOpen(const answer& state) { return state.open || !state.earlier.empty(); }

// Closes all attempts but this one.
void Keep(answer& state, uint32_t attempt) {
  state.open = state.open && attempt == state.attempt;
  std::erase_if(state.earlier, [&](uint32_t other) { return other != attempt; });
}

void Close(answer& state, uint32_t attempt) {
  if (attempt == state.attempt) state.open = false;
  std::erase(state.earlier, attempt);
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

uint32_t BeginAttempt(answer& state) {
  CheckInvariant(!IsAnyOpen(state) && !state.complete, "no attempt of the request is open");
  state.open = true;
  return ++state.attempt;
}

uint32_t BeginSuccessor(answer& state) {
  CheckInvariant(IsAnyOpen(state) && MayHaveSuccessor(state),
                 "a successor is opened beside an attempt that may repeat");
  if (state.open) state.earlier.push_back(state.attempt);
  state.open = true;
  return ++state.attempt;
}

bool MayHaveSuccessor(const answer& state) { return state.repeatable && !state.complete; }

bool IsOpen(const answer& state, uint32_t attempt) {
  return (state.open && attempt == state.attempt) ||
         std::ranges::find(state.earlier, attempt) != state.earlier.end();
}

token_verdict OnToken(answer& state, uint32_t attempt, uint32_t index, std::string_view token,
                      const faults& off) {
  const bool open = IsOpen(state, attempt);
  if (!open && !off.accept_stale_attempt) return token_verdict::kStaleAttempt;
  state.maybe_ran = true;
  if (index < state.tokens.size()) return token_verdict::kDuplicate;
  if (index > state.tokens.size()) return token_verdict::kGap;
  state.tokens.emplace_back(token);
  if (open) Keep(state, attempt);
  return token_verdict::kDeliver;
}

end_verdict OnEnd(answer& state, uint32_t attempt, uint32_t token_count) {
  if (!IsOpen(state, attempt)) return end_verdict::kStaleAttempt;
  state.maybe_ran = true;
  if (token_count != state.tokens.size()) return end_verdict::kIncomplete;
  state.open = false;
  state.earlier.clear();
  state.complete = true;
  return end_verdict::kComplete;
}

next_step OnAttemptFailed(answer& state, uint32_t attempt, attempt_failure failure,
                          const faults& off) {
  if (!IsOpen(state, attempt)) return next_step::kIgnore;
  Close(state, attempt);
  if (!ProvesNotStarted(failure) && !off.not_run_after_reset) state.maybe_ran = true;
  if (IsAnyOpen(state)) return next_step::kWait;
  return state.repeatable || !state.maybe_ran ? next_step::kMayRetry : next_step::kGiveUp;
}

outcome OutcomeOf(const answer& state) {
  if (state.complete) return outcome::kRan;
  // An open attempt may be running even though nothing has come back yet.
  return state.maybe_ran || IsAnyOpen(state) ? outcome::kUnknown : outcome::kNotRun;
}

}  // namespace balsambay::attempts
