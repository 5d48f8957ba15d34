// A limit on the memory of the header sections of all connections. Bytes are counted until they are
// freed, not until their connection is told to close: the others would else allocate the same
// memory twice within one turn of the loop.
//
// When there is no room, connections that wait for their own bytes are closed: those of the largest
// class of size first, and of them the one that waits longest. A request that is executing is
// never closed. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <tuple>

#include "base/time.h"

namespace balsambay::net {

class head_share;

// Invariants: `used_bytes` is the sum of all shares, `closing_bytes` that of the evicted ones;
// `candidates` has exactly the shares that hold bytes and are neither executing nor evicted;
// `waiting` has the shares whose last request for bytes was told to wait.
struct head_budget {
  explicit head_budget(size_t limit) : limit_bytes(limit) {}

  size_t limit_bytes;
  size_t used_bytes = 0;
  size_t closing_bytes = 0;
  using rank = std::tuple<int, time_point::rep, head_share*>;  // class of size, age, share
  std::set<rank> candidates;
  std::set<head_share*> waiting;
};

enum class grant : uint8_t { kGranted, kWait, kRefused };

struct head_callbacks {
  // The connection has to close; its bytes stay counted until they are freed. May not use the
  // budget.
  std::function<void()> on_evicted;
  // Bytes were freed: a request that was told to wait may succeed now. May not use the budget.
  std::function<void()> on_room;
};

// What one connection holds.
class head_share {
 public:
  // Without a budget, there is no limit.
  head_share(std::shared_ptr<head_budget> budget, head_callbacks callbacks);
  ~head_share();
  head_share(const head_share&) = delete;
  head_share& operator=(const head_share&) = delete;

  // Asks for `bytes` in total. Shrinking is always granted. kRefused: what others hold is executing
  // or smaller than this.
  [[nodiscard]] grant Resize(size_t bytes);
  // A share that waits for its own bytes since `since` may be evicted; one whose request is
  // executing may not.
  void SetWaiting(time_point since);
  void SetExecuting();

  size_t Bytes() const { return bytes_; }
  bool IsEvicted() const { return evicted_; }

 private:
  head_budget::rank Rank() const;
  void AddCandidate();
  void Account(size_t bytes);
  void Evict();

  std::shared_ptr<head_budget> budget_;
  head_callbacks callbacks_;
  size_t bytes_ = 0;
  time_point since_{};
  bool executing_ = false;
  bool evicted_ = false;
};

}  // namespace balsambay::net
