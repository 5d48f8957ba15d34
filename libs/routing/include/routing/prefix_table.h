// Table of the endpoints that probably hold the KV cache of a prompt prefix. It is filled from the
// cache events of the engines, which arrive late and incompletely, and from the dispatches of this
// daemon. The table is an estimate: it is bounded in size, and its entries expire.
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

// Prompt bytes per hashed block; about 64 tokens of English text.
inline constexpr size_t kPrefixBlockBytes = 256;
inline constexpr size_t kMaxPrefixBlocks = 128;
inline constexpr double kBytesPerToken = 4;

// Returns one hash for each complete block of the prompt, at most kMaxPrefixBlocks. Hash i covers
// blocks 0 to i, so that equal hashes mean equal prefixes. A partial last block is not hashed.
// Prompts that must not share cache entries, for example those of different models, need different
// values of `salt`.
std::vector<uint64_t> HashPrefixBlocks(std::string_view prompt, uint64_t salt = 0);

struct prefix_hit {
  planner::endpoint_index endpoint = 0;
  int tokens = 0;  // length of the prefix that the endpoint holds
};

struct prefix_options {
  size_t max_entries = 20000;  // pairs of hash and endpoint; each takes about 100 bytes
  duration lifetime = std::chrono::minutes(5);  // of an entry, from its latest recording
};

// Invariant: `insertion_order` holds each recorded pair of hash and endpoint with its recording
// time, oldest first. A pair that is recorded again appears again, and `holders_by_hash` has its
// latest time.
struct prefix_table {
  struct prefix_holder {
    planner::endpoint_index endpoint = 0;
    time_point recorded;
  };
  struct insertion {
    uint64_t hash = 0;
    prefix_holder holder;
  };
  prefix_options options;
  std::unordered_map<uint64_t, std::vector<prefix_holder>> holders_by_hash = {};
  std::deque<insertion> insertion_order = {};
};

// Records that the endpoint holds all blocks up to the one with this hash, then removes expired
// entries and those beyond max_entries, oldest first.
void RecordCachedPrefix(prefix_table& table, uint64_t hash, planner::endpoint_index endpoint,
                        time_point now);

// Removes a block that the endpoint reported as evicted. Pairs that are not in the table are
// ignored.
void RecordEvictedPrefix(prefix_table& table, uint64_t hash, planner::endpoint_index endpoint);

// Removes all entries of an endpoint whose cache is lost after a restart, or whose index now
// denotes another endpoint.
void RemoveEndpoint(prefix_table& table, planner::endpoint_index endpoint);

// Returns the longest recorded prefix of each endpoint, in no particular order. `hashes` are those
// of HashPrefixBlocks. A missing event for a shorter prefix does not hide a longer one, because
// engines cache a prefix from its first block on.
std::vector<prefix_hit> FindPrefixHolders(const prefix_table& table,
                                          std::span<const uint64_t> hashes, time_point now);

}  // namespace balsambay::routing
