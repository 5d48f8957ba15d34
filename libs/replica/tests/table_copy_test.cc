// Tests of a table copy that is built from whole reads, changes and deltas.
#include "replica/table_copy.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "base/delta.h"

namespace balsambay::replica {
namespace {

const std::string kText(200, 'x');

std::string Value(uint64_t version) { return kText + std::to_string(version); }

// A copy after a whole read of one row "a".
table_copy CopyAt(uint64_t version) {
  table_copy copy;
  REQUIRE(ReplaceRows(copy, {{"a", {version, Value(version)}}}, version).has_value());
  return copy;
}

// A change of row "a" between two versions, with its value as a delta.
table_change DeltaChange(uint64_t since, uint64_t until) {
  return {since, until, {{"a", until, EncodeDelta(Value(since), Value(until)), since}}};
}

TEST_CASE("the first whole read returns a difference without rows") {
  table_copy copy;
  const auto difference = ReplaceRows(copy, {{"a", {3, "1"}}}, 5);
  REQUIRE(difference.has_value());
  CHECK(difference->rows.empty());
  CHECK(copy.complete == 5);
  CHECK(copy.changed == 3);
}

TEST_CASE("a whole read that is older than the copy is not applied") {
  table_copy copy = CopyAt(5);
  CHECK_FALSE(ReplaceRows(copy, {}, 4).has_value());
  CHECK(copy.rows.size() == 1);
}

// Guards against other processes that miss the changes which one process found by a whole read.
TEST_CASE("the difference of a later whole read brings another copy up to date") {
  table_copy reader_copy;
  table_copy other_copy;
  const stored_rows before = {{"a", {2, "1"}}, {"b", {3, "1"}}, {"c", {4, "1"}}};
  REQUIRE(ReplaceRows(reader_copy, before, 5).has_value());
  REQUIRE(ReplaceRows(other_copy, before, 6).has_value());
  const stored_rows after = {{"a", {2, "1"}}, {"b", {8, "2"}}, {"d", {7, "1"}}};
  const auto difference = ReplaceRows(reader_copy, after, 9);
  REQUIRE(difference.has_value());
  CHECK(Apply(other_copy, *difference).outcome == change_outcome::kApplied);
  CHECK(other_copy.rows == after);
  CHECK(other_copy.complete == 9);
}

// Guards against a series of changes that is unusable after one lost change: another reader encodes
// its deltas against values that the copy has replaced shortly before.
TEST_CASE("a delta to a previous value is applied") {
  table_copy copy = CopyAt(10);
  CHECK(Apply(copy, DeltaChange(10, 12)).outcome == change_outcome::kApplied);
  CHECK(Apply(copy, DeltaChange(10, 14)).outcome == change_outcome::kApplied);
  CHECK(copy.rows.at("a").value == Value(14));
  CHECK(Apply(copy, DeltaChange(13, 16)).outcome == change_outcome::kUnknownBase);
  CHECK(Apply(copy, DeltaChange(16, 18)).outcome == change_outcome::kGap);
  CHECK(Apply(copy, DeltaChange(12, 14)).outcome == change_outcome::kAlreadyApplied);
  CHECK(copy.rows.at("a").value == Value(14));
}

TEST_CASE("a delta to a value that a whole read has replaced is applied") {
  table_copy copy = CopyAt(10);
  REQUIRE(ReplaceRows(copy, {{"a", {12, Value(12)}}}, 12).has_value());
  CHECK(Apply(copy, DeltaChange(10, 14)).outcome == change_outcome::kApplied);
}

// Guards against memory that grows with the number of changes.
TEST_CASE("previous values are limited in bytes") {
  table_copy copy;
  const std::string large(60'000, 'x');
  REQUIRE(ReplaceRows(copy, {{"a", {1, large}}}, 1).has_value());
  for (uint64_t version = 2; version < 100; ++version) {
    Apply(copy, {version - 1, version, {{"a", version, large + std::to_string(version)}}});
  }
  CHECK(copy.previous_bytes <= 512 * 1024);
  CHECK(copy.previous_rows.size() <= 9);
}

TEST_CASE("changes before the first whole read and damaged deltas are not applied") {
  table_copy copy;
  CHECK(Apply(copy, DeltaChange(1, 2)).outcome == change_outcome::kGap);
  copy = CopyAt(10);
  CHECK(Apply(copy, {10, 12, {{"a", 12, "damaged", 10}}}).outcome == change_outcome::kUnknownBase);
  CHECK(copy.complete == 10);
}

// Two readers forward the same series of changes, each divided differently, and any of their
// messages may be lost or delayed. Guards against a value that the table never had, or that does
// not belong to its version.
TEST_CASE("lost and delayed changes never leave a state that the table did not have") {
  rc::prop("the copy holds a past state of the table",
           [](const std::vector<std::pair<uint8_t, uint8_t>>& arrivals) {
             table_copy copy = CopyAt(10);
             for (const auto& [first, length] : arrivals) {
               const uint64_t since = 10 + first % 40;
               Apply(copy, DeltaChange(since, since + 1 + length % 6));
               RC_ASSERT(copy.rows.at("a").value == Value(copy.rows.at("a").version));
               RC_ASSERT(copy.complete == copy.rows.at("a").version);
             }
           });
}

}  // namespace
}  // namespace balsambay::replica
