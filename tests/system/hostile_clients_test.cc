// Callers that send header sections of legal size with very many lines, header sections without
// end, and endless trailers or chunk extensions, against the daemon in its own mode and against a
// gateway of the platform. Guards against a process that runs out of memory or descriptors. Load
// and bounds are fixed; only what does not depend on speed is checked.
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <memory>

#include "intake_site.h"
#include "scripted_installation.h"

namespace balsambay::system_test {
namespace {

using platform::raw_caller;
using std::chrono_literals::operator""s;

constexpr int kMaxPeakMb = 60;
// Beyond one for each caller: files, listeners, peers, the store and endpoints.
constexpr int kOtherDescriptors = 60;
constexpr duration kSendTime = 15s;
constexpr duration kSettleTime = 1s;

struct load {
  const char* name;
  int callers;
  std::string text;  // that each caller sends; the connection stays open
};

std::string Repeat(std::string_view piece, size_t bytes) {
  std::string text;
  while (text.size() + piece.size() <= bytes) text += piece;
  return text;
}

// A complete header section of `bytes` bytes; the body is still to come.
std::string HeaderSection(std::string_view line, size_t bytes) {
  const std::string start = "POST /plain/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  const std::string end = "Content-Length: 10\r\n\r\n";
  return start + Repeat(line, bytes - start.size() - end.size()) + end;
}

std::string ChunkedStart() {
  return "POST /plain/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::vector<load> Loads() {
  const std::string start = "POST /plain/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  return {
      {"60,000 bytes of empty fields", 400, HeaderSection("a:\r\n", 60'000)},
      {"60,000 bytes of short fields", 400, HeaderSection("a:b\r\n", 60'000)},
      {"30,000 bytes of empty fields", 400, HeaderSection("a:\r\n", 30'000)},
      {"60,000 bytes of fields that hold a tab", 400, HeaderSection("a:\t\r\n", 60'000)},
      {"60,000 bytes without end", 400, start + Repeat("a:\r\n", 60'000)},
      {"200,000 bytes without end", 100, start + Repeat("a:b\r\n", 200'000)},
      {"one line without end", 100, start + Repeat("a", 200'000)},
      {"lines without a colon", 400, HeaderSection("a\r\n", 60'000)},
      {"empty lines without end", 100, Repeat("\r\n", 200'000)},
      {"trailers without end", 100, ChunkedStart() + "1\r\nx\r\n0\r\n" + Repeat("a:\r\n", 200'000)},
      {"a chunk extension without end", 100, ChunkedStart() + "1;" + Repeat("a=b;", 200'000)},
      {"pipelined requests", 100,
       Repeat("GET /nothing HTTP/1.1\r\nHost: 127.0.0.1\r\n" + Repeat("a:\r\n", 4'000) + "\r\n",
              200'000)},
  };
}

int CountDescriptors(pid_t pid) {
  return static_cast<int>(std::ranges::distance(
      std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd"),
      std::filesystem::directory_iterator()));
}

// Sends the load until all is sent or refused. `run` runs the loop until a condition, or for a
// time.
std::vector<std::unique_ptr<raw_caller>> SendLoad(
    const load& load, int port,
    const std::function<bool(const std::function<bool()>& done, duration limit)>& run) {
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < load.callers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(port, load.text, 0));
  }
  run(
      [&] {
        bool sent_all = true;
        for (const auto& caller : callers) {
          if (caller->IsClosed()) continue;
          caller->Send();
          caller->Receive();
          sent_all = sent_all && (caller->IsClosed() || caller->HasSentAll());
        }
        return sent_all;
      },
      kSendTime);
  run([] { return false; }, kSettleTime);
  return callers;
}

void CheckProcess(child_process& process, const load& load) {
  REQUIRE(process.Running());
  const int peak_mb = platform::PeakMemoryMb(process.Pid());
  CAPTURE(load.name, peak_mb);
  CHECK(peak_mb < kMaxPeakMb);
  CHECK(CountDescriptors(process.Pid()) < load.callers + kOtherDescriptors);
}

TEST_CASE("hostile header sections do not exhaust the daemon in its own mode") {
  for (const load& load : Loads()) {
    scripted_installation site("hostile-clients", {"--memory_limit_mb=160"});
    site.AddService("sound", {}, WholeReply("{}"));
    site.c.Start();
    site.timeout_ms = 10'000;
    const auto run = [&](const std::function<bool()>& done, duration limit) {
      return site.c.RunUntil(done, static_cast<int>(limit / std::chrono::milliseconds(1)));
    };
    const auto callers = SendLoad(load, site.c.Daemon("d1").port, run);
    CheckProcess(*site.c.Daemon("d1").process, load);
    CAPTURE(load.name);
    CHECK(site.c.Wait(site.CallService("sound", true)).status == 200);
  }
}

TEST_CASE("hostile header sections do not exhaust a gateway of the platform") {
  for (const load& load : Loads()) {
    platform::intake_fixture site(1000);
    const auto run = [&](const std::function<bool()>& done, duration limit) {
      return platform::RunUntil(site.loop, done, limit);
    };
    const auto callers = SendLoad(load, site.request_port, run);
    CheckProcess(*site.gateway, load);
    CAPTURE(load.name);
    const auto reply = site.Get(site.request_port, "/plain/10");
    run([&] { return reply->ended; }, 20s);
    CHECK(reply->status == 200);
  }
}

}  // namespace
}  // namespace balsambay::system_test
