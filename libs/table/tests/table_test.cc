// Tests of the in-memory table and its wire form.
#include "table/table.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace balsambay::table {
namespace {

TEST_CASE("a transaction with one failed condition writes nothing") {
  memory_table table;
  CHECK(Commit(table, {{{"a", 0}}, {{"a", "1"}}}).committed);
  const commit_reply lost = Commit(table, {{{"b", 0}, {"a", 0}}, {{"b", "1"}}});
  CHECK_FALSE(lost.committed);
  CHECK(lost.conflict == "a");
  CHECK(Read(table, {{"b"}, ""}).rows.empty());
}

TEST_CASE("a recreated row has a new version; guards against mistaking it for the deleted one") {
  memory_table table;
  const uint64_t first = Commit(table, {{}, {{"a", "1"}}}).version;
  Commit(table, {{}, {{"a", std::nullopt}}});
  Commit(table, {{}, {{"a", "1"}}});
  CHECK_FALSE(Commit(table, {{{"a", first}}, {{"a", "2"}}}).committed);
}

TEST_CASE("messages survive the wire form and malformed ones are errors") {
  const transaction tx{{{"a", 3}}, {{"b", "x"}, {"c", std::nullopt}}};
  const transaction back = TransactionFromJson(ToJson(tx)).value();
  CHECK(back.conditions[0].version == 3);
  CHECK_FALSE(back.writes[1].value.has_value());
  CHECK(TransactionFromJson(nlohmann::json{{"conditions", 3}}).has_error());
  CHECK(ReadReplyFromJson(nlohmann::json::array()).has_error());
  memory_table table;
  Commit(table, tx);
  Commit(table, {{}, {{"p/1", "1"}, {"p/2", "2"}, {"q", "3"}}});
  const read_reply rows = ReadReplyFromJson(ToJson(Read(table, {{}, "p/"}))).value();
  CHECK(rows.rows.size() == 2);
}

}  // namespace
}  // namespace balsambay::table
