// Endpoints that fall silent for longer than the daemon waits for a sign of life, and then go on.
// Guards against requests that are answered as lost although the endpoint that ran them was sound:
// a running attempt was ended before another endpoint had accepted the request.
#include <signal.h>

#include <catch2/catch.hpp>

#include "checks.h"
#include "cluster.h"
#include "mock_answer/answer.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

constexpr int kTokens = 200;
// Several times the longest pause that a daemon takes for sound, 1 s and a status request.
constexpr int kSilenceMs = 6000;
constexpr int kStartedBytes = 800;  // some tokens of a stream

std::string Prompt(int i) { return "question " + std::to_string(i) + " end"; }

std::vector<reply_ptr> SendStreams(cluster& c, int count) {
  std::vector<reply_ptr> pending;
  for (int i = 0; i < count; ++i) pending.push_back(c.SendChat("d1", Prompt(i), kTokens, true));
  return pending;
}

void WaitForTokens(cluster& c, const std::vector<reply_ptr>& pending) {
  REQUIRE(c.RunUntil([&] {
    return std::ranges::all_of(pending,
                               [](const auto& r) { return r->body.size() > kStartedBytes; });
  }));
}

// An endpoint that has died is another fault than the one that is looked for here.
void CheckAlive(cluster& c, const std::vector<std::string>& endpoints) {
  for (const auto& id : endpoints) {
    INFO(id << " ended: " << c.Endpoint(id).process->Wait(0));
    CHECK(c.Endpoint(id).process->Running());
  }
}

void Silence(cluster& c, const std::vector<std::string>& endpoints) {
  for (const auto& id : endpoints) c.Endpoint(id).process->Signal(SIGSTOP);
  c.RunFor(kSilenceMs);
  CheckAlive(c, endpoints);
  for (const auto& id : endpoints) c.Endpoint(id).process->Signal(SIGCONT);
}

// Each stream ends with the whole answer, put together from tokens that each layer ran once.
void CheckWhole(cluster& c, const std::vector<reply_ptr>& pending) {
  for (size_t i = 0; i < pending.size(); ++i) {
    const reply got = c.Wait(pending[i]);
    const stream_text text = ParseStream(got.body);
    INFO("stream " << i << ": status " << got.status << ", reason " << got.Reason()
                   << text.error_reason);
    CHECK(text.done);
    CHECK(text.content == mock_answer::Expected(Prompt(static_cast<int>(i)), kTokens));
  }
  CHECK(FindLayerFault(c.AllJournals(), kModelLayers).empty());
}

TEST_CASE("streams of the only engine, silent in the middle of answers") {
  cluster c("silent-only");
  c.AddEngine("e1");
  c.AddDaemon("d1");
  c.Start();
  const auto pending = SendStreams(c, 8);
  WaitForTokens(c, pending);
  Silence(c, {"e1"});
  CheckWhole(c, pending);
  CheckAlive(c, {"e1"});
  // Nowhere else to go, so nothing was sent again.
  const auto journals = c.AllJournals();
  for (int i = 0; i < 8; ++i) CHECK(StartsOf(journals, Prompt(i)) == 1);
}

TEST_CASE("streams of an engine that is silent before the first token") {
  cluster c("silent-first-token");
  c.AddEngine("e1");
  c.AddDaemon("d1", "z1", {"--first_token_timeout_ms=1000"});
  c.Start();
  c.Endpoint("e1").process->Signal(SIGSTOP);
  const auto pending = SendStreams(c, 8);
  Silence(c, {"e1"});
  CheckWhole(c, pending);
  CheckAlive(c, {"e1"});
}

TEST_CASE("streams of two engines that are silent at the same time") {
  cluster c("silent-both");
  c.AddEngine("e1");
  c.AddEngine("e2");
  c.AddDaemon("d1");
  c.Start();
  const auto pending = SendStreams(c, 24);
  WaitForTokens(c, pending);
  Silence(c, {"e1", "e2"});
  CheckWhole(c, pending);
  CheckAlive(c, {"e1", "e2"});
}

