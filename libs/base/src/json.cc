// Limits of the JSON parser.
#include "base/json.h"

namespace balsambay {
namespace {

constexpr int kMaxDepth = 64;

// Counts brackets outside of strings; the parser finds out whether they match.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  if (IsTooDeep(text)) return nlohmann::json::value_t::discarded;
  return nlohmann::json::parse(text, nullptr, false);
}

std::optional<uint64_t> WholeNumberIn(const nlohmann::json& value, const char* name,
                                      uint64_t most) {
  if (!value.is_object()) return std::nullopt;
  const auto found = value.find(name);
  if (found == value.end() || !found->is_number_unsigned()) return std::nullopt;
  const auto number = found->get<uint64_t>();
  return number <= most ? std::optional(number) : std::nullopt;
}

std::optional<std::string> TextIn(const nlohmann::json& value, const char* name) {
  if (!value.is_object()) return std::nullopt;
  const auto found = value.find(name);
  if (found == value.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

}  // namespace balsambay
