// The platform's table service: rows with versions, and transactions that are conditional on
// versions. A row's version is the table's revision at the row's last write: it rises with each
// write and is never reused, so a deleted and recreated row cannot be mistaken for the old one.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace balsambay::table {

struct row {
  std::string key;
  uint64_t version = 0;  // > 0
  std::string value;
  bool operator==(const row&) const = default;
};

struct condition {
  std::string key;
  uint64_t version = 0;  // 0: the row is absent
};

struct write {
  std::string key;
  std::optional<std::string> value;  // nullopt deletes the row
};

// All conditions hold and all writes happen, or nothing is written.
struct transaction {
  std::vector<condition> conditions;
  std::vector<write> writes;
};

struct commit_reply {
  bool committed = false;
  std::string conflict;  // first key whose condition failed
  uint64_t version = 0;  // version of every row written, when committed
};

// Reads `keys`, or every row whose key starts with `prefix` when `keys` is empty. Rows come in key
// order, absent rows are left out; all rows of a reply are from one point in time.
struct read_request {
  std::vector<std::string> keys;
  std::string prefix;
};

struct read_reply {
  std::vector<row> rows;
};

// Table held in memory. Invariant: `revision` is at least the version of every row.
struct memory_table {
  std::map<std::string, row, std::less<>> rows;
  uint64_t revision = 0;
  uint64_t commits = 0;  // transactions that wrote something
  uint64_t reads = 0;
};

commit_reply Commit(memory_table& table, const transaction& tx);
read_reply Read(memory_table& table, const read_request& request);

nlohmann::json ToJson(const transaction& tx);
nlohmann::json ToJson(const commit_reply& reply);
nlohmann::json ToJson(const read_request& request);
nlohmann::json ToJson(const read_reply& reply);

// Errors: kInvalidArgument when a member is missing or has the wrong type.
result<transaction> TransactionFromJson(const nlohmann::json& json);
result<commit_reply> CommitReplyFromJson(const nlohmann::json& json);
result<read_request> ReadRequestFromJson(const nlohmann::json& json);
result<read_reply> ReadReplyFromJson(const nlohmann::json& json);

}  // namespace balsambay::table
