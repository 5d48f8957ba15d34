// In-memory table and the JSON form of table messages.
#include "table/table.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsambay::table {
namespace {

uint64_t VersionOf(const memory_table& table, std::string_view key) {
  const auto it = table.rows.find(key);
  return it == table.rows.end() ? 0 : it->second.version;
}

// Runs `fill` and turns a missing or mistyped member into an error value.
template <class T, class Fill>
result<T> Decode(std::string_view what, Fill fill) {
  T out;
  try {
    fill(out);
  } catch (const nlohmann::json::exception& failure) {
    return Failure(errc::kInvalidArgument, std::string(what) + ": " + failure.what());
  }
  return out;
}

}  // namespace

commit_reply Commit(memory_table& table, const transaction& tx) {
  const auto failed = std::ranges::find_if(tx.conditions, [&](const condition& wanted) {
    return VersionOf(table, wanted.key) != wanted.version;
  });
  if (failed != tx.conditions.end()) return {.committed = false, .conflict = failed->key};
  if (!tx.writes.empty()) {
    ++table.revision;
    ++table.commits;
  }
  for (const write& change : tx.writes) {
    if (change.value) {
      table.rows[change.key] = {change.key, table.revision, *change.value};
    } else {
      table.rows.erase(change.key);
    }
  }
  return {.committed = true, .conflict = "", .version = table.revision};
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
  nlohmann::json out = {{"conditions", nlohmann::json::array()},
                        {"writes", nlohmann::json::array()}};
  for (const condition& wanted : tx.conditions) {
    out["conditions"].push_back({{"key", wanted.key}, {"version", wanted.version}});
  }
  for (const write& change : tx.writes) {
    nlohmann::json value = change.value ? nlohmann::json(*change.value) : nlohmann::json();
    out["writes"].push_back({{"key", change.key}, {"value", std::move(value)}});
  }
  return out;
}

nlohmann::json ToJson(const commit_reply& reply) {
  if (!reply.committed) return {{"committed", false}, {"conflict", reply.conflict}};
  return {{"committed", true}, {"version", reply.version}};
}

nlohmann::json ToJson(const read_request& request) {
  if (request.keys.empty()) return {{"prefix", request.prefix}};
  return {{"keys", request.keys}};
}

nlohmann::json ToJson(const read_reply& reply) {
  nlohmann::json rows = nlohmann::json::array();
  for (const row& entry : reply.rows) {
    rows.push_back({{"key", entry.key}, {"version", entry.version}, {"value", entry.value}});
  }
  return {{"rows", std::move(rows)}};
}

result<transaction> TransactionFromJson(const nlohmann::json& json) {
  return Decode<transaction>("transaction", [&](transaction& out) {
    for (const auto& entry : json.at("conditions")) {
      out.conditions.push_back({entry.at("key"), entry.at("version")});
    }
    for (const auto& entry : json.at("writes")) {
      const auto& value = entry.at("value");
      out.writes.push_back({entry.at("key"), value.is_null()
                                                 ? std::nullopt
                                                 : std::optional(value.get<std::string>())});
    }
  });
}

result<commit_reply> CommitReplyFromJson(const nlohmann::json& json) {
  return Decode<commit_reply>("commit reply", [&](commit_reply& out) {
    out.committed = json.at("committed");
    if (out.committed) {
      out.version = json.at("version");
    } else {
      out.conflict = json.at("conflict");
    }
  });
}

result<read_request> ReadRequestFromJson(const nlohmann::json& json) {
  return Decode<read_request>("read request", [&](read_request& out) {
    if (json.contains("keys")) {
      out.keys = json.at("keys").get<std::vector<std::string>>();
    } else {
      out.prefix = json.at("prefix");
    }
  });
}

result<read_reply> ReadReplyFromJson(const nlohmann::json& json) {
  return Decode<read_reply>("read reply", [&](read_reply& out) {
    for (const auto& entry : json.at("rows")) {
      out.rows.push_back({entry.at("key"), entry.at("version"), entry.at("value")});
    }
  });
}

}  // namespace balsambay::table
