// Guarantees 5 and 6 with real processes: a leaving endpoint gets nothing new after 2 s, also while
// the platform is away, and planned stops of endpoints and entry daemons cut no request.
#include <signal.h>

#include <catch2/catch.hpp>

#include "checks.h"
#include "cluster.h"
#include "mock_answer/answer.h"

namespace balsambay::system_test {
namespace {

// 50 requests a second of 8 tokens are 400 tokens/s, below the bound of one engine of each half.
constexpr uint32_t kShortAnswer = 8;
constexpr uint32_t kLongAnswer = 40;

void AddInstallation(cluster& c, const std::vector<std::string>& daemon_flags = {}) {
  for (const char* id : {"a1", "a2"}) c.AddEngine(id, {.end_layer = 16, .tokens_per_second = 600});
  for (const char* id : {"b1", "b2"})
    c.AddEngine(id, {.first_layer = 16, .tokens_per_second = 600});
  c.AddDaemon("d1", "z1", daemon_flags);
  c.AddDaemon("d2", "z1", daemon_flags);
  c.Start();
}

struct load {
  uint32_t tokens = kShortAnswer;
  std::vector<std::pair<std::string, reply_ptr>> sent;

  void Send(cluster& c, const std::string& daemon) {
    const std::string prompt = "item " + std::to_string(sent.size());
    sent.emplace_back(prompt, c.SendChat(daemon, prompt, tokens, true));
  }

  // Number of answers that are not whole.
  int CountCut(cluster& c) const {
    int cut = 0;
    for (const auto& [prompt, pending] : sent) {
      const stream_text text = ParseStream(c.Wait(pending).body);
      if (!text.done || text.content != mock_answer::Expected(prompt, tokens)) ++cut;
    }
    return cut;
  }
};

// Starts of runs, and prefills on later stages, by journal length: what an endpoint began to do.
size_t WorkOf(const cluster& c, const std::string& endpoint) { return c.Journal(endpoint).size(); }

void CheckEndpointLeaves(cluster& c, const std::string& leaving) {
  load items;
  for (int i = 0; i < 10; ++i) {
    items.Send(c, i % 2 == 0 ? "d1" : "d2");
    c.RunFor(20);
  }
  c.Endpoint(leaving).process->Signal(SIGTERM);
  for (int i = 0; i < 100; ++i) {
    items.Send(c, i % 2 == 0 ? "d1" : "d2");
    c.RunFor(20);
  }
  const size_t after_two_seconds = CountStarts(c.Journal(leaving));
  for (int i = 0; i < 40; ++i) {
    items.Send(c, i % 2 == 0 ? "d1" : "d2");
    c.RunFor(20);
  }
  CHECK(CountStarts(c.Journal(leaving)) == static_cast<int>(after_two_seconds));
  CHECK(items.CountCut(c) == 0);
  CHECK(c.Endpoint(leaving).process->Wait(10000) == 0);
  CHECK(WorkOf(c, leaving) > 0);
}

TEST_CASE("a leaving endpoint gets nothing new after 2 s and finishes what it has") {
  cluster c("leaving");
  AddInstallation(c);
  CheckEndpointLeaves(c, "a1");
}

TEST_CASE("a leaving endpoint is noticed while the platform is away") {
  cluster c("leaving-platform-away");
  AddInstallation(c);
  c.PlatformFaults({{"mode", "drop"}});
  CheckEndpointLeaves(c, "a2");
}

TEST_CASE("a stale live entry of the VM list does not bring a leaving endpoint back") {
  cluster c("leaving-stale");
  AddInstallation(c);
  for (const char* id : {"a1", "a2", "b1", "b2"}) c.PlatformVm(std::string("vm-") + id, 1, "live");
  CheckEndpointLeaves(c, "a1");
}

TEST_CASE("a daemon stopped under load cuts no request and exits with 0") {
  cluster c("daemon-stop");
  AddInstallation(c);
  load items{.tokens = kLongAnswer, .sent = {}};
  for (int i = 0; i < 20; ++i) {
    items.Send(c, "d1");
    c.RunFor(10);
  }
  c.Daemon("d1").process->Signal(SIGTERM);
  c.RunFor(100);
  CHECK(c.Wait(c.Send(c.Daemon("d1").port, "GET", "/readyz", "")).status == 503);
  // The balancer has not noticed yet: requests are still served for the unready delay.
  for (int i = 0; i < 10; ++i) {
    items.Send(c, "d1");
    c.RunFor(50);
  }
  CHECK(items.CountCut(c) == 0);
  CHECK(c.Daemon("d1").process->Wait(20000) == 0);
}

TEST_CASE("a second signal forces the stop, and the exit code says that requests were cut") {
  cluster c("daemon-force");
  AddInstallation(c, {"--unready_delay_ms=100"});
  const auto pending = c.SendChat("d1", "long", 4000, true);
  REQUIRE(c.RunUntil([&] { return pending->body.size() > 1000; }));
  c.Daemon("d1").process->Signal(SIGTERM);
  c.RunFor(400);
  CHECK(c.Daemon("d1").process->Running());
  c.Daemon("d1").process->Signal(SIGTERM);
  CHECK(c.Daemon("d1").process->Wait(5000) == 3);
  CHECK_FALSE(ParseStream(c.Wait(pending).body).done);
}

}  // namespace
}  // namespace balsambay::system_test
