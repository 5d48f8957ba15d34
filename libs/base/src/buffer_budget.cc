// Accounting of buffers and choice of the ones that are reclaimed.
#include "base/buffer_budget.h"

#include <vector>

namespace balsambay {

buffer_share::buffer_share(std::shared_ptr<buffer_budget> budget, std::function<void()> on_reclaim)
    : budget_(std::move(budget)), on_reclaim_(std::move(on_reclaim)) {}

buffer_share::~buffer_share() { Account(0); }

bool buffer_share::Resize(size_t bytes) {
  if (bytes > bytes_ && (reclaimed_ || !MakeRoom(bytes))) return false;
  Account(bytes);
  return true;
}

void buffer_share::Pin() {
  if (budget_ && bytes_ > 0 && !pinned_) budget_->by_size.erase({bytes_, this});
  pinned_ = true;
}

bool buffer_share::MakeRoom(size_t bytes) {
  if (!budget_) return true;
  size_t needed = budget_->used_bytes - bytes_ + bytes;
  std::vector<buffer_share*> reclaimed;
  for (auto it = budget_->by_size.rbegin(); needed > budget_->limit_bytes; ++it) {
    if (it == budget_->by_size.rend() || it->first <= bytes) return false;
    if (it->second == this) continue;
    reclaimed.push_back(it->second);
    needed -= it->first;
  }
  for (buffer_share* share : reclaimed) share->Reclaim();
  return true;
}

void buffer_share::Account(size_t bytes) {
  if (budget_) {
    if (bytes_ > 0 && !pinned_) budget_->by_size.erase({bytes_, this});
    budget_->used_bytes += bytes - bytes_;
    if (bytes > 0 && !pinned_) budget_->by_size.emplace(bytes, this);
  }
  bytes_ = bytes;
}

void buffer_share::Reclaim() {
  Account(0);
  reclaimed_ = true;
  if (on_reclaim_) on_reclaim_();
}

}  // namespace balsambay
