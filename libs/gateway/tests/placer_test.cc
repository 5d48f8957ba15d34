// Tests of the time at which a new lease holder starts to place layers.
#include "details/placer.h"

#include <catch2/catch.hpp>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against an initial placement on an incomplete list. When a large installation starts, 216
// engines list themselves over some seconds, and changes of the list are fetched in batches 1.5 s
// apart. A placement on the first 20 engines leaves the others to be added one by one, without
// complete copies of the model inside a zone.
TEST_CASE("the initial placement waits until the endpoint list has stopped growing") {
  CHECK_FALSE(HasSettled(true, 400ms, 1s));
  CHECK_FALSE(HasSettled(true, 1500ms, 2s));
  CHECK(HasSettled(true, 2500ms, 3s));
}

TEST_CASE("the initial placement starts after 6 s even if the endpoint list keeps changing") {
  CHECK(HasSettled(true, 0ms, 6s));
}

// Guards against seconds without service after a change of the lease holder: a placement that
// exists must be repaired after the short settle time.
TEST_CASE("a new lease holder repairs an existing placement after 400 ms") {
  CHECK_FALSE(HasSettled(false, 1s, 100ms));
  CHECK(HasSettled(false, 400ms, 400ms));
}

}  // namespace
}  // namespace balsambay::gateway
