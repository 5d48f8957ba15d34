// Endpoints whose replies break HTTP's grammar: in the status line, in the name of a field, in an
// interim reply or in a trailer. Guards against callers that get such a reply as an answer, as
// callers of other systems did. The callers of the test read the bytes of their connection.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "gateway_process.h"
#include "raw_caller.h"
#include "raw_reply.h"
#include "reply_cases.h"
#include "scripted_installation.h"

namespace balsambay::system_test {
namespace {

using platform::raw_caller;
using std::chrono_literals::operator""s;

constexpr duration kReplyTimeout = 10s;
// In the replies of endpoints, and in nothing that a gateway writes itself.
constexpr const char* kMarker = "from-the-endpoint";

std::vector<reply_case> AllCases(const reply_template& from, bool chunked) {
  std::vector<reply_case> cases = HeadCases(from, chunked);
  std::ranges::copy(InterimBodyCases(from, chunked), std::back_inserter(cases));
  if (!chunked) return cases;
  std::ranges::copy(TrailerCases(from), std::back_inserter(cases));
  std::ranges::copy(ChunkCases(from), std::back_inserter(cases));
  return cases;
}

bool IsCall(std::string_view request) { return request.find("/case/") != std::string_view::npos; }

// Number behind "/case/" in the path of the request.
size_t CaseOf(std::string_view request) {
  constexpr std::string_view kPath = "/case/";
  const size_t number = request.find(kPath) + kPath.size();
  return std::strtoul(std::string(request.substr(number, 8)).c_str(), nullptr, 10);
}

std::string Post(const std::string& path, const std::string& fields, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A gateway process on the platform with one plain endpoint, which replies to "/PREFIX/case/N" with
// the text of case N.
struct platform_installation {
  platform::process_fixture site;
  std::vector<reply_case> cases;
  std::map<size_t, int> runs;  // by case
  scripted_endpoint endpoint;

  platform_installation(std::vector<reply_case> replies, size_t piece_bytes)
      : cases(std::move(replies)),
        endpoint(
            [this](std::string_view request) {
              if (!IsCall(request)) return WholeReply("{}");
              ++runs[CaseOf(request)];
              return cases.at(CaseOf(request)).text;
            },
            {.piece_bytes = piece_bytes}) {
    site.log_file = "/tmp/balsambay-malformed-" + std::to_string(getpid()) + ".log";
    std::remove(site.log_file.c_str());
    site.store.Put("servers", "d1",
                   R"({"service":"desk","addr":"127.0.0.1:)" + std::to_string(endpoint.Port()) +
                       R"(","zone":"a","version":"1","slots":900,"cold_left_ms":0,)"
                       R"("state":"ready","seq":1,"born":1700000000000})");
    site.StoreConfiguration(1);
    site.StartGateway();
    REQUIRE(site.WaitUntilReady());
  }
  ~platform_installation() {
    site.gateway.reset();
    std::remove(site.log_file.c_str());
  }

