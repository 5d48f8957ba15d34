// Rendezvous hashing.
#include "ledger/placement.h"

#include <algorithm>

#include "base/hash.h"
#include "details/record_row.h"

namespace balsambay::ledger {
namespace {

// The part of a daemon id that survives a restart.
std::string_view StableName(std::string_view id) { return id.substr(0, id.find('#')); }

struct ranked {
  uint64_t weight = 0;
  std::string id;
};

bool IsBetter(const ranked& a, const ranked& b) {
  return a.weight != b.weight ? a.weight > b.weight : a.id < b.id;
}

}  // namespace

shard_id ShardOf(std::string_view workspace, std::string_view key, uint32_t shard_count) {
  return static_cast<shard_id>(Hash64(RecordName(workspace, key)) % shard_count);
}

std::vector<std::string> RankOwners(shard_id shard, std::span<const std::string> live) {
  std::vector<ranked> order;
  order.reserve(live.size());
  for (const std::string& id : live) order.push_back({Hash64(StableName(id), shard), id});
  std::ranges::sort(order, IsBetter);
  std::vector<std::string> ids;
  ids.reserve(order.size());
  for (ranked& entry : order) ids.push_back(std::move(entry.id));
  return ids;
}

std::string PreferredOwner(shard_id shard, std::span<const std::string> live) {
  const auto order = RankOwners(shard, live);
  return order.empty() ? std::string() : order.front();
}

}  // namespace balsambay::ledger
