// Rendezvous hashing of shards to daemons.
#include "ledger/placement.h"

#include <algorithm>

#include "base/hash.h"
#include "details/record_row.h"

namespace balsambay::ledger {
namespace {

// The part of a daemon id that stays the same after a restart.
std::string_view StableName(std::string_view id) { return id.substr(0, id.find('#')); }

struct ranked_daemon {
  uint64_t weight = 0;
  std::string id;
};

bool IsBetter(const ranked_daemon& a, const ranked_daemon& b) {
  return a.weight != b.weight ? a.weight > b.weight : a.id < b.id;
}

}  // namespace

shard_id ShardForKey(std::string_view workspace, std::string_view key, uint32_t shard_count) {
  return static_cast<shard_id>(Hash64(RecordName(workspace, key)) % shard_count);
}

std::vector<std::string> RankOwners(shard_id shard, std::span<const std::string> live_daemons) {
  std::vector<ranked_daemon> ranking;
  ranking.reserve(live_daemons.size());
  for (const std::string& id : live_daemons) ranking.push_back({Hash64(StableName(id), shard), id});
  std::ranges::sort(ranking, IsBetter);
  std::vector<std::string> ids;
  ids.reserve(ranking.size());
  for (ranked_daemon& entry : ranking) ids.push_back(std::move(entry.id));
  return ids;
}

std::string PreferredOwner(shard_id shard, std::span<const std::string> live_daemons) {
  const auto ranking = RankOwners(shard, live_daemons);
  return ranking.empty() ? std::string() : ranking.front();
}

}  // namespace balsambay::ledger