  // The bytes that a caller receives until the gateway closes the connection.
  std::string Call(const std::string& prefix, size_t number) {
    raw_caller caller(site.request_port);
    const std::string path = "/" + prefix + "/case/" + std::to_string(number);
    REQUIRE(caller.Write(Post(path, "Balsambay-Request-Id: r1\r\n", "")));
    REQUIRE(site.RunUntil(
        [&] {
          caller.Read();
          return caller.Closed();
        },
        kReplyTimeout));
    return caller.Received();
  }
};

reply_template PlatformTemplate(const std::string& body) {
  return {platform::kReplyFields + ("X-Marker: " + std::string(kMarker)) + "\r\n", body};
}

// The caller is told that its request may have run, and gets nothing of what the endpoint sent.
void CheckRefused(const std::string& bytes) {
  const raw_reply reply = ReadRawReply(bytes);
  CHECK(reply.status_line.starts_with("HTTP/1.1 502 "));
  CHECK(reply.whole);
  CHECK(reply.Field("Retry-After").empty());
  CHECK(bytes.find(kMarker) == std::string::npos);
}

void CheckPassedOn(const std::string& bytes, int status, const std::string& body) {
  const raw_reply reply = ReadRawReply(bytes);
  CHECK(reply.status_line.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
  CHECK(reply.whole);
  CHECK(reply.body == body);
}

TEST_CASE("a plain reply that breaks HTTP's grammar does not reach a caller of the platform") {
  const bool chunked = GENERATE(false, true);
  const size_t piece_bytes = GENERATE(size_t{16}, std::string::npos);
  const std::string prefix = GENERATE("plain", "unsafe");
  const reply_template from = PlatformTemplate(kMarker);
  const std::vector<reply_case> cases = AllCases(from, chunked);
  platform_installation site(cases, piece_bytes);
  for (size_t i = 0; i < cases.size(); ++i) {
    const std::string bytes = site.Call(prefix, i);
    CAPTURE(cases[i].name, cases[i].text, bytes, chunked, piece_bytes, prefix);
    if (cases[i].status == 0) {
      CheckRefused(bytes);
    } else {
      CheckPassedOn(bytes, cases[i].status, from.body);
    }
    CHECK(site.runs[i] == 1);
  }
}

TEST_CASE("a stream whose reply breaks HTTP's grammar does not reach a caller of the platform") {
  const size_t piece_bytes = GENERATE(size_t{16}, std::string::npos);
  const reply_template from = PlatformTemplate("id: 1\ndata: " + std::string(kMarker) + "\n\n");
  const std::vector<reply_case> cases = AllCases(from, true);
  platform_installation site(cases, piece_bytes);
  for (size_t i = 0; i < cases.size(); ++i) {
    const std::string bytes = site.Call("stream", i);
    CAPTURE(cases[i].name, cases[i].text, bytes, piece_bytes);
    if (cases[i].status != 0) {
      CheckPassedOn(bytes, cases[i].status, from.body);
    } else if (cases[i].late && !bytes.starts_with("HTTP/1.1 502 ")) {
      // Events are passed on when they arrive.
      CHECK(ReadRawReply(bytes).body == from.body);
      CHECK_FALSE(ReadRawReply(bytes).whole);
    } else {
      CheckRefused(bytes);
    }
    CHECK(site.runs[i] == 1);
  }
}

// One broken reply for each reason.
std::vector<reply_case> OneOfEachFault(const reply_template& from) {
  std::vector<reply_case> cases = AllCases(from, true);
  std::erase_if(cases, [](const reply_case& entry) {
    return entry.name != "status 000" && entry.name != "first: a blank within the name" &&
           entry.name != "last: a blank before the name" && entry.name != "no size";
  });
  return cases;
}

constexpr std::array<std::string_view, 4> kReasons = {"status_line", "field_name", "field_line",
                                                      "chunk"};

// Checks the metrics and the lines of a log after one reply for each reason.
void CheckRecorded(const std::string& metrics, const std::string& log_file,
                   const std::string& metric) {
  std::ifstream file(log_file);
  const std::string log(std::istreambuf_iterator<char>(file), {});
  for (const std::string_view reason : kReasons) {
    const std::string quoted = "\"" + std::string(reason) + "\"";
    CAPTURE(reason, log);
    CHECK(metrics.find(metric + "{reason=" + quoted + "} 1\n") != std::string::npos);
    CHECK(log.find("\"reason\":" + quoted) != std::string::npos);
    CHECK(log.find("(" + std::string(reason) + ")\"") != std::string::npos);
  }
  CHECK(log.find("\"message\":\"malformed reply\",\"address\":\"127.0.0.1:") != std::string::npos);
}

TEST_CASE("each malformed reply is counted and logged with its reason on the platform") {
  const std::vector<reply_case> cases = OneOfEachFault(PlatformTemplate(kMarker));
  REQUIRE(cases.size() == kReasons.size());
  platform_installation site(cases, std::string::npos);
  for (size_t i = 0; i < cases.size(); ++i) site.Call("plain", i);
  const std::string metrics = site.site.Call(site.site.metrics_port, "/metrics").body;
  CheckRecorded(metrics, site.site.log_file, "gateway_replies_malformed_total");
}

// Sends a request of workspace w1 to the daemon.
std::unique_ptr<raw_caller> SendRaw(scripted_installation& site, const std::string& path,
                                    const std::string& fields, const nlohmann::json& body) {
  auto caller = std::make_unique<raw_caller>(site.c.Daemon("d1").port);
  const std::string all_fields = "Authorization: Bearer " + std::string(kCallerToken) +
                                 "\r\nContent-Type: application/json\r\n"
                                 "Balsambay-Timeout-Ms: 1500\r\n" +
                                 fields;
  REQUIRE(caller->Write(Post(path, all_fields, body.dump())));
  return caller;
}

// The replies to the callers, when the daemon has closed all connections.
std::vector<std::string> ReceiveAll(scripted_installation& site,
                                    const std::vector<std::unique_ptr<raw_caller>>& callers) {
  REQUIRE(site.c.RunUntil([&] {
    for (const auto& caller : callers) caller->Read();
    return std::ranges::all_of(callers, &raw_caller::Closed,
                               [](const auto& c) -> const raw_caller& { return *c; });
  }));
  std::vector<std::string> replies;
  for (const auto& caller : callers) replies.push_back(caller->Received());
  return replies;
}

// As for the platform, with the outcome in a field.
void CheckFailed(const std::string& bytes) {
  const raw_reply reply = ReadRawReply(bytes);
  CHECK((reply.status_line.starts_with("HTTP/1.1 502 ") ||
         reply.status_line.starts_with("HTTP/1.1 504 ")));
  CHECK(reply.whole);
  CHECK(reply.Field("Balsambay-Outcome") == "unknown");
  CHECK(bytes.find(kMarker) == std::string::npos);
}

TEST_CASE("a service reply that breaks HTTP's grammar does not reach a caller of the daemon") {
  const bool chunked = GENERATE(false, true);
  const size_t piece_bytes = GENERATE(size_t{16}, std::string::npos);
  const reply_template from{
      "Content-Type: application/json\r\nX-Marker: " + std::string(kMarker) + "\r\n",
      R"({"from": ")" + std::string(kMarker) + R"("})"};
  const std::vector<reply_case> cases = AllCases(from, chunked);
  scripted_installation site("malformed-services");
  for (size_t i = 0; i < cases.size(); ++i)
    site.AddService("s" + std::to_string(i), {.piece_bytes = piece_bytes}, cases[i].text);
  site.c.Start();
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (size_t i = 0; i < cases.size(); ++i) {
    const std::string name = "s" + std::to_string(i);
    callers.push_back(SendRaw(site, "/v1/services/" + name,
                              "Balsambay-Repeatable: no\r\nIdempotency-Key: " + name + "\r\n", {}));
  }
  const std::vector<std::string> replies = ReceiveAll(site, callers);
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(cases[i].name, cases[i].text, replies[i], chunked, piece_bytes);
    if (cases[i].status == 0) {
      CheckFailed(replies[i]);
    } else {
      CheckPassedOn(replies[i], cases[i].status, from.body);
    }
    CHECK(site.requests["s" + std::to_string(i)] == 1);
  }
}

TEST_CASE("each malformed reply is counted and logged with its reason by the daemon") {
  const std::vector<reply_case> cases = OneOfEachFault({"X-Marker: 1\r\n", R"({"whole":true})"});
  scripted_installation site("malformed-log");
  for (size_t i = 0; i < cases.size(); ++i)
    site.AddService("s" + std::to_string(i), {}, cases[i].text);
  site.c.Start();
  for (size_t i = 0; i < cases.size(); ++i)
    site.c.Wait(site.CallService("s" + std::to_string(i), false));
  const std::string metrics =
      site.c.Wait(site.c.Send(site.c.Daemon("d1").port, "GET", "/metrics", "")).body;
  CheckRecorded(metrics, site.c.FilePath("d1.log"), "balsambay_replies_malformed_total");
}

std::string RunLines(int attempt) {
  using nlohmann::json;
  return json{{"attempt", attempt}, {"index", 0}, {"token", kMarker}}.dump() + "\n" +
         json{{"attempt", attempt}, {"end", true}, {"count", 1}}.dump() + "\n";
}

std::vector<reply_case> RunCases(int attempt) {
  const reply_template from{"X-Marker: " + std::string(kMarker) + "\r\n", RunLines(attempt)};
  std::vector<reply_case> cases = HeadCases(from, true);
  std::ranges::copy(InterimBodyCases(from, true), std::back_inserter(cases));
  return cases;
}

TEST_CASE("an engine's reply that breaks HTTP's grammar does not reach a caller of the daemon") {
  const bool stream = GENERATE(true, false);
  const std::vector<reply_case> cases = RunCases(1);
  scripted_installation site("malformed-runs");
  for (size_t i = 0; i < cases.size(); ++i) {
    site.AddModel("m-" + std::to_string(i), {}, [i](std::string_view request) {
      return RunCases(AttemptOf(request)).at(i).text;
    });
  }
  site.c.Start();
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (size_t i = 0; i < cases.size(); ++i) {
    const nlohmann::json body = {
        {"model", "m-" + std::to_string(i)},
        {"messages", nlohmann::json::array({{{"role", "user"}, {"content", "question"}}})},
        {"max_tokens", 8},
        {"stream", stream}};
    callers.push_back(SendRaw(site, "/v1/chat/completions", "", body));
  }
  const std::vector<std::string> replies = ReceiveAll(site, callers);
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(cases[i].name, cases[i].text, replies[i], stream);
    if (cases[i].status == 0) {
      CheckFailed(replies[i]);
    } else {
      const raw_reply reply = ReadRawReply(replies[i]);
      CHECK(reply.status_line.starts_with("HTTP/1.1 200 "));
      CHECK(reply.whole);
      CHECK(reply.body.find(kMarker) != std::string::npos);
    }
  }
}

