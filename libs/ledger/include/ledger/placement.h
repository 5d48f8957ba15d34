// Which shard a key belongs to, and which daemons should own a shard (rendezvous hashing: when a
// daemon joins or leaves, only the shards that it wins or held change their preferred owner).
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsambay::ledger {

using shard_id = uint32_t;

// Stable across processes and versions; records in the table depend on it. `shard_count` > 0.
shard_id ShardOf(std::string_view workspace, std::string_view key, uint32_t shard_count);

// The daemons in `live`, best owner first. Equal for each order of `live`.
std::vector<std::string> RankOwners(shard_id shard, std::span<const std::string> live);

// The first of RankOwners, or empty when `live` is empty. Claims go to this daemon first; it names
// the present owner when that is another one.
std::string PreferredOwner(shard_id shard, std::span<const std::string> live);

}  // namespace balsambay::ledger
