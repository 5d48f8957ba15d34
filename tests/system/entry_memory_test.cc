// Memory of the daemon in its own mode: many requests that each stay below their own limit must not
// exhaust the process together, and a faulty endpoint must not end the requests of others.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>

#include "cluster.h"
#include "scripted_installation.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

constexpr int kMemoryLimitMb = 256;
constexpr int64_t kBytesPerMb = 1'000'000;
constexpr int kFaultyCalls = 40;
constexpr int kSoundCalls = 60;
constexpr size_t kPieceBytes = 60'000;
constexpr int kTimeoutMs = 8000;  // of requests
constexpr int kReplyTimeoutMs = 30000;

// Largest resident size of a process so far, in bytes.
int64_t PeakMemoryBytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    constexpr std::string_view kName = "VmHWM:";
    constexpr int64_t kBytesPerKib = 1024;
    if (line.starts_with(kName)) return std::stoll(line.substr(kName.size())) * kBytesPerKib;
  }
  return 0;
}

std::vector<std::string> Flags() {
  return {"--memory_limit_mb=" + std::to_string(kMemoryLimitMb), "--max_body_kb=8192"};
}

// Sends faulty requests beside sound ones. Checks that the sound ones were answered whole, that the
// others got an answer, and that the process stayed below its limit.
void CheckBounded(scripted_installation& site, int pause_ms,
                  const std::function<reply_ptr(int number)>& send_faulty,
                  const std::function<reply_ptr()>& send_sound) {
  site.timeout_ms = kTimeoutMs;
  std::vector<reply_ptr> faulty;
  std::vector<reply_ptr> sound;
  for (int i = 0; i < kSoundCalls; ++i) {
    if (i < kFaultyCalls) faulty.push_back(send_faulty(i));
    sound.push_back(send_sound());
    site.c.RunFor(pause_ms);
  }
  for (const reply_ptr& pending : sound) {
    const reply received = site.c.Wait(pending, kReplyTimeoutMs);
    CAPTURE(received.ended, received.failure_detail, received.body);
    CHECK(received.status == 200);
    CHECK(received.outcome == "ran");
  }
  for (const reply_ptr& pending : faulty) {
    const reply received = site.c.Wait(pending, kReplyTimeoutMs);
    CAPTURE(received.status, received.failure_detail, received.body.substr(0, 500));
    CHECK(received.ended);
    CHECK(received.failure == net::call_failure::kNone);
    const bool not_run = received.status == 503 && received.outcome == "not-run";
    const bool unknown =
        (received.status == 502 || received.status == 504) && received.outcome == "unknown";
    CHECK((not_run || unknown));
  }
  const auto lost = std::ranges::count_if(
      faulty, [](const reply_ptr& pending) { return pending->Reason() == "memory_limit"; });
  CHECK(lost > 0);
  const std::string metrics =
      site.c.Wait(site.c.Send(site.c.Daemon("d1").port, "GET", "/metrics", "")).body;
  const std::string count = std::to_string(lost);
  CHECK(metrics.find("balsambay_refusals_total{reason=\"memory_limit\"} " + count) !=
        std::string::npos);
  REQUIRE(site.c.Daemon("d1").process->Running());
  const int64_t peak = PeakMemoryBytes(site.c.Daemon("d1").process->Pid());
  CAPTURE(peak, lost);
  CHECK(peak < kMemoryLimitMb * kBytesPerMb);
}

// Guards against a process that runs out of memory by replies of a service that do not end.
TEST_CASE("endless replies of a service end without harm to others") {
  const std::string piece = Chunk(std::string(kPieceBytes, 'x'));
  scripted_installation site("memory-services", Flags());
  for (int i = 0; i < kFaultyCalls; ++i) {
    site.AddService("endless-" + std::to_string(i),
                    {.more = [&](std::string_view, size_t) { return piece; }},
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }
  site.AddService("sound", {}, WholeReply("{}"));
  site.c.Start();
  CheckBounded(
      site, 5, [&](int i) { return site.CallService("endless-" + std::to_string(i), true); },
      [&] { return site.CallService("sound", true); });
}

// Guards against a process that runs out of memory by tokens that do not end.
TEST_CASE("endless tokens of an engine end without harm to others") {
  const std::string text(kPieceBytes, 'x');
  const auto token = [&](std::string_view request, size_t index) {
    return Chunk(json{{"attempt", AttemptOf(request)}, {"index", index}, {"token", text}}.dump() +
                 "\n");
  };
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  scripted_installation site("memory-tokens", Flags());
  site.AddModel("endless", {.more = token}, [&](std::string_view) { return head; });
  site.AddModel("sound", {}, [&](std::string_view request) {
    const int attempt = AttemptOf(request);
    const json only = {{"attempt", attempt}, {"index", 0}, {"token", "t"}};
    const json end = {{"attempt", attempt}, {"end", true}, {"count", 1}};
    return head + Chunk(only.dump() + "\n" + end.dump() + "\n");
  });
  site.c.Start();
  CheckBounded(
      site, 5, [&](int) { return site.CallModel("endless", false); },
      [&] { return site.CallModel("sound", false); });
}

// Guards against a process that runs out of memory by large requests whose endpoint is silent.
TEST_CASE("large requests that wait for a silent service end without harm to others") {
  constexpr size_t kLargeBody = 2'000'000;
  scripted_installation site("memory-bodies", Flags());
  site.AddService("silent", {.more = [](std::string_view, size_t) { return std::string(); }},
                  "HTTP/1.1 200 OK\r\n");
  site.AddService("sound", {}, WholeReply("{}"));
  site.c.Start();
  CheckBounded(
      site, 50, [&](int) { return site.CallService("silent", true, std::string(kLargeBody, 'x')); },
      [&] { return site.CallService("sound", true); });
}

}  // namespace
}  // namespace balsambay::system_test
