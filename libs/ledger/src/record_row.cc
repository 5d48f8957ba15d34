// Keys and JSON encoding of record rows.
#include "details/record_row.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace balsambay::ledger {
namespace {

void AppendEscaped(std::string& escaped, std::string_view text) {
  for (const char c : text) {
    if (c == '/') {
      escaped += "%2F";
    } else if (c == '%') {
      escaped += "%25";
    } else {
      escaped += c;
    }
  }
}

record UnreadableRecord(int64_t wall_ms) {
  record record;
  record.state = record_state::kUnknown;
  record.started_ms = wall_ms;
  return record;
}

}  // namespace

std::string RecordName(std::string_view workspace, std::string_view key) {
  std::string name;
  name.reserve(workspace.size() + key.size() + 1);
  AppendEscaped(name, workspace);
  name += '/';
  name += key;
  return name;
}

std::string ShardKey(shard_id shard) { return "shard/" + std::to_string(shard); }

std::string RecordPrefix(shard_id shard) { return "record/" + std::to_string(shard) + "/"; }

std::string RecordKey(shard_id shard, std::string_view name) {
  return RecordPrefix(shard).append(name);
}

std::string ResultKey(shard_id shard, std::string_view name) {
  return ("result/" + std::to_string(shard) + "/").append(name);
}

uint64_t BodyHash(const claim& claim) { return Hash64(claim.body_digest); }

uint64_t GrantHash(const claim& claim) { return Hash64(claim.request_id, Hash64(claim.claimant)); }

std::string EncodeRecord(const record& record) {
  return nlohmann::json{{"state", ToString(record.state)}, {"body", record.body},
                        {"grant", record.grant},           {"claimant", record.claimant},
                        {"started_ms", record.started_ms}, {"result", record.result_stored}}
      .dump();
}

record DecodeRecord(std::string_view value, int64_t wall_ms) {
  try {
    const auto json = nlohmann::json::parse(value);
    record record;
    const auto state = ParseRecordState(json.at("state").get<std::string>());
    if (!state) return UnreadableRecord(wall_ms);
    record.state = *state;
    json.at("body").get_to(record.body);
    json.at("grant").get_to(record.grant);
    json.at("claimant").get_to(record.claimant);
    json.at("started_ms").get_to(record.started_ms);
    json.at("result").get_to(record.result_stored);
    return record;
  } catch (const nlohmann::json::exception&) {
    return UnreadableRecord(wall_ms);
  }
}

}  // namespace balsambay::ledger
