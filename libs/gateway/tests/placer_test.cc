// When layers are placed.
#include "details/placer.h"

#include <catch2/catch.hpp>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

// A large installation starts: 216 engines list themselves over some seconds, and changes of the
// list are fetched in batches 1.5 s apart. A placement of the first 20 engines left the others to
// be added one by one, without whole copies inside a zone.
TEST_CASE("a placement from nothing waits until the list has stopped growing") {
  CHECK_FALSE(HasSettled(true, 400ms, 1s));
  CHECK_FALSE(HasSettled(true, 1500ms, 2s));
  CHECK(HasSettled(true, 2500ms, 3s));
}

TEST_CASE("a list that never stops changing does not keep layers from being placed") {
  CHECK(HasSettled(true, 0ms, 6s));
}

// Guards against seconds without service after a change of the lease holder.
TEST_CASE("a new holder repairs a placement that is there at once") {
  CHECK_FALSE(HasSettled(false, 1s, 100ms));
  CHECK(HasSettled(false, 400ms, 400ms));
}

}  // namespace
}  // namespace balsambay::gateway
