// Bounded table of prefix holders.
#include "routing/prefix_table.h"

#include <algorithm>

#include "base/hash.h"

namespace balsambay::routing {
namespace {

using planner::endpoint_index;

void Erase(prefix_table& table, uint64_t hash, auto matches) {
  const auto found = table.holders.find(hash);
  if (found == table.holders.end()) return;
  std::erase_if(found->second, matches);
  if (found->second.empty()) table.holders.erase(found);
}

// Drops the oldest record; the pair stays when it was recorded again later.
void DropOldest(prefix_table& table) {
  const prefix_table::record oldest = table.order.front();
  table.order.pop_front();
  Erase(table, oldest.hash, [&](const prefix_table::holder& h) {
    return h.endpoint == oldest.entry.endpoint && h.recorded == oldest.entry.recorded;
  });
}

void Trim(prefix_table& table, time_point now) {
  while (!table.order.empty() &&
         (table.order.size() > table.options.max_entries ||
          table.order.front().entry.recorded + table.options.lifetime <= now)) {
    DropOldest(table);
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

void RecordCached(prefix_table& table, uint64_t hash, endpoint_index endpoint, time_point now) {
  std::vector<prefix_table::holder>& holders = table.holders[hash];
  const auto known = std::ranges::find(holders, endpoint, &prefix_table::holder::endpoint);
  const prefix_table::holder entry{.endpoint = endpoint, .recorded = now};
  if (known == holders.end()) {
    holders.push_back(entry);
  } else if (known->recorded >= now) {
    return;  // already recorded at this time; a second record would waste a place
  } else {
    *known = entry;
  }
  table.order.push_back({.hash = hash, .entry = entry});
  Trim(table, now);
}

void RecordEvicted(prefix_table& table, uint64_t hash, endpoint_index endpoint) {
  Erase(table, hash, [&](const prefix_table::holder& h) { return h.endpoint == endpoint; });
}

void ForgetEndpoint(prefix_table& table, endpoint_index endpoint) {
  for (auto item = table.holders.begin(); item != table.holders.end();) {
    std::erase_if(item->second,
                  [&](const prefix_table::holder& h) { return h.endpoint == endpoint; });
    item = item->second.empty() ? table.holders.erase(item) : std::next(item);
  }
}

std::vector<prefix_hit> FindHolders(const prefix_table& table, std::span<const uint64_t> hashes,
                                    time_point now) {
  std::vector<prefix_hit> hits;
  for (size_t i = hashes.size(); i > 0; --i) {
    const auto found = table.holders.find(hashes[i - 1]);
    if (found == table.holders.end()) continue;
    const auto tokens =
        static_cast<int>(static_cast<double>(i * kPrefixBlockBytes) / kBytesPerToken);
    for (const prefix_table::holder& h : found->second) {
      const bool expired = h.recorded + table.options.lifetime <= now;
      const bool known = std::ranges::find(hits, h.endpoint, &prefix_hit::endpoint) != hits.end();
      if (!expired && !known) hits.push_back({.endpoint = h.endpoint, .tokens = tokens});
    }
  }
  return hits;
}

}  // namespace balsambay::routing
