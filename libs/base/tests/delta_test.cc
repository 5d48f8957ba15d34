// Texts as differences from earlier ones.
#include "base/delta.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace balsambay {
namespace {

constexpr size_t kMostBytes = 1 << 20;

// A configuration of many routes.
std::string Routes(int count, int changed) {
  std::string out = "[";
  for (int i = 0; i < count; ++i) {
    out += R"({"path":"/service/)" + std::to_string(i * 7919) + R"(","timeout_ms":)" +
           std::to_string(i == changed ? 1234 : 900) + "},";
  }
  return out + "]";
}

TEST_CASE("a delta gives back the text it was made from") {
  rc::prop("any two texts", [](const std::string& base, const std::string& text) {
    RC_ASSERT(ApplyDelta(base, EncodeDelta(base, text), kMostBytes) == text);
  });
}

// Guards against a change of one route that costs as much as the whole configuration.
TEST_CASE("a small change of a long text makes a short delta") {
  const std::string base = Routes(500, -1);
  const std::string text = Routes(500, 250);
  CHECK(text.size() > 20'000);
  CHECK(EncodeDelta(base, text).size() < 500);
}

// Guards against a text that nobody has written, when sender and receiver started from different
// ones.
TEST_CASE("a delta against another text is refused") {
  const std::string delta = EncodeDelta(Routes(50, 1), Routes(50, 2));
  CHECK_FALSE(ApplyDelta(Routes(50, 3), delta, kMostBytes));
  CHECK_FALSE(ApplyDelta("", delta, kMostBytes));
}

// Deltas come in datagrams, which anybody may send.
TEST_CASE("damaged deltas and those of endless texts are refused") {
  const std::string delta = EncodeDelta("", std::string(10'000'000, 'x'));
  CHECK(delta.size() < 20'000);
  CHECK_FALSE(ApplyDelta("", delta, kMostBytes));
  rc::prop("one byte changed or cut", [] {
    const std::string base = Routes(20, -1);
    const std::string text = Routes(20, 7);
    std::string damaged = EncodeDelta(base, text);
    const auto at = *rc::gen::inRange<size_t>(0, damaged.size());
    if (*rc::gen::arbitrary<bool>()) {
      damaged[at] = *rc::gen::arbitrary<char>();
    } else {
      damaged.resize(at);
    }
    const auto read = ApplyDelta(base, damaged, kMostBytes);
    RC_ASSERT(!read || *read == text);
  });
}

}  // namespace
}  // namespace balsambay
