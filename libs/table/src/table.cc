// In-memory table and JSON encoding of table messages.
#include "table/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsambay::table {
namespace {

uint64_t VersionOf(const memory_table& table, std::string_view key) {
  const auto it = table.rows.find(key);
  return it == table.rows.end() ? 0 : it->second.version;
}

// Fills a message with `decode` and converts the exception for a missing or mistyped member into an
// error whose text starts with `error_prefix`.
template <class T, class DecodeFn>
result<T> Decode(std::string_view error_prefix, DecodeFn decode) {
  T message;
  try {
    decode(message);
  } catch (const nlohmann::json::exception& exception) {
    return Failure(errc::kInvalidArgument, std::string(error_prefix) + ": " + exception.what());
  }
  return message;
}

}  // namespace

commit_reply Commit(memory_table& table, const transaction& tx) {
  const auto failed = std::ranges::find_if(tx.conditions, [&](const condition& condition) {
    return VersionOf(table, condition.key) != condition.version;
  });
  if (failed != tx.conditions.end()) return {.committed = false, .conflict_key = failed->key};
  if (!tx.writes.empty()) {
    ++table.revision;
    ++table.commits;
  }
  for (const write& write : tx.writes) {
    if (write.value) {
      table.rows[write.key] = {write.key, table.revision, *write.value};
    } else {
      table.rows.erase(write.key);
    }
  }
  return {.committed = true, .conflict_key = "", .version = table.revision};
}

read_reply Read(memory_table& table, const read_request& request) {
  ++table.reads;
  read_reply reply;
  if (request.keys.empty()) {
    for (auto it = table.rows.lower_bound(request.prefix);
         it != table.rows.end() && it->first.starts_with(request.prefix); ++it) {
      reply.rows.push_back(it->second);
    }
    return reply;
  }
  for (const std::string& key : request.keys) {
    const auto it = table.rows.find(key);
    if (it != table.rows.end()) reply.rows.push_back(it->second);
  }
  std::ranges::sort(reply.rows, {}, &row::key);
  return reply;
}

nlohmann::json ToJson(const transaction& tx) {
  nlohmann::json json = {{"conditions", nlohmann::json::array()},
                         {"writes", nlohmann::json::array()}};
  for (const condition& condition : tx.conditions) {
    json["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
  }
  for (const write& write : tx.writes) {
    nlohmann::json value = write.value ? nlohmann::json(*write.value) : nlohmann::json();
    json["writes"].push_back({{"key", write.key}, {"value", std::move(value)}});
  }
  return json;
}

nlohmann::json ToJson(const commit_reply& reply) {
  if (!reply.committed) return {{"committed", false}, {"conflict", reply.conflict_key}};
  return {{"committed", true}, {"version", reply.version}};
}

nlohmann::json ToJson(const read_request& request) {
  if (request.keys.empty()) return {{"prefix", request.prefix}};
  return {{"keys", request.keys}};
}

nlohmann::json ToJson(const read_reply& reply) {
  nlohmann::json rows = nlohmann::json::array();
  for (const row& row : reply.rows) {
    rows.push_back({{"key", row.key}, {"version", row.version}, {"value", row.value}});
  }
  return {{"rows", std::move(rows)}};
}

result<transaction> TransactionFromJson(const nlohmann::json& json) {
  return Decode<transaction>("malformed transaction", [&](transaction& tx) {
    for (const auto& condition : json.at("conditions")) {
      tx.conditions.push_back({condition.at("key"), condition.at("version")});
    }
    for (const auto& write : json.at("writes")) {
      const auto& value = write.at("value");
      tx.writes.push_back({write.at("key"), value.is_null()
                                                ? std::nullopt
                                                : std::optional(value.get<std::string>())});
    }
  });
}

result<commit_reply> CommitReplyFromJson(const nlohmann::json& json) {
  return Decode<commit_reply>("malformed commit reply", [&](commit_reply& reply) {
    reply.committed = json.at("committed");
    if (reply.committed) {
      reply.version = json.at("version");
    } else {
      reply.conflict_key = json.at("conflict");
    }
  });
}

result<read_request> ReadRequestFromJson(const nlohmann::json& json) {
  return Decode<read_request>("malformed read request", [&](read_request& request) {
    if (json.contains("keys")) {
      request.keys = json.at("keys").get<std::vector<std::string>>();
    } else {
      request.prefix = json.at("prefix");
    }
  });
}

result<read_reply> ReadReplyFromJson(const nlohmann::json& json) {
  return Decode<read_reply>("malformed read reply", [&](read_reply& reply) {
    for (const auto& row : json.at("rows")) {
      reply.rows.push_back({row.at("key"), row.at("version"), row.at("value")});
    }
  });
}

}  // namespace balsambay::table
