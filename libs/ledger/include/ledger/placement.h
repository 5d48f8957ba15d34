// Assignment of keys to shards and of shards to daemons. Owners are ranked by rendezvous hashing:
// when a daemon joins or leaves, the preferred owner changes only for the shards that this daemon
// gains or loses.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsambay::ledger {

using shard_id = uint32_t;

// Shard of a key. The result must not change between processes or versions, because the keys of
// record rows contain it. Precondition: `shard_count` > 0.
shard_id ShardForKey(std::string_view workspace, std::string_view key, uint32_t shard_count);

// The daemons in `live_daemons`, best owner first. Does not depend on the order of `live_daemons`.
std::vector<std::string> RankOwners(shard_id shard, std::span<const std::string> live_daemons);

// The first daemon of RankOwners(), or empty if `live_daemons` is empty. Claims are sent to this
// daemon first; if another daemon owns the shard, the reply names that owner.
std::string PreferredOwner(shard_id shard, std::span<const std::string> live_daemons);

}  // namespace balsambay::ledger
