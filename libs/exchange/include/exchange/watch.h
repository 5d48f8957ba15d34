// Which gateways ask an endpoint for its report. All compute the same order, so that each endpoint
// is asked by few, and the next one takes over when the first is gone.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace balsambay::exchange {

// Place of the gateway `self` in the order of those that watch `endpoint`, 0 first: the number of
// `others` with a higher hash for it.
size_t WatchRank(std::string_view endpoint, std::string_view self,
                 std::span<const std::string_view> others);

// The first `count` of `gateways` in that order.
std::vector<std::string_view> FirstWatchers(std::string_view endpoint,
                                            std::vector<std::string_view> gateways, size_t count);

}  // namespace balsambay::exchange
