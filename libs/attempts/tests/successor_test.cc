// Properties of attempts beside each other. A silent attempt may go on at any time, so it stays
// open until its successor delivers: whichever of them comes first answers, and the other adds
// nothing.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

#include "attempts/attempts.h"

namespace balsambay::attempts {
namespace {

constexpr uint32_t kAnswerLength = 6;

std::string TrueToken(uint32_t index) { return "t" + std::to_string(index); }

struct model {
  answer state;
  std::vector<std::deque<uint32_t>> streams{1};  // indexes still to come, by attempt
  std::vector<std::string> delivered;
  std::vector<uint32_t> failed;
  uint32_t started = 0;  // attempts that an endpoint may have begun to execute
  bool over = false;
};

std::vector<uint32_t> OpenOnes(const model& m) {
  std::vector<uint32_t> out;
  for (uint32_t i = 1; i < m.streams.size(); ++i) {
    if (IsOpen(m.state, i)) out.push_back(i);
  }
  return out;
}

void Begin(model& m, uint32_t attempt) {
  m.streams.resize(attempt + 1);
  for (auto i = static_cast<uint32_t>(m.state.tokens.size()); i <= kAnswerLength; ++i) {
    m.streams[attempt].push_back(i);
  }
}

// The next message of any attempt, closed ones too.
void Receive(model& m, uint32_t attempt) {
  if (m.streams[attempt].empty()) return;
  const uint32_t index = m.streams[attempt].front();
  m.streams[attempt].pop_front();
  const bool open = IsOpen(m.state, attempt);
  if (open) m.started |= 1U << attempt;
  if (index == kAnswerLength) {
    const bool complete = OnEnd(m.state, attempt, kAnswerLength) == end_verdict::kComplete;
    RC_ASSERT(complete == open);
    return;
  }
  const auto verdict = OnToken(m.state, attempt, index, TrueToken(index));
  RC_ASSERT((verdict == token_verdict::kStaleAttempt) == !open);
  if (verdict != token_verdict::kDeliver) return;
  m.delivered.push_back(TrueToken(index));
  RC_ASSERT(OpenOnes(m) == std::vector<uint32_t>{attempt});
}

void FailOne(model& m, uint32_t attempt, attempt_failure failure) {
  const bool proof = failure == attempt_failure::kNotSent || failure == attempt_failure::kRefused;
  // An endpoint that has sent tokens cannot prove that it did not start.
  if (!IsOpen(m.state, attempt) || (proof && (m.started & (1U << attempt)) != 0)) return;
  if (!proof) m.started |= 1U << attempt;
  const size_t others = OpenOnes(m).size() - 1;
  const next_step step = OnAttemptFailed(m.state, attempt, failure);
  RC_ASSERT((step == next_step::kWait) == (others > 0));
  m.over = step == next_step::kGiveUp;
}

// Interprets `choices` as an interleaving of attempts, messages and failures.
model Simulate(const std::vector<uint16_t>& choices, bool repeatable) {
  model m;
  m.state.repeatable = repeatable;
  for (const uint16_t choice : choices) {
    if (m.state.complete || m.over || m.streams.size() > 20) break;
    const auto open = OpenOnes(m);
    if (open.empty()) {
      Begin(m, BeginAttempt(m.state));
      continue;
    }
    const auto which = static_cast<uint32_t>(1 + (choice / 8) % (m.streams.size() - 1));
    const uint32_t action = choice % 8;
    if (action == 0 && MayHaveSuccessor(m.state)) {
      Begin(m, BeginSuccessor(m.state));
    } else if (action < 6) {
      Receive(m, which);
    } else {
      FailOne(m, which, static_cast<attempt_failure>((choice / 64) % 5));
    }
  }
  return m;
}

TEST_CASE("attempts beside each other make one answer, without a gap or a token twice") {
  rc::prop("one answer", [](const std::vector<uint16_t>& choices) {
    const model m = Simulate(choices, true);
    RC_ASSERT(m.delivered == m.state.tokens);
    for (uint32_t i = 0; i < m.delivered.size(); ++i) RC_ASSERT(m.delivered[i] == TrueToken(i));
    if (m.state.complete) RC_ASSERT(m.delivered.size() == kAnswerLength);
    if (m.state.complete) RC_ASSERT(OpenOnes(m).empty());
  });
}

TEST_CASE("the outcome told is true with attempts beside each other") {
  rc::prop("outcome", [](const std::vector<uint16_t>& choices, bool repeatable) {
    const model m = Simulate(choices, repeatable);
    if (OutcomeOf(m.state) == outcome::kNotRun) RC_ASSERT(m.started == 0U);
    if (!repeatable) RC_ASSERT(__builtin_popcount(m.started) <= 1);
  });
}

TEST_CASE("a silent attempt goes on after its successor was refused") {
  answer state;
  const uint32_t first = BeginAttempt(state);
  REQUIRE(OnToken(state, first, 0, "a") == token_verdict::kDeliver);
  const uint32_t second = BeginSuccessor(state);
  CHECK(OnAttemptFailed(state, second, attempt_failure::kRefused) == next_step::kWait);
  CHECK(OnToken(state, first, 1, "b") == token_verdict::kDeliver);
  CHECK(OnEnd(state, first, 2) == end_verdict::kComplete);
}

TEST_CASE("a silent attempt that goes on first closes its successor") {
  answer state;
  const uint32_t first = BeginAttempt(state);
  const uint32_t second = BeginSuccessor(state);
  CHECK(OnToken(state, first, 0, "a") == token_verdict::kDeliver);
  CHECK(OnToken(state, second, 0, "a") == token_verdict::kStaleAttempt);
  CHECK(OnAttemptFailed(state, second, attempt_failure::kBroken) == next_step::kIgnore);
  CHECK(OnAttemptFailed(state, first, attempt_failure::kBroken) == next_step::kMayRetry);
  CHECK(BeginAttempt(state) == 3);
}

TEST_CASE("a request that may not repeat has no successor while an attempt is open") {
  answer state;
  state.repeatable = false;
  BeginAttempt(state);
  CHECK_FALSE(MayHaveSuccessor(state));
}

}  // namespace
}  // namespace balsambay::attempts
