// Reads members of JSON objects with type and range checks and collects all errors.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "inventory/inventory.h"

namespace balsambay::inventory::details {

enum class presence { kRequired, kOptional };

// One JSON object being read. Invariant: `json` is an object; `known` holds the names asked for.
struct object_reader {
  const nlohmann::json& json;
  std::string path;
  std::vector<field_error>& errors;
  std::vector<std::string_view> known;
};

// Inclusive bounds.
struct integer_range {
  int64_t min = 0;
  int64_t max = 0;
};

// Inclusive bounds; zero is refused when `positive`.
struct number_range {
  double min = 0;
  double max = 0;
  bool positive = false;
};

// Appends `token` to a JSON pointer, escaped as in RFC 6901.
std::string JoinPath(std::string_view path, std::string_view token);

// Empty, or why `text` is no name: 1 to 128 printable ASCII characters without spaces.
std::string NameError(std::string_view text);

void Report(object_reader& reader, std::string_view name, std::string message);

// The member, or null. A missing required member is reported.
const nlohmann::json* Find(object_reader& reader, std::string_view name, presence need);

// Each reads one member into `out`. On an error `out` keeps its value and the error is reported.
void ReadInteger(object_reader& reader, std::string_view name, presence need, integer_range range,
                 int64_t& out);
void ReadInteger(object_reader& reader, std::string_view name, presence need, integer_range range,
                 int& out);
void ReadNumber(object_reader& reader, std::string_view name, presence need, number_range range,
                double& out);
void ReadBool(object_reader& reader, std::string_view name, presence need, bool& out);
void ReadName(object_reader& reader, std::string_view name, presence need, std::string& out);

// Reports members that nobody asked for.
void ReportUnknown(object_reader& reader);

using member_function = std::function<void(const std::string& id, object_reader& member)>;

// Calls `read` for each member of the object `name`; unknown members of each are reported.
// `extra_id_check` returns an error for ids that are valid names but not valid there, or empty.
void ReadCollection(object_reader& reader, std::string_view name, presence need,
                    const std::function<std::string(std::string_view id)>& extra_id_check,
                    const member_function& read);

}  // namespace balsambay::inventory::details