// Guards against an endpoint that counts as ready because of a broken reply to its health check.
TEST_CASE("a malformed status reply does not show that an endpoint is ready, a sound one does") {
  const reply_template from{"Content-Type: application/json\r\n",
                            R"({"state":"ready","active":0,"started_ms":1})"};
  std::vector<reply_case> cases = AllCases(from, true);
  std::ranges::copy(HeadCases(from, false), std::back_inserter(cases));
  const auto name =
      GENERATE(as<std::string>(), "status 000", "last: a blank before the colon",
               "a blank before the colon of Content-Length", "trailer: a blank within the name",
               "no line feed at the end", "interim: a body with a length", "sound status line",
               "last: sound field", "trailer: sound field");
  const reply_case& entry = *std::ranges::find(cases, name, &reply_case::name);
  CAPTURE(name);
  scripted_installation site("malformed-status");
  site.AddService("s", {}, WholeReply("{}"));
  site.status_reply = entry.text;
  site.c.Start();
  // A few failed probes, one a second, make an endpoint suspect.
  constexpr int kProbeTimeMs = 4000;
  const bool suspected = site.c.RunUntil(
      [&] {
        return site.c.AdminGet("d1", "endpoints").dump().find("suspect") != std::string::npos;
      },
      kProbeTimeMs);
  CHECK(suspected == (entry.status == 0));
}

}  // namespace
}  // namespace balsambay::system_test
