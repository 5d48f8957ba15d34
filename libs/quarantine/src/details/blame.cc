// Blame for lost endpoints.
#include "details/blame.h"

#include <algorithm>

namespace balsambay::quarantine::details {
namespace {

// Endpoints that were out of reach are back within this time, if they were not lost.
constexpr duration kRecentLifetime = 60s;
constexpr size_t kMaxRecent = 256;

void NoteRecent(table& state, const endpoint_life& life, time_point now) {
  while (!state.recent.empty() &&
         (now - state.recent.front().at > kRecentLifetime || state.recent.size() >= kMaxRecent)) {
    state.recent.pop_front();
  }
  if (std::ranges::find(state.recent, life, &lost_life::life) == state.recent.end()) {
    state.recent.push_back({life, now});
  }
}

auto FindPart(run& active, const endpoint_life& life) {
  return std::ranges::find(active.route, life, &run_part::life);
}

// Whether another suspect was on `life` when it was lost, here or at a peer.
bool HadOtherSuspect(const table& state, const fingerprint& key, const endpoint_life& life) {
  const bool runs = std::ranges::any_of(state.runs, [&](const auto& entry) {
    const run& active = entry.second;
    return active.key != key && active.alone && !active.progressed &&
           std::ranges::find(active.route, life, &run_part::life) != active.route.end();
  });
  return runs || std::ranges::any_of(state.marked, [&](const fingerprint& other) {
           if (other == key) return false;
           const entry& item = state.entries.find(other)->second;
           const bool pending = std::ranges::any_of(item.pending, [&](const pending_loss& one) {
             return one.life == life && one.alone && !one.progressed;
           });
           return pending || std::ranges::any_of(item.peers, [&](const auto& peer) {
                    return std::ranges::find(peer.second.endpoints, life.endpoint) !=
                           peer.second.endpoints.end();
                  });
         });
}

// Of several copies on the endpoint, those that had progressed show that it was not lost by what
// they began with, and of these the one that had gone on for longest may have crashed it.
bool SaysMore(const finding& one, const finding& other) {
  if (one.progressed != other.progressed) return one.progressed;
  return one.progressed && other.disputed && !one.disputed;
}

// A loss after progress is disputed by copies other than `active` that have gone on for longer.
void AddGraded(const table& state, const fingerprint& key, const entry& item, const run* active,
               finding loss, findings& out) {
  loss.disputed = loss.progressed && GoesOnSince(state, key, item, active, loss.going_since);
  const auto [place, added] = out.emplace(key, loss);
  if (!added && SaysMore(loss, place->second)) place->second = loss;
}

void GradeRun(table& state, run& active, const endpoint_life& life, time_point alive_until,
              findings& out) {
  const auto part = FindPart(active, life);
  if (part == active.route.end()) return;
  entry& item = state.entries.find(active.key)->second;
  if (!Contains(item.present, life)) Remember(item.present, life);
  if (part->settled || part->since > alive_until) return;
  const bool progressed = part->progressed;
  for (run_part& other : active.route) other.settled = true;
  const bool shared = active.alone && HadOtherSuspect(state, active.key, life);
  AddGraded(state, active.key, item, &active,
            {life, progressed || shared, active.alone, progressed, active.going_since}, out);
}

void GradePending(table& state, const fingerprint& key, const endpoint_life& life, findings& out) {
  const entry& item = state.entries.find(key)->second;
  for (const pending_loss& one : item.pending) {
    if (one.life != life) continue;
    const bool shared = one.alone && HadOtherSuspect(state, key, life);
    AddGraded(state, key, item, nullptr,
              {life, one.progressed || shared, one.alone, one.progressed, one.going_since}, out);
  }
}

findings AllInFull(findings items) {
  for (auto& [key, loss] : items) loss.half = false;
  return items;
}

}  // namespace

findings AffectedBy(const table& state, const endpoint_life& life) {
  findings out;
  const auto add = [&](const fingerprint& key, bool alone) {
    finding& loss = out.try_emplace(key, finding{life, false, false}).first->second;
    loss.alone |= alone;
  };
  for (const auto& [id, active] : state.runs) {
    const bool there = std::ranges::find(active.route, life, &run_part::life) != active.route.end();
    if (there) add(active.key, active.alone);
  }
  for (const fingerprint& key : state.marked) {
    for (const pending_loss& one : state.entries.find(key)->second.pending) {
      if (one.life == life) add(key, one.alone);
    }
  }
  return out;
}

findings GradeLoss(table& state, const endpoint_life& life, time_point now,
                   time_point alive_until) {
  NoteRecent(state, life, now);
  findings out;
  // Runs first, while the pending losses still show who else was there.
  for (auto& [id, active] : state.runs) GradeRun(state, active, life, alive_until, out);
  for (const fingerprint& key : state.marked) GradePending(state, key, life, out);
  return state.config.test_faults.no_grading ? AllInFull(std::move(out)) : out;
}

std::map<fingerprint, pending_loss> PendingOf(const table& state, const endpoint_life& life,
                                              time_point now, time_point until,
                                              time_point alive_until) {
  std::map<fingerprint, pending_loss> out;
  for (const auto& [id, active] : state.runs) {
    const auto part = std::ranges::find(active.route, life, &run_part::life);
    if (part == active.route.end() || part->settled || part->since > alive_until) continue;
    const entry& item = state.entries.find(active.key)->second;
    if (Contains(item.losses, life) || Contains(item.cleared, life)) continue;
    out.emplace(active.key, pending_loss{life, now, until, active.alone, part->progressed,
                                         active.going_since, active.start});
  }
  return out;
}

bool HasProgressed(const run& active, const endpoint_life& life) {
  const auto part = std::ranges::find(active.route, life, &run_part::life);
  return part != active.route.end() && part->progressed;
}

}  // namespace balsambay::quarantine::details
