// Copies of a table by whole reads, changes and deltas.
#include "replica/table_copy.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "base/delta.h"

namespace balsambay::replica {
namespace {

const std::string kText(200, 'x');

std::string Value(uint64_t version) { return kText + std::to_string(version); }

table_copy ReadAt(uint64_t version) {
  table_copy out;
  REQUIRE(Replace(out, {{"a", {version, Value(version)}}}, version).has_value());
  return out;
}

// A change of row "a" as a delta.
table_change Step(uint64_t from, uint64_t to) {
  return {from, to, {{"a", to, EncodeDelta(Value(from), Value(to)), from}}};
}

TEST_CASE("a first read has no difference to tell") {
  table_copy copy;
  const auto told = Replace(copy, {{"a", {3, "1"}}}, 5);
  REQUIRE(told.has_value());
  CHECK(told->rows.empty());
  CHECK(copy.complete == 5);
  CHECK(copy.changed == 3);
}

TEST_CASE("a read that is older than what is known is not taken") {
  table_copy copy = ReadAt(5);
  CHECK_FALSE(Replace(copy, {}, 4).has_value());
  CHECK(copy.rows.size() == 1);
}

// Guards against others that learn nothing of what a whole read has brought.
TEST_CASE("the difference of a later read brings others up to it") {
  table_copy reader;
  table_copy other;
  const stored_rows before = {{"a", {2, "1"}}, {"b", {3, "1"}}, {"c", {4, "1"}}};
  REQUIRE(Replace(reader, before, 5).has_value());
  REQUIRE(Replace(other, before, 6).has_value());
  const stored_rows after = {{"a", {2, "1"}}, {"b", {8, "2"}}, {"d", {7, "1"}}};
  const auto told = Replace(reader, after, 9);
  REQUIRE(told.has_value());
  CHECK(Apply(other, *told).outcome == change_outcome::kApplied);
  CHECK(other.rows == after);
  CHECK(other.complete == 9);
}

// Guards against a series of which nothing can be used after one lost change: the deltas of another
// reader are to values that were held shortly before.
TEST_CASE("a delta to a former value is applied") {
  table_copy copy = ReadAt(10);
  CHECK(Apply(copy, Step(10, 12)).outcome == change_outcome::kApplied);
  CHECK(Apply(copy, Step(10, 14)).outcome == change_outcome::kApplied);
  CHECK(copy.rows.at("a").value == Value(14));
  CHECK(Apply(copy, Step(13, 16)).outcome == change_outcome::kUnknownBase);
  CHECK(Apply(copy, Step(16, 18)).outcome == change_outcome::kGap);
  CHECK(Apply(copy, Step(12, 14)).outcome == change_outcome::kKnown);
  CHECK(copy.rows.at("a").value == Value(14));
}

TEST_CASE("a delta to a value from before a whole read is applied") {
  table_copy copy = ReadAt(10);
  REQUIRE(Replace(copy, {{"a", {12, Value(12)}}}, 12).has_value());
  CHECK(Apply(copy, Step(10, 14)).outcome == change_outcome::kApplied);
}

// Guards against memory that grows with the number of changes.
TEST_CASE("former values are bounded by their size") {
  table_copy copy;
  const std::string large(60'000, 'x');
  REQUIRE(Replace(copy, {{"a", {1, large}}}, 1).has_value());
  for (uint64_t version = 2; version < 100; ++version) {
    Apply(copy, {version - 1, version, {{"a", version, large + std::to_string(version)}}});
  }
  CHECK(copy.former_bytes <= 512 * 1024);
  CHECK(copy.former.size() <= 9);
}

TEST_CASE("nothing is applied before the first read, and damaged deltas are not") {
  table_copy copy;
  CHECK(Apply(copy, Step(1, 2)).outcome == change_outcome::kGap);
  copy = ReadAt(10);
  CHECK(Apply(copy, {10, 12, {{"a", 12, "damaged", 10}}}).outcome == change_outcome::kUnknownBase);
  CHECK(copy.complete == 10);
}

// Two readers tell of the same series in steps of their own, and any of their messages may be lost
// or come late. Guards against a value that the table never had, or one that is wrong for its
// version.
TEST_CASE("whatever arrives, the copy holds a state that the table had") {
  rc::prop("states of the table only",
           [](const std::vector<std::pair<uint8_t, uint8_t>>& arrivals) {
             table_copy copy = ReadAt(10);
             for (const auto& [first, length] : arrivals) {
               const uint64_t from = 10 + first % 40;
               Apply(copy, Step(from, from + 1 + length % 6));
               RC_ASSERT(copy.rows.at("a").value == Value(copy.rows.at("a").version));
               RC_ASSERT(copy.complete == copy.rows.at("a").version);
             }
           });
}

}  // namespace
}  // namespace balsambay::replica
