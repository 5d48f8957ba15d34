// A small fake engine: a rate-limited server with batch slots and a prefix cache. It serves one
// piece of work at a time; decode tokens go first, but a waiting prefill gets a chunk after a few
// of them.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>

#include "planner/planner.h"

namespace balsambay::experiment {

// Identifies an attempt of a run at one stage of its route. Work of old attempts is dropped.
struct stage_work {
  uint32_t run = 0;
  uint32_t attempt = 0;
  uint32_t stage = 0;
  int tokens = 1;      // prefill tokens, or 1 for decode
  double seconds = 0;  // for all tokens
  bool is_prefill = false;
};

struct fake_engine {
  struct cached_prefix {
    uint32_t prefix = 0;
    int tokens = 0;
  };
  bool alive = true;
  int max_runs = 0;
  int used_slots = 0;
  std::deque<stage_work> waiting_for_slot = {};
  std::deque<stage_work> decode = {};
  std::deque<stage_work> prefill = {};
  std::optional<stage_work> running = {};
  double piece_seconds = 0;  // duration of the running piece
  int decodes_since_prefill = 0;
  std::list<cached_prefix> cache = {};  // most recently used first
  int cache_tokens = 0;
  int cache_capacity = 0;
};

// Adds work and returns true when the engine was idle, so that the caller starts the next piece.
bool AddWork(fake_engine& e, const stage_work& work);

// Takes the next piece into `running`; false when there is nothing to do.
bool StartPiece(fake_engine& e);

// Ends the running piece. Returns the work when all of it is done.
std::optional<stage_work> FinishPiece(fake_engine& e);

// Tokens of the prefix that the cache holds; marks it as recently used.
int LookUpPrefix(fake_engine& e, uint32_t prefix);
void StorePrefix(fake_engine& e, uint32_t prefix, int tokens);

// Runs with or waiting for a slot.
int CountRuns(const fake_engine& e);

}  // namespace balsambay::experiment
