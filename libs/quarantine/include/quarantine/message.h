// Updates as parts of messages between daemons.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

#include "quarantine/quarantine.h"

namespace balsambay::quarantine {

// Without the name of the daemon, which the receiver knows.
nlohmann::json Describe(const update& item);

// nullopt for anything that is not the description of an update.
std::optional<update> ReadUpdate(std::string_view daemon, const nlohmann::json& value);

}  // namespace balsambay::quarantine
