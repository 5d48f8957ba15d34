// CBOR from other processes.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace balsambay {

// A discarded value for anything that is not one whole item, or is nested more than 64 deep.
nlohmann::json ParseCbor(std::string_view data);

}  // namespace balsambay
