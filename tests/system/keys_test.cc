// Configurations with and without workspaces and keys, read by a gateway process while it runs and
// at its start. Guards against a version that takes away the last key and admits everybody.
#include <catch2/catch.hpp>

#include "intake_site.h"

namespace balsambay::platform {
namespace {

constexpr size_t kMaxBodyBytes = 4096;
constexpr duration kNoticeTime = 5s;
constexpr const char* kOneKey = R"([{"name":"w","api_keys":["held"]}])";

// Statuses of requests with a held key, a key that nobody ever held, an empty one, and none.
struct statuses {
  int held = 0;
  int unknown = 0;
  int empty = 0;
  int none = 0;
  bool operator==(const statuses&) const = default;
};

constexpr statuses kHeldOnly{200, 401, 401, 401};
constexpr statuses kNobody{401, 401, 401, 401};
constexpr statuses kEverybody{200, 200, 200, 200};

std::string ToText(const statuses& seen) {
  std::string text;
  for (const int status : {seen.held, seen.unknown, seen.empty, seen.none})
    text += std::to_string(status) + " ";
  return text;
}

statuses Ask(intake_fixture& site, const std::string& path) {
  std::vector<std::shared_ptr<reply>> replies;
  for (const char* key : {"held", "unknown", "", static_cast<const char*>(nullptr)}) {
    std::vector<net::header> headers = {{"Balsambay-Request-Id", "r1"}};
    if (key != nullptr) headers.push_back({"X-Api-Key", key});
    replies.push_back(SendRequest(*site.client, "GET", site.request_port, path, headers));
  }
  RunUntil(
      site.loop,
      [&] { return std::ranges::all_of(replies, [](const auto& reply) { return reply->ended; }); },
      kNoticeTime);
  return {replies[0]->status, replies[1]->status, replies[2]->status, replies[3]->status};
}

// Whether the gateway answers as expected on the route that needs a key, within the time in which
// a configuration is noticed. The other route is open to everybody.
bool Answers(intake_fixture& site, const statuses& expected, statuses& seen) {
  const time_point end = MonotonicNow() + kNoticeTime;
  do {
    seen = Ask(site, "/plain/1");
    if (seen == expected) return Ask(site, "/open/1") == kEverybody;
  } while (MonotonicNow() < end);
  return false;
}

struct key_case {
  std::string keys;  // JSON text; empty: the configuration has no list
  statuses expected;
};

std::vector<key_case> KeyCases() {
  return {{"[]", kNobody},
          {"null", kNobody},
          {R"([{"name":"w"}])", kNobody},
          {R"([{"name":"w","api_keys":[]}])", kNobody},
          {R"([{"name":"w","api_keys":[""]}])", kNobody},
          {R"([{"name":"w","api_keys":["","held"]}])", kHeldOnly},
          {R"([{"name":"w","api_keys":[7,null,"held"]}])", kHeldOnly},
          {R"([{"name":"w","api_keys":["held"]},{"name":"v","api_keys":["held"]}])", kHeldOnly},
          {"", kEverybody}};
}

TEST_CASE("a version without keys admits nobody, one without a list of workspaces everybody") {
  intake_fixture site(kMaxBodyBytes);
  statuses seen;
  int version = 1;
  for (const key_case& entry : KeyCases()) {
    // The answers under the version before differ from the expected ones.
    const bool open_before = entry.expected == kHeldOnly;
    site.PutConfiguration(++version, kMaxBodyBytes, open_before ? "" : kOneKey);
    CHECK(Answers(site, open_before ? kEverybody : kHeldOnly, seen));
    site.PutConfiguration(++version, kMaxBodyBytes, entry.keys);
    const bool answers = Answers(site, entry.expected, seen);
    CAPTURE(entry.keys, ToText(seen));
    CHECK(answers);
  }
}

TEST_CASE("a malformed list of workspaces leaves the version before in force") {
  intake_fixture site(kMaxBodyBytes, "", kOneKey);
  int version = 1;
  for (const char* malformed : {"{}", "\"held\"", "1", "false"}) {
    site.PutConfiguration(++version, kMaxBodyBytes, malformed);
    RunUntil(
        site.loop, [] { return false; }, 300ms);
    CAPTURE(malformed);
    CHECK(Ask(site, "/plain/1") == kHeldOnly);
  }
}

TEST_CASE("a gateway that starts with a version without keys admits nobody") {
  for (const key_case& entry : KeyCases()) {
    intake_fixture site(kMaxBodyBytes, "", entry.keys);
    const statuses seen = Ask(site, "/plain/1");
    CAPTURE(entry.keys, ToText(seen));
    CHECK(seen == entry.expected);
    CHECK(Ask(site, "/open/1") == kEverybody);
  }
}

}  // namespace
}  // namespace balsambay::platform
