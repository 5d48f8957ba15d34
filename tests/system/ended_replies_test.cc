// Endpoints of the daemon's own mode that end their reply too early: within its head or body, in
// one piece or many, with a clean end of the connection or a reset. No caller may get a reply that
// looks whole, or one that promises that the request was not run.
#include <catch2/catch.hpp>

#include "cluster.h"
#include "scripted_installation.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

constexpr int kReplyTimeoutMs = 10000;
constexpr size_t kCutStep = 7;  // bytes

std::string Head(const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framing + "\r\n";
}

// Whether the caller can take the reply for a whole success.
bool LooksWhole(const reply& received) {
  const bool whole = received.ended && received.failure == net::call_failure::kNone &&
                     received.status >= 200 && received.status < 300;
  return whole && received.body.find("event: error") == std::string::npos;
}

struct pending_reply {
  std::string name;
  std::string sent;  // what the endpoint sends
  reply_ptr received;
};

// Checks that a reply is an error that leaves open whether the request was run. Status 503 would
// tell callers that it was not.
void CheckFailed(const reply& received) {
  CHECK(received.ended);
  CHECK_FALSE(LooksWhole(received));
  if (received.status == 200) return;  // a stream that ends with an error event
  CHECK(received.outcome == "unknown");
  CHECK((received.status == 502 || received.status == 504));
}

// Guards against a 200 with an empty or short body that is framed as whole, although the endpoint
// stopped within its reply. Without a length and chunks, the reply ends with its connection; then
// only the end within the head, or right after it, shows that something is missing.
TEST_CASE("a service reply that ends too early never looks whole") {
  const auto [framing, body] = GENERATE_COPY(Catch::Generators::table<std::string, std::string>(
      {{"Content-Length: 15\r\n", R"({"whole": true})"},
       {"Transfer-Encoding: chunked\r\n", Chunk(R"({"whole")") + Chunk(R"(: true})") + "0\r\n\r\n"},
       {"", R"({"whole": true})"}}));
  const scripted_faults how{.piece_bytes = GENERATE(size_t{16}, std::string::npos),
                            .resets = GENERATE(false, true)};
  CAPTURE(framing, how.piece_bytes, how.resets);
  const bool ends_with_connection = framing.empty();
  const std::string head = Head(framing);
  const std::string whole = head + body;
  std::vector<size_t> lengths = CutLengths(whole, kCutStep);
  lengths.push_back(head.size());
  if (ends_with_connection && !how.resets)
    std::erase_if(lengths, [&](size_t length) { return length > head.size(); });
  scripted_installation site("ended-services");
  std::vector<std::pair<std::string, size_t>> services;
  for (const size_t length : lengths) {
    services.emplace_back("s" + std::to_string(services.size()), length);
    site.AddService(services.back().first, how, whole.substr(0, length));
  }
  site.AddService("whole", {.piece_bytes = how.piece_bytes}, whole);
  site.c.Start();
  std::vector<pending_reply> pending;
  for (const auto& [name, length] : services)
    pending.push_back(
        {name, whole.substr(0, length), site.CallService(name, pending.size() % 2 == 0)});
  for (const pending_reply& call : pending) {
    const reply received = site.c.Wait(call.received, kReplyTimeoutMs);
    CAPTURE(call.name, call.sent, received.status, received.body, received.outcome);
    CHECK(site.requests[call.name] >= 1);
    CheckFailed(received);
  }
  const reply received = site.c.Wait(site.CallService("whole", true));
  CHECK(received.status == 200);
  CHECK(received.body == R"({"whole": true})");
}

