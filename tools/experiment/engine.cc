// Service order and cache of the fake engine.
#include "engine.h"

#include <algorithm>

namespace balsambay::experiment {
namespace {

constexpr int kPrefillChunkTokens = 128;
constexpr int kDecodesPerPrefillChunk = 8;

}  // namespace

bool AddWork(fake_engine& e, const stage_work& work) {
  (work.is_prefill ? e.prefill : e.decode).push_back(work);
  return !e.running.has_value();
}

bool StartPiece(fake_engine& e) {
  const bool prefill_turn = e.decode.empty() || e.decodes_since_prefill >= kDecodesPerPrefillChunk;
  std::deque<stage_work>& queue = prefill_turn && !e.prefill.empty() ? e.prefill : e.decode;
  if (queue.empty()) return false;
  e.running = queue.front();
  queue.pop_front();
  e.decodes_since_prefill = e.running->is_prefill ? 0 : e.decodes_since_prefill + 1;
  const int tokens = std::min(e.running->tokens, kPrefillChunkTokens);
  e.piece_seconds = e.running->seconds * tokens / e.running->tokens;
  return true;
}

std::optional<stage_work> FinishPiece(fake_engine& e) {
  stage_work work = *e.running;
  e.running.reset();
  if (work.tokens <= kPrefillChunkTokens) return work;
  work.seconds -= e.piece_seconds;
  work.tokens -= kPrefillChunkTokens;
  e.prefill.push_front(work);
  return std::nullopt;
}

int LookUpPrefix(fake_engine& e, uint32_t prefix) {
  const auto found = std::ranges::find(e.cache, prefix, &fake_engine::cached_prefix::prefix);
  if (found == e.cache.end()) return 0;
  e.cache.splice(e.cache.begin(), e.cache, found);
  return found->tokens;
}

void StorePrefix(fake_engine& e, uint32_t prefix, int tokens) {
  if (LookUpPrefix(e, prefix) > 0) return;
  e.cache.push_front({.prefix = prefix, .tokens = tokens});
  e.cache_tokens += tokens;
  while (e.cache_tokens > e.cache_capacity) {
    e.cache_tokens -= e.cache.back().tokens;
    e.cache.pop_back();
  }
}

int CountRuns(const fake_engine& e) {
  return e.used_slots + static_cast<int>(e.waiting_for_slot.size());
}

}  // namespace balsambay::experiment
