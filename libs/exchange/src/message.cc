// Encodes and decodes messages as CBOR with nlohmann::json. Lists are flat arrays of unsigned
// integers, with a fixed number of integers for each entry.
#include "exchange/message.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>

#include "base/cbor.h"
#include "base/hash.h"
#include "quarantine/message.h"

namespace balsambay::exchange {
namespace {

using nlohmann::json;

constexpr uint64_t kVersion = 3;
constexpr duration kAgeStep = std::chrono::milliseconds(10);
constexpr double kCommittedStep = 1024;
constexpr double kSlowdownStep = 0.1;
// A layer range is packed into one number: first_layer * kLayerBase + end_layer.
constexpr uint64_t kLayerBase = 4096;
// Limits above all values that gateways send; messages that exceed them are rejected.
constexpr uint64_t kMaxNumber = uint64_t{1} << 48;
constexpr size_t kMaxListSize = 16'384;
constexpr uint64_t kMaxTable = 15;
constexpr size_t kMaxSuspects = 64;
constexpr uint64_t kMaxSequences = 1'000'000;
constexpr std::chrono::milliseconds kMaxAge{600'000};

// Members with updates of the quarantine. Older builds ignore those of features, which they would
// take for contents.
constexpr const char* kContents = "q";
constexpr const char* kFeatures = "t";

using numbers = std::vector<uint64_t>;

uint64_t RoundToUnsigned(double value) {
  return static_cast<uint64_t>(
      std::llround(std::clamp(value, 0.0, static_cast<double>(kMaxNumber))));
}

uint64_t AgeSteps(duration age) {
  return static_cast<uint64_t>(std::clamp<duration>(age, duration::zero(), kMaxAge) / kAgeStep);
}

duration AgeOf(uint64_t steps) {
  return std::min<duration>(kAgeStep * std::min<uint64_t>(steps, kMaxNumber / 1000), kMaxAge);
}

// Reads the member `key`: a list of entries of `entry_size` integers, none of which exceeds
// `max_value`. An absent member is an empty list. Returns nullopt if the member is anything else.
std::optional<numbers> ReadNumbers(const json& body, const char* key, size_t entry_size,
                                   uint64_t max_value) {
  const auto list = body.find(key);
  if (list == body.end()) return numbers();
  if (!list->is_array() || list->size() % entry_size != 0 || list->size() > kMaxListSize) {
    return std::nullopt;
  }
  numbers values;
  for (const json& value : *list) {
    if (!value.is_number_unsigned() || value.get<uint64_t>() > max_value) return std::nullopt;
    values.push_back(value.get<uint64_t>());
  }
  return values;
}

bool IsIdHash(uint64_t value) { return value <= UINT32_MAX; }

// Calls `read_entry` for each entry of `entry_size` numbers. Returns false as soon as it rejects an
// entry.
bool ForEachEntry(const numbers& values, size_t entry_size,
                  const std::function<bool(std::span<const uint64_t>)>& read_entry) {
  for (size_t i = 0; i < values.size(); i += entry_size) {
    if (!read_entry(std::span(values).subspan(i, entry_size))) return false;
  }
  return true;
}

json EncodeBytes(std::string_view bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

// Format of a row: [key, version, value or null, optionally delta_base_version].
std::optional<changed_row> ReadRow(const json& entry) {
  if (!entry.is_array() || entry.size() < 3 || entry.size() > 4 || !entry[0].is_string() ||
      !entry[1].is_number_unsigned() || !(entry[2].is_binary() || entry[2].is_null())) {
    return std::nullopt;
  }
  changed_row row{.key = entry[0], .version = entry[1], .value = {}};
  if (entry[2].is_binary()) {
    const auto& bytes = entry[2].get_binary();
    row.value = std::string(bytes.begin(), bytes.end());
  }
  if (entry.size() == 4) {
    if (!entry[3].is_number_unsigned() || !row.value) return std::nullopt;
    row.delta_base_version = entry[3].get<uint64_t>();
  }
  return row;
}

json EncodeTableChange(const shared_change& shared) {
  json rows = json::array();
  for (const changed_row& row : shared.change.rows) {
    rows.push_back({row.key, row.version, row.value ? EncodeBytes(*row.value) : json()});
    if (row.delta_base_version) rows.back().push_back(*row.delta_base_version);
  }
  return {{"t", shared.table},    {"a", shared.change.since}, {"b", shared.change.until},
          {"m", shared.as_of_ms}, {"r", std::move(rows)},     {"g", shared.forward_to}};
}

std::optional<shared_change> ReadTableChange(const json& body) {
  if (!body.is_object()) return std::nullopt;
  const auto forward_to = ReadNumbers(body, "g", 1, UINT32_MAX);
  const json since = body.value("a", json());
  const json until = body.value("b", json());
  const json as_of = body.value("m", json());
  const json rows = body.value("r", json());
  const json table = body.value("t", json());
  if (!forward_to || !table.is_number_unsigned() || table.get<uint64_t>() > kMaxTable ||
      !since.is_number_unsigned() || !until.is_number_unsigned() || !as_of.is_number_unsigned() ||
      !rows.is_array()) {
    return std::nullopt;
  }
  shared_change shared{
      .table = table.get<int>(), .change = {.since = since, .until = until}, .as_of_ms = as_of};
  for (const uint64_t id_hash : *forward_to) {
    shared.forward_to.push_back(static_cast<uint32_t>(id_hash));
  }
  for (const json& entry : rows) {
    auto row = ReadRow(entry);
    if (!row) return std::nullopt;
    shared.change.rows.push_back(std::move(*row));
  }
  return shared;
}

void AddIfNotEmpty(json& body, const char* key, const numbers& values) {
  if (!values.empty()) body[key] = values;
}

// Appends the updates of contents or of features. Returns false if one of them is invalid.
bool ReadSuspects(const json& body, bool features, message& decoded) {
  const json suspects = body.value(features ? kFeatures : kContents, json::array());
  if (!suspects.is_array() || suspects.size() > kMaxSuspects) return false;
  return std::ranges::all_of(suspects, [&](const json& entry) {
    auto update = quarantine::ParseUpdate("", entry);
    if (!update) return false;
    update->is_feature = features;
    decoded.suspects.push_back(std::move(*update));
    return true;
  });
}

}  // namespace

uint32_t IdHash(std::string_view id) { return static_cast<uint32_t>(Hash64(id)); }

std::string Encode(const message& message) {
  json body = {{"v", kVersion}, {"f", message.sender}};
  if (message.is_state) body["s"] = message.reaches_store;
  numbers feeds;
  for (const feed_position& position : message.feeds) {
    feeds.insert(feeds.end(), {position.changed, position.as_of_ms});
  }
  numbers loads;
  for (const own_load& load : message.loads) {
    loads.insert(loads.end(), {load.endpoint, RoundToUnsigned(load.committed),
                               static_cast<uint64_t>(load.sequences),
                               static_cast<uint64_t>(load.head_requests)});
  }
  numbers engines;
  for (const engine_record& record : message.engines) {
    engines.insert(
        engines.end(),
        {record.endpoint, AgeSteps(record.age), RoundToUnsigned(record.committed / kCommittedStep),
         static_cast<uint64_t>(record.sequences), RoundToUnsigned(record.slowdown / kSlowdownStep),
         static_cast<uint64_t>(record.first_layer) * kLayerBase +
             static_cast<uint64_t>(record.end_layer)});
  }
  numbers contacts;
  for (const store_contact& contact : message.contacts) {
    contacts.insert(contacts.end(), {contact.gateway, AgeSteps(contact.age)});
  }
  numbers events;
  for (const endpoint_event& event : message.endpoint_events) {
    events.insert(events.end(),
                  {static_cast<uint64_t>(event.kind), event.endpoint, event.incarnation});
  }
  AddIfNotEmpty(body, "p", feeds);
  AddIfNotEmpty(body, "l", loads);
  AddIfNotEmpty(body, "e", engines);
  AddIfNotEmpty(body, "c", contacts);
  AddIfNotEmpty(body, "n", events);
  if (message.rows) body["r"] = EncodeTableChange(*message.rows);
  for (const quarantine::update& update : message.suspects) {
    body[update.is_feature ? kFeatures : kContents].push_back(quarantine::ToJson(update));
  }
  std::string encoded;
  json::to_cbor(body, encoded);
  return encoded;
}

std::optional<message> Decode(std::string_view data) {
  const json body = ParseCbor(data);
  if (!body.is_object() || body.value("v", json()) != json(kVersion)) return std::nullopt;
  const json from = body.value("f", json());
  if (!from.is_number_unsigned() || !IsIdHash(from.get<uint64_t>())) return std::nullopt;
  message decoded;
  decoded.sender = from.get<uint32_t>();
  const json state = body.value("s", json());
  decoded.is_state = state.is_boolean();
  decoded.reaches_store = state == json(true);
  const auto feeds = ReadNumbers(body, "p", 2, UINT64_MAX);
  const auto loads = ReadNumbers(body, "l", 4, kMaxNumber);
  const auto engines = ReadNumbers(body, "e", 6, kMaxNumber);
  const auto contacts = ReadNumbers(body, "c", 2, kMaxNumber);
  const auto events = ReadNumbers(body, "n", 3, UINT64_MAX);
  if (!feeds || !loads || !engines || !contacts || !events) return std::nullopt;
  bool valid = ForEachEntry(*feeds, 2, [&](std::span<const uint64_t> v) {
    decoded.feeds.push_back({v[0], v[1]});
    return true;
  });
  valid = valid && ForEachEntry(*loads, 4, [&](std::span<const uint64_t> v) {
            decoded.loads.push_back({static_cast<uint32_t>(v[0]), static_cast<double>(v[1]),
                                     static_cast<int>(v[2]), static_cast<int>(v[3])});
            return IsIdHash(v[0]) && v[2] < kMaxSequences && v[3] < kMaxSequences;
          });
  valid =
      valid && ForEachEntry(*engines, 6, [&](std::span<const uint64_t> v) {
        decoded.engines.push_back(
            {static_cast<uint32_t>(v[0]), AgeOf(v[1]), static_cast<double>(v[2]) * kCommittedStep,
             static_cast<int>(v[3]), static_cast<double>(v[4]) * kSlowdownStep,
             static_cast<int>(v[5] / kLayerBase % kLayerBase),
             static_cast<int>(v[5] % kLayerBase)});
        return IsIdHash(v[0]) && v[3] < kMaxSequences && v[5] < kLayerBase * kLayerBase;
      });
  valid = valid && ForEachEntry(*contacts, 2, [&](std::span<const uint64_t> v) {
            decoded.contacts.push_back({static_cast<uint32_t>(v[0]), AgeOf(v[1])});
            return IsIdHash(v[0]);
          });
  valid = valid && ForEachEntry(*events, 3, [&](std::span<const uint64_t> v) {
            const bool is_known_kind = v[0] >= static_cast<uint64_t>(endpoint_event_kind::kDown) &&
                                       v[0] <= static_cast<uint64_t>(endpoint_event_kind::kSuspect);
            if (is_known_kind) {
              decoded.endpoint_events.push_back(
                  {static_cast<endpoint_event_kind>(v[0]), static_cast<uint32_t>(v[1]), v[2]});
            }
            return is_known_kind && IsIdHash(v[1]);
          });
  const auto rows = body.find("r");
  if (rows != body.end()) decoded.rows = ReadTableChange(*rows);
  if (!valid || (rows != body.end() && !decoded.rows)) return std::nullopt;
  if (!ReadSuspects(body, false, decoded) || !ReadSuspects(body, true, decoded))
    return std::nullopt;
  return decoded;
}

}  // namespace balsambay::exchange
