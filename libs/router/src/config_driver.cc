// Runs the configsync library and activates each accepted configuration version.
#include "details/config_driver.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "details/admission_driver.h"
#include "details/endpoint_monitor.h"
#include "details/logging.h"
#include "details/peers.h"
#include "details/planning.h"
#include "details/replies.h"
#include "details/table_client.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

std::vector<std::string> ValidateDocument(const json& document) {
  std::vector<std::string> errors;
  std::ranges::transform(
      inventory::Parse(document).errors, std::back_inserter(errors),
      [](const inventory::field_error& error) { return error.path + ": " + error.message; });
  return errors;
}

void ApplyConfiguration(router_state& state, uint64_t version, inventory::configuration config) {
  CheckInvariant(version > state.config_version, "configuration versions must increase");
  state.config_version = version;
  state.inventory = std::move(config);
  metrics::Increment(state.metrics.registry, state.metrics.config_applied);
  log::Log(log::level::kInfo, "configuration in force", {{"version", version}});
  ConfigureAdmission(state);
  MonitorConfiguration(state);
  ConfigurePlans(state);
}

void ApplyEffects(router_state& state, const configsync::effects& effects);

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.config_timer);
  const time_point deadline = configsync::NextDeadline(*state.config_sync);
  if (deadline == kNever) return;
  state.config_timer = Subscribe(state.loop.Timers(), deadline, [&state](time_point now) {
    ApplyEffects(state, configsync::OnTick(*state.config_sync, now));
  });
}

void SendRead(router_state& state, const configsync::table_read& read) {
  SendTableCall(
      state, {read.id, read.request}, [&state, id = read.id](const lease::table_outcome& outcome) {
        const auto* reply = std::get_if<table::read_reply>(&outcome);
        ApplyEffects(state, configsync::OnReadReply(*state.config_sync, id, reply, MonotonicNow()));
      });
}

void ApplyEffects(router_state& state, const configsync::effects& effects) {
  for (const configsync::table_read& read : effects.reads) SendRead(state, read);
  for (const configsync::peer_message& send : effects.sends) {
    SendToPeer(state, send.receiver,
               {{"type", "config"}, {"content", configsync::ToJson(send.content)}});
  }
  for (const configsync::rejection& refused : effects.rejections) {
    log::Log(log::level::kError,
             "configuration version is invalid for this daemon and was not activated",
             {{"version", refused.version},
              {"error", refused.errors.empty() ? "" : refused.errors.front()}});
  }
  if (effects.applied) {
    ApplyConfiguration(state, state.config_sync->version,
                       inventory::Parse(state.config_sync->document).config);
    membership::SetConfigVersion(*state.members, state.config_version,
                                 state.config_sync->confirmed_at);
  }
  ScheduleTick(state);
}

result<void> LoadConfigFile(router_state& state) {
  std::ifstream file(state.config.config_file);
  if (!file) return Failure(errc::kInvalidArgument, "cannot read " + state.config.config_file);
  std::stringstream text;
  text << file.rdbuf();
  auto parsed = inventory::ParseText(text.str());
  if (!parsed.errors.empty()) {
    return Failure(errc::kInvalidArgument, state.config.config_file + " at " +
                                               parsed.errors[0].path + ": " +
                                               parsed.errors[0].message);
  }
  state.file_document = json::parse(text.str());
  ApplyConfiguration(state, 1, std::move(parsed.config));
  return Success();
}

// A commit of an operator that the table service has not completed yet.
struct pending_commit {
  configsync::committer committer;
  net::exchange_ptr exchange;
};

void FinishCommit(router_state& state, const pending_commit& commit) {
  using kind = configsync::commit_outcome::kind;
  const configsync::commit_outcome& outcome = commit.committer.outcome;
  switch (outcome.result) {
    case kind::kCommitted:
      RespondJson(commit.exchange, 200, {{"version", outcome.version}});
      return ApplyEffects(
          state, configsync::OnCommitted(*state.config_sync, outcome.version, MonotonicNow()));
    case kind::kConflict:
      return RespondJson(commit.exchange, 409, {{"version", outcome.version}});
    case kind::kNotCommitted:
      return RespondJson(commit.exchange, 503, json::object());
    case kind::kUnknown:
      return RespondJson(commit.exchange, 504, json::object());
  }
}

