// Assigns endpoints to the gateways that poll them for reports (watchers). All gateways compute the
// same order for an endpoint, so that few gateways poll it and the next one takes over when the
// first is gone.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace balsambay::exchange {

// Rank of the gateway `self` among the watchers of `endpoint`, starting at 0: the number of
// gateways in `others` with a higher hash for this endpoint.
size_t WatchRank(std::string_view endpoint, std::string_view self,
                 std::span<const std::string_view> others);

// The first `count` of `gateways` in the order of their ranks.
std::vector<std::string_view> FirstWatchers(std::string_view endpoint,
                                            std::vector<std::string_view> gateways, size_t count);

}  // namespace balsambay::exchange
