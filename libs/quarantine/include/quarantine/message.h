// JSON encoding of updates, for messages between daemons.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "quarantine/quarantine.h"

namespace balsambay::quarantine {

// Encodes an update without the id of the daemon, which the receiver knows.
nlohmann::json ToJson(const update& message);

// Encoding of the sources of a feature, also for stored records; nullopt: not a valid list.
nlohmann::json ToJson(std::span<const feature_source> sources);
std::optional<std::vector<feature_source>> ParseSources(const nlohmann::json& list);

// Decodes an update of a content that `daemon` sent; nullopt if `value` is not a valid update.
std::optional<update> ParseUpdate(std::string_view daemon, const nlohmann::json& value);

}  // namespace balsambay::quarantine
