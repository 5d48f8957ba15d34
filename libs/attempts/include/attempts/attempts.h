// Attempts, token order and outcome of one request. An answer is put together from one or more
// attempts; only open attempts may add to it, and only the token with the next index. An attempt
// that has fallen silent stays open beside its successor until one of them delivers a token, since
// until then nobody knows which of them will answer. Not thread-safe, no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsambay::attempts {

// States and events of charts/request.scxml, in the order of the name lists in the source file.
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

// Moves `current` along the chart; false when the chart has no such transition, and then nothing
// changes.
bool Advance(phase& current, phase_event event);

// What may be told to the caller.
enum class outcome : uint8_t { kNotRun, kRan, kUnknown };
std::string_view ToString(outcome value);

// Invariants: `open` implies attempt > 0 and not complete; `earlier` is empty unless the request
// may repeat; tokens are in delivery order without gaps; `maybe_ran` never goes back to false.
struct answer {
  bool repeatable = true;
  uint32_t attempt = 0;             // number of the latest attempt; 0 before the first
  bool open = false;                // the latest attempt may still deliver
  std::vector<uint32_t> earlier;    // attempts before it that may still deliver
  bool maybe_ran = false;           // an endpoint may have started work for some attempt
  bool complete = false;            // the end mark of an open attempt was accepted
  std::vector<std::string> tokens;  // delivered tokens, replayed to the next attempt
};

// Test-only switches that turn one mechanism off each.
struct faults {
  bool accept_stale_attempt = false;
  bool not_run_after_reset = false;
};

// Opens the next attempt and returns its number (from 1). Precondition: no attempt is open.
uint32_t BeginAttempt(answer& state);

// Opens the next attempt beside those that are open and silent. Preconditions: an attempt is open,
// and MayHaveSuccessor().
uint32_t BeginSuccessor(answer& state);

// Whether another attempt beside the open ones cannot repeat work that must not repeat.
bool MayHaveSuccessor(const answer& state);

// Whether the attempt may still deliver.
bool IsOpen(const answer& state, uint32_t attempt);

enum class token_verdict : uint8_t { kDeliver, kStaleAttempt, kDuplicate, kGap };

// Takes a token from the wire. It is part of the answer only when the verdict is kDeliver, and then
// all other attempts are closed. kGap is a protocol error: the caller fails the attempt.
token_verdict OnToken(answer& state, uint32_t attempt, uint32_t index, std::string_view token,
                      const faults& off = {});

enum class end_verdict : uint8_t { kComplete, kStaleAttempt, kIncomplete };

// Takes the end mark, which carries the number of tokens of the whole answer.
end_verdict OnEnd(answer& state, uint32_t attempt, uint32_t token_count);

enum class attempt_failure : uint8_t {
  kNotSent,    // no byte was written
  kRefused,    // the endpoint proved that it did not start
  kStageLost,  // the head reported that another stage failed
  kStalled,    // no progress in time
  kBroken,     // the connection broke or the reply was not valid
};

enum class next_step : uint8_t { kIgnore, kMayRetry, kGiveUp, kWait };

// Closes the attempt. kIgnore for an attempt that is not open; kWait while others are open;
// kMayRetry when another attempt cannot repeat work that must not repeat (the retry budget and the
// deadline decide whether it happens).
next_step OnAttemptFailed(answer& state, uint32_t attempt, attempt_failure failure,
                          const faults& off = {});

// The outcome if the request ended now.
outcome OutcomeOf(const answer& state);

}  // namespace balsambay::attempts
