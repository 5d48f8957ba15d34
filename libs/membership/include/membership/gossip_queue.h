// Queue of the updates or facts to gossip. Entries are sent in the order of their rank, which rises
// with each send, so that those sent least often go first.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace balsambay::membership {

// Invariant: both containers hold the same pairs of rank and key.
struct gossip_queue {
  std::map<std::string, int, std::less<>> ranks;  // by key
  std::set<std::pair<int, std::string>> order;    // lowest rank first
};

// Does nothing if `key` is not queued.
inline void Remove(gossip_queue& queue, std::string_view key) {
  const auto found = queue.ranks.find(key);
  if (found == queue.ranks.end()) return;
  queue.order.erase({found->second, found->first});
  queue.ranks.erase(found);
}

// Adds `key`, or changes the rank of a queued key.
inline void Put(gossip_queue& queue, std::string key, int rank) {
  Remove(queue, key);
  queue.order.emplace(rank, key);
  queue.ranks.emplace(std::move(key), rank);
}

}  // namespace balsambay::membership
