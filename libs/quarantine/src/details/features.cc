// Attribution of lost endpoints to features that requests have in common.
//
// A feature that crashes each endpoint that begins an answer is present at all losses that it
// causes, and no request with it makes output in between. Common sound features are cleared by the
// next answer of any request with them. Rare ones may be present at a few losses by chance, so the
// losses have to come in rounds, from different requests, and more of them while endpoints are also
// lost without the feature. Sound features that most of the requests with the cause have in common,
// such as the first part of their prompts, are told from it by their other runs, and those of
// requests that wait for an endpoint, by the runs that were executed there.
#include "details/features.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace balsambay::quarantine {

std::string_view ToString(feature_finding finding) {
  constexpr std::array<std::string_view, 4> kNames = {"too_few_requests", "too_few_rounds",
                                                      "other_feature", "settling"};
  return kNames[static_cast<size_t>(finding)];
}

namespace details {
namespace {

// Different sources, and thus different requests, whose losses show that a feature is the cause.
constexpr size_t kMinSources = 2;
// Sources that are kept and exchanged: enough to compare those of several daemons.
constexpr size_t kMaxSources = 4;
// Losses without the feature within kUnrelatedWindow show another cause; those that follow each
// other within kOutageSpread count once. kUnrelatedPerRound of them require one more round, up to
// kMaxExtraRounds.
constexpr duration kUnrelatedWindow = 10s;
constexpr duration kOutageSpread = 500ms;
constexpr size_t kUnrelatedPerRound = 2;
constexpr size_t kMaxExtraRounds = 2;
constexpr size_t kMaxExplained = 64;
// Within this time after the end of a run, the loss of an endpoint that it crashed is usually
// found.
constexpr duration kEndedRunLifetime = 1s;
constexpr size_t kMaxEndedRuns = 256;
// Trials of one quarantine. A second one is for a trial that ended without an answer or a loss.
constexpr int kMaxTrials = 2;
// Within this time the loss of an endpoint of a trial is known.
constexpr duration kTrialPause = 5s;

bool IsPresentAt(const table_entry& entry, const endpoint_instance& instance) {
  return Contains(entry.losses, instance) || Contains(entry.cleared, instance);
}

size_t CountWorkspaces(const table_entry& entry) {
  std::set<uint32_t> workspaces;
  for (const feature_source& source : entry.sources) workspaces.insert(source.workspace);
  return workspaces.size();
}

// Number of outages within kUnrelatedWindow at which the feature was not present, and which no
// quarantined feature explains.
size_t CountUnrelatedOutages(const table& state, const table_entry& entry, time_point now) {
  size_t outages = 0;
  std::optional<time_point> last;
  for (const lost_instance& lost : state.recent_losses) {
    const bool explained =
        std::ranges::find(state.explained, lost.instance) != state.explained.end();
    if (now - lost.at > kUnrelatedWindow || explained || IsPresentAt(entry, lost.instance))
      continue;
    if (!last || lost.at - *last >= kOutageSpread) ++outages;
    last = lost.at;
  }
  return outages;
}

size_t RequiredRounds(const table& state, const table_entry& entry, time_point now) {
  const size_t extra =
      std::min(CountUnrelatedOutages(state, entry, now) / kUnrelatedPerRound, kMaxExtraRounds);
  return state.config.max_loss_rounds + extra;
}

size_t CountShared(const table_entry& entry, const table_entry& other) {
  return static_cast<size_t>(std::ranges::count_if(
      entry.losses,
      [&](const endpoint_instance& instance) { return Contains(other.losses, instance); }));
}

// Losses at which the feature was being executed, if it was at most of them. A sound feature is at
// a few by chance, also where the cause never is, because endpoints crash before they reply.
size_t ExecutingEvidence(const table_entry& entry) {
  return 2 * entry.executing.size() > entry.losses.size() ? entry.executing.size() : 0;
}

// Whether `other` explains most losses of the feature better: it was being executed at more of
// them, or at as many and is rarer. With as many runs the two cannot be told apart; `tie` is
// returned. A quarantined feature does not explain losses at which it was not present.
bool IsLikelierCause(const table_entry& other, const table_entry& entry, bool tie) {
  if (!other.is_feature || other.sources.size() < kMinSources) return false;
  const size_t shared = CountShared(entry, other);
  if (2 * shared <= entry.losses.size()) return false;
  if (other.quarantined) return shared == entry.losses.size();
  const size_t executing = ExecutingEvidence(entry);
  const size_t other_executing = ExecutingEvidence(other);
  if (other_executing != executing) return other_executing > executing;
  if (other.feature_runs != entry.feature_runs) return other.feature_runs < entry.feature_runs;
  return tie;
}

// The feature that is the likelier cause of the losses, if there is one.
std::optional<fingerprint> FindLikelierCause(const table& state, const table_entry& entry,
                                             size_t required_rounds) {
  // Of features that always come together, none is refused before there are further losses.
  const bool tie = entry.rounds.size() < required_rounds + kMaxExtraRounds;
  const auto found = std::ranges::find_if(state.flagged, [&](const fingerprint& key) {
    const table_entry& other = state.entries.find(key)->second;
    return &other != &entry && IsLikelierCause(other, entry, tie);
  });
  return found == state.flagged.end() ? std::nullopt : std::optional(*found);
}

feature_assessment Assess(const table& state, const fingerprint& key, const table_entry& entry,
                          time_point now) {
  feature_assessment result{.key = key,
                            .finding = feature_finding::kSettling,
                            .losses = entry.losses.size(),
                            .executing = entry.executing.size(),
                            .rounds = entry.rounds.size(),
                            .required_rounds = RequiredRounds(state, entry, now),
                            .runs = entry.feature_runs,
                            .other = std::nullopt};
  if (entry.sources.size() < kMinSources) {
    result.finding = feature_finding::kTooFewRequests;
  } else if (result.rounds < result.required_rounds) {
    result.finding = feature_finding::kTooFewRounds;
  } else if ((result.other = FindLikelierCause(state, entry, result.required_rounds))) {
    result.finding = feature_finding::kOtherFeature;
  }
  return result;
}

// Losses in a single round are no evidence yet, and one endpoint may hold many features.
bool IsWorthReporting(const feature_assessment& assessment) { return assessment.rounds > 1; }

uint64_t CountRuns(const table& state, const fingerprint& key) {
  return static_cast<uint64_t>(std::ranges::count_if(state.runs, [&](const auto& pair) {
    const std::vector<shared_feature>& features = pair.second.features;
    return std::ranges::find(features, key, &shared_feature::key) != features.end();
  }));
}

table_entry& TouchFeature(table& state, const fingerprint& key) {
  table_entry& entry = Touch(state, key);
  if (!std::exchange(entry.is_feature, true)) entry.feature_runs = CountRuns(state, key);
  return entry;
}

// Whether the losses are as well explained by `entry` as by the quarantined feature: it was present
// at all of them, and none of its requests was answered since. If the two mostly come together, the
// wrong one may have been refused; the evidence against the other must not start from nothing then.
bool ExplainsAsWell(const table_entry& entry, const table_entry& quarantined) {
  return entry.is_feature && entry.sources.size() >= kMinSources &&
         CountShared(quarantined, entry) == quarantined.losses.size();
}

// Clears the losses that a quarantined feature explains for all other fingerprints, except features
// that explain them as well. They need not be published, because each daemon does the same when it
// learns of the feature.
void ClearExplainedLosses(table& state, const fingerprint& cause, side_effects& effects) {
  const std::vector<endpoint_instance> explained = Find(state, cause)->losses;
  for (const endpoint_instance& instance : explained) {
    if (std::ranges::find(state.explained, instance) != state.explained.end()) continue;
    if (state.explained.size() >= kMaxExplained) state.explained.pop_front();
    state.explained.push_back(instance);
  }
  for (auto& [key, entry] : state.entries) {
    if (key == cause) continue;
    if (!entry.quarantined && ExplainsAsWell(entry, *Find(state, cause))) continue;
    bool changed = false;
    for (const endpoint_instance& instance : explained) {
      changed |= std::erase_if(entry.disputed, [&](const disputed_loss& loss) {
                   return loss.instance == instance;
                 }) > 0;
      changed |= HasLoss(entry, instance) && MoveToCleared(entry, instance);
    }
    if (!changed) continue;
    WithdrawUnsupportedQuarantine(state, entry);
    Reassess(state, key, entry, effects);
  }
}

void Publish(table& state, const fingerprint& key, table_entry& entry, side_effects& effects) {
  Reassess(state, key, entry, effects);
  effects.publish.push_back(MakeUpdate(state, key, entry));
}

// Returns whether the loss is new.
bool CountLoss(table& state, const fingerprint& key, const feature_loss& loss, time_point now,
               side_effects& effects) {
  table_entry& entry = TouchFeature(state, key);
  if (IsPresentAt(entry, loss.instance)) return false;
  for (const feature_source& source : loss.sources) AddSource(entry, source);
  AppendBounded(entry.losses, loss.instance);
  if (loss.executing) AppendBounded(entry.executing, loss.instance);
  const auto known_rounds = static_cast<size_t>(std::ranges::count_if(
      entry.rounds, [&](time_point known_at) { return known_at < loss.placed_at; }));
  if (known_rounds == entry.rounds.size()) entry.rounds.push_back(loss.noticed_at);
  entry.loss_expires = now + state.config.loss_lifetime;
  // Flags the entry, so that it is compared with others.
  Reassess(state, key, entry, effects);
  return true;
}

}  // namespace

bool IsCovered(const table_entry& entry, const feature_source& request) {
  if (CountWorkspaces(entry) != 1 || entry.sources.front().workspace == request.workspace)
    return true;
  const bool paused = entry.trial_paused_until != time_point();
  const bool may_try = entry.may_be_tried && !entry.trial && !paused && entry.trials < kMaxTrials;
  return !entry.confined && !may_try;
}

void BeginTrials(table& state, run_id id, std::span<const shared_feature> features) {
  for (const shared_feature& feature : features) {
    table_entry* entry = Find(state, feature.key);
    if (entry == nullptr || !entry->quarantined || entry->confined) continue;
    entry->trial = id;
    ++entry->trials;
  }
}

void ConfineTried(table& state, run_id id, std::span<const shared_feature> features,
                  side_effects& effects) {
  for (const shared_feature& feature : features) {
    table_entry* entry = Find(state, feature.key);
    if (entry == nullptr || entry->trial != id || !entry->quarantined || entry->confined) continue;
    entry->confined = true;
    effects.confined.push_back(feature.key);
    Publish(state, feature.key, *entry, effects);
  }
}

void EndTrials(table& state, run_id id, const run& ended, time_point now) {
  for (const shared_feature& feature : ended.features) {
    table_entry* entry = Find(state, feature.key);
    if (entry == nullptr || entry->trial != id) continue;
    entry->trial.reset();
    if (ended.route.empty()) {
      --entry->trials;
    } else {
      entry->trial_paused_until = now + kTrialPause;
    }
  }
}

void ResumeTrials(table_entry& entry, time_point now) {
  if (now >= entry.trial_paused_until) entry.trial_paused_until = {};
}

void ForbidTrials(table& state) {
  for (const fingerprint& key : state.flagged) Find(state, key)->may_be_tried = false;
}

void AddSource(table_entry& entry, const feature_source& source) {
  if (std::ranges::find(entry.sources, source) != entry.sources.end()) return;
  if (entry.sources.size() < kMaxSources) return entry.sources.push_back(source);
  const bool same_workspace = std::ranges::find(entry.sources, source.workspace,
                                                &feature_source::workspace) != entry.sources.end();
  if (!same_workspace && CountWorkspaces(entry) == 1) entry.sources.back() = source;
}

void KeepEndedRun(table& state, const run& ended, time_point now) {
  if (ended.answer_begun || ended.features.empty() || ended.route.empty()) return;
  std::erase_if(state.ended_runs,
                [&](const ended_run& kept) { return now - kept.ended_at > kEndedRunLifetime; });
  if (state.ended_runs.size() >= kMaxEndedRuns) state.ended_runs.pop_front();
  state.ended_runs.push_back({ended.route, ended.features, ended.executing, now});
}

feature_losses AttributeToFeatures(const table& state, const endpoint_instance& instance,
                                   time_point now, time_point alive_until) {
  feature_losses losses;
  const auto add = [&](std::span<const shared_feature> features, time_point placed_at,
                       time_point noticed_at, bool executing) {
    for (const shared_feature& feature : features) {
      feature_loss& loss =
          losses.try_emplace(feature.key, feature_loss{instance, {}, placed_at, noticed_at})
              .first->second;
      loss.sources.push_back(feature.source);
      loss.placed_at = std::max(loss.placed_at, placed_at);
      loss.noticed_at = std::min(loss.noticed_at, noticed_at);
      loss.executing |= executing;
    }
  };
  for (const auto& [id, active] : state.runs) {
    if (active.answer_begun || active.features.empty()) continue;
    const auto hop = std::ranges::find(active.route, instance, &route_hop::instance);
    if (hop == active.route.end() || hop->placed_at > alive_until) continue;
    add(active.features, hop->placed_at, now, active.executing);
  }
  for (const ended_run& ended : state.ended_runs) {
    const auto hop = std::ranges::find(ended.route, instance, &route_hop::instance);
    if (hop == ended.route.end() || hop->placed_at > alive_until) continue;
    if (now - ended.ended_at <= kEndedRunLifetime)
      add(ended.features, hop->placed_at, now, ended.executing);
  }
  for (const fingerprint& key : state.flagged) {
    for (const pending_loss& pending : state.entries.find(key)->second.pending) {
      if (pending.instance == instance)
        add(pending.features, pending.placed_at, pending.reported_at, pending.executing);
    }
  }
  return losses;
}

void AddFeatureLosses(table& state, const feature_losses& losses, time_point now,
                      side_effects& effects) {
  std::vector<fingerprint> changed;
  for (const auto& [key, loss] : losses) {
    if (CountLoss(state, key, loss, now, effects)) changed.push_back(key);
  }
  // Only when all are counted, since they are compared with each other.
  for (const fingerprint& key : changed) {
    table_entry* entry = Find(state, key);
    if (entry == nullptr) continue;  // evicted
    const feature_assessment assessment = Assess(state, key, *entry, now);
    if (!entry->proven_at && assessment.finding == feature_finding::kSettling)
      entry->proven_at = now;
    if (!entry->quarantined && IsWorthReporting(assessment)) effects.assessed.push_back(assessment);
    Publish(state, key, *entry, effects);
    if (entry->quarantined) ClearExplainedLosses(state, key, effects);
  }
}

void SettleFeature(table& state, const fingerprint& key, time_point now, side_effects& effects) {
  table_entry& entry = *Find(state, key);
  const bool settled = entry.proven_at && !entry.quarantined &&
                       now - *entry.proven_at >= state.config.feature_settle_time;
  if (!settled) return;
  const feature_assessment assessment = Assess(state, key, entry, now);
  if (assessment.finding != feature_finding::kSettling) {
    if (IsWorthReporting(assessment)) effects.assessed.push_back(assessment);
    return entry.proven_at.reset();
  }
  entry.quarantined = true;
  Publish(state, key, entry, effects);
  ClearExplainedLosses(state, key, effects);
}

void CountFeatureRun(table& state, std::span<const shared_feature> features) {
  for (const shared_feature& feature : features) {
    table_entry* entry = Find(state, feature.key);
    if (entry != nullptr && entry->is_feature) ++entry->feature_runs;
  }
}

void ClearFeatures(table& state, std::span<const shared_feature> features, side_effects& effects) {
  for (const shared_feature& feature : features) {
    table_entry* entry = Find(state, feature.key);
    if (entry == nullptr || entry->losses.empty() || entry->quarantined) continue;
    ClearFullLosses(*entry);
    Publish(state, feature.key, *entry, effects);
  }
}

bool MergeFeature(table& state, const update& received, time_point now, side_effects& effects) {
  table_entry& entry = TouchFeature(state, received.key);
  const bool was_quarantined = entry.quarantined;
  bool changed = false;
  for (const endpoint_instance& instance : received.cleared) {
    changed |= MoveToCleared(entry, instance);
  }
  if (changed) WithdrawUnsupportedQuarantine(state, entry);
  for (const feature_source& source : received.sources) AddSource(entry, source);
  size_t supporting = 0;
  for (const endpoint_instance& instance : received.losses) {
    if (Contains(entry.cleared, instance)) continue;
    ++supporting;
    if (Contains(entry.losses, instance)) continue;
    AppendBounded(entry.losses, instance);
    changed = true;
  }
  for (const endpoint_instance& instance : received.executing) {
    if (Contains(entry.losses, instance) && !Contains(entry.executing, instance))
      AppendBounded(entry.executing, instance);
  }
  // Each round has at least one loss.
  const size_t rounds = std::min(received.loss_rounds, supporting);
  while (entry.rounds.size() < rounds) entry.rounds.push_back(now);
  entry.rounds.resize(std::min(entry.rounds.size(), entry.losses.size()));
  if (changed) entry.loss_expires = now + state.config.loss_lifetime;
  entry.feature_runs = std::max(entry.feature_runs, received.feature_runs);
  // Whether a feature is the cause is decided where a loss was seen: updates about the features
  // that it has to be compared with may still be on their way.
  entry.quarantined =
      entry.quarantined || (received.quarantined && rounds >= state.config.max_loss_rounds);
  changed |= was_quarantined != entry.quarantined;
  if (entry.quarantined && received.confined && !std::exchange(entry.confined, true)) {
    effects.confined.push_back(received.key);
    changed = true;
  }
  Reassess(state, received.key, entry, effects);
  if (entry.quarantined && changed) ClearExplainedLosses(state, received.key, effects);
  return changed;
}

}  // namespace details
}  // namespace balsambay::quarantine
