// Attempts, token order and outcome of one request. A response is assembled from the tokens of one
// or more attempts. Only open attempts may add to it, and only the token with the next index. An
// attempt that is silent stays open in parallel with its successor until one of them delivers a
// token, because until then it is not known which of them will respond. Not thread-safe, no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsambay::attempts {

// States and events of charts/request.scxml, in the order of kPhaseNames and kEventNames in
// attempts.cc.
enum class phase : uint8_t { kQueued, kClaiming, kReady, kRunning, kBackoff, kDone };
enum class phase_event : uint8_t {
  kAdmitted,
  kAdmittedWithClaim,
  kGranted,
  kDispatched,
  kAttemptFailed,
  kBackoffOver,
  kFinished,
};

// Applies the event to `current`. Returns false and leaves `current` as it is when the chart has no
// such transition.
bool Advance(phase& current, phase_event event);

// What is reported to the caller about the execution of its request: kNotRun, no endpoint has
// started it; kRan, it was executed; kUnknown, an endpoint may have started it.
enum class outcome : uint8_t { kNotRun, kRan, kUnknown };
std::string_view ToString(outcome value);

// The response to one request, with the attempts that may still add to it. Invariants: `open`
// implies attempt > 0 and not complete; `earlier_open` is empty unless `repeatable`; `tokens` are
// in delivery order without gaps; `may_have_run` never returns to false.
struct response_state {
  bool repeatable = true;              // the request may be executed more than once
  uint32_t attempt = 0;                // number of the latest attempt; 0 before the first
  bool open = false;                   // the latest attempt may still deliver tokens
  std::vector<uint32_t> earlier_open;  // attempts before the latest that may still deliver tokens
  bool may_have_run = false;           // an endpoint may have started work for some attempt
  bool complete = false;               // the end mark of an open attempt was accepted
  std::vector<std::string> tokens;     // delivered tokens, replayed to the next attempt
};

// Test-only switches; each disables one check, so that a test can show that it detects the fault.
struct injected_faults {
  bool accept_stale_attempt = false;  // tokens of closed attempts are delivered
  bool not_run_after_reset = false;   // a failed attempt counts as not started
};

// Opens the next attempt and returns its number (from 1). Precondition: no attempt is open.
uint32_t BeginAttempt(response_state& response);

// Opens the next attempt in parallel with those that are open and silent, and returns its number.
// Preconditions: an attempt is open, and MayHaveSuccessor().
uint32_t BeginSuccessor(response_state& response);

// Whether an attempt may be started in parallel with the open ones: the response is not complete,
// and the request may be executed more than once.
bool MayHaveSuccessor(const response_state& response);

// Whether the attempt may still deliver tokens.
bool IsOpen(const response_state& response, uint32_t attempt);

enum class token_verdict : uint8_t { kDeliver, kStaleAttempt, kDuplicate, kGap };

// Handles a token received from an endpoint. The token is part of the response only if the verdict
// is kDeliver; all other attempts are then closed. kGap is a protocol error: the caller must fail
// the attempt.
token_verdict OnToken(response_state& response, uint32_t attempt, uint32_t index,
                      std::string_view token, const injected_faults& faults = {});

enum class end_verdict : uint8_t { kComplete, kStaleAttempt, kIncomplete };

// Handles the end mark, which carries the number of tokens of the whole response. kIncomplete: the
// number differs from that of the delivered tokens.
end_verdict OnEnd(response_state& response, uint32_t attempt, uint32_t token_count);

enum class attempt_failure : uint8_t {
  kNotSent,    // no byte of the request was written
  kRefused,    // the endpoint proved that it did not start
  kStageLost,  // the head stage reported that another stage failed
  kStalled,    // no progress in time
  kBroken,     // the connection broke or the reply was not valid
};

enum class next_step : uint8_t { kIgnore, kMayRetry, kGiveUp, kWait };

// Closes the attempt. Returns kIgnore for an attempt that is not open; kWait while other attempts
// are open; kMayRetry if the request may be executed more than once or no endpoint has started it
// (the retry budget and the deadline decide whether there is a retry); kGiveUp otherwise.
next_step OnAttemptFailed(response_state& response, uint32_t attempt, attempt_failure failure,
                          const injected_faults& faults = {});

// The outcome to report if the request ends now.
outcome OutcomeOf(const response_state& response);

}  // namespace balsambay::attempts
