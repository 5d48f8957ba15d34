// Tests of the timer service, hashes and errors.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "base/base64.h"
#include "base/hash.h"
#include "base/result.h"
#include "base/timer_service.h"

using namespace std::chrono_literals;

namespace balsambay {
namespace {

TEST_CASE("timers run in deadline order; guards against late or reordered deadlines") {
  rc::prop("order", [](const std::vector<uint16_t>& offsets) {
    timer_service timers;
    std::vector<int> fired;
    for (const uint16_t offset : offsets) {
      Subscribe(timers, time_point(duration(offset)),
                [&fired, offset](time_point) { fired.push_back(offset); });
    }
    RunDue(timers, time_point(1s));
    RC_ASSERT(std::is_sorted(fired.begin(), fired.end()));
    RC_ASSERT(fired.size() == offsets.size());
    RC_ASSERT(NextDeadline(timers) == kNever);
  });
}

TEST_CASE("a cancelled timer does not run, also when cancelled by another callback") {
  timer_service timers;
  int runs = 0;
  const timer_id second = Subscribe(timers, time_point(2ms), [&](time_point) { ++runs; });
  Subscribe(timers, time_point(1ms), [&](time_point) { Cancel(timers, second); });
  RunDue(timers, time_point(5ms));
  CHECK(runs == 0);
  Cancel(timers, second);
}

TEST_CASE("a callback that subscribes again for now does not loop forever") {
  timer_service timers;
  int runs = 0;
  std::function<void(time_point)> again = [&](time_point now) {
    ++runs;
    Subscribe(timers, now, again);
  };
  Subscribe(timers, time_point(1ms), again);
  CHECK(RunDue(timers, time_point(1ms)) == 1);
  CHECK(RunDue(timers, time_point(1ms)) == 1);
  CHECK(runs == 2);
}

TEST_CASE("digests match published vectors") {
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HmacSha256Hex("key", "The quick brown fox jumps over the lazy dog") ==
        "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
  CHECK(ConstantTimeEqual("abc", "abc"));
  CHECK_FALSE(ConstantTimeEqual("abc", "abd"));
  CHECK_FALSE(ConstantTimeEqual("abc", "ab"));
}

TEST_CASE("a failure keeps its code and detail") {
  const result<int> failed = Failure(errc::kConflict, "row shard/1 has version 4");
  REQUIRE(failed.has_error());
  CHECK(failed.error().code == errc::kConflict);
  CHECK(ToString(failed.error().code) == "conflict");
}

// Guards against bytes that do not survive a table of texts.
TEST_CASE("base64 keeps all bytes") {
  CHECK(EncodeBase64("any bytes") == "YW55IGJ5dGVz");
  rc::prop("round trip",
           [](const std::string& bytes) { RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes); });
}

}  // namespace
}  // namespace balsambay
