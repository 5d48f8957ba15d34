// Brings the endpoints of a group to the wanted state, one command per endpoint at a time.
#include "lease/orders.h"

#include <algorithm>
#include <ranges>

namespace balsambay::lease {
namespace {

struct difference {
  command_kind kind = command_kind::kLoadModel;
  std::string argument;
};

bool Differs(const std::string& wanted, const std::string& reported) {
  return !wanted.empty() && wanted != reported;
}

// The first step from `reported` towards `wanted`.
std::optional<difference> FirstDifference(const endpoint_config& wanted,
                                          const endpoint_config& reported) {
  if (Differs(wanted.model, reported.model)) {
    return difference{command_kind::kLoadModel, wanted.model};
  }
  if (Differs(wanted.version, reported.version)) {
    return difference{command_kind::kLoadVersion, wanted.version};
  }
  const auto missing = std::ranges::find_if(wanted.adapters, [&](const std::string& adapter) {
    return std::ranges::find(reported.adapters, adapter) == reported.adapters.end();
  });
  if (missing != wanted.adapters.end()) return difference{command_kind::kLoadAdapter, *missing};
  if (Differs(wanted.role, reported.role)) {
    return difference{command_kind::kChangeRole, wanted.role};
  }
  return std::nullopt;
}

void AppendCalls(std::vector<table_call> calls, order_effects& out) {
  out.insert(out.end(), std::make_move_iterator(calls.begin()),
             std::make_move_iterator(calls.end()));
}

// A new holder knows nothing about the endpoints, and waits before it commands those that would
// also obey a command that an older holder sent before this lease was acquired.
void ResetEndpoint(const order_group& group, ordered_endpoint& endpoint) {
  endpoint = {.checks_token = endpoint.checks_token,
              .reported = {},
              .open = {},
              .open_deadline = {},
              .not_before = group.lease.acquired_at,
              .next_query = {}};
  if (!endpoint.checks_token) endpoint.not_before += group.config.max_transit;
}

void FollowLease(order_group& group) {
  const uint64_t epoch = group.lease.state == holder_state::kHeld ? group.lease.row.epoch : 0;
  if (epoch == group.epoch) return;
  group.epoch = epoch;
  group.wanted.reset();
  group.wanted_call = 0;
  group.next_read = {};
  for (auto& [id, endpoint] : group.endpoints) ResetEndpoint(group, endpoint);
}

void ReadWanted(order_group& group, time_point now, order_effects& out) {
  if (now < group.next_read) return;
  group.wanted_call = group.lease.next_call++;
  group.next_read = now + std::max(group.config.poll_interval, group.config.lease.call_timeout);
  out.emplace_back(
      table_call{group.wanted_call, table::read_request{{"wanted/" + group.config.group}, {}}});
}

void OnWanted(order_group& group, const table_outcome& outcome) {
  group.wanted_call = 0;
  const auto* reply = std::get_if<table::read_reply>(&outcome);
  if (reply == nullptr) return;
  if (reply->rows.empty()) {
    group.wanted.emplace();
  } else if (auto wanted = DecodeWanted(reply->rows.front().value)) {
    group.wanted = std::move(wanted).value();
  }
}

// The state of the endpoint and the wanted state are read again before the next command.
void CloseCommand(order_group& group, ordered_endpoint& endpoint, command_outcome outcome,
                  time_point now) {
  endpoint.open.reset();
  endpoint.reported.reset();
  endpoint.next_query = now;
  group.wanted.reset();
  group.next_read = now;
  if (outcome == command_outcome::kUnknown) endpoint.not_before = now + group.config.max_transit;
  if (outcome == command_outcome::kFailed || outcome == command_outcome::kStaleToken) {
    endpoint.not_before = now + group.config.poll_interval;
  }
}

void Query(const order_group& group, const std::string& id, ordered_endpoint& endpoint,
           time_point now, order_effects& out) {
  if (endpoint.open || now < endpoint.next_query) return;
  endpoint.next_query = now + group.config.poll_interval;
  out.emplace_back(state_query{id});
}

void Order(order_group& group, const std::string& id, ordered_endpoint& endpoint, time_point now,
           order_effects& out) {
  if (endpoint.open || !endpoint.reported || !group.wanted) return;
  if (now < endpoint.not_before) {
    endpoint.next_query = std::min(endpoint.next_query, endpoint.not_before);
    return;
  }
  const auto wanted = group.wanted->find(id);
  if (wanted == group.wanted->end()) return;
  const auto step = FirstDifference(wanted->second, *endpoint.reported);
  if (!step) return;
  endpoint.open = command{group.next_command++, id, step->kind, step->argument, group.epoch};
  endpoint.open_deadline = now + group.config.command_timeout;
  out.emplace_back(*endpoint.open);
}

void CloseLateCommand(order_group& group, ordered_endpoint& endpoint, time_point now) {
  if (!endpoint.open || now < endpoint.open_deadline) return;
  CloseCommand(group, endpoint, command_outcome::kUnknown, now);
}

void TickEndpoint(order_group& group, const std::string& id, ordered_endpoint& endpoint,
                  time_point now, order_effects& out) {
  Query(group, id, endpoint, now, out);
  Order(group, id, endpoint, now, out);
}

void Advance(order_group& group, time_point now, order_effects& out) {
  FollowLease(group);
  group.may_act = MayAct(group.lease, now);
  if (!group.may_act) return;
  for (auto& [id, endpoint] : group.endpoints) CloseLateCommand(group, endpoint, now);
  ReadWanted(group, now, out);
  for (auto& [id, endpoint] : group.endpoints) TickEndpoint(group, id, endpoint, now, out);
}

}  // namespace

order_group MakeOrderGroup(const order_settings& settings, const faults& faults) {
  CheckInvariant(Validate(settings.lease).has_value(), "the lease settings are valid");
  order_group group;
  group.config = settings;
  group.lease.key = "lease/" + settings.group;
  group.lease.self = settings.self;
  group.lease.config = settings.lease;
  group.lease.broken = faults;
  return group;
}

void SetEndpoints(order_group& group, std::span<const endpoint_info> endpoints, time_point now) {
  std::map<std::string, ordered_endpoint, std::less<>> next;
  for (const endpoint_info& info : endpoints) {
    const auto known = group.endpoints.find(info.id);
    ordered_endpoint& endpoint = next[info.id];
    if (known != group.endpoints.end()) endpoint = known->second;
    const bool wait = known == group.endpoints.end() || endpoint.checks_token;
    endpoint.checks_token = info.checks_token;
    // It may be new to this holder only, so the wait starts now.
    if (wait && !info.checks_token) endpoint.not_before = now + group.config.max_transit;
  }
  group.endpoints = std::move(next);
}

order_effects OnTick(order_group& group, time_point now) {
  order_effects out;
  AppendCalls(OnTick(group.lease, now), out);
  Advance(group, now, out);
  return out;
}

order_effects OnTableReply(order_group& group, uint64_t id, const table_outcome& outcome,
                           time_point now) {
  order_effects out;
  if (id != 0 && id == group.wanted_call) {
    OnWanted(group, outcome);
  } else {
    AppendCalls(OnTableReply(group.lease, id, outcome, now), out);
  }
  Advance(group, now, out);
  return out;
}

order_effects OnEndpointState(order_group& group, std::string_view endpoint,
                              const endpoint_config& reported, time_point now) {
  order_effects out;
  const auto found = group.endpoints.find(endpoint);
  if (found != group.endpoints.end() && !found->second.open) found->second.reported = reported;
  Advance(group, now, out);
  return out;
}

order_effects OnCommandOutcome(order_group& group, const command& command, command_outcome outcome,
                               time_point now) {
  order_effects out;
  const auto found = group.endpoints.find(command.endpoint);
  if (found == group.endpoints.end()) return out;
  ordered_endpoint& endpoint = found->second;
  if (!endpoint.open || endpoint.open->id != command.id) return out;
  CloseCommand(group, endpoint, outcome, now);
  Advance(group, now, out);
  return out;
}

bool MaySend(const order_group& group, const command& command, time_point now) {
  return command.epoch == group.lease.row.epoch && MayAct(group.lease, now);
}

order_effects Release(order_group& group, time_point now) {
  order_effects out;
  AppendCalls(Release(group.lease, now), out);
  Advance(group, now, out);
  return out;
}

time_point NextDeadline(const order_group& group) {
  time_point next = NextDeadline(group.lease);
  if (!group.may_act) return next;
  next = std::min(next, group.next_read);
  for (const auto& [id, endpoint] : group.endpoints) {
    next = std::min(next, endpoint.open ? endpoint.open_deadline : endpoint.next_query);
  }
  return next;
}

}  // namespace balsambay::lease
