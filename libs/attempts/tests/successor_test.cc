// Property tests of parallel attempts. A silent attempt may resume at any time, so it stays open
// until its successor delivers a token. The attempt that delivers first continues the response, and
// the other one adds nothing to it.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

#include "attempts/attempts.h"

namespace balsambay::attempts {
namespace {

constexpr uint32_t kResponseTokens = 6;

std::string ExpectedToken(uint32_t index) { return "t" + std::to_string(index); }

// A request, its endpoints and the messages that are still to come from them.
struct model {
  response_state response;
  std::vector<std::deque<uint32_t>> streams{1};  // indexes of pending tokens, by attempt
  std::vector<std::string> delivered;
  std::vector<uint32_t> failed;
  uint32_t started = 0;  // bit mask of attempts that an endpoint may have begun to execute
  bool gave_up = false;
};

std::vector<uint32_t> OpenAttempts(const model& m) {
  std::vector<uint32_t> open;
  for (uint32_t i = 1; i < m.streams.size(); ++i) {
    if (IsOpen(m.response, i)) open.push_back(i);
  }
  return open;
}

void Begin(model& m, uint32_t attempt) {
  m.streams.resize(attempt + 1);
  for (auto i = static_cast<uint32_t>(m.response.tokens.size()); i <= kResponseTokens; ++i) {
    m.streams[attempt].push_back(i);
  }
}

// Receives the next message of an attempt, open or closed.
void Receive(model& m, uint32_t attempt) {
  if (m.streams[attempt].empty()) return;
  const uint32_t index = m.streams[attempt].front();
  m.streams[attempt].pop_front();
  const bool open = IsOpen(m.response, attempt);
  if (open) m.started |= 1U << attempt;
  if (index == kResponseTokens) {
    const bool complete = OnEnd(m.response, attempt, kResponseTokens) == end_verdict::kComplete;
    RC_ASSERT(complete == open);
    return;
  }
  const auto verdict = OnToken(m.response, attempt, index, ExpectedToken(index));
  RC_ASSERT((verdict == token_verdict::kStaleAttempt) == !open);
  if (verdict != token_verdict::kDeliver) return;
  m.delivered.push_back(ExpectedToken(index));
  RC_ASSERT(OpenAttempts(m) == std::vector<uint32_t>{attempt});
}

void Fail(model& m, uint32_t attempt, attempt_failure failure) {
  const bool proves_not_started =
      failure == attempt_failure::kNotSent || failure == attempt_failure::kRefused;
  // An endpoint that has sent tokens cannot prove that it did not start.
  if (!IsOpen(m.response, attempt) || (proves_not_started && (m.started & (1U << attempt)) != 0))
    return;
  if (!proves_not_started) m.started |= 1U << attempt;
  const size_t other_open = OpenAttempts(m).size() - 1;
  const next_step step = OnAttemptFailed(m.response, attempt, failure);
  RC_ASSERT((step == next_step::kWait) == (other_open > 0));
  m.gave_up = step == next_step::kGiveUp;
}

// Interprets `choices` as a random interleaving of attempts, messages and failures.
model Simulate(const std::vector<uint16_t>& choices, bool repeatable) {
  model m;
  m.response.repeatable = repeatable;
  for (const uint16_t choice : choices) {
    if (m.response.complete || m.gave_up || m.streams.size() > 20) break;
    const auto open = OpenAttempts(m);
    if (open.empty()) {
      Begin(m, BeginAttempt(m.response));
      continue;
    }
    const auto attempt = static_cast<uint32_t>(1 + (choice / 8) % (m.streams.size() - 1));
    const uint32_t action = choice % 8;
    if (action == 0 && MayHaveSuccessor(m.response)) {
      Begin(m, BeginSuccessor(m.response));
    } else if (action < 6) {
      Receive(m, attempt);
    } else {
      Fail(m, attempt, static_cast<attempt_failure>((choice / 64) % 5));
    }
  }
  return m;
}

TEST_CASE("parallel attempts make one response without gaps or duplicate tokens") {
  rc::prop("one response", [](const std::vector<uint16_t>& choices) {
    const model m = Simulate(choices, true);
    RC_ASSERT(m.delivered == m.response.tokens);
    for (uint32_t i = 0; i < m.delivered.size(); ++i) RC_ASSERT(m.delivered[i] == ExpectedToken(i));
    if (m.response.complete) RC_ASSERT(m.delivered.size() == kResponseTokens);
    if (m.response.complete) RC_ASSERT(OpenAttempts(m).empty());
  });
}

TEST_CASE("the outcome is correct with parallel attempts") {
  rc::prop("the outcome is correct", [](const std::vector<uint16_t>& choices, bool repeatable) {
    const model m = Simulate(choices, repeatable);
    if (OutcomeOf(m.response) == outcome::kNotRun) RC_ASSERT(m.started == 0U);
    if (!repeatable) RC_ASSERT(__builtin_popcount(m.started) <= 1);
  });
}

TEST_CASE("a silent attempt can continue after its successor was refused") {
  response_state response;
  const uint32_t first = BeginAttempt(response);
  REQUIRE(OnToken(response, first, 0, "a") == token_verdict::kDeliver);
  const uint32_t second = BeginSuccessor(response);
  CHECK(OnAttemptFailed(response, second, attempt_failure::kRefused) == next_step::kWait);
  CHECK(OnToken(response, first, 1, "b") == token_verdict::kDeliver);
  CHECK(OnEnd(response, first, 2) == end_verdict::kComplete);
}

TEST_CASE("a silent attempt that resumes first closes its successor") {
  response_state response;
  const uint32_t first = BeginAttempt(response);
  const uint32_t second = BeginSuccessor(response);
  CHECK(OnToken(response, first, 0, "a") == token_verdict::kDeliver);
  CHECK(OnToken(response, second, 0, "a") == token_verdict::kStaleAttempt);
  CHECK(OnAttemptFailed(response, second, attempt_failure::kBroken) == next_step::kIgnore);
  CHECK(OnAttemptFailed(response, first, attempt_failure::kBroken) == next_step::kMayRetry);
  CHECK(BeginAttempt(response) == 3);
}

TEST_CASE("a non-repeatable request has no successor while an attempt is open") {
  response_state response;
  response.repeatable = false;
  BeginAttempt(response);
  CHECK_FALSE(MayHaveSuccessor(response));
}

}  // namespace
}  // namespace balsambay::attempts
