// Attribution of lost endpoints to features that requests have in common. With kConcurrent only.
#pragma once

#include <map>

#include "details/entries.h"

namespace balsambay::quarantine::details {

// A lost endpoint on which runs with a feature had made no output.
struct feature_loss {
  endpoint_instance instance;
  std::vector<feature_source> sources;
  time_point placed_at{};   // when the latest of the runs was placed on the endpoint
  time_point noticed_at{};  // when the first of the runs showed the loss
  bool executing = false;   // one of the runs was being executed
};

using feature_losses = std::map<fingerprint, feature_loss>;

// Keeps the features of a run that ends without output for the losses that are found soon after.
void KeepEndedRun(table& state, const run& ended, time_point now);

// The features of the runs that may have crashed `instance`: those without any output so far, that
// were placed on it until `alive_until` and run or have ended lately. Cost: O(runs + pending
// entries).
feature_losses AttributeToFeatures(const table& state, const endpoint_instance& instance,
                                   time_point now, time_point alive_until);

// Counts the losses against the features. SettleFeature() quarantines those that are the cause.
void AddFeatureLosses(table& state, const feature_losses& losses, time_point now,
                      side_effects& effects);

// Quarantines the feature if its losses have sufficed for `settings::feature_settle_time` and still
// do. No effect on other entries.
void SettleFeature(table& state, const fingerprint& key, time_point now, side_effects& effects);

// Counts the start of a run for its features that have losses.
void CountFeatureRun(table& state, std::span<const shared_feature> features);

// A run with the features made output, so they do not crash endpoints: clears their losses.
// No effect on quarantined ones.
void ClearFeatures(table& state, std::span<const shared_feature> features, side_effects& effects);

// Whether a quarantine of the feature covers the request. It does not if requests of one other
// workspace caused all losses and the quarantine is confined, or a trial may run.
bool IsCovered(const table_entry& entry, const feature_source& request);

// Registers the run as the trial of those of its features that are quarantined and would cover it
// otherwise. Precondition: no quarantine covers the run.
void BeginTrials(table& state, run_id id, std::span<const shared_feature> features);

// The run made output: confines the quarantines of which it is the trial.
void ConfineTried(table& state, run_id id, std::span<const shared_feature> features,
                  side_effects& effects);

// The run has ended. A trial that was placed on no endpoint does not count. After any other one
// there is a pause, in which an attempt of the same request is no trial either.
void EndTrials(table& state, run_id id, const run& ended, time_point now);

// Ends the pause after a trial if it is over.
void ResumeTrials(table_entry& entry, time_point now);

// Forbids trials of all present quarantines.
void ForbidTrials(table& state);

// Keeps the source if it is among the first kMaxSources or of a further workspace.
void AddSource(table_entry& entry, const feature_source& source);

// Merges a peer's update about a feature. Returns whether its losses or quarantine changed.
bool MergeFeature(table& state, const update& received, time_point now, side_effects& effects);

}  // namespace balsambay::quarantine::details
