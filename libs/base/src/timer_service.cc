// Timer queue ordered by deadline.
#include "base/timer_service.h"

namespace balsambay {

timer_id Subscribe(timer_service& timers, time_point deadline, timer_service::callback fn) {
  const timer_id id = timers.next_id++;
  timers.queue.emplace(std::pair(deadline, id), std::move(fn));
  timers.deadlines.emplace(id, deadline);
  return id;
}

void Cancel(timer_service& timers, timer_id id) {
  const auto it = timers.deadlines.find(id);
  if (it == timers.deadlines.end()) return;
  timers.queue.erase({it->second, id});
  timers.deadlines.erase(it);
}

size_t RunDue(timer_service& timers, time_point now) {
  size_t count = 0;
  // Subscriptions made by a callback wait for the next call, so that a callback that subscribes
  // "now" again cannot keep the loop from other work.
  const timer_id first_new = timers.next_id;
  for (auto it = timers.queue.begin(); it != timers.queue.end() && it->first.first <= now;) {
    if (it->first.second >= first_new) {
      ++it;
      continue;
    }
    auto fn = std::move(it->second);
    timers.deadlines.erase(it->first.second);
    timers.queue.erase(it);
    fn(now);
    ++count;
    it = timers.queue.begin();
  }
  return count;
}

time_point NextDeadline(const timer_service& timers) {
  return timers.queue.empty() ? kNever : timers.queue.begin()->first.first;
}

}  // namespace balsambay
