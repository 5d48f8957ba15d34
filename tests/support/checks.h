// Checks over the journals of mock endpoints.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace balsambay::system_test {

// How often work with this text in its prompt or body was started, over all journals.
int StartsOf(const std::vector<nlohmann::json>& journals, const std::string& text);

// A fault in the layers that ran for some token of some attempt, empty when each token of each
// attempt was run once by stages that cover [0, layers) in order.
std::string FindLayerFault(const std::vector<nlohmann::json>& journals, int layers);

// Number of "start" entries.
int CountStarts(const std::vector<nlohmann::json>& journal);

}  // namespace balsambay::system_test
