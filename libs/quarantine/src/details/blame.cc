// Attribution of a lost endpoint to the fingerprints that were running on it, and the weight of the
// loss for each of them.
#include "details/blame.h"

#include <algorithm>

#include "details/unanswered.h"

namespace balsambay::quarantine::details {
namespace {

// `table::recent_losses` keeps a loss at least for this time, unless kMaxRecent later losses
// displace it: an endpoint that was only unreachable answers again within it.
constexpr duration kRecentLifetime = 60s;
constexpr size_t kMaxRecent = 256;

void RecordRecentLoss(table& state, const endpoint_instance& instance, time_point now) {
  while (!state.recent_losses.empty() && (now - state.recent_losses.front().at > kRecentLifetime ||
                                          state.recent_losses.size() >= kMaxRecent)) {
    state.recent_losses.pop_front();
  }
  if (std::ranges::find(state.recent_losses, instance, &lost_instance::instance) ==
      state.recent_losses.end()) {
    state.recent_losses.push_back({instance, now});
  }
}

auto FindHop(run& active, const endpoint_instance& instance) {
  return std::ranges::find(active.route, instance, &route_hop::instance);
}

// Whether another suspect was on `instance` when it was lost, on this daemon or on a peer.
bool HadOtherSuspect(const table& state, const fingerprint& key,
                     const endpoint_instance& instance) {
  const bool has_run = std::ranges::any_of(state.runs, [&](const auto& pair) {
    const run& active = pair.second;
    return active.key != key && active.as_suspect && !active.progressed &&
           std::ranges::find(active.route, instance, &route_hop::instance) != active.route.end();
  });
  return has_run || std::ranges::any_of(state.flagged, [&](const fingerprint& other_key) {
           if (other_key == key) return false;
           const table_entry& entry = state.entries.find(other_key)->second;
           const bool has_pending =
               std::ranges::any_of(entry.pending, [&](const pending_loss& pending) {
                 return pending.instance == instance && pending.as_suspect && !pending.progressed;
               });
           return has_pending || std::ranges::any_of(entry.peer_claims, [&](const auto& peer) {
                    return std::ranges::find(peer.second.endpoints, instance.endpoint) !=
                           peer.second.endpoints.end();
                  });
         });
}

// Selects the loss to count among several copies on the endpoint. A copy that had progressed shows
// that the start of the request does not crash the endpoint. Of the copies that had progressed, the
// one that had continued for the longest time may have crashed it.
bool TakesPrecedence(const attributed_loss& candidate, const attributed_loss& current) {
  if (candidate.progressed != current.progressed) return candidate.progressed;
  return candidate.progressed && current.disputed && !candidate.disputed;
}

// A loss after progress is disputed if a copy other than `active` has been progressing for longer.
void AddGradedLoss(const table& state, const fingerprint& key, const table_entry& entry,
                   const run* active, attributed_loss loss, attributed_losses& losses) {
  loss.disputed =
      loss.progressed && HasProgressingCopy(state, key, entry, active, loss.progressing_since);
  const auto [position, inserted] = losses.emplace(key, loss);
  if (!inserted && TakesPrecedence(loss, position->second)) position->second = loss;
}

// Adds the loss for a run that used `instance`, unless a loss of its route has been counted already
// or the run was placed on the endpoint after `alive_until`.
void GradeRun(table& state, run& active, const endpoint_instance& instance, time_point alive_until,
              attributed_losses& losses) {
  const auto hop = FindHop(active, instance);
  if (hop == active.route.end()) return;
  table_entry& entry = state.entries.find(active.key)->second;
  if (!Contains(entry.lost_while_present, instance))
    AppendBounded(entry.lost_while_present, instance);
  if (hop->loss_counted || hop->placed_at > alive_until) return;
  const bool progressed = hop->progressed;
  for (route_hop& sibling : active.route) sibling.loss_counted = true;
  const bool shares_endpoint = active.as_suspect && HadOtherSuspect(state, active.key, instance);
  AddGradedLoss(state, active.key, entry, &active,
                {instance, active.answer_begun || shares_endpoint, active.as_suspect, progressed,
                 active.progressing_since},
                losses);
}

// Adds the losses for ended runs of the fingerprint whose loss on `instance` was pending.
void GradePending(table& state, const fingerprint& key, const endpoint_instance& instance,
                  attributed_losses& losses) {
  const table_entry& entry = state.entries.find(key)->second;
  for (const pending_loss& pending : entry.pending) {
    if (pending.instance != instance) continue;
    const bool shares_endpoint = pending.as_suspect && HadOtherSuspect(state, key, instance);
    AddGradedLoss(state, key, entry, nullptr,
                  {instance, pending.answer_begun || shares_endpoint, pending.as_suspect,
                   pending.progressed, pending.progressing_since},
                  losses);
  }
}

attributed_losses WithFullWeight(attributed_losses losses) {
  for (auto& [key, loss] : losses) loss.half_weight = false;
  return losses;
}

}  // namespace

attributed_losses AttributeToAllRuns(const table& state, const endpoint_instance& instance) {
  attributed_losses losses;
  const auto add = [&](const fingerprint& key, bool as_suspect) {
    attributed_loss& loss =
        losses.try_emplace(key, attributed_loss{instance, false, false}).first->second;
    loss.as_suspect |= as_suspect;
  };
  for (const auto& [id, active] : state.runs) {
    const bool uses_instance =
        std::ranges::find(active.route, instance, &route_hop::instance) != active.route.end();
    if (uses_instance) add(active.key, active.as_suspect);
  }
  for (const fingerprint& key : state.flagged) {
    for (const pending_loss& pending : state.entries.find(key)->second.pending) {
      if (pending.instance == instance) add(key, pending.as_suspect);
    }
  }
  return losses;
}

attributed_losses GradeLoss(table& state, const endpoint_instance& instance, time_point now,
                            time_point alive_until) {
  RecordRecentLoss(state, instance, now);
  attributed_losses losses;
  // Runs first, while the pending losses still show which other suspects were on the endpoint.
  for (auto& [id, active] : state.runs) GradeRun(state, active, instance, alive_until, losses);
  for (const fingerprint& key : state.flagged) GradePending(state, key, instance, losses);
  GradeUnanswered(state, instance, now, losses);
  return state.config.test_faults.no_grading ? WithFullWeight(std::move(losses)) : losses;
}

std::map<fingerprint, pending_loss> PendingLossesOn(const table& state,
                                                    const endpoint_instance& instance,
                                                    time_point now, time_point until,
                                                    time_point alive_until) {
  std::map<fingerprint, pending_loss> losses;
  for (const auto& [id, active] : state.runs) {
    const auto hop = std::ranges::find(active.route, instance, &route_hop::instance);
    if (hop == active.route.end() || hop->loss_counted || hop->placed_at > alive_until) continue;
    const table_entry& entry = state.entries.find(active.key)->second;
    if (Contains(entry.losses, instance) || Contains(entry.cleared, instance)) continue;
    losses.emplace(
        active.key,
        pending_loss{instance, now, until, active.as_suspect, hop->progressed,
                     active.progressing_since, active.start_number,
                     active.answer_begun ? std::vector<shared_feature>() : active.features,
                     hop->placed_at, active.answer_begun, active.executing});
  }
  return losses;
}

time_point PlacedAt(const run& active, const endpoint_instance& instance) {
  const auto hop = std::ranges::find(active.route, instance, &route_hop::instance);
  return hop == active.route.end() ? time_point() : hop->placed_at;
}

bool HasProgressedOn(const run& active, const endpoint_instance& instance) {
  const auto hop = std::ranges::find(active.route, instance, &route_hop::instance);
  return hop != active.route.end() && hop->progressed;
}

}  // namespace balsambay::quarantine::details
