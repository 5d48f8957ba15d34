// Figures of a load run.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "load.h"

namespace balsambay::loadgen {

// Rates, percentiles in milliseconds and refusals by reason, in all and by workspace.
nlohmann::json Summarise(const settings& settings, const outcome& run);

// CSV with the columns seconds, tokens_per_second.
std::string Series(const outcome& run);

}  // namespace balsambay::loadgen
