// Messages of the platform's table service, and an in-memory table for tests, benchmarks and the
// mock platform. The service stores rows with versions and executes transactions that are
// conditional on row versions. The version of a row is the revision of the table at the last write
// of the row: it increases with each write and is never reused, so a row that was deleted and
// created again cannot be mistaken for the old one.
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

// Holds if the row `key` has exactly this version.
struct condition {
  std::string key;
  uint64_t version = 0;  // 0: the row must be absent
};

struct write {
  std::string key;
  std::optional<std::string> value;  // nullopt deletes the row
};

// Executed atomically: all writes are applied if all conditions hold; otherwise none is.
struct transaction {
  std::vector<condition> conditions;
  std::vector<write> writes;
};

struct commit_reply {
  bool committed = false;
  std::string conflict_key;  // if not committed: key of the first condition that failed
  uint64_t version = 0;      // if committed: the new version of every written row
};

// Reads the rows `keys` or, if `keys` is empty, every row whose key starts with `prefix`. The reply
// is sorted by key and omits absent rows; all its rows are from one point in time.
struct read_request {
  std::vector<std::string> keys;
  std::string prefix;
};

struct read_reply {
  std::vector<row> rows;
};

// Invariant: `revision` is at least the version of every row.
struct memory_table {
  std::map<std::string, row, std::less<>> rows;
  uint64_t revision = 0;
  uint64_t commits = 0;  // committed transactions with at least one write
  uint64_t reads = 0;    // calls of Read()
};

commit_reply Commit(memory_table& table, const transaction& tx);
read_reply Read(memory_table& table, const read_request& request);

nlohmann::json ToJson(const transaction& tx);
nlohmann::json ToJson(const commit_reply& reply);
nlohmann::json ToJson(const read_request& request);
nlohmann::json ToJson(const read_reply& reply);

// Errors: kInvalidArgument if a member is missing or has the wrong type.
result<transaction> TransactionFromJson(const nlohmann::json& json);
result<commit_reply> CommitReplyFromJson(const nlohmann::json& json);
result<read_request> ReadRequestFromJson(const nlohmann::json& json);
result<read_reply> ReadReplyFromJson(const nlohmann::json& json);

}  // namespace balsambay::table