// Takes all places of an engine, so that it refuses what a daemon sends to it.
void Occupy(cluster& c, const std::string& id, int places) {
  for (int i = 0; i < places; ++i) {
    const json run = {
        {"run", "other-" + std::to_string(i)},
        {"attempt", 1},
        {"prompt", "other"},
        {"delivered", json::array()},
        {"max_tokens", 1000000},
        {"route",
         json::array({{{"endpoint", id}, {"address", ""}, {"layers", {0, kModelLayers}}}})}};
    c.Send(c.Endpoint(id).port, "POST", "/v1/runs", run.dump());
  }
}

TEST_CASE("streams of a silent engine while the other one refuses") {
  constexpr int kPlaces = 16;
  cluster c("silent-refused");
  c.AddEngine("e1", {.max_runs = kPlaces});
  c.AddEngine("e2", {.max_runs = kPlaces});
  c.AddDaemon("d1");
  c.Start();
  const auto pending = SendStreams(c, 12);
  WaitForTokens(c, pending);
  Occupy(c, "e2", kPlaces);
  c.RunFor(200);
  Silence(c, {"e1"});
  CheckWhole(c, pending);
  CheckAlive(c, {"e1"});
}

TEST_CASE("service calls that may repeat, on a silent endpoint") {
  cluster c("silent-calls");
  c.AddEngine("e1");
  c.AddService("s1", "quote").arguments.emplace_back("--service_delay_ms=300");
  c.AddDaemon("d1");
  c.Start();
  std::vector<reply_ptr> pending;
  for (int i = 0; i < 12; ++i)
    pending.push_back(c.SendCall("d1", "/v1/services/quote", {{"q", Prompt(i)}}));
  REQUIRE(c.RunUntil([&] { return CountStarts(c.Journal("s1")) == 12; }));
  Silence(c, {"s1"});
  for (const auto& call : pending) CHECK(c.Wait(call).status == 200);
  CHECK(CountStarts(c.Journal("s1")) == 12);
}

std::vector<net::header> Once(const std::string& key) {
  return {{"Idempotency-Key", key}, {"Balsambay-Repeatable", "no"}};
}

// Waits until claims are granted, which needs owners for all shards.
void WaitForLedger(cluster& c) {
  for (int i = 0; i < 16; ++i) {
    const std::string key = "warm-up " + std::to_string(i);
    REQUIRE(c.RunUntil([&] {
      return c.Wait(c.SendCall("d1", "/v1/services/booking", {{"q", key}}, Once(key))).status ==
             200;
    }));
  }
}

TEST_CASE("calls and streams that may not repeat, on silent endpoints beside sound ones") {
  cluster c("silent-once");
  c.AddEngine("e1");
  c.AddEngine("e2");
  c.AddService("s1", "booking").arguments.emplace_back("--service_delay_ms=300");
  c.AddService("s2", "booking");
  c.AddDaemon("d1");
  c.Start();
  WaitForLedger(c);
  const int before = CountStarts(c.Journal("s1"));
  std::vector<reply_ptr> streams;
  for (int i = 0; i < 12; ++i) {
    streams.push_back(
        c.SendChat("d1", Prompt(i), kTokens, true, Once("stream " + std::to_string(i))));
  }
  WaitForTokens(c, streams);
  std::vector<reply_ptr> calls;
  for (int i = 0; i < 12; ++i) {
    calls.push_back(c.SendCall("d1", "/v1/services/booking", {{"q", "call " + Prompt(i)}},
                               Once("call " + std::to_string(i))));
  }
  REQUIRE(c.RunUntil([&] { return CountStarts(c.Journal("s1")) > before; }));
  Silence(c, {"e1", "s1"});
  CheckWhole(c, streams);
  for (const auto& call : calls) CHECK(c.Wait(call).status == 200);
  const auto journals = c.AllJournals();
  for (int i = 0; i < 12; ++i) CHECK(StartsOf(journals, "call " + Prompt(i)) == 1);
  // Streams and calls share the text of their prompts.
  for (int i = 0; i < 12; ++i) CHECK(StartsOf(journals, Prompt(i)) == 2);
}

}  // namespace
}  // namespace balsambay::system_test
