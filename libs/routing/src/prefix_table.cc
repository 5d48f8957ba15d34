// Recording, eviction and lookup in the bounded table of prefix holders.
#include "routing/prefix_table.h"

#include <algorithm>

#include "base/hash.h"

namespace balsambay::routing {
namespace {

using planner::endpoint_index;

// Removes the holders of `hash` for which `matches` returns true.
void EraseHolders(prefix_table& table, uint64_t hash, auto matches) {
  const auto found = table.holders_by_hash.find(hash);
  if (found == table.holders_by_hash.end()) return;
  std::erase_if(found->second, matches);
  if (found->second.empty()) table.holders_by_hash.erase(found);
}

// Removes the oldest insertion. Its pair stays in the table when it was recorded again later.
void EraseOldest(prefix_table& table) {
  const prefix_table::insertion oldest = table.insertion_order.front();
  table.insertion_order.pop_front();
  EraseHolders(table, oldest.hash, [&](const prefix_table::prefix_holder& h) {
    return h.endpoint == oldest.holder.endpoint && h.recorded == oldest.holder.recorded;
  });
}

// Removes insertions beyond max_entries and those whose lifetime has ended.
void EvictExpiredAndExcess(prefix_table& table, time_point now) {
  while (!table.insertion_order.empty() &&
         (table.insertion_order.size() > table.options.max_entries ||
          table.insertion_order.front().holder.recorded + table.options.lifetime <= now)) {
    EraseOldest(table);
  }
}

}  // namespace

std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt, uint64_t salt) {
  std::vector<uint64_t> hashes;
  const size_t blocks = std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  for (size_t i = 0; i < blocks; ++i) {
    salt = Hash64(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes), salt);
    hashes.push_back(salt);
  }
  return hashes;
}

void RecordCachedPrefix(prefix_table& table, uint64_t hash, endpoint_index endpoint,
                        time_point now) {
  std::vector<prefix_table::prefix_holder>& holders = table.holders_by_hash[hash];
  const auto existing =
      std::ranges::find(holders, endpoint, &prefix_table::prefix_holder::endpoint);
  const prefix_table::prefix_holder holder{.endpoint = endpoint, .recorded = now};
  if (existing == holders.end()) {
    holders.push_back(holder);
  } else if (existing->recorded >= now) {
    return;  // a second insertion for the same time would only use up capacity
  } else {
    *existing = holder;
  }
  table.insertion_order.push_back({.hash = hash, .holder = holder});
  EvictExpiredAndExcess(table, now);
}

void RecordEvictedPrefix(prefix_table& table, uint64_t hash, endpoint_index endpoint) {
  EraseHolders(table, hash,
               [&](const prefix_table::prefix_holder& h) { return h.endpoint == endpoint; });
}

void RemoveEndpoint(prefix_table& table, endpoint_index endpoint) {
  for (auto it = table.holders_by_hash.begin(); it != table.holders_by_hash.end();) {
    std::erase_if(it->second,
                  [&](const prefix_table::prefix_holder& h) { return h.endpoint == endpoint; });
    it = it->second.empty() ? table.holders_by_hash.erase(it) : std::next(it);
  }
}

std::vector<prefix_hit> FindPrefixHolders(const prefix_table& table,
                                          std::span<const uint64_t> hashes, time_point now) {
  std::vector<prefix_hit> hits;
  for (size_t i = hashes.size(); i > 0; --i) {
    const auto found = table.holders_by_hash.find(hashes[i - 1]);
    if (found == table.holders_by_hash.end()) continue;
    const auto tokens =
        static_cast<int>(static_cast<double>(i * kPrefixBlockBytes) / kBytesPerToken);
    for (const prefix_table::prefix_holder& h : found->second) {
      const bool expired = h.recorded + table.options.lifetime <= now;
      const bool has_longer_hit =
          std::ranges::find(hits, h.endpoint, &prefix_hit::endpoint) != hits.end();
      if (!expired && !has_longer_hit) hits.push_back({.endpoint = h.endpoint, .tokens = tokens});
    }
  }
  return hits;
}

}  // namespace balsambay::routing
