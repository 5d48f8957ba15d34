// Orders watchers by rendezvous hashing.
#include "exchange/watch.h"

#include <algorithm>
#include <functional>

#include "base/hash.h"

namespace balsambay::exchange {
namespace {

uint64_t Score(std::string_view endpoint, std::string_view gateway) {
  return Hash64(endpoint, Hash64(gateway));
}

}  // namespace

size_t WatchRank(std::string_view endpoint, std::string_view self,
                 std::span<const std::string_view> others) {
  const uint64_t own = Score(endpoint, self);
  return static_cast<size_t>(std::ranges::count_if(
      others, [&](std::string_view id) { return Score(endpoint, id) > own; }));
}

std::vector<std::string_view> FirstWatchers(std::string_view endpoint,
                                            std::vector<std::string_view> gateways, size_t count) {
  std::ranges::sort(gateways, std::greater<>(),
                    [&](std::string_view id) { return Score(endpoint, id); });
  if (gateways.size() > count) gateways.resize(count);
  return gateways;
}

}  // namespace balsambay::exchange
