// A limit on the memory that all buffers of a process hold together. Limits of single requests do
// not bound their sum: many calls that each stay below their own limit can still exhaust the
// process.
//
// When a buffer has to grow and there is no room, the largest buffers are reclaimed first. A peer
// that sends without end thereby loses its own request, and small requests of others continue.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace balsambay {

class buffer_share;

// Invariants: `used_bytes` is the sum of all shares; `by_size` has exactly the shares that hold
// bytes and are not pinned. All shares are resized on one thread.
struct buffer_budget {
  explicit buffer_budget(size_t limit) : limit_bytes(limit) {}

  size_t limit_bytes;
  size_t used_bytes = 0;
  std::set<std::pair<size_t, buffer_share*>> by_size;
};

// The bytes that one buffer holds of a budget. Returns them when destroyed. Keeps the budget alive.
class buffer_share {
 public:
  // `on_reclaim`: the bytes were given to another buffer. It has to free the buffer at once, and
  // may not resize, create or destroy shares of the budget; what else has to follow, such as the
  // end of the request, is left to a later turn of the loop. Without a budget, there is no limit.
  buffer_share(std::shared_ptr<buffer_budget> budget, std::function<void()> on_reclaim);
  ~buffer_share();
  buffer_share(const buffer_share&) = delete;
  buffer_share& operator=(const buffer_share&) = delete;

  // Sets the bytes that the buffer holds. Growing reclaims larger buffers while there is no room.
  // Returns false, and changes nothing, if the buffer itself would be the largest one and does not
  // fit. A share whose bytes were reclaimed does not grow again.
  [[nodiscard]] bool Resize(size_t bytes);

  // From now on the bytes are not reclaimed for other buffers. For data that is in use, such as the
  // body of a request that an endpoint may be executing.
  void Pin();

  size_t Bytes() const { return bytes_; }
  bool IsReclaimed() const { return reclaimed_; }

 private:
  // Reclaims larger buffers until this one can hold `bytes`. Returns false, without an effect, if
  // there are not enough of them.
  bool MakeRoom(size_t bytes);
  void Account(size_t bytes);
  void Reclaim();

  std::shared_ptr<buffer_budget> budget_;  // null: no limit
  std::function<void()> on_reclaim_;
  size_t bytes_ = 0;
  bool reclaimed_ = false;
  bool pinned_ = false;
};

}  // namespace balsambay
