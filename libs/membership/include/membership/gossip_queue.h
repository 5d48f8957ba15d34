// Queue of news to pass on: what was sent least often goes first.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace balsambay::membership {

// Invariant: both containers hold the same (rank, key) pairs.
struct gossip_queue {
  std::map<std::string, int, std::less<>> ranks;
  std::set<std::pair<int, std::string>> order;  // lowest rank first
};

inline void Remove(gossip_queue& queue, std::string_view key) {
  const auto found = queue.ranks.find(key);
  if (found == queue.ranks.end()) return;
  queue.order.erase({found->second, found->first});
  queue.ranks.erase(found);
}

// Adds `key`, or changes its rank.
inline void Put(gossip_queue& queue, std::string key, int rank) {
  Remove(queue, key);
  queue.order.emplace(rank, key);
  queue.ranks.emplace(std::move(key), rank);
}

}  // namespace balsambay::membership
