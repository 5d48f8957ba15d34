// Which pauses of a stream are unusual.
#include "details/pace.h"

#include <catch2/catch.hpp>

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

// Small events at low load: a pause of 100 ms is looked into as soon as it is there.
TEST_CASE("short usual pauses keep the least patience") {
  pace item;
  for (int i = 0; i < 500; ++i) Learn(item.gap, i % 2 == 0 ? 15ms : 25ms);
  CHECK(Patience(item.gap) == 100ms);
}

// Events of four tokens under load come each 90 to 130 ms. Guards against asking all engines of all
// paths for reports between any two events.
TEST_CASE("usual pauses of large events are not looked into") {
  pace item;
  for (int i = 0; i < 500; ++i) Learn(item.gap, i % 2 == 0 ? 90ms : 130ms);
  CHECK(Patience(item.gap) > 150ms);
  CHECK(Patience(item.gap) < 300ms);
}

// Guards against engines that are lost making pauses of their length usual.
TEST_CASE("rare long pauses do not raise the patience much") {
  pace item;
  for (int i = 0; i < 2000; ++i) Learn(item.gap, i % 50 == 0 ? 3000ms : 40ms);
  CHECK(Patience(item.gap) < 150ms);
}

TEST_CASE("the patience has a limit") {
  pace item;
  for (int i = 0; i < 5000; ++i) Learn(item.gap, 10s);
  CHECK(Patience(item.gap) <= 800ms);
}

}  // namespace
}  // namespace balsambay::gateway
