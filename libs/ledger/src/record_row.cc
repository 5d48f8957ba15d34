// Names and wire form of records.
#include "details/record_row.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace balsambay::ledger {
namespace {

void AppendEscaped(std::string& out, std::string_view text) {
  for (const char c : text) {
    if (c == '/') {
      out += "%2F";
    } else if (c == '%') {
      out += "%25";
    } else {
      out += c;
    }
  }
}

record UnreadableRecord(int64_t wall_ms) {
  record out;
  out.state = record_state::kUnknown;
  out.started_ms = wall_ms;
  return out;
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
    record out;
    const auto state = RecordStateFrom(json.at("state").get<std::string>());
    if (!state) return UnreadableRecord(wall_ms);
    out.state = *state;
    json.at("body").get_to(out.body);
    json.at("grant").get_to(out.grant);
    json.at("claimant").get_to(out.claimant);
    json.at("started_ms").get_to(out.started_ms);
    json.at("result").get_to(out.result_stored);
    return out;
  } catch (const nlohmann::json::exception&) {
    return UnreadableRecord(wall_ms);
  }
}

}  // namespace balsambay::ledger
