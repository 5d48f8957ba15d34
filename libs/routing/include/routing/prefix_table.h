// Which endpoints probably hold the KV cache of a prompt prefix. Filled from cache events, which
// come late and with gaps, and from own dispatches. Bounded; entries expire.
#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "planner/route.h"

namespace balsambay::routing {

// Prompt bytes per block; about 64 tokens of English text.
inline constexpr size_t kPrefixBlockBytes = 256;
inline constexpr size_t kMaxPrefixBlocks = 128;
inline constexpr double kBytesPerToken = 4;

// Hash i covers blocks 0 to i of the prompt, so that equal hashes mean equal prefixes. A last
// partial block is left out. `salt` separates what must not share a cache entry, for example
// models.
std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt, uint64_t salt = 0);

struct prefix_hit {
  planner::endpoint_index endpoint = 0;
  int tokens = 0;  // length of the prefix that the endpoint holds
};

struct prefix_options {
  size_t max_entries = 20000;  // pairs of hash and endpoint; each takes about 100 bytes
  duration lifetime = std::chrono::minutes(5);
};

// Invariant: `order` holds each recorded pair with the time of its recording, oldest first; pairs
// recorded again appear again, and `holders` has the latest time.
struct prefix_table {
  struct holder {
    planner::endpoint_index endpoint = 0;
    time_point recorded;
  };
  struct record {
    uint64_t hash = 0;
    holder entry;
  };
  prefix_options options;
  std::unordered_map<uint64_t, std::vector<holder>> holders = {};
  std::deque<record> order = {};
};

// The endpoint holds all blocks up to the one with this hash.
void RecordCached(prefix_table& table, uint64_t hash, planner::endpoint_index endpoint,
                  time_point now);

// The endpoint reported that it dropped the block. Unknown pairs are ignored.
void RecordEvicted(prefix_table& table, uint64_t hash, planner::endpoint_index endpoint);

// The endpoint lost its whole cache (restart), or its index has a new meaning.
void ForgetEndpoint(prefix_table& table, planner::endpoint_index endpoint);

// The longest known prefix by endpoint, in no particular order. A missing event for a shorter
// prefix does not hide a longer one, because engines store prefixes from the front.
std::vector<prefix_hit> FindHolders(const prefix_table& table, std::span<const uint64_t> hashes,
                                    time_point now);

}  // namespace balsambay::routing
