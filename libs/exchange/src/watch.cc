// Rendezvous hashing.
#include "exchange/watch.h"

#include <algorithm>

#include "base/hash.h"

namespace balsambay::exchange {

size_t WatchRank(std::string_view endpoint, std::string_view self,
                 std::span<const std::string_view> others) {
  const auto score = [&](std::string_view id) { return Hash64(endpoint, Hash64(id)); };
  const uint64_t own = score(self);
  return static_cast<size_t>(
      std::ranges::count_if(others, [&](std::string_view id) { return score(id) > own; }));
}

}  // namespace balsambay::exchange
