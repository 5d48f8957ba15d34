// Replies of engines that are faulty: what reaches the caller, and what counts as proof.
#include "net/engine_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

#include "net/http_server.h"
#include "net/loop.h"

using namespace std::chrono_literals;

namespace balsambay::net {
namespace {

constexpr uint32_t kAttempt = 1;

// One run at an engine that answers with `status`, `headers` and `body`.
struct played_run {
  std::vector<std::string> tokens;
  std::optional<uint32_t> count;  // of the end mark
  std::optional<run_failure> failure;

  played_run(int status, const std::vector<header>& headers, const std::string& body) {
    loop main;
    server_handlers handlers;
    handlers.on_request = [&](const exchange_ptr& exchange) {
      exchange->Respond(status, headers, body);
    };
    handlers.on_reject = [](rejection, std::vector<header>&) { return std::string(); };
    const auto server = ListenHttp("127.0.0.1:0", {}, main.Timers(), std::move(handlers)).value();
    const auto client = MakeHttpClient(main.Timers());
    run_request request;
    request.run_id = "r";
    request.attempt = kAttempt;
    request.stages = {{"e", "127.0.0.1:" + std::to_string(server->Port()), 0, 8}};
    request.prompt = "p";
    run_events events;
    events.on_tokens = [&](uint32_t attempt, uint32_t first, std::span<const std::string> all) {
      // As the router does: tokens of other attempts, or out of order, are not delivered.
      if (attempt != kAttempt || first != tokens.size()) return;
      tokens.insert(tokens.end(), all.begin(), all.end());
    };
    events.on_end = [&](uint32_t, uint32_t total, std::string_view) {
      count = total;
      main.Quit();
    };
    events.on_failed = [&](uint32_t, run_failure why, std::string_view, std::string_view) {
      failure = why;
      main.Quit();
    };
    const auto run = StartRun(*client, request, events);
    Subscribe(main.Timers(), MonotonicNow() + 2s, [&](time_point) { main.Quit(); });
    main.Run();
  }
};

std::string Token(const std::string& index, const std::string& attempt = "1") {
  return R"({"attempt":)" + attempt + R"(,"index":)" + index + R"(,"token":"t"})" + "\n";
}

std::string End(const std::string& count) {
  return R"({"attempt":1,"end":true,"count":)" + count + "}\n";
}

TEST_CASE("a whole reply of an engine") {
  const played_run run(200, {}, Token("0") + Token("1") + End("2"));
  CHECK(run.tokens.size() == 2);
  CHECK(run.count == 2);
  CHECK_FALSE(run.failure);
}

// Guards against bytes of something else in the middle of an answer, and against an answer that is
// taken for complete because a number does not fit (reports of other operators).
TEST_CASE("what is no part of the answer ends the attempt") {
  const std::string deep(200'000, '[');
  const auto [name, line] = GENERATE_COPY(Catch::Generators::table<std::string, std::string>(
      {{"text of an error", "internal error\n"},
       {"head of an answer", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
       {"an empty line", "\n"},
       {"a list", "[1]\n"},
       {"nested without an end", deep + "\n"},
       {"a nested token",
        R"({"attempt":1,"index":1,"token":)" + deep + std::string(200'000, ']') + "}\n"},
       {"an index beyond integers", Token("1e300")},
       {"an index that wraps around", Token("4294967297")},
       {"an index below zero", Token("-4294967295")},
       {"half an index", Token("1.5")},
       {"an attempt that wraps around", Token("1", "4294967297")},
       {"a count that wraps around", End("4294967297")},
       {"a count below zero", End("-4294967295")},
       {"a token that is no text", R"({"attempt":1,"index":1,"token":{}})"
                                   "\n"}}));
  CAPTURE(name);
  const played_run run(200, {}, Token("0") + line + Token("1") + End("2"));
  CHECK(run.failure == run_failure::kBroken);
  CHECK_FALSE(run.count);
  CHECK(run.tokens.size() == 1);
}

// Only a refusal before the start is proof; any other error may come from a run that was begun.
TEST_CASE("only an engine's own refusal counts as not started") {
  CHECK(played_run(503, {{"Balsambay-Not-Started", "1"}}, "").failure == run_failure::kRefused);
  CHECK(played_run(503, {}, "").failure == run_failure::kBroken);
  CHECK(played_run(500, {{"Balsambay-Not-Started", "1"}}, "").failure == run_failure::kBroken);
}

}  // namespace
}  // namespace balsambay::net
