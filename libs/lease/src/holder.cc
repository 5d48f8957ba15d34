// The holder's side of one lease.
#include "lease/holder.h"

#include <algorithm>
#include <array>

#include "chart/chart.h"
#include "lease_chart.h"

namespace balsambay::lease {
namespace {

enum class lease_event { kTakeOver, kAcquired, kRelease, kReleased, kLost };

constexpr std::array<std::string_view, 4> kStates = {"observing", "acquiring", "held", "releasing"};
constexpr std::array<std::string_view, 5> kEvents = {"take_over", "acquired", "release", "released",
                                                     "lost"};
using calls = std::vector<table_call>;

bool Step(holder& holder, lease_event event) {
  static const chart::table table = chart::ParseEmbedded(charts::lease, kStates, kEvents);
  return chart::Step(table, holder.state, event);
}

// Writes `row` over version `version` of the lease row.
void Write(holder& holder, lease_row row, uint64_t version, time_point now, calls& out) {
  holder.row = std::move(row);
  holder.attempt.emplace();
  holder.attempt->guards = {{holder.key, version, Encode(holder.row)}};
  out.push_back(Send(*holder.attempt, holder.config, holder.broken, holder.next_call, now));
}

void ObserveSoon(holder& holder, time_point due) {
  holder.read_call = 0;
  holder.read_deadline = due;
}

void ForgetRow(holder& holder, time_point now) {
  holder.seen = {};
  ObserveSoon(holder, now);
}

void OnCommitted(holder& holder, const commit_attempt& attempt, time_point now) {
  holder.version = attempt.version;
  holder.act_until = attempt.first_sent + holder.config.lease_time - holder.config.margin;
  holder.next_renewal = attempt.first_sent + holder.config.renew_interval;
  if (Step(holder, lease_event::kAcquired)) holder.acquired_at = now;
  if (holder.row.holder.empty() && Step(holder, lease_event::kReleased)) ForgetRow(holder, now);
}

void Advance(holder& holder, progress progress, time_point now, calls& out) {
  if (progress.call) out.push_back(std::move(*progress.call));
  if (progress.outcome == verdict::kOpen) return;
  const commit_attempt closed = std::move(*holder.attempt);
  holder.attempt.reset();
  if (progress.outcome == verdict::kCommitted) return OnCommitted(holder, closed, now);
  Step(holder, lease_event::kLost);
  ForgetRow(holder, now);
}

void TickObserving(holder& holder, time_point now, calls& out) {
  if (holder.stopping) return;
  if (TakeoverTime(holder.seen, holder.config) <= now) {
    Step(holder, lease_event::kTakeOver);
    return Write(holder, {holder.self, holder.seen.row.epoch + 1, 0}, holder.seen.version, now,
                 out);
  }
  if (now < holder.read_deadline) return;
  holder.read_call = holder.next_call++;
  holder.read_deadline = now + holder.config.renew_interval;
  out.push_back({holder.read_call, table::read_request{{holder.key}, {}}});
}

void OnRead(holder& holder, const table_outcome& outcome, time_point now) {
  if (const auto* reply = std::get_if<table::read_reply>(&outcome)) {
    Observe(holder.seen, reply->rows.empty() ? nullptr : &reply->rows.front(), now);
  }
  const bool held = holder.seen.known && !holder.seen.row.holder.empty();
  ObserveSoon(holder, now + (held ? holder.config.renew_interval : holder.config.observe_interval));
}

// Renews or releases once no other write is open.
void TickHeld(holder& holder, time_point now, calls& out) {
  if (holder.stopping) Step(holder, lease_event::kRelease);
  const bool release = holder.state == holder_state::kReleasing;
  if (!release && (holder.state != holder_state::kHeld || now < holder.next_renewal)) return;
  lease_row next = holder.row;
  if (release) next.holder.clear();
  ++next.renewal;
  Write(holder, std::move(next), holder.version, now, out);
}

}  // namespace

std::vector<table_call> OnTick(holder& holder, time_point now) {
  calls out;
  if (holder.attempt) {
    Advance(holder, OnTick(*holder.attempt, holder.config, holder.broken, holder.next_call, now),
            now, out);
  }
  if (!holder.attempt) TickHeld(holder, now, out);
  if (holder.state == holder_state::kObserving) TickObserving(holder, now, out);
  return out;
}

std::vector<table_call> OnTableReply(holder& holder, uint64_t id, const table_outcome& outcome,
                                     time_point now) {
  calls out;
  if (holder.attempt && Owns(*holder.attempt, id)) {
    Advance(holder,
            OnOutcome(*holder.attempt, id, outcome, holder.config, holder.broken, holder.next_call,
                      now),
            now, out);
  } else if (holder.state == holder_state::kObserving && id != 0 && holder.read_call == id) {
    OnRead(holder, outcome, now);
  }
  return out;
}

bool MayAct(const holder& holder, time_point now) {
  if (holder.state != holder_state::kHeld) return false;
  return now < holder.act_until || holder.broken.ignore_margin;
}

std::vector<table_call> Release(holder& holder, time_point now) {
  holder.stopping = true;
  Step(holder, lease_event::kRelease);
  return OnTick(holder, now);
}

time_point NextDeadline(const holder& holder) {
  if (holder.attempt) return holder.attempt->deadline;
  if (holder.state != holder_state::kObserving) return holder.next_renewal;
  if (holder.stopping) return kNever;
  return std::min(holder.read_deadline, TakeoverTime(holder.seen, holder.config));
}

}  // namespace balsambay::lease
