// Property tests of attempts: the caller receives the tokens of an undisturbed response unless an
// error is reported, and the reported outcome is correct. The library is driven by a model of
// endpoints whose messages may be late or repeated.
#include "attempts/attempts.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>

namespace balsambay::attempts {
namespace {

constexpr uint32_t kResponseTokens = 6;

std::string ExpectedToken(uint32_t index) { return "t" + std::to_string(index); }

// A message of an attempt to the gateway.
struct message {
  uint32_t attempt;
  uint32_t index;  // kResponseTokens: the end mark
};

// What a simulated run did.
struct run_log {
  std::vector<std::string> delivered;
  uint32_t started_attempts = 0;  // bit mask of attempts that an endpoint began to execute
  bool gave_up = false;
};

// Interprets `choices` as a random interleaving of new attempts, failures of each kind, and
// messages, which may be late, repeated, or reordered between attempts.
run_log Simulate(response_state& response, const std::vector<uint16_t>& choices,
                 const injected_faults& faults) {
  run_log log;
  std::vector<std::deque<message>> streams(1);  // pending messages, by attempt
  for (const uint16_t choice : choices) {
    if (response.complete || log.gave_up) break;
    if (!response.open) {
      const uint32_t attempt = BeginAttempt(response);
      streams.emplace_back();
      for (auto i = static_cast<uint32_t>(response.tokens.size()); i <= kResponseTokens; ++i) {
        streams[attempt].push_back({attempt, i});
      }
      continue;
    }
    const uint32_t action = choice % 8;
    if (action < 5) {  // the next message of any attempt, open or closed
      auto& stream = streams[1 + (choice / 8) % (streams.size() - 1)];
      if (stream.empty()) continue;
      const message next = stream.front();
      if (action != 4) stream.pop_front();  // action 4: the message arrives again later
      if (next.attempt == response.attempt) log.started_attempts |= 1U << next.attempt;
      if (next.index == kResponseTokens) {
        OnEnd(response, next.attempt, kResponseTokens);
      } else if (OnToken(response, next.attempt, next.index, ExpectedToken(next.index), faults) ==
                 token_verdict::kDeliver) {
        log.delivered.push_back(ExpectedToken(next.index));
      }
      continue;
    }
    const auto failure = static_cast<attempt_failure>((choice / 8) % 5);
    const bool proves_not_started =
        failure == attempt_failure::kNotSent || failure == attempt_failure::kRefused;
    const bool started = (log.started_attempts & (1U << response.attempt)) != 0;
    if (proves_not_started && started)
      continue;  // an endpoint that has sent tokens cannot prove that it did not start
    if (!proves_not_started) log.started_attempts |= 1U << response.attempt;
    log.gave_up =
        OnAttemptFailed(response, response.attempt, failure, faults) == next_step::kGiveUp;
  }
  return log;
}

bool IsPrefixOfExpected(const std::vector<std::string>& tokens) {
  for (uint32_t i = 0; i < tokens.size(); ++i) {
    if (tokens[i] != ExpectedToken(i)) return false;
  }
  return tokens.size() <= kResponseTokens;
}

TEST_CASE("tokens are delivered once, in order and without gaps under every interleaving") {
  rc::prop("the delivered tokens are a prefix of the response, and all of it when complete",
           [](const std::vector<uint16_t>& choices) {
             response_state response;
             const run_log log = Simulate(response, choices, {});
             RC_ASSERT(IsPrefixOfExpected(log.delivered));
             RC_ASSERT(log.delivered == response.tokens);
             if (response.complete) RC_ASSERT(log.delivered.size() == kResponseTokens);
           });
}

TEST_CASE("the outcome is not-run only if no endpoint has started the request") {
  rc::prop("the outcome is correct", [](const std::vector<uint16_t>& choices, bool repeatable) {
    response_state response;
    response.repeatable = repeatable;
    const run_log log = Simulate(response, choices, {});
    if (OutcomeOf(response) == outcome::kNotRun) RC_ASSERT(log.started_attempts == 0U);
    if (OutcomeOf(response) == outcome::kRan) RC_ASSERT(response.complete);
  });
}

TEST_CASE("at most one attempt of a non-repeatable request is started") {
  rc::prop("at most one started attempt", [](const std::vector<uint16_t>& choices) {
    response_state response;
    response.repeatable = false;
    const run_log log = Simulate(response, choices, {});
    RC_ASSERT(__builtin_popcount(log.started_attempts) <= 1);
  });
}

// Shows that the simulated runs detect injected faults. Without this, the properties above could
// hold only because the random runs do not reach the critical interleavings.
TEST_CASE("tokens of a closed attempt and a reset reported as not-run are detected") {
  std::mt19937_64 rng(20261204);
  bool stale_token_delivered = false;
  bool wrong_outcome = false;
  for (int round = 0; round < 2000; ++round) {
    std::vector<uint16_t> choices(60);
    for (auto& choice : choices) choice = static_cast<uint16_t>(rng());
    response_state stale_response;
    // A token of a closed attempt stands for a token of another request or route.
    const run_log stale_log = Simulate(stale_response, choices, {.accept_stale_attempt = true});
    stale_token_delivered =
        stale_token_delivered ||
        (!stale_response.open && !stale_response.complete && !stale_log.gave_up &&
         stale_response.tokens.size() > stale_log.delivered.size()) ||
        (stale_log.delivered.size() == kResponseTokens && !stale_response.complete &&
         !stale_response.open);
    response_state reset_response;
    const run_log reset_log = Simulate(reset_response, choices, {.not_run_after_reset = true});
    wrong_outcome = wrong_outcome || (OutcomeOf(reset_response) == outcome::kNotRun &&
                                      reset_log.started_attempts != 0);
  }
  CHECK(stale_token_delivered);
  CHECK(wrong_outcome);
}

TEST_CASE("the request chart rejects events out of order") {
  phase current = phase::kQueued;
  CHECK_FALSE(Advance(current, phase_event::kDispatched));
  CHECK(Advance(current, phase_event::kAdmittedWithClaim));
  CHECK_FALSE(Advance(current, phase_event::kDispatched));
  CHECK(Advance(current, phase_event::kGranted));
  CHECK(Advance(current, phase_event::kDispatched));
  CHECK(Advance(current, phase_event::kFinished));
  CHECK_FALSE(Advance(current, phase_event::kDispatched));
}

// Replays recorded events line by line and compares each verdict with the recorded one.
TEST_CASE("recorded traces are replayed with the recorded verdicts and outcomes") {
  const auto name = GENERATE(as<std::string>{}, "stage_lost_then_late_token.jsonl",
                             "reset_of_non_repeatable.jsonl", "truncated_end.jsonl");
  std::ifstream file(std::string(BALSAMBAY_TEST_DATA) + "/" + name);
  std::string line;
  REQUIRE(std::getline(file, line));
  REQUIRE(nlohmann::json::parse(line).at("trace_format") == 1);
  response_state response;
  while (std::getline(file, line)) {
    INFO(name << ": " << line);
    const auto step = nlohmann::json::parse(line);
    const std::string event = step.at("event");
    if (event == "request") response.repeatable = step.at("repeatable");
    if (event == "begin") CHECK(BeginAttempt(response) == step.at("attempt"));
    if (event == "token") {
      CHECK(static_cast<int>(OnToken(response, step.at("attempt"), step.at("index"),
                                     step.at("token").get<std::string>())) ==
            step.at("verdict").get<int>());
    }
    if (event == "end") {
      CHECK(static_cast<int>(OnEnd(response, step.at("attempt"), step.at("count"))) ==
            step.at("verdict").get<int>());
    }
    if (event == "fail") {
      CHECK(static_cast<int>(
                OnAttemptFailed(response, step.at("attempt"),
                                static_cast<attempt_failure>(step.at("failure").get<int>()))) ==
            step.at("verdict").get<int>());
    }
    if (event == "outcome") {
      CHECK(ToString(OutcomeOf(response)) == step.at("told").get<std::string>());
      CHECK(response.tokens == step.at("tokens").get<std::vector<std::string>>());
    }
  }
}

}  // namespace
}  // namespace balsambay::attempts
