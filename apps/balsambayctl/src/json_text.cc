// JSON access; see the header.
#include "json_text.h"

#include <algorithm>
#include <limits>

namespace balsambay::ctl {

using json = nlohmann::json;

const json& Member(const json& object, std::string_view name) {
  static const json null;
  if (!object.is_object()) return null;
  const auto it = object.find(name);
  return it == object.end() ? null : *it;
}

std::string StringMember(const json& object, std::string_view name) {
  const json& value = Member(object, name);
  return value.is_string() ? value.get<std::string>() : "";
}

int64_t IntegerMember(const json& object, std::string_view name, int64_t fallback) {
  const json& value = Member(object, name);
  if (!value.is_number_integer() || value < 0) return fallback;
  if (value > std::numeric_limits<int64_t>::max()) return fallback;
  return value.get<int64_t>();
}

size_t SizeOfMember(const json& object, std::string_view name) {
  const json& value = Member(object, name);
  return value.is_structured() ? value.size() : 0;
}

std::string JsonText(const json& value, int indent) {
  return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

std::string CellText(const json& value) {
  if (value.is_null()) return "-";
  std::string out = value.is_string() ? value.get<std::string>() : JsonText(value);
  const auto is_control = [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; };
  std::ranges::replace_if(out, is_control, '?');
  return out.empty() ? "-" : out;
}

}  // namespace balsambay::ctl
