// Brings the endpoints of a group to the wanted state, with at most one open command per endpoint.
#include "lease/orders.h"

#include <algorithm>
#include <ranges>

namespace balsambay::lease {
namespace {

// One command that brings an endpoint closer to its wanted state.
struct config_step {
  command_kind kind = command_kind::kLoadModel;
  std::string argument;
};

bool Differs(const std::string& wanted, const std::string& reported) {
  return !wanted.empty() && wanted != reported;
}

// The first step from `reported` towards `wanted`.
std::optional<config_step> FirstConfigStep(const endpoint_config& wanted,
                                           const endpoint_config& reported) {
  if (Differs(wanted.model, reported.model)) {
    return config_step{command_kind::kLoadModel, wanted.model};
  }
  if (Differs(wanted.version, reported.version)) {
    return config_step{command_kind::kLoadVersion, wanted.version};
  }
  const auto missing = std::ranges::find_if(wanted.adapters, [&](const std::string& adapter) {
    return std::ranges::find(reported.adapters, adapter) == reported.adapters.end();
  });
  if (missing != wanted.adapters.end()) return config_step{command_kind::kLoadAdapter, *missing};
  if (Differs(wanted.role, reported.role)) {
    return config_step{command_kind::kChangeRole, wanted.role};
  }
  return std::nullopt;
}

void AppendTableCalls(std::vector<table_call> calls, command_effects& effects) {
  effects.insert(effects.end(), std::make_move_iterator(calls.begin()),
                 std::make_move_iterator(calls.end()));
}

// A new holder knows nothing about the endpoints. Endpoints that do not check the fencing token
// would also execute a command that an earlier holder sent before this lease was acquired, so the
// new holder waits for `max_transit` before it sends them a command.
void ResetEndpoint(const command_group& group, commanded_endpoint& endpoint) {
  endpoint = {.checks_token = endpoint.checks_token,
              .reported = {},
              .open_command = {},
              .command_deadline = {},
              .earliest_command = group.lease.acquired_at,
              .next_query = {}};
  if (!endpoint.checks_token) endpoint.earliest_command += group.config.max_transit;
}

// Resets the group when the lease was acquired, lost or taken over again.
void ResetOnLeaseChange(command_group& group) {
  const uint64_t epoch = group.lease.state == holder_state::kHeld ? group.lease.row.epoch : 0;
  if (epoch == group.epoch) return;
  group.epoch = epoch;
  group.wanted.reset();
  group.wanted_read_call = 0;
  group.next_wanted_read = {};
  for (auto& [id, endpoint] : group.endpoints) ResetEndpoint(group, endpoint);
}

void ReadWanted(command_group& group, time_point now, command_effects& effects) {
  if (now < group.next_wanted_read) return;
  group.wanted_read_call = group.lease.next_call++;
  group.next_wanted_read =
      now + std::max(group.config.poll_interval, group.config.lease.call_timeout);
  effects.emplace_back(table_call{group.wanted_read_call,
                                  table::read_request{{"wanted/" + group.config.group}, {}}});
}

void OnWantedReply(command_group& group, const table_outcome& outcome) {
  group.wanted_read_call = 0;
  const auto* reply = std::get_if<table::read_reply>(&outcome);
  if (reply == nullptr) return;
  if (reply->rows.empty()) {
    group.wanted.emplace();
  } else if (auto wanted = DecodeWanted(reply->rows.front().value)) {
    group.wanted = std::move(wanted).value();
  }
}

// Closes the open command of the endpoint. The endpoint state and the wanted state are read again
// before the next command.
void CloseCommand(command_group& group, commanded_endpoint& endpoint, command_outcome outcome,
                  time_point now) {
  endpoint.open_command.reset();
  endpoint.reported.reset();
  endpoint.next_query = now;
  group.wanted.reset();
  group.next_wanted_read = now;
  if (outcome == command_outcome::kUnknown)
    endpoint.earliest_command = now + group.config.max_transit;
  if (outcome == command_outcome::kFailed || outcome == command_outcome::kStaleToken) {
    endpoint.earliest_command = now + group.config.poll_interval;
  }
}

void QueryState(const command_group& group, const std::string& id, commanded_endpoint& endpoint,
                time_point now, command_effects& effects) {
  if (endpoint.open_command || now < endpoint.next_query) return;
  endpoint.next_query = now + group.config.poll_interval;
  effects.emplace_back(state_query{id});
}

void SendNextCommand(command_group& group, const std::string& id, commanded_endpoint& endpoint,
                     time_point now, command_effects& effects) {
  if (endpoint.open_command || !endpoint.reported || !group.wanted) return;
  if (now < endpoint.earliest_command) {
    endpoint.next_query = std::min(endpoint.next_query, endpoint.earliest_command);
    return;
  }
  const auto wanted = group.wanted->find(id);
  if (wanted == group.wanted->end()) return;
  const auto step = FirstConfigStep(wanted->second, *endpoint.reported);
  if (!step) return;
  endpoint.open_command =
      command{group.next_command++, id, step->kind, step->argument, group.epoch};
  endpoint.command_deadline = now + group.config.command_timeout;
  effects.emplace_back(*endpoint.open_command);
}

void CloseTimedOutCommand(command_group& group, commanded_endpoint& endpoint, time_point now) {
  if (!endpoint.open_command || now < endpoint.command_deadline) return;
  CloseCommand(group, endpoint, command_outcome::kUnknown, now);
}

void TickEndpoint(command_group& group, const std::string& id, commanded_endpoint& endpoint,
                  time_point now, command_effects& effects) {
  QueryState(group, id, endpoint, now, effects);
  SendNextCommand(group, id, endpoint, now, effects);
}

void Advance(command_group& group, time_point now, command_effects& effects) {
  ResetOnLeaseChange(group);
  group.may_act = MayAct(group.lease, now);
  if (!group.may_act) return;
  for (auto& [id, endpoint] : group.endpoints) CloseTimedOutCommand(group, endpoint, now);
  ReadWanted(group, now, effects);
  for (auto& [id, endpoint] : group.endpoints) TickEndpoint(group, id, endpoint, now, effects);
}

}  // namespace

command_group MakeCommandGroup(const command_settings& settings, const faults& faults) {
  CheckInvariant(Validate(settings.lease).has_value(),
                 "lease: invalid timing in the settings of a command group");
  command_group group;
  group.config = settings;
  group.lease.key = "lease/" + settings.group;
  group.lease.self = settings.self;
  group.lease.config = settings.lease;
  group.lease.test_faults = faults;
  return group;
}

void SetEndpoints(command_group& group, std::span<const endpoint_info> endpoints, time_point now) {
  std::map<std::string, commanded_endpoint, std::less<>> new_endpoints;
  for (const endpoint_info& info : endpoints) {
    const auto existing = group.endpoints.find(info.id);
    commanded_endpoint& endpoint = new_endpoints[info.id];
    if (existing != group.endpoints.end()) endpoint = existing->second;
    const bool must_wait = existing == group.endpoints.end() || endpoint.checks_token;
    endpoint.checks_token = info.checks_token;
    // The endpoint may be new to this holder only: an earlier holder may have sent it commands, so
    // the wait starts now.
    if (must_wait && !info.checks_token) endpoint.earliest_command = now + group.config.max_transit;
  }
  group.endpoints = std::move(new_endpoints);
}

command_effects OnTick(command_group& group, time_point now) {
  command_effects effects;
  AppendTableCalls(OnTick(group.lease, now), effects);
  Advance(group, now, effects);
  return effects;
}

command_effects OnTableReply(command_group& group, uint64_t id, const table_outcome& outcome,
                             time_point now) {
  command_effects effects;
  if (id != 0 && id == group.wanted_read_call) {
    OnWantedReply(group, outcome);
  } else {
    AppendTableCalls(OnTableReply(group.lease, id, outcome, now), effects);
  }
  Advance(group, now, effects);
  return effects;
}

command_effects OnEndpointState(command_group& group, std::string_view endpoint,
                                const endpoint_config& reported, time_point now) {
  command_effects effects;
  const auto found = group.endpoints.find(endpoint);
  if (found != group.endpoints.end() && !found->second.open_command)
    found->second.reported = reported;
  Advance(group, now, effects);
  return effects;
}

command_effects OnCommandOutcome(command_group& group, const command& command,
                                 command_outcome outcome, time_point now) {
  command_effects effects;
  const auto found = group.endpoints.find(command.endpoint);
  if (found == group.endpoints.end()) return effects;
  commanded_endpoint& endpoint = found->second;
  if (!endpoint.open_command || endpoint.open_command->id != command.id) return effects;
  CloseCommand(group, endpoint, outcome, now);
  Advance(group, now, effects);
  return effects;
}

bool MaySend(const command_group& group, const command& command, time_point now) {
  return command.epoch == group.lease.row.epoch && MayAct(group.lease, now);
}

command_effects Release(command_group& group, time_point now) {
  command_effects effects;
  AppendTableCalls(Release(group.lease, now), effects);
  Advance(group, now, effects);
  return effects;
}

time_point NextDeadline(const command_group& group) {
  time_point next = NextDeadline(group.lease);
  if (!group.may_act) return next;
  next = std::min(next, group.next_wanted_read);
  for (const auto& [id, endpoint] : group.endpoints) {
    next = std::min(next, endpoint.open_command ? endpoint.command_deadline : endpoint.next_query);
  }
  return next;
}

}  // namespace balsambay::lease
