// Entries of other writers among those of the engines: nothing but the entry itself is lost by
// them.
#include <catch2/catch.hpp>

#include "cluster.h"
#include "platform_site.h"

namespace balsambay::system_test {
namespace {

using namespace std::chrono_literals;

std::string Nested(size_t depth, const std::string& open, const std::string& close) {
  std::string out;
  for (size_t i = 0; i < depth; ++i) out += open;
  out += "1";
  for (size_t i = 0; i < depth; ++i) out += close;
  return out;
}

std::string Entry(const std::string& address, const std::string& more) {
  return R"({"service":"model","addr":")" + address +
         R"(","zone":"a","version":"1","cold_left_ms":0,"state":"ready","seq":1,"born":1,"kind":"k")" +
         (more.find("slots") == std::string::npos ? R"(,"slots":50)" : "") + more + "}";
}

// Guards against processes that end, or follow the list no longer, because of one odd entry. Other
// operators saw both.
TEST_CASE("odd entries in the list of endpoints do no harm") {
  const std::string sound = "127.0.0.1:9";
  const auto [name, text] = GENERATE_COPY(Catch::Generators::table<std::string, std::string>(
      {{"nested lists", Nested(100'000, "[", "]")},
       {"nested objects", Nested(100'000, R"({"a":)", "}")},
       {"nested in a field", Entry(sound, R"(,"layers":)" + Nested(50'000, "[", "]"))},
       {"nested without an end", std::string(200'000, '[')},
       {"a number beyond doubles", Entry(sound, R"(,"slots":1e999)")},
       {"slots beyond integers", Entry(sound, R"(,"slots":1e300)")},
       {"layers beyond integers", Entry(sound, R"(,"layers":{"from":0,"to":1e300})")},
       {"layers far beyond the model", Entry(sound, R"(,"layers":{"from":0,"to":2147483647})")},
       {"layers below zero", Entry(sound, R"(,"layers":{"from":-2147483648,"to":8})")},
       {"a port out of range", Entry("127.0.0.1:70000", "")},
       {"a port that is no number", Entry("127.0.0.1:http", "")},
       {"port zero", Entry("127.0.0.1:0", R"(,"layers":{"from":0,"to":8})")},
       {"no address", Entry("nowhere:80", R"(,"layers":{"from":0,"to":8})")},
       {"an address with a header", Entry(R"(127.0.0.1:9\r\nX-A: b)", "")},
       {"a start beyond integers",
        R"({"service":"model","addr":"127.0.0.1:9","zone":"a","state":"ready","born":1e30})"},
       {"bytes", std::string("\x00\xff\xfe{", 4)}}));
  CAPTURE(name);
  platform_site site({.gateways = 1});
  REQUIRE(site.Start());
  site.store.Put("servers", "odd", text);
  site.RunFor(400ms);
  for (int i = 0; i < 4; ++i) {
    CHECK(platform_site::IsCompleteReply(site.Call(0, "stream", "harmless"), "stream"));
  }
  CHECK(platform_site::IsCompleteReply(site.Call(0, "unsafe", "harmless"), "unsafe"));
  // The list is still followed.
  site.StartLeaving(site.Endpoint("d0"), {.announced = false, .grace_period = 5s});
  CHECK(site.RunUntil([&] { return site.CountLogLines("endpoint left the list") >= 1; }, 2s));
  // The same process, which has not ended in between.
  CHECK(site.CountLogLines("gateway started") == 1);
  CHECK(site.WaitUntilReady(0));
}

// The same when the process starts.
TEST_CASE("a gateway starts beside odd entries") {
  platform_site site({.gateways = 1});
  site.store.Put("servers", "odd-1", Nested(100'000, "[", "]"));
  site.store.Put("servers", "odd-2", Entry("127.0.0.1:70000", R"(,"layers":{"from":0,"to":8})"));
  site.store.Put("servers", "odd-3", Entry("127.0.0.1:9", R"(,"layers":{"from":0,"to":1e300})"));
  site.store.Put("balsambay", "member/odd", Nested(100'000, "[", "]"));
  site.store.Put("balsambay", "member/odd-2", R"({"zone":"a","address":"127.0.0.1:70000"})");
  REQUIRE(site.Start());
  CHECK(platform_site::IsCompleteReply(site.Call(0, "stream", "harmless"), "stream"));
  CHECK(site.CountLogLines("gateway started") == 1);
}

// Sends plain calls to the gateway for the time.
void SendCalls(platform_site& site, duration time) {
  const time_point end = MonotonicNow() + time;
  while (MonotonicNow() < end) {
    site.Send(0, "safe", "harmless");
    site.RunFor(20ms);
  }
}

// The endpoint goes on serving while its row says "draining". Guards against requests that are sent
// to it because of a row with fields missing, or of an earlier incarnation; each was taken for the
// row of a restarted endpoint.
TEST_CASE("an odd entry does not make a leaving endpoint eligible") {
  using nlohmann::json;
  platform_site site({.gateways = 1});
  REQUIRE(site.Start());
  const json ready = json::parse(site.store.Value("servers", "d0"));
  json draining = ready;
  draining["state"] = "draining";
  json without_start = ready;
  without_start.erase("born");
  json odd_start = ready;
  odd_start["born"] = "later";
  json earlier = ready;
  earlier["born"] = ready["born"].get<uint64_t>() - 1;
  const json few_fields = {{"service", ready["service"]},
                           {"addr", ready["addr"]},
                           {"zone", ready["zone"]},
                           {"state", "ready"}};
  const auto arrivals = [&] { return std::ranges::count(site.arrivals, "d0", &arrival::endpoint); };
  SendCalls(site, 500ms);
  CHECK(arrivals() > 0);
  for (const json& odd : {few_fields, without_start, odd_start, earlier}) {
    CAPTURE(odd.dump());
    site.store.Put("servers", "d0", draining.dump());
    SendCalls(site, 500ms);
    site.arrivals.clear();
    site.store.Put("servers", "d0", odd.dump());
    SendCalls(site, 500ms);
    CHECK(arrivals() == 0);
    // The same row again, as other changes of the list make all rows be read.
    site.store.Put("servers", "d0", odd.dump());
    SendCalls(site, 200ms);
  }
  CHECK(site.CountLogLines("ignoring invalid endpoint row") == 3);
  CHECK(site.CountLogLines("ignoring an endpoint row of an earlier incarnation") == 1);
  // A restart ends it.
  json restarted = ready;
  restarted["born"] = ready["born"].get<uint64_t>() + 1;
  site.store.Put("servers", "d0", restarted.dump());
  SendCalls(site, 500ms);
  CHECK(arrivals() > 0);
}

// Guards against an odd entry that brings an endpoint back into use whose silence was found, or
// that ends what is known of one in use.
TEST_CASE("an odd entry takes an endpoint out of use until its own next entry") {
  using nlohmann::json;
  platform_site site({.gateways = 1});
  REQUIRE(site.Start());
  const std::string own = site.store.Value("servers", "d0");
  json odd = json::parse(own);
  odd.erase("seq");
  const auto arrivals = [&] { return std::ranges::count(site.arrivals, "d0", &arrival::endpoint); };
  site.store.Put("servers", "d0", odd.dump());
  SendCalls(site, 300ms);
  site.arrivals.clear();
  SendCalls(site, 500ms);
  CHECK(arrivals() == 0);
  site.store.Put("servers", "d0", own);
  SendCalls(site, 500ms);
  CHECK(arrivals() > 0);
  // No row of the endpoint was removed.
  CHECK(site.CountLogLines("endpoint left the list") == 0);
}

// The same for the platform's list of VMs in the daemon's own mode.
TEST_CASE("odd entries in the list of VMs do no harm") {
  using nlohmann::json;
  const auto odd =
      GENERATE(json{{"vm", "odd"}, {"state", "live"}, {"incarnation", "first"}},
               json{{"vm", "odd"}, {"state", "live"}, {"incarnation", 1e300}},
               json{{"vm", "odd"}, {"state", "live"}, {"incarnation", -1}},
               json{{"vm", "odd"}, {"state", 5}, {"incarnation", 1}},
               json{{"vm", "odd"}, {"state", json::array({json::object()})}, {"incarnation", 1}});
  CAPTURE(odd.dump());
  cluster c("odd-vms");
  c.AddEngine("e1");
  c.AddDaemon("d1");
  c.Start();
  c.Wait(c.Send(c.PlatformPort(), "POST", "/mock/vms", odd.dump()));
  // The list is read once a second.
  c.RunFor(1500);
  CHECK(c.Daemon("d1").process->Running());
  CHECK(c.Wait(c.SendChat("d1", "question", 10, false)).status == 200);
  // The list is still followed.
  c.PlatformVm("vm-e1", 1, "leaving");
  const bool leaves = c.RunUntil(
      [&] { return c.Wait(c.SendChat("d1", "question", 10, false)).status == 503; }, 4000);
  CHECK(leaves);
}

}  // namespace
}  // namespace balsambay::system_test
