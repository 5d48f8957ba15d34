// Gateways on the platform: a part that many prompts have in common crashes the engines that run
// them (docs/incidents/deadly-part.md). No two of the requests are alike, so the requests must be
// recognized by the part.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "platform_site.h"

namespace balsambay::system_test {
namespace {

using namespace std::chrono_literals;

// Stated by the platform: requests with the part may reach endpoints this often later than
// `kContact` after the crash number kAllowedCrashes, and sound requests that share their caller or
// first part begin at least half as often as otherwise later than twice that time.
constexpr size_t kAllowedCrashes = 5;
constexpr size_t kAllowedArrivals = 3;
constexpr duration kContact = 3s;
constexpr double kMinServedRatio = 0.5;

constexpr duration kDeadlyPause = 400ms;
constexpr duration kSoundPause = 60ms;
constexpr int kSubjects = 5;  // middle parts of the sound requests, each of which many share
const std::string kFirstPart = "f1";
const std::string kDeadlyPart = "dead";
const std::string kOtherDeadlyPart = "bad";

struct sent_request {
  std::shared_ptr<platform::reply> reply;
  time_point at;
};

// Sound and deadly requests through all gateways in turn. Each has a body and a last part of its
// own, and the same first part.
struct traffic {
  platform_site& site;
  std::string_view crash_scope = kCrashFirstEngine;
  std::vector<std::string> deadly_parts = {kDeadlyPart};
  std::vector<sent_request> sound{};
  int deadly_count = 0;
  bool stopped = false;
};

void SendSound(traffic& load, int number) {
  if (load.stopped) return;
  const size_t gateway = static_cast<size_t>(number) % load.site.gateways.size();
  const std::string own = std::to_string(number);
  const std::vector<std::string> parts = {kFirstPart, "a" + std::to_string(number % kSubjects),
                                          "c" + own};
  load.sound.push_back({load.site.Send(gateway, "stream", "sound " + own, parts), MonotonicNow()});
  Subscribe(load.site.loop.Timers(), MonotonicNow() + kSoundPause,
            [&load, number](time_point) { SendSound(load, number + 1); });
}

void SendDeadly(traffic& load) {
  if (load.stopped) return;
  const auto number = static_cast<size_t>(load.deadly_count++);
  const std::string own = std::to_string(number);
  const std::vector<std::string> parts = {
      kFirstPart, load.deadly_parts[number % load.deadly_parts.size()], "d" + own};
  load.site.Send(number % load.site.gateways.size(), "stream",
                 std::string(load.crash_scope) + " " + own, parts);
  Subscribe(load.site.loop.Timers(), MonotonicNow() + kDeadlyPause,
            [&load](time_point) { SendDeadly(load); });
}

void Run(traffic& load, duration time) {
  SendSound(load, 0);
  Subscribe(load.site.loop.Timers(), MonotonicNow() + 1s, [&load](time_point) {
    if (!load.deadly_parts.empty()) SendDeadly(load);
  });
  load.site.RunFor(time);
  load.stopped = true;
  load.site.RunUntil(
      [&] {
        return std::ranges::all_of(load.sound,
                                   [](const auto& request) { return request.reply->ended; });
      },
      7s);
}

// When the crash number kAllowedCrashes for each deadly part was caused by a request.
time_point LastAllowedCrash(const traffic& load) {
  const size_t index = kAllowedCrashes * load.deadly_parts.size() - 1;
  return index < load.site.crashes.size() ? load.site.crashes[index].at : kNever - 2 * kContact;
}

size_t CountArrivalsAfter(const traffic& load, time_point after) {
  return static_cast<size_t>(std::ranges::count_if(load.site.arrivals, [&](const arrival& entry) {
    return entry.body.starts_with(load.crash_scope) && entry.at > after;
  }));
}

// Share of the sound requests sent between the two times that came whole.
double WholeRatio(const traffic& load, time_point from, time_point until) {
  int sent = 0;
  int whole = 0;
  for (const sent_request& request : load.sound) {
    if (request.at < from || request.at >= until) continue;
    ++sent;
    if (platform_site::IsCompleteReply(*request.reply, "stream")) ++whole;
  }
  return sent == 0 ? 1 : static_cast<double>(whole) / sent;
}

// Sound requests that were refused because they, or a part of theirs, were taken for the cause.
size_t CountRefusedSound(const traffic& load) {
  return static_cast<size_t>(std::ranges::count_if(load.sound, [](const auto& request) {
    return request.reply->body.starts_with("quarantined");
  }));
}

void CheckContained(const traffic& load) {
  const time_point last_allowed = LastAllowedCrash(load);
  INFO(load.deadly_count << " deadly requests, " << load.site.crashes.size() << " crashes, "
                         << CountRefusedSound(load) << " of " << load.sound.size()
                         << " sound requests quarantined");
  CHECK(CountArrivalsAfter(load, last_allowed + kContact) <=
        kAllowedArrivals * load.deadly_parts.size());
  CHECK(WholeRatio(load, last_allowed + 2 * kContact, kNever) >= kMinServedRatio);
}

// Guards against a part of prompts that crashes one engine after the other, in requests of which no
// two are alike.
TEST_CASE("requests with a part that crashes engines are contained") {
  const std::string_view scope = GENERATE(kCrashFirstEngine, kCrashLastEngine);
  platform_site site({});
  REQUIRE(site.Start());
  traffic load{.site = site, .crash_scope = scope};
  Run(load, 13s);
  CheckContained(load);
  CHECK(CountRefusedSound(load) <= load.sound.size() / 50);
}

// Guards against the second part being hidden by the first one.
TEST_CASE("requests with one of two parts that crash engines are contained") {
  platform_site site({});
  REQUIRE(site.Start());
  traffic load{.site = site, .deadly_parts = {kDeadlyPart, kOtherDeadlyPart}};
  Run(load, 14s);
  CheckContained(load);
}

// Guards against gateways that learn of the part only by the shared table, and against gateways
// that have just started and know nothing of it.
TEST_CASE("a contained part stays contained when gateways neither hear each other nor remember") {
  platform_site site({});
  REQUIRE(site.Start());
  site.PartitionGateways();
  traffic load{.site = site};
  Run(load, 9s);
  CheckContained(load);
  for (site_gateway& item : site.gateways) item.process->Kill();
  REQUIRE(site.Start());
  const size_t before = CountArrivalsAfter(load, time_point::min());
  traffic again{.site = site, .deadly_count = load.deadly_count};
  Run(again, 3s);
  CHECK(CountArrivalsAfter(again, time_point::min()) - before <= kAllowedArrivals);
}

// Guards against a part that is refused to the workspace only that lost engines first.
TEST_CASE("a contained part stays contained for requests of another workspace") {
  platform_site site({});
  REQUIRE(site.Start());
  traffic load{.site = site};
  Run(load, 10s);
  CheckContained(load);
  const size_t before = CountArrivalsAfter(load, time_point::min());
  constexpr size_t kRequests = 8;
  for (size_t i = 0; i < kRequests; ++i) {
    const std::string own = "other " + std::to_string(i);
    site.Send(i % site.gateways.size(), "stream", std::string(load.crash_scope) + " " + own,
              std::array{kFirstPart, kDeadlyPart, own}, kOtherApiKey);
  }
  site.RunFor(2s);
  CHECK(CountArrivalsAfter(load, time_point::min()) - before <= kAllowedArrivals);
}

// Guards against parts and contents that are blamed for engines that crash for other reasons.
TEST_CASE("no part is refused when engines crash for other reasons") {
  platform_site site({});
  REQUIRE(site.Start());
  traffic load{.site = site, .deadly_parts = {}};
  for (int i = 0; i < 9; ++i) {
    const std::string id = "e" + std::to_string(i % 2) + "-" + std::to_string(i % 5);
    Subscribe(site.loop.Timers(), MonotonicNow() + 1s + i * 700ms,
              [&site, id](time_point) { site.Crash(site.Endpoint(id), ""); });
  }
  Run(load, 8s);
  CHECK(site.CountLogLines("prompt part quarantined") == 0);
  CHECK(CountRefusedSound(load) == 0);
}

}  // namespace
}  // namespace balsambay::system_test
