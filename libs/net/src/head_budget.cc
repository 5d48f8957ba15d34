// Accounting of header sections and choice of the connections that are closed.
#include "details/head_budget.h"

#include <bit>
#include <utility>
#include <vector>

namespace balsambay::net {
namespace {

// Shares of about the same size are ordered by their age.
int SizeClass(size_t bytes) { return static_cast<int>(std::bit_width(bytes)); }

}  // namespace

head_share::head_share(std::shared_ptr<head_budget> budget, head_callbacks callbacks)
    : budget_(std::move(budget)), callbacks_(std::move(callbacks)) {}

head_share::~head_share() {
  if (!budget_) return;
  budget_->waiting.erase(this);
  Account(0);
}

// Older ones have a larger last part, so that they are closed first.
head_budget::rank head_share::Rank() const {
  return {SizeClass(bytes_), -since_.time_since_epoch().count(), const_cast<head_share*>(this)};
}

grant head_share::Resize(size_t bytes) {
  if (!budget_ || bytes <= bytes_) {
    Account(bytes);
    return grant::kGranted;
  }
  if (evicted_) return grant::kRefused;
  budget_->waiting.erase(this);
  const size_t wanted = budget_->used_bytes - bytes_ + bytes;
  if (wanted <= budget_->limit_bytes) {
    Account(bytes);
    return grant::kGranted;
  }
  size_t after = wanted - budget_->closing_bytes;
  std::vector<head_share*> victims;
  for (auto candidate = budget_->candidates.rbegin(); candidate != budget_->candidates.rend();
       ++candidate) {
    const auto& [size_class, age, share] = *candidate;
    if (after <= budget_->limit_bytes || size_class < SizeClass(bytes)) break;
    if (share == this) continue;
    victims.push_back(share);
    after -= share->bytes_;
  }
  if (after > budget_->limit_bytes) return grant::kRefused;
  for (head_share* share : victims) share->Evict();
  budget_->waiting.insert(this);
  return grant::kWait;
}

void head_share::SetWaiting(time_point since) {
  if (budget_) budget_->candidates.erase(Rank());
  executing_ = false;
  since_ = since;
  AddCandidate();
}

void head_share::SetExecuting() {
  if (budget_) budget_->candidates.erase(Rank());
  executing_ = true;
}

void head_share::AddCandidate() {
  if (budget_ && bytes_ > 0 && !executing_ && !evicted_) budget_->candidates.insert(Rank());
}

void head_share::Account(size_t bytes) {
  if (budget_) {
    budget_->candidates.erase(Rank());
    budget_->used_bytes += bytes - bytes_;
    if (evicted_) budget_->closing_bytes += bytes - bytes_;
  }
  const bool shrinks = bytes < bytes_;
  bytes_ = bytes;
  AddCandidate();
  if (!budget_ || !shrinks) return;
  for (const head_share* share : budget_->waiting) share->callbacks_.on_room();
}

void head_share::Evict() {
  budget_->candidates.erase(Rank());
  budget_->closing_bytes += bytes_;
  budget_->waiting.erase(this);
  evicted_ = true;
  callbacks_.on_evicted();
}

}  // namespace balsambay::net
