// Observation, takeover, renewal and release of one lease.
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
using table_calls = std::vector<table_call>;

// Applies a transition of the state chart lease.scxml. Returns false when the state has none for
// the event.
bool Step(holder& holder, lease_event event) {
  static const chart::table table = chart::ParseEmbedded(charts::lease, kStates, kEvents);
  return chart::Step(table, holder.state, event);
}

// Starts a write of `row` that is conditional on `version` of the lease row.
void WriteRow(holder& holder, lease_row row, uint64_t version, time_point now, table_calls& calls) {
  holder.row = std::move(row);
  holder.attempt.emplace();
  holder.attempt->guards = {{holder.key, version, Encode(holder.row)}};
  calls.push_back(
      SendTransaction(*holder.attempt, holder.config, holder.test_faults, holder.next_call, now));
}

void ScheduleRead(holder& holder, time_point read_time) {
  holder.read_call = 0;
  holder.read_deadline = read_time;
}

void ResetObservation(holder& holder, time_point now) {
  holder.observed = {};
  ScheduleRead(holder, now);
}

void OnCommitted(holder& holder, const commit_attempt& attempt, time_point now) {
  holder.version = attempt.version;
  holder.act_until = attempt.first_sent + holder.config.lease_duration - holder.config.margin;
  holder.next_renewal = attempt.first_sent + holder.config.renew_interval;
  if (Step(holder, lease_event::kAcquired)) holder.acquired_at = now;
  if (holder.row.holder.empty() && Step(holder, lease_event::kReleased))
    ResetObservation(holder, now);
}

// Emits the next call of the open attempt, or closes the attempt when its outcome is known.
void Advance(holder& holder, progress progress, time_point now, table_calls& calls) {
  if (progress.call) calls.push_back(std::move(*progress.call));
  if (progress.outcome == transaction_outcome::kPending) return;
  const commit_attempt closed_attempt = std::move(*holder.attempt);
  holder.attempt.reset();
  if (progress.outcome == transaction_outcome::kCommitted)
    return OnCommitted(holder, closed_attempt, now);
  Step(holder, lease_event::kLost);
  ResetObservation(holder, now);
}

void TickObserving(holder& holder, time_point now, table_calls& calls) {
  if (holder.stopping) return;
  if (TakeoverTime(holder.observed, holder.config) <= now) {
    Step(holder, lease_event::kTakeOver);
    return WriteRow(holder, {holder.self, holder.observed.row.epoch + 1, 0},
                    holder.observed.version, now, calls);
  }
  if (now < holder.read_deadline) return;
  holder.read_call = holder.next_call++;
  holder.read_deadline = now + holder.config.renew_interval;
  calls.push_back({holder.read_call, table::read_request{{holder.key}, {}}});
}

void OnRead(holder& holder, const table_outcome& outcome, time_point now) {
  if (const auto* reply = std::get_if<table::read_reply>(&outcome)) {
    Observe(holder.observed, reply->rows.empty() ? nullptr : &reply->rows.front(), now);
  }
  const bool held = holder.observed.known && !holder.observed.row.holder.empty();
  ScheduleRead(holder,
               now + (held ? holder.config.renew_interval : holder.config.observe_interval));
}

// Renews the held lease, or releases it when stopping. Precondition: no write is open.
void TickHeld(holder& holder, time_point now, table_calls& calls) {
  if (holder.stopping) Step(holder, lease_event::kRelease);
  const bool release = holder.state == holder_state::kReleasing;
  if (!release && (holder.state != holder_state::kHeld || now < holder.next_renewal)) return;
  lease_row next_row = holder.row;
  if (release) next_row.holder.clear();
  ++next_row.renewal;
  WriteRow(holder, std::move(next_row), holder.version, now, calls);
}

}  // namespace

std::vector<table_call> OnTick(holder& holder, time_point now) {
  table_calls calls;
  if (holder.attempt) {
    Advance(holder,
            OnTick(*holder.attempt, holder.config, holder.test_faults, holder.next_call, now), now,
            calls);
  }
  if (!holder.attempt) TickHeld(holder, now, calls);
  if (holder.state == holder_state::kObserving) TickObserving(holder, now, calls);
  return calls;
}

std::vector<table_call> OnTableReply(holder& holder, uint64_t id, const table_outcome& outcome,
                                     time_point now) {
  table_calls calls;
  if (holder.attempt && OwnsCall(*holder.attempt, id)) {
    Advance(holder,
            OnCallOutcome(*holder.attempt, id, outcome, holder.config, holder.test_faults,
                          holder.next_call, now),
            now, calls);
  } else if (holder.state == holder_state::kObserving && id != 0 && holder.read_call == id) {
    OnRead(holder, outcome, now);
  }
  return calls;
}

bool MayAct(const holder& holder, time_point now) {
  if (holder.state != holder_state::kHeld) return false;
  return now < holder.act_until || holder.test_faults.ignore_margin;
}

std::vector<table_call> Release(holder& holder, time_point now) {
  holder.stopping = true;
  Step(holder, lease_event::kRelease);
  return OnTick(holder, now);
}

void OnTableMoved(holder& holder, time_point now) {
  holder.attempt.reset();
  holder.act_until = {};
  Step(holder, lease_event::kLost);
  ResetObservation(holder, now);
}

time_point NextDeadline(const holder& holder) {
  if (holder.attempt) return holder.attempt->deadline;
  if (holder.state != holder_state::kObserving) return holder.next_renewal;
  if (holder.stopping) return kNever;
  return std::min(holder.read_deadline, TakeoverTime(holder.observed, holder.config));
}

}  // namespace balsambay::lease
