// JSON from other processes.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace balsambay {

// A discarded value for anything that is not one whole value, has a number beyond doubles, or is
// nested more than 64 deep: copying and comparing values calls itself for each level.
nlohmann::json ParseJson(std::string_view text);

}  // namespace balsambay