// Guards against replies without a body by definition that count as cut.
TEST_CASE("a service reply with status 204 is whole without a length") {
  scripted_installation site("ended-204");
  site.AddService("empty", {}, "HTTP/1.1 204 No Content\r\n\r\n");
  site.AddService("length", {}, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  site.c.Start();
  CHECK(site.c.Wait(site.CallService("empty", true)).status == 204);
  CHECK(site.c.Wait(site.CallService("length", true)).status == 200);
}

// Guards against interim replies that are taken for the reply when nothing follows.
TEST_CASE("an interim service reply without a final one is not whole") {
  scripted_installation site("ended-interim");
  site.AddService("continue", {}, "HTTP/1.1 100 Continue\r\n\r\n");
  site.AddService("hints", {}, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
  site.AddService("switch", {},
                  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n");
  site.AddService("whole", {},
                  "HTTP/1.1 100 Continue\r\n\r\n" + Head("Content-Length: 2\r\n") + "{}");
  site.c.Start();
  for (const char* name : {"continue", "hints", "switch"}) {
    CAPTURE(name);
    CheckFailed(site.c.Wait(site.CallService(name, false)));
  }
  CHECK(site.c.Wait(site.CallService("whole", true)).body == "{}");
}

std::string Token(int attempt, int index) {
  return json{{"attempt", attempt}, {"index", index}, {"token", "t" + std::to_string(index)}}
             .dump() +
         "\n";
}

struct run_script {
  std::string framing;
  bool ends_within_first = false;  // the first attempt sends one token and ends; others are cut

  bool IsChunked() const { return framing.starts_with("Transfer-Encoding"); }
  std::string Body(const std::string& lines) const { return IsChunked() ? Chunk(lines) : lines; }
  std::string Whole(int attempt) const {
    const std::string end = json{{"attempt", attempt}, {"end", true}, {"count", 2}}.dump() + "\n";
    const std::string last_chunk = IsChunked() ? "0\r\n\r\n" : "";
    return Head(framing) + Body(Token(attempt, 0)) + Body(Token(attempt, 1)) + Body(end) +
           last_chunk;
  }
  std::string Cut(int attempt, size_t length) const {
    if (ends_within_first && attempt == 1) return Head(framing) + Body(Token(1, 0));
    return Whole(attempt).substr(0, length);
  }
  // Within the end mark or before it. Whole answers are longer.
  size_t LongestCut() const {
    const std::string whole = Whole(1);
    return whole.find("\"count\"");
  }
};

// Guards against answers that look whole although no engine has sent an end mark: at the first
// attempt and at the one that continues after the first token.
TEST_CASE("an answer without an end mark never looks whole") {
  const run_script script{.framing = GENERATE("Transfer-Encoding: chunked\r\n", ""),
                          .ends_within_first = GENERATE(false, true)};
  const scripted_faults how{.piece_bytes = GENERATE(size_t{16}, std::string::npos),
                            .resets = GENERATE(false, true)};
  CAPTURE(script.framing, script.ends_within_first, how.piece_bytes, how.resets);
  scripted_installation site("ended-runs");
  std::vector<std::pair<std::string, size_t>> models;
  constexpr size_t kStep = 2 * kCutStep;
  for (size_t length = 0; length <= script.LongestCut(); length += kStep) {
    models.emplace_back("m-" + std::to_string(models.size()), length);
    site.AddModel(models.back().first, how, [script, length](std::string_view request) {
      return script.Cut(AttemptOf(request), length);
    });
  }
  site.AddModel("whole", {.piece_bytes = how.piece_bytes},
                [script](std::string_view request) { return script.Whole(AttemptOf(request)); });
  site.c.Start();
  std::vector<pending_reply> pending;
  for (const auto& [name, length] : models)
    pending.push_back(
        {name, script.Whole(2).substr(0, length), site.CallModel(name, pending.size() % 2 == 0)});
  for (const pending_reply& call : pending) {
    const reply received = site.c.Wait(call.received, kReplyTimeoutMs);
    CAPTURE(call.name, call.sent, received.status, received.body, received.outcome);
    const int attempts = site.requests[call.name + "-a"] + site.requests[call.name + "-b"];
    CHECK(attempts >= (script.ends_within_first ? 2 : 1));
    CheckFailed(received);
    CHECK_FALSE(ParseStream(received.body).done);
  }
  const reply received = site.c.Wait(site.CallModel("whole", true));
  CHECK(ParseStream(received.body).done);
  CHECK(ParseStream(received.body).content == "t0t1");
}

}  // namespace
}  // namespace balsambay::system_test
