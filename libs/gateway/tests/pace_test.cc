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

// Guards against streams that are begun although none of them can keep its pace.
TEST_CASE("the pace that a stream needs follows from its goal and the size of its events") {
  pace item;
  CHECK_FALSE(MostTokenMs(item, 250ms, 171).has_value());
  for (int i = 0; i < 100; ++i) LearnAnswer(item, i % 2 == 0 ? 50 : 64);
  const auto most = MostTokenMs(item, 250ms, 171);
  REQUIRE(most.has_value());
  // Three tokens in 250 ms are one in 83 ms; reading prompts takes a part of it.
  CHECK(*most < 83);
  CHECK(*most > 40);
  CHECK_FALSE(MostTokenMs(item, 0ms, 171).has_value());
  CHECK(MostTokenMs(item, 500ms, 171) > most);
  // Events of less than a token do not raise it.
  CHECK(MostTokenMs(item, 250ms, 10) <= 250);
}

TEST_CASE("the patience has a limit") {
  pace item;
  for (int i = 0; i < 5000; ++i) Learn(item.gap, 10s);
  CHECK(Patience(item.gap) <= 800ms);
}

}  // namespace
}  // namespace balsambay::gateway
