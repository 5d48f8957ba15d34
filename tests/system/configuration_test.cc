// Guarantee 7 with real processes: accepted versions are in force everywhere within 2 s and never
// revert, while operators race, the platform is away, and daemons start.
#include <catch2/catch.hpp>

#include "cluster.h"

namespace balsambay::system_test {
namespace {

using nlohmann::json;

void AddDaemons(cluster& c) {
  c.AddEngine("e1", {});
  for (int i = 1; i <= 6; ++i)
    c.AddDaemon("d" + std::to_string(i), "z" + std::to_string((i - 1) % 3 + 1));
  c.Start();
}

json WithShare(const cluster& c, int share) {
  json out = c.document;
  out["workspaces"]["w1"]["share"] = share;
  return out;
}

bool AllAt(cluster& c, uint64_t version) {
  for (int i = 1; i <= 6; ++i) {
    if (c.VersionOf("d" + std::to_string(i)) != version) return false;
  }
  return true;
}

TEST_CASE("an accepted version is in force at all daemons within 2 s") {
  cluster c("config-spread");
  AddDaemons(c);
  for (int round = 0; round < 3; ++round) {
    const uint64_t base = c.VersionOf("d1");
    const time_point start = MonotonicNow();
    const reply applied = c.Apply("d" + std::to_string(round + 1), WithShare(c, round + 2), base);
    REQUIRE(applied.status == 200);
    CHECK(c.RunUntil([&] { return AllAt(c, base + 1); }, 5000));
    CHECK(MonotonicNow() - start < std::chrono::seconds(2));
  }
}

TEST_CASE("of racing operators one wins and the others get a clear conflict") {
  cluster c("config-race");
  AddDaemons(c);
  const uint64_t base = c.VersionOf("d1");
  std::vector<reply_ptr> pending;
  for (int i = 1; i <= 6; ++i) {
    const json body = {{"base_version", base}, {"document", WithShare(c, 10 + i)}};
    pending.push_back(c.Send(c.Daemon("d" + std::to_string(i)).port, "POST", "/admin/v1/config",
                             body.dump(), {{"Authorization", "Bearer admin-secret"}}));
  }
  int won = 0;
  int conflicts = 0;
  for (const auto& reply : pending) {
    const int status = c.Wait(reply).status;
    won += status == 200 ? 1 : 0;
    conflicts += status == 409 ? 1 : 0;
  }
  CHECK(won == 1);
  CHECK(conflicts == 5);
  CHECK(c.RunUntil([&] { return AllAt(c, base + 1); }, 5000));
}

TEST_CASE(
    "a bad configuration is refused whole with the path of each error and the old one stays") {
  cluster c("config-bad");
  AddDaemons(c);
  const uint64_t base = c.VersionOf("d1");
  json bad = c.document;
  bad["endpoints"]["e1"]["tokens_per_second"] = -1;
  bad["endpoints"]["e1"]["vm"] = "nowhere";
  const reply refused = c.Apply("d1", bad, base);
  CHECK(refused.status == 422);
  CHECK(refused.Json().at("errors").size() >= 2);
  c.RunFor(500);
  CHECK(AllAt(c, base));
}

TEST_CASE(
    "a daemon that starts during an outage takes the highest version of its peers, and none "
    "reverts") {
  cluster c("config-outage");
  AddDaemons(c);
  const uint64_t base = c.VersionOf("d1");
  REQUIRE(c.Apply("d1", WithShare(c, 7), base).status == 200);
  REQUIRE(c.RunUntil([&] { return AllAt(c, base + 1); }, 5000));
  c.Daemon("d6").process->Kill();
  c.PlatformFaults({{"mode", "down"}});
  c.StartDaemon(c.Daemon("d6"));
  CHECK(c.RunUntil([&] { return c.VersionOf("d6") == base + 1; }, 5000));
  CHECK(c.RunUntil(
      [&] { return c.Wait(c.Send(c.Daemon("d6").port, "GET", "/readyz", "")).status == 200; },
      2000));
  // Nothing is accepted while the table cannot be reached.
  CHECK(c.Apply("d2", WithShare(c, 8), base + 1).status >= 500);
  c.PlatformFaults({{"mode", "ok"}});
  const time_point back = MonotonicNow();
  uint64_t version = base + 1;
  CHECK(c.RunUntil([&] {
    const reply applied = c.Apply("d6", WithShare(c, 9), version);
    if (applied.status == 409) version = applied.Json().value("version", version);
    if (applied.status == 200) version = applied.Json().at("version");
    return applied.status == 200;
  }));
  CHECK(version > base + 1);
  CHECK(c.RunUntil([&] { return AllAt(c, version); }, 5000));
  CHECK(MonotonicNow() - back < std::chrono::seconds(4));
}

TEST_CASE("a daemon without platform and peers stays unready") {
  cluster c("config-alone");
  c.AddEngine("e1", {});
  c.AddDaemon("d1");
  c.PlatformFaults({{"mode", "down"}});
  c.StartDaemon(c.Daemon("d1"));
  c.RunFor(1500);
  CHECK(c.Wait(c.Send(c.Daemon("d1").port, "GET", "/readyz", "")).status == 503);
  CHECK(c.Wait(c.SendChat("d1", "x", 1, false)).Reason() == "not_ready");
}

TEST_CASE(
    "a zone cut off from the platform keeps its configuration and serves, then catches up within 2 "
    "s") {
  cluster c("config-cut");
  AddDaemons(c);
  const uint64_t base = c.VersionOf("d1");
  // d2 and d5 are zone z2: no platform and no peers.
  c.PlatformLink("z2").SetMode(link_mode::kCut);
  for (int i = 1; i <= 6; ++i) c.PeerLink("d" + std::to_string(i)).SetMode(link_mode::kCut);
  REQUIRE(c.RunUntil([&] { return c.Apply("d1", WithShare(c, 5), base).status == 200; }, 5000));
  c.RunFor(1000);
  CHECK(c.VersionOf("d2") == base);
  CHECK(c.Wait(c.SendChat("d2", "still served", 3, false)).status == 200);
  c.PlatformLink("z2").SetMode(link_mode::kPass);
  for (int i = 1; i <= 6; ++i) c.PeerLink("d" + std::to_string(i)).SetMode(link_mode::kPass);
  const time_point healed = MonotonicNow();
  CHECK(c.RunUntil([&] { return AllAt(c, base + 1); }, 8000));
  CHECK(MonotonicNow() - healed < std::chrono::seconds(2));
}

}  // namespace
}  // namespace balsambay::system_test
