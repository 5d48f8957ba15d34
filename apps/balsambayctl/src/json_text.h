// Access to JSON from daemons of any version: absent and mistyped members read as empty. Nothing
// here throws.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace balsambay::ctl {

// The member, or a null value when `object` is no object or lacks it.
const nlohmann::json& Member(const nlohmann::json& object, std::string_view name);

// The member when it is a string, else empty.
std::string StringMember(const nlohmann::json& object, std::string_view name);

// The member when it is a non-negative integer that fits, else `fallback`.
int64_t IntegerMember(const nlohmann::json& object, std::string_view name, int64_t fallback);

// The number of elements of a member that is an array or object, else 0.
size_t SizeOfMember(const nlohmann::json& object, std::string_view name);

// Compact JSON text; bytes that are not UTF-8 become U+FFFD. A non-negative `indent` breaks lines.
std::string JsonText(const nlohmann::json& value, int indent = -1);

// A value for people: strings without quotes, "-" for null, control characters as "?".
std::string CellText(const nlohmann::json& value);

}  // namespace balsambay::ctl
