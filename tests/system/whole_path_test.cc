// The whole path with real processes: answers, bad input, a stage killed in the middle of an
// answer.
#include <catch2/catch.hpp>

#include "cluster.h"
#include "mock_answer/answer.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

// Two engines for each half of the model, one service, two daemons.
void AddSmallInstallation(cluster& c) {
  for (const char* id : {"a1", "a2"}) c.AddEngine(id, {.end_layer = 16, .tokens_per_second = 400});
  for (const char* id : {"b1", "b2"})
    c.AddEngine(id, {.first_layer = 16, .tokens_per_second = 400});
  c.AddService("s1", "booking");
  c.AddDaemon("d1");
  c.AddDaemon("d2");
  c.Start();
}

TEST_CASE("streamed, whole and service answers arrive complete") {
  cluster c("whole-path");
  AddSmallInstallation(c);
  const auto streamed = c.SendChat("d1", "first", 30, true);
  const auto whole = c.SendChat("d2", "second", 30, false);
  const auto service = c.SendCall("d1", "/v1/services/booking", {{"x", 1}});
  const stream_text text = ParseStream(c.Wait(streamed).body);
  CHECK(text.done);
  CHECK(text.content == mock_answer::Expected("first", 30));
  CHECK(text.final_outcome == "ran");
  const reply complete = c.Wait(whole);
  REQUIRE(complete.status == 200);
  CHECK(complete.outcome == "ran");
  CHECK(complete.Json().at("choices").at(0).at("message").at("content") ==
        mock_answer::Expected("second", 30));
  CHECK(c.Wait(service).status == 200);
}

TEST_CASE("a stage killed in the middle of an answer does not change the answer") {
  cluster c("stage-killed");
  AddSmallInstallation(c);
  std::vector<reply_ptr> pending;
  for (int i = 0; i < 8; ++i)
    pending.push_back(c.SendChat("d1", "prompt " + std::to_string(i), 80, true));
  REQUIRE(c.RunUntil([&] {
    return std::ranges::all_of(pending, [](const auto& r) { return r->body.size() > 1000; });
  }));
  c.Endpoint("b1").process->Kill();
  for (int i = 0; i < 8; ++i) {
    const reply got = c.Wait(pending[i]);
    const stream_text text = ParseStream(got.body);
    CHECK(text.done);
    CHECK(text.content == mock_answer::Expected("prompt " + std::to_string(i), 80));
    // Target: the next token at most 0.5 s beyond the engine's own recompute, which takes some ms
    // here.
    CHECK(got.longest_gap < std::chrono::milliseconds(600));
  }
}

TEST_CASE("bad input gets a clear answer and disturbs nothing else") {
  cluster c("bad-input");
  AddSmallInstallation(c);
  const auto good = c.SendChat("d1", "undisturbed", 100, true);
  const auto post = [&](const std::string& body, std::vector<net::header> headers) {
    return c.Wait(
        c.Send(c.Daemon("d1").port, "POST", "/v1/chat/completions", body, std::move(headers)));
  };
  const net::header token{"Authorization", "Bearer secret-1"};
  CHECK(post("{\"model\":", {token}).Reason() == "bad_request");
  CHECK(post("{\"model\":\"m1\",\"messages\":[{\"content\":\"\xff\"}]}", {token}).Reason() ==
        "bad_request");
  CHECK(post("{\"model\":\"nope\",\"messages\":[{\"content\":\"x\"}]}", {token}).Reason() ==
        "unknown_model");
  CHECK(post("{}", {}).status == 401);
  CHECK(post("{}", {{"Authorization", "Bearer wrong"}}).Reason() == "unauthorized");
  const reply large = post(std::string(2 << 20, 'x'), {token});
  CHECK(large.status == 413);
  CHECK(large.outcome == "not-run");
  CHECK(ParseStream(c.Wait(good).body).content == mock_answer::Expected("undisturbed", 100));
}

}  // namespace
}  // namespace balsambay::system_test
