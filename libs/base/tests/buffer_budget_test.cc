// Tests of the common limit of buffers.
#include "base/buffer_budget.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace balsambay {
namespace {

// Guards against small requests that end because of a peer that sends without end.
TEST_CASE("the largest buffer is reclaimed when another one has to grow") {
  const auto budget = std::make_shared<buffer_budget>(100);
  int reclaimed = 0;
  buffer_share large(budget, [&] { ++reclaimed; });
  buffer_share small(budget, [] { FAIL("the small buffer was reclaimed"); });
  REQUIRE(large.Resize(90));
  REQUIRE(small.Resize(20));
  CHECK(reclaimed == 1);
  CHECK(large.IsReclaimed());
  CHECK(budget->used_bytes == 20);
  CHECK_FALSE(large.Resize(1));
}

TEST_CASE("the largest buffer does not grow at the expense of smaller ones") {
  const auto budget = std::make_shared<buffer_budget>(100);
  buffer_share small(budget, [] { FAIL("the small buffer was reclaimed"); });
  buffer_share large(budget, {});
  REQUIRE(small.Resize(40));
  REQUIRE(large.Resize(60));
  CHECK_FALSE(large.Resize(61));
  CHECK(large.Bytes() == 60);
  REQUIRE(large.Resize(10));
  CHECK(budget->used_bytes == 50);
}

// Guards against buffers that are reclaimed although that does not make enough room, after the
// limit has been lowered.
TEST_CASE("no buffer is reclaimed for one that still does not fit") {
  const auto budget = std::make_shared<buffer_budget>(100);
  buffer_share first(budget, [] { FAIL("reclaimed"); });
  buffer_share second(budget, [] { FAIL("reclaimed"); });
  REQUIRE(first.Resize(60));
  REQUIRE(second.Resize(40));
  budget->limit_bytes = 50;
  buffer_share third(budget, {});
  CHECK_FALSE(third.Resize(45));
  CHECK(budget->used_bytes == 100);
}

// Guards against a request that loses its body while an endpoint may be executing it.
TEST_CASE("a pinned buffer is counted but not reclaimed") {
  const auto budget = std::make_shared<buffer_budget>(100);
  buffer_share in_use(budget, [] { FAIL("a pinned buffer was reclaimed"); });
  REQUIRE(in_use.Resize(70));
  in_use.Pin();
  buffer_share other(budget, {});
  CHECK_FALSE(other.Resize(31));
  CHECK(other.Resize(30));
  CHECK(budget->used_bytes == 100);
  REQUIRE(in_use.Resize(0));
  CHECK(other.Resize(100));
}

TEST_CASE("the budget outlives its creator while buffers use it") {
  std::optional<buffer_share> share(std::in_place, std::make_shared<buffer_budget>(10), nullptr);
  CHECK(share->Resize(10));
  CHECK_FALSE(share->Resize(11));
  share.reset();
}

TEST_CASE("buffers never hold more than the budget, and none is lost from the accounts") {
  rc::prop("any sequence of sizes", [](const std::vector<std::pair<uint8_t, uint16_t>>& steps) {
    const auto budget = std::make_shared<buffer_budget>(1000);
    std::vector<std::unique_ptr<buffer_share>> shares(8);
    for (const auto& [index, bytes] : steps) {
      auto& share = shares[index % shares.size()];
      if (!share || share->IsReclaimed()) share = std::make_unique<buffer_share>(budget, nullptr);
      (void)share->Resize(bytes % 1500);
      if (bytes % 7 == 0) share->Pin();
      size_t sum = 0;
      for (const auto& each : shares) sum += each ? each->Bytes() : 0;
      RC_ASSERT(budget->used_bytes == sum);
      RC_ASSERT(sum <= budget->limit_bytes);
    }
    shares.clear();
    RC_ASSERT(budget->used_bytes == 0u);
    RC_ASSERT(budget->by_size.empty());
  });
}

}  // namespace
}  // namespace balsambay
