// JSON from other processes.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace balsambay {

// A discarded value for anything that is not one whole value, has a number beyond doubles, or is
// nested more than 64 deep: copying and comparing values calls itself for each level.
nlohmann::json ParseJson(std::string_view text);

// A member that is a whole number, not negative and at most `most`. nullopt for anything else, also
// if `value` is no object: nlohmann's conversions throw, or wrap around.
std::optional<uint64_t> WholeNumberIn(const nlohmann::json& value, const char* name,
                                      uint64_t most = UINT64_MAX);

// A member that is text; nullopt for anything else.
std::optional<std::string> TextIn(const nlohmann::json& value, const char* name);

}  // namespace balsambay
