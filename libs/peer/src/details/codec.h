// CBOR form of messages.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace balsambay::peer::details {

std::string Encode(const nlohmann::json& message);

// Nothing when the payload is malformed or nested deeper than 64 levels: the parser recurses, so
// deep nesting would exhaust the stack.
std::optional<nlohmann::json> Decode(std::string_view payload);

}  // namespace balsambay::peer::details
