// Gateways on the platform: a request that crashes the endpoints that run it, and is sent again
// through any gateway, must not walk through the fleet (docs/incidents/crashing-request.md).
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "platform_site.h"

namespace balsambay::system_test {
namespace {

using namespace std::chrono_literals;

// Stated by the platform: a request may reach endpoints this often once the gateways have had
// `kContact` to learn that it has crashed kAllowedCrashes endpoints.
constexpr size_t kAllowedCrashes = 3;
constexpr size_t kAllowedArrivals = 3;
constexpr duration kContact = 3s;
// How long the request is sent again, and the pause after each answer.
constexpr duration kSendTime = 8s;
constexpr duration kSendPause = 400ms;
constexpr duration kLoadPause = 60ms;

// Harmless requests that run beside the one that crashes endpoints.
struct background {
  std::string kind = "stream";
  bool same_body = false;  // all callers send the same one
  std::vector<std::shared_ptr<platform::reply>> replies{};
  bool stopped = false;
};

void SendInTurn(platform_site& site, background& load, int number) {
  if (load.stopped) return;
  const size_t gateway = static_cast<size_t>(number) % site.gateways.size();
  const std::string body = "harmless " + std::to_string(load.same_body ? 0 : number);
  load.replies.push_back(site.Send(gateway, load.kind, body));
  Subscribe(site.loop.Timers(), MonotonicNow() + kLoadPause,
            [&site, &load, number](time_point) { SendInTurn(site, load, number + 1); });
}

void Stop(platform_site& site, background& load) {
  load.stopped = true;
  site.RunUntil([&] { return std::ranges::all_of(load.replies, &platform::reply::ended); }, 7s);
}

size_t CountWhole(const background& load) {
  return static_cast<size_t>(std::ranges::count_if(load.replies, [&](const auto& reply) {
    return platform_site::IsCompleteReply(*reply, load.kind);
  }));
}

// When the endpoint number kAllowedCrashes was lost to `body`; never if fewer were.
time_point LastAllowedCrash(const platform_site& site, std::string_view body) {
  size_t count = 0;
  for (const crash& item : site.crashes) {
    if (item.body == body && ++count == kAllowedCrashes) return item.at;
  }
  return kNever - kContact;
}

// Through one gateway after the other.
void SendAgain(platform_site& site, const std::string& kind, const std::string& body,
               duration time) {
  const time_point end = MonotonicNow() + time;
  for (size_t i = 0; MonotonicNow() < end; ++i) {
    const platform::reply reply = site.Call(i % site.gateways.size(), kind, body);
    CHECK_FALSE(platform_site::IsCompleteReply(reply, kind));
    site.RunFor(kSendPause);
  }
}

void CheckContained(const platform_site& site, std::string_view body) {
  std::string seen;
  for (const crash& item : site.crashes) {
    seen += item.endpoint + " " +
            std::to_string(WholeMilliseconds(item.at - site.crashes.front().at)) + " ms, ";
  }
  INFO("crashes: " << seen << "arrivals: " << site.CountArrivals(body));
  CHECK(site.CountArrivals(body, LastAllowedCrash(site, body) + kContact) <= kAllowedArrivals);
}

// Guards against a stream that crashes one engine after the other, within one call and when it is
// sent again, and takes harmless ones on the same engines along.
TEST_CASE("a stream that crashes the engine it enters at is contained") {
  platform_site site({});
  REQUIRE(site.Start());
  background load;
  SendInTurn(site, load, 0);
  const std::string body = std::string(kCrashFirstEngine) + " 1";
  SendAgain(site, "stream", body, kSendTime);
  Stop(site, load);
  CheckContained(site, body);
  INFO(CountWhole(load) << " of " << load.replies.size() << " harmless streams came whole");
  CHECK(CountWhole(load) >= load.replies.size() * 98 / 100);
}

// Guards against a loss that is not seen as one of the request's, because the engine is not the one
// that the gateway is connected to, and against changes of path that carry the request on.
TEST_CASE("a stream that crashes an engine behind the first one is contained") {
  platform_site site({});
  REQUIRE(site.Start());
  const std::string body = std::string(kCrashLastEngine) + " 1";
  SendAgain(site, "stream", body, kSendTime);
  CheckContained(site, body);
  CHECK(site.CountCrashes(body) <= kAllowedCrashes + kAllowedArrivals);
}

TEST_CASE("a stream that crashes all engines of its path is contained") {
  platform_site site({});
  REQUIRE(site.Start());
  const std::string body = std::string(kCrashAllEngines) + " 1";
  SendAgain(site, "stream", body, kSendTime);
  CheckContained(site, body);
}

// Guards against requests for plain services, whose endpoints do not report their state, and which
// reach one endpoint for each call if they may not be repeated.
TEST_CASE("plain calls that crash their endpoints are contained") {
  for (const std::string kind : {"safe", "unsafe"}) {
    platform_site site({});
    REQUIRE(site.Start());
    const std::string body = std::string(kCrashFirstEngine) + " " + kind;
    SendAgain(site, kind, body, kSendTime);
    CheckContained(site, body);
    CHECK(platform_site::IsCompleteReply(site.Call(0, kind, "harmless"), kind));
  }
}

// Guards against a gateway that starts anew and knows nothing of the request.
TEST_CASE("a contained request stays contained when all gateways are killed") {
  platform_site site({});
  REQUIRE(site.Start());
  const std::string body = std::string(kCrashFirstEngine) + " 1";
  SendAgain(site, "stream", body, 3s);
  for (site_gateway& item : site.gateways) item.process->Kill();
  REQUIRE(site.Start());
  SendAgain(site, "stream", body, kSendTime);
  CheckContained(site, body);
}

// Guards against gateways that learn of the request only by messages from the others.
TEST_CASE("gateways that do not hear each other contain the request together") {
  platform_site site({});
  REQUIRE(site.Start());
  site.PartitionGateways();
  const std::string body = std::string(kCrashFirstEngine) + " 1";
  SendAgain(site, "stream", body, kSendTime);
  CheckContained(site, body);
}

// Guards against gateways that learn of the request only by way of the store.
TEST_CASE("the request is contained while the store is away") {
  // Without the store nobody orders engines to hold layers.
  platform_site site({.restarts_without_layers = false});
  REQUIRE(site.Start());
  site.store.mode = platform::store_mode::kSilent;
  const std::string body = std::string(kCrashFirstEngine) + " 1";
  SendAgain(site, "stream", body, kSendTime);
  CheckContained(site, body);
}

// Guards against harmless requests that are refused because endpoints were lost under them for
// other reasons: engines that crash one after the other, and a request that many callers send.
TEST_CASE("harmless requests are not refused when endpoints are lost") {
  const bool same_body = GENERATE(false, true);
  platform_site site({});
  REQUIRE(site.Start());
  background streams{.same_body = same_body};
  background calls{.kind = "safe", .same_body = same_body};
  SendInTurn(site, streams, 0);
  SendInTurn(site, calls, 0);
  for (const char* id : {"e0-0", "e1-1", "d0", "e0-2", "e1-3", "d1", "e0-1", "e1-0", "d2"}) {
    site.RunFor(500ms);
    site.Crash(site.Endpoint(id), "");
  }
  Stop(site, streams);
  Stop(site, calls);
  CHECK(site.CountLogLines("\"reason\":\"quarantined\"") == 0);
  INFO(CountWhole(streams) << " of " << streams.replies.size() << " streams came whole, "
                           << CountWhole(calls) << " of " << calls.replies.size() << " calls");
  CHECK(CountWhole(streams) >= streams.replies.size() * 95 / 100);
  CHECK(CountWhole(calls) >= calls.replies.size() * 95 / 100);
}

}  // namespace
}  // namespace balsambay::system_test
