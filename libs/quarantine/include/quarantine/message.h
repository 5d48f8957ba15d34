// JSON encoding of updates, for messages between daemons.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

#include "quarantine/quarantine.h"

namespace balsambay::quarantine {

// Encodes an update without the id of the daemon, which the receiver knows.
nlohmann::json ToJson(const update& message);

// Decodes an update that `daemon` sent; nullopt if `value` is not a valid update.
std::optional<update> ParseUpdate(std::string_view daemon, const nlohmann::json& value);

}  // namespace balsambay::quarantine
