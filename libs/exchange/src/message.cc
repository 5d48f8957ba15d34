// CBOR by nlohmann::json. Lists are flat arrays of whole numbers, a fixed number for each entry.
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
// Ranges of layers are packed into one number.
constexpr uint64_t kLayerBase = 4096;
// Larger values than any that are sent; what exceeds them is no message.
constexpr uint64_t kMaxNumber = uint64_t{1} << 48;
constexpr size_t kMaxNumbers = 16'384;
constexpr uint64_t kMaxTable = 15;
constexpr size_t kMaxSuspects = 64;
constexpr uint64_t kMaxSequences = 1'000'000;
constexpr std::chrono::milliseconds kMaxAge{600'000};

using numbers = std::vector<uint64_t>;

uint64_t Whole(double value) {
  return static_cast<uint64_t>(
      std::llround(std::clamp(value, 0.0, static_cast<double>(kMaxNumber))));
}

uint64_t AgeSteps(duration age) {
  return static_cast<uint64_t>(std::clamp<duration>(age, duration::zero(), kMaxAge) / kAgeStep);
}

duration AgeOf(uint64_t steps) {
  return std::min<duration>(kAgeStep * std::min<uint64_t>(steps, kMaxNumber / 1000), kMaxAge);
}

// A list of whole numbers; nullopt when the member is something else. Absent lists are empty.
std::optional<numbers> Numbers(const json& body, const char* name, size_t each, uint64_t most) {
  const auto found = body.find(name);
  if (found == body.end()) return numbers();
  if (!found->is_array() || found->size() % each != 0 || found->size() > kMaxNumbers) {
    return std::nullopt;
  }
  numbers out;
  for (const json& value : *found) {
    if (!value.is_number_unsigned() || value.get<uint64_t>() > most) return std::nullopt;
    out.push_back(value.get<uint64_t>());
  }
  return out;
}

bool IsName(uint64_t value) { return value <= UINT32_MAX; }

// Runs `read` for each group of `each` numbers; false when one of them is not accepted.
bool ForEach(const numbers& values, size_t each,
             const std::function<bool(std::span<const uint64_t>)>& read) {
  for (size_t i = 0; i < values.size(); i += each) {
    if (!read(std::span(values).subspan(i, each))) return false;
  }
  return true;
}

json DescribeBytes(std::string_view bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::optional<changed_row> ReadRow(const json& entry) {
  if (!entry.is_array() || entry.size() < 3 || entry.size() > 4 || !entry[0].is_string() ||
      !entry[1].is_number_unsigned() || !(entry[2].is_binary() || entry[2].is_null())) {
    return std::nullopt;
  }
  changed_row out{.key = entry[0], .version = entry[1], .value = {}};
  if (entry[2].is_binary()) {
    const auto& bytes = entry[2].get_binary();
    out.value = std::string(bytes.begin(), bytes.end());
  }
  if (entry.size() == 4) {
    if (!entry[3].is_number_unsigned() || !out.value) return std::nullopt;
    out.delta_to = entry[3].get<uint64_t>();
  }
  return out;
}

json DescribeRows(const shared_change& item) {
  json rows = json::array();
  for (const changed_row& row : item.change.rows) {
    rows.push_back({row.key, row.version, row.value ? DescribeBytes(*row.value) : json()});
    if (row.delta_to) rows.back().push_back(*row.delta_to);
  }
  return {{"t", item.table},    {"a", item.change.since}, {"b", item.change.until},
          {"m", item.as_of_ms}, {"r", std::move(rows)},   {"g", item.pass_to}};
}

std::optional<shared_change> ReadRows(const json& body) {
  if (!body.is_object()) return std::nullopt;
  const auto receivers = Numbers(body, "g", 1, UINT32_MAX);
  const json since = body.value("a", json());
  const json until = body.value("b", json());
  const json as_of = body.value("m", json());
  const json rows = body.value("r", json());
  const json number = body.value("t", json());
  if (!receivers || !number.is_number_unsigned() || number.get<uint64_t>() > kMaxTable ||
      !since.is_number_unsigned() || !until.is_number_unsigned() || !as_of.is_number_unsigned() ||
      !rows.is_array()) {
    return std::nullopt;
  }
  shared_change out{
      .table = number.get<int>(), .change = {.since = since, .until = until}, .as_of_ms = as_of};
  for (const uint64_t name : *receivers) out.pass_to.push_back(static_cast<uint32_t>(name));
  for (const json& entry : rows) {
    auto row = ReadRow(entry);
    if (!row) return std::nullopt;
    out.change.rows.push_back(std::move(*row));
  }
  return out;
}

void Put(json& body, const char* name, const numbers& values) {
  if (!values.empty()) body[name] = values;
}

}  // namespace

uint32_t NameOf(std::string_view id) { return static_cast<uint32_t>(Hash64(id)); }

std::string Encode(const message& message) {
  json body = {{"v", kVersion}, {"f", message.from}};
  if (message.is_state) body["s"] = message.reaches_store;
  numbers feeds;
  for (const feed_position& item : message.feeds) {
    feeds.insert(feeds.end(), {item.changed, item.as_of_ms});
  }
  numbers loads;
  for (const own_load& item : message.loads) {
    loads.insert(loads.end(),
                 {item.endpoint, Whole(item.committed), static_cast<uint64_t>(item.sequences),
                  static_cast<uint64_t>(item.head_requests)});
  }
  numbers engines;
  for (const engine_record& item : message.engines) {
    engines.insert(engines.end(),
                   {item.endpoint, AgeSteps(item.age), Whole(item.committed / kCommittedStep),
                    static_cast<uint64_t>(item.sequences), Whole(item.slowdown / kSlowdownStep),
                    static_cast<uint64_t>(item.first_layer) * kLayerBase +
                        static_cast<uint64_t>(item.end_layer)});
  }
  numbers contacts;
  for (const store_contact& item : message.contacts) {
    contacts.insert(contacts.end(), {item.gateway, AgeSteps(item.age)});
  }
  numbers news;
  for (const endpoint_news& item : message.news) {
    news.insert(news.end(), {static_cast<uint64_t>(item.kind), item.endpoint, item.incarnation});
  }
  Put(body, "p", feeds);
  Put(body, "l", loads);
  Put(body, "e", engines);
  Put(body, "c", contacts);
  Put(body, "n", news);
  if (message.rows) body["r"] = DescribeRows(*message.rows);
  for (const quarantine::update& item : message.suspects) {
    body["q"].push_back(quarantine::Describe(item));
  }
  std::string out;
  json::to_cbor(body, out);
  return out;
}

std::optional<message> Decode(std::string_view data) {
  const json body = ParseCbor(data);
  if (!body.is_object() || body.value("v", json()) != json(kVersion)) return std::nullopt;
  const json from = body.value("f", json());
  if (!from.is_number_unsigned() || !IsName(from.get<uint64_t>())) return std::nullopt;
  message out;
  out.from = from.get<uint32_t>();
  const json state = body.value("s", json());
  out.is_state = state.is_boolean();
  out.reaches_store = state == json(true);
  const auto feeds = Numbers(body, "p", 2, UINT64_MAX);
  const auto loads = Numbers(body, "l", 4, kMaxNumber);
  const auto engines = Numbers(body, "e", 6, kMaxNumber);
  const auto contacts = Numbers(body, "c", 2, kMaxNumber);
  const auto news = Numbers(body, "n", 3, UINT64_MAX);
  if (!feeds || !loads || !engines || !contacts || !news) return std::nullopt;
  bool valid = ForEach(*feeds, 2, [&](std::span<const uint64_t> v) {
    out.feeds.push_back({v[0], v[1]});
    return true;
  });
  valid = valid && ForEach(*loads, 4, [&](std::span<const uint64_t> v) {
            out.loads.push_back({static_cast<uint32_t>(v[0]), static_cast<double>(v[1]),
                                 static_cast<int>(v[2]), static_cast<int>(v[3])});
            return IsName(v[0]) && v[2] < kMaxSequences && v[3] < kMaxSequences;
          });
  valid =
      valid && ForEach(*engines, 6, [&](std::span<const uint64_t> v) {
        out.engines.push_back({static_cast<uint32_t>(v[0]), AgeOf(v[1]),
                               static_cast<double>(v[2]) * kCommittedStep, static_cast<int>(v[3]),
                               static_cast<double>(v[4]) * kSlowdownStep,
                               static_cast<int>(v[5] / kLayerBase % kLayerBase),
                               static_cast<int>(v[5] % kLayerBase)});
        return IsName(v[0]) && v[3] < kMaxSequences && v[5] < kLayerBase * kLayerBase;
      });
  valid = valid && ForEach(*contacts, 2, [&](std::span<const uint64_t> v) {
            out.contacts.push_back({static_cast<uint32_t>(v[0]), AgeOf(v[1])});
            return IsName(v[0]);
          });
  valid = valid && ForEach(*news, 3, [&](std::span<const uint64_t> v) {
            const bool known = v[0] >= static_cast<uint64_t>(news_kind::kDown) &&
                               v[0] <= static_cast<uint64_t>(news_kind::kSuspect);
            if (known) {
              out.news.push_back({static_cast<news_kind>(v[0]), static_cast<uint32_t>(v[1]), v[2]});
            }
            return known && IsName(v[1]);
          });
  const auto rows = body.find("r");
  if (rows != body.end()) out.rows = ReadRows(*rows);
  if (!valid || (rows != body.end() && !out.rows)) return std::nullopt;
  const json suspects = body.value("q", json::array());
  if (!suspects.is_array() || suspects.size() > kMaxSuspects) return std::nullopt;
  for (const json& entry : suspects) {
    auto item = quarantine::ReadUpdate("", entry);
    if (!item) return std::nullopt;
    out.suspects.push_back(std::move(*item));
  }
  return out;
}

}  // namespace balsambay::exchange
