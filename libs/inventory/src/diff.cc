// Structural differences between two documents.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "details/reader.h"
#include "inventory/document.h"

namespace balsambay::inventory {
namespace {

using json = nlohmann::json;

std::string Text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void Compare(const json& before, const json& after, const std::string& path,
             std::vector<change>& out) {
  if (before == after) return;
  if (!before.is_object() || !after.is_object()) {
    out.push_back({change_kind::kChanged, path, Text(before), Text(after)});
    return;
  }
  for (const auto& [name, value] : before.items()) {
    const std::string member = details::JoinPath(path, name);
    const auto it = after.find(name);
    if (it == after.end()) {
      out.push_back({change_kind::kRemoved, member, Text(value), ""});
    } else {
      Compare(value, *it, member, out);
    }
  }
  for (const auto& [name, value] : after.items()) {
    if (before.contains(name)) continue;
    out.push_back({change_kind::kAdded, details::JoinPath(path, name), "", Text(value)});
  }
}

std::string FormatChange(const change& entry) {
  switch (entry.kind) {
    case change_kind::kAdded:
      return "+ " + entry.path + ": " + entry.after;
    case change_kind::kRemoved:
      return "- " + entry.path + ": " + entry.before;
    case change_kind::kChanged:
      break;
  }
  return "~ " + entry.path + ": " + entry.before + " -> " + entry.after;
}

}  // namespace

std::vector<change> Diff(const json& before, const json& after) {
  std::vector<change> out;
  Compare(before, after, "", out);
  std::ranges::stable_sort(out, {}, &change::path);
  return out;
}

std::string FormatDiff(std::span<const change> changes) {
  std::string out;
  for (const change& entry : changes) out += FormatChange(entry) + "\n";
  return out;
}

}  // namespace balsambay::inventory
