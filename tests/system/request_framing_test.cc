// Malformed requests whose bodies are requests themselves, and odd but valid ones, on the ports of
// a gateway of the platform and of the daemon in its own mode. Guards against a request that runs
// although no client sent it as one, with another body, or in the name of another client.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "intake_site.h"
#include "request_cases.h"
#include "scripted_installation.h"

namespace balsambay::system_test {
namespace {

using platform::raw_caller;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr duration kReplyTime = 5s;
// Time in which a request that follows a refused one would reach an endpoint.
constexpr duration kSettleTime = 1s;
constexpr size_t kMaxBodyBytes = 4096;

using run_function = std::function<bool(const std::function<bool()>& done, duration limit)>;

size_t CountReplies(const std::string& received) {
  size_t count = 0;
  for (size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
       at = received.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

// Sends all texts, each on a connection of its own, until each of them has `replies` replies.
std::vector<std::unique_ptr<raw_caller>> SendAll(const std::vector<std::string>& texts, int port,
                                                 size_t replies, const run_function& run) {
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (const std::string& text : texts) {
    callers.push_back(std::make_unique<raw_caller>(port, text, 0));
  }
  const auto pump = [&] {
    for (const auto& caller : callers) {
      if (caller->IsClosed()) continue;
      caller->Send();
      caller->Receive();
    }
  };
  run(
      [&] {
        pump();
        return std::ranges::all_of(
            callers, [&](const auto& caller) { return CountReplies(caller->Reply()) >= replies; });
      },
      kReplyTime);
  run(
      [&] {
        pump();
        return false;
      },
      kSettleTime);
  return callers;
}

// A refusal names its reason in the body.
void CheckRefused(const raw_caller& caller, const std::string& earlier_status) {
  const std::string& received = caller.Reply();
  CAPTURE(received);
  CHECK(caller.IsClosed());
  const size_t last = received.rfind("HTTP/1.1 ");
  CHECK(last != std::string::npos);
  if (last == std::string::npos) return;
  CHECK(received.substr(last, 12) == "HTTP/1.1 400");
  CHECK(received.find("Connection: close", last) != std::string::npos);
  CHECK(received.size() > received.find("\r\n\r\n", last) + 4);
  CHECK(CountReplies(received) == (earlier_status.empty() ? 1 : 2));
  CHECK(received.starts_with("HTTP/1.1 " + earlier_status));
}

// `arrived`: bodies of the requests that have reached the endpoint.
void CheckPort(const request_template& from, int port, const run_function& run,
               std::vector<std::string>& arrived) {
  std::vector<request_case> sound;
  std::vector<request_case> malformed;
  for (request_case& entry : RequestCases(from)) {
    (entry.sound ? sound : malformed).push_back(std::move(entry));
  }
  for (const request_case& entry : sound) {
    arrived.clear();
    const auto callers = SendAll({entry.text}, port, 1, [&](const auto& done, duration limit) {
      return limit == kSettleTime ? run(done, 10ms) : run(done, limit);
    });
    CAPTURE(entry.name, callers.front()->Reply());
    CHECK(callers.front()->Status() == 200);
    CHECK(arrived == std::vector<std::string>{entry.body});
  }
  // Behind a sound request on the same connection as well.
  const std::string first =
      "POST " + from.path + " HTTP/1.1\r\n" + from.fields + "Content-Length: 2\r\n\r\n{}";
  for (const std::string& before : {std::string(), first}) {
    arrived.clear();
    std::vector<std::string> texts;
    for (const request_case& entry : malformed) texts.push_back(before + entry.text);
    const auto callers = SendAll(texts, port, before.empty() ? 1 : 2, run);
    for (size_t i = 0; i < malformed.size(); ++i) {
      CAPTURE(malformed[i].name, before.empty());
      CheckRefused(*callers[i], before.empty() ? "" : "200");
    }
    CHECK(arrived == std::vector<std::string>(before.empty() ? 0 : malformed.size(), "{}"));
  }
}

TEST_CASE("a gateway of the platform runs only what callers sent as requests") {
  platform::intake_fixture site(kMaxBodyBytes);
  const run_function run = [&](const std::function<bool()>& done, duration limit) {
    return platform::RunUntil(site.loop, done, limit);
  };
  const request_template from{"/plain/10", "Host: 127.0.0.1\r\nBalsambay-Request-Id: r4\r\n",
                              platform::SingleFields(), ""};
  CheckPort(from, site.request_port, run, site.arrived_bodies);

  const auto metrics = site.Get(site.metrics_port, "/metrics");
  run([&] { return metrics->ended; }, kReplyTime);
  for (const char* reason : {"request_line", "field_line", "content_length", "transfer_encoding",
                             "repeated_field", "chunks"}) {
    CAPTURE(reason);
    CHECK(metrics->body.find("gateway_connections_closed_total{reason=\"" + std::string(reason) +
                             "\"}") != std::string::npos);
  }
}

TEST_CASE("the ports of readiness and metrics refuse malformed requests") {
  platform::intake_fixture site(kMaxBodyBytes);
  const run_function run = [&](const std::function<bool()>& done, duration limit) {
    return platform::RunUntil(site.loop, done, limit);
  };
  for (const auto& [port, path] :
       {std::pair(site.ready_port, "/balsambay/ready"), std::pair(site.metrics_port, "/metrics")}) {
    std::vector<request_case> malformed = RequestCases({path, "Host: 127.0.0.1\r\n", {}, ""});
    std::erase_if(malformed, [](const request_case& entry) { return entry.sound; });
    for (const request_case& entry : malformed) {
      const auto callers = SendAll({entry.text}, port, 1, [&](const auto& done, duration limit) {
        return limit == kSettleTime ? run(done, 10ms) : run(done, limit);
      });
      CAPTURE(entry.name);
      CheckRefused(*callers.front(), "");
    }
  }
}

TEST_CASE("the daemon in its own mode runs only what callers sent as requests") {
  scripted_installation site("request-framing");
  std::vector<std::string> arrived;
  site.AddService("sound", {}, WholeReply("{}"));
  site.on_request = [&](std::string_view text) {
    arrived.emplace_back(text.substr(text.find("\r\n\r\n") + 4));
  };
  site.c.Start();
  const run_function run = [&](const std::function<bool()>& done, duration limit) {
    return site.c.RunUntil(done, static_cast<int>(limit / 1ms));
  };
  const std::string key = "Authorization: Bearer " + std::string(kCallerToken) + "\r\n";
  const request_template from{"/v1/services/sound",
                              "Host: 127.0.0.1\r\n" + key,
                              {"Host: 127.0.0.1\r\n", key, "Idempotency-Key: a\r\n",
                               "Balsambay-Timeout-Ms: 5000\r\n", "Balsambay-Repeatable: yes\r\n"},
                              "{}"};
  CheckPort(from, site.c.Daemon("d1").port, run, arrived);
}

}  // namespace
}  // namespace balsambay::system_test
