// Typed access to JSON members; see the header.
#include "details/reader.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

namespace balsambay::inventory::details {
namespace {

constexpr size_t kMaxNameLength = 128;

using json = nlohmann::json;

// Integers beyond int64 are reported as out of range by the caller's bounds check.
int64_t ClampedInteger(const json& value) {
  constexpr int64_t kMax = std::numeric_limits<int64_t>::max();
  if (!value.is_number_unsigned()) return value.get<int64_t>();
  return static_cast<int64_t>(std::min<uint64_t>(value.get<uint64_t>(), kMax));
}

bool InRange(double value, const number_range& range) {
  if (!std::isfinite(value)) return false;
  if (range.positive && value <= 0) return false;
  return value >= range.min && value <= range.max;
}

std::string RangeText(const number_range& range) {
  char buffer[96];
  std::snprintf(buffer, sizeof buffer, "must be a finite number %s %g and at most %g",
                range.positive ? "above" : "of at least", range.min, range.max);
  return buffer;
}

bool IsPrintable(char c) { return c > ' ' && c < 0x7f; }

}  // namespace

std::string JoinPath(std::string_view path, std::string_view token) {
  std::string out(path);
  out += '/';
  for (const char c : token) {
    if (c == '~') {
      out += "~0";
    } else if (c == '/') {
      out += "~1";
    } else {
      out += c;
    }
  }
  return out;
}

std::string NameError(std::string_view text) {
  if (text.empty()) return "must not be empty";
  if (text.size() > kMaxNameLength) return "must not be longer than 128 characters";
  if (!std::ranges::all_of(text, IsPrintable)) return "must be printable ASCII without spaces";
  return "";
}

void Report(object_reader& reader, std::string_view name, std::string message) {
  reader.errors.push_back({JoinPath(reader.path, name), std::move(message)});
}

const json* Find(object_reader& reader, std::string_view name, presence need) {
  reader.known.push_back(name);
  const auto it = reader.json.find(name);
  if (it != reader.json.end()) return &*it;
  if (need == presence::kRequired) Report(reader, name, "is missing");
  return nullptr;
}

void ReadInteger(object_reader& reader, std::string_view name, presence need, integer_range range,
                 int64_t& out) {
  const json* value = Find(reader, name, need);
  if (value == nullptr) return;
  if (!value->is_number_integer()) return Report(reader, name, "must be an integer");
  const int64_t number = ClampedInteger(*value);
  if (number < range.min || number > range.max) {
    return Report(
        reader, name,
        "must be between " + std::to_string(range.min) + " and " + std::to_string(range.max));
  }
  out = number;
}

void ReadInteger(object_reader& reader, std::string_view name, presence need, integer_range range,
                 int& out) {
  int64_t wide = out;
  ReadInteger(reader, name, need, range, wide);
  out = static_cast<int>(wide);
}

void ReadNumber(object_reader& reader, std::string_view name, presence need, number_range range,
                double& out) {
  const json* value = Find(reader, name, need);
  if (value == nullptr) return;
  if (!value->is_number()) return Report(reader, name, "must be a number");
  const auto number = value->get<double>();
  if (!InRange(number, range)) return Report(reader, name, RangeText(range));
  out = number;
}

void ReadBool(object_reader& reader, std::string_view name, presence need, bool& out) {
  const json* value = Find(reader, name, need);
  if (value == nullptr) return;
  if (!value->is_boolean()) return Report(reader, name, "must be true or false");
  out = value->get<bool>();
}

void ReadName(object_reader& reader, std::string_view name, presence need, std::string& out) {
  const json* value = Find(reader, name, need);
  if (value == nullptr) return;
  if (!value->is_string()) return Report(reader, name, "must be a string");
  const auto& text = value->get_ref<const std::string&>();
  if (std::string problem = NameError(text); !problem.empty()) {
    return Report(reader, name, std::move(problem));
  }
  out = text;
}

void ReportUnknown(object_reader& reader) {
  for (const auto& [name, value] : reader.json.items()) {
    if (std::ranges::find(reader.known, name) == reader.known.end()) {
      Report(reader, name, "is not a known member");
    }
  }
}

void ReadCollection(object_reader& reader, std::string_view name, presence need,
                    const std::function<std::string(std::string_view id)>& extra_id_check,
                    const member_function& read) {
  const json* collection = Find(reader, name, need);
  if (collection == nullptr) return;
  if (!collection->is_object()) return Report(reader, name, "must be an object keyed by id");
  const std::string base = JoinPath(reader.path, name);
  for (const auto& [id, value] : collection->items()) {
    const std::string path = JoinPath(base, id);
    std::string problem = NameError(id);
    if (problem.empty()) problem = extra_id_check(id);
    if (!problem.empty()) reader.errors.push_back({path, "the id " + problem});
    if (!value.is_object()) {
      reader.errors.push_back({path, "must be an object"});
      continue;
    }
    object_reader member{value, path, reader.errors, {}};
    read(id, member);
    ReportUnknown(member);
  }
}

}  // namespace balsambay::inventory::details
