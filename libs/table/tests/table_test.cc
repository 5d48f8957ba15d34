// Tests of the in-memory table and of the JSON encoding of table messages.
#include "table/table.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace balsambay::table {
namespace {

TEST_CASE(
    "a transaction with a failed condition writes nothing and reports the key of that condition") {
  memory_table table;
  CHECK(Commit(table, {{{"a", 0}}, {{"a", "1"}}}).committed);
  const commit_reply rejected = Commit(table, {{{"b", 0}, {"a", 0}}, {{"b", "1"}}});
  CHECK_FALSE(rejected.committed);
  CHECK(rejected.conflict_key == "a");
  CHECK(Read(table, {{"b"}, ""}).rows.empty());
}

TEST_CASE(
    "a deleted and recreated row has a new version, so a condition on the old version fails") {
  memory_table table;
  const uint64_t old_version = Commit(table, {{}, {{"a", "1"}}}).version;
  Commit(table, {{}, {{"a", std::nullopt}}});
  Commit(table, {{}, {{"a", "1"}}});
  CHECK_FALSE(Commit(table, {{{"a", old_version}}, {{"a", "2"}}}).committed);
}

TEST_CASE("messages are unchanged after encoding and decoding, and malformed ones are errors") {
  const transaction tx{{{"a", 3}}, {{"b", "x"}, {"c", std::nullopt}}};
  const transaction decoded = TransactionFromJson(ToJson(tx)).value();
  CHECK(decoded.conditions[0].version == 3);
  CHECK_FALSE(decoded.writes[1].value.has_value());
  CHECK(TransactionFromJson(nlohmann::json{{"conditions", 3}}).has_error());
  CHECK(ReadReplyFromJson(nlohmann::json::array()).has_error());
  memory_table table;
  Commit(table, tx);
  Commit(table, {{}, {{"p/1", "1"}, {"p/2", "2"}, {"q", "3"}}});
  const read_reply reply = ReadReplyFromJson(ToJson(Read(table, {{}, "p/"}))).value();
  CHECK(reply.rows.size() == 2);
}

}  // namespace
}  // namespace balsambay::table
