// The text form of a configuration document and the differences between two documents.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "inventory/inventory.h"

namespace balsambay::inventory {

// Deeper documents are refused, because comparing and printing JSON values recurse.
inline constexpr int kMaxDocumentDepth = 16;

// Parses JSON text. Syntax errors, members that occur twice and too deep nesting are appended to
// `errors`, and the result is then empty. The content is not validated; see Parse().
std::optional<nlohmann::json> ReadText(std::string_view text, std::vector<field_error>& errors);

enum class change_kind { kAdded, kRemoved, kChanged };

struct change {
  change_kind kind = change_kind::kChanged;
  std::string path;    // JSON pointer
  std::string before;  // compact JSON text, empty when added
  std::string after;   // compact JSON text, empty when removed
  bool operator==(const change&) const = default;
};

// Differences in order of their paths. Objects are compared member by member, all other values as a
// whole. Precondition: neither document is nested deeper than kMaxDocumentDepth.
std::vector<change> Diff(const nlohmann::json& before, const nlohmann::json& after);

// One line for each change: "+ PATH: VALUE", "- PATH: VALUE" or "~ PATH: OLD -> NEW".
std::string FormatDiff(std::span<const change> changes);

}  // namespace balsambay::inventory