configsync::table_reply ToReply(const lease::table_outcome& outcome) {
  if (const auto* read = std::get_if<table::read_reply>(&outcome)) return *read;
  if (const auto* commit = std::get_if<table::commit_reply>(&outcome)) return *commit;
  return std::monostate{};
}

void ContinueCommit(router_state& state, const std::shared_ptr<pending_commit>& commit) {
  const auto call = configsync::NextCall(commit->committer);
  if (!call) return FinishCommit(state, *commit);
  lease::table_call call_message;
  std::visit([&](const auto& request) { call_message.request = request; }, *call);
  SendTableCall(state, call_message, [&state, commit](const lease::table_outcome& outcome) {
    configsync::OnReply(commit->committer, ToReply(outcome));
    ContinueCommit(state, commit);
  });
}

}  // namespace

result<void> StartConfig(router_state& state) {
  configsync::settings settings;
  settings.id = state.instance_id;
  state.config_sync = std::make_unique<configsync::state>(
      configsync::MakeState(settings, ValidateDocument, state.rng(), MonotonicNow()));
  if (!state.config.config_file.empty()) return LoadConfigFile(state);
  UpdateConfigMembers(state);
  return Success();
}

void UpdateConfigMembers(router_state& state) {
  if (!state.config_sync || !state.config.config_file.empty()) return;
  auto live = membership::LiveMemberIds(*state.members);
  // A daemon that is alone in its zone accepts versions from any connected daemon.
  if (live.size() <= 1) live = state.live_daemons;
  ApplyEffects(state, configsync::SetLiveMembers(*state.config_sync, live, MonotonicNow()));
}

void HandleConfigMessage(router_state& state, std::string_view peer, const json& message) {
  const auto content = configsync::MessageFromJson(message.at("content"));
  if (content.has_error() || !state.config.config_file.empty()) return;
  ApplyEffects(state,
               configsync::OnMessage(*state.config_sync, peer, content.value(), MonotonicNow()));
}

void HandlePeerVersion(router_state& state, std::string_view peer, uint64_t version, duration age) {
  if (!state.config.config_file.empty()) return;
  ApplyEffects(state,
               configsync::OnPeerVersion(*state.config_sync, peer, version, age, MonotonicNow()));
}

void SubmitConfig(router_state& state, const net::exchange_ptr& exchange, uint64_t base_version,
                  const json& document) {
  const auto parsed = inventory::Parse(document);
  if (!parsed.errors.empty()) {
    json errors = json::array();
    for (const auto& error : parsed.errors)
      errors.push_back({{"path", error.path}, {"message", error.message}});
    return RespondJson(exchange, 422, {{"errors", errors}});
  }
  if (base_version != state.config_version)
    return RespondJson(exchange, 409, {{"version", state.config_version}});
  if (!state.config.config_file.empty()) return RespondJson(exchange, 503, json::object());
  configsync::commit_request request{document, base_version, state.config_sync->document,
                                     state.instance_id + "-" + std::to_string(state.rng())};
  auto started = configsync::StartCommit(std::move(request), ValidateDocument);
  if (started.has_error()) return RespondJson(exchange, 422, {{"errors", json::array()}});
  ContinueCommit(state, std::make_shared<pending_commit>(
                            pending_commit{std::move(started).value(), exchange}));
}

json ConfigDocument(const router_state& state) {
  return state.config.config_file.empty() ? state.config_sync->document : state.file_document;
}

int64_t ConfigAgeMs(const router_state& state) {
  if (state.config_version == 0) return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             configsync::ConfirmationAge(*state.config_sync, MonotonicNow()))
      .count();
}

bool IsConfigReady(const router_state& state) {
  return state.config_version != 0 &&
         (!state.config.config_file.empty() || configsync::IsReady(*state.config_sync));
}

}  // namespace balsambay::router
