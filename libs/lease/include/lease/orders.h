// Commands ("orders") to the endpoints of one group: the holder of the group's lease brings each
// endpoint to the state in `wanted/GROUP`. A command carries the lease's epoch as fencing token.
// For endpoints that do not check the token, a new holder waits until no command of an older holder
// can still be in transit. What remains possible is stated in the README.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "lease/holder.h"

namespace balsambay::lease {

// What an endpoint serves, as wanted or as it reports. Empty members are not wanted.
struct endpoint_config {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  // further loaded adapters do no harm
  std::string role;
  bool operator==(const endpoint_config&) const = default;
};

using wanted_state = std::map<std::string, endpoint_config, std::less<>>;  // by endpoint id

// Row `wanted/GROUP`: {"endpoints":{"e1":{"model","version","adapters":[],"role"}}}; all members
// are optional.
std::string EncodeWanted(const wanted_state& wanted);
result<wanted_state> DecodeWanted(std::string_view value);

enum class command_kind { kLoadModel, kLoadVersion, kLoadAdapter, kChangeRole };

// Idempotent: says what to load or be, never what to change.
struct command {
  uint64_t id = 0;
  std::string endpoint;
  command_kind kind = command_kind::kLoadModel;
  std::string argument;
  uint64_t epoch = 0;  // fencing token
};

enum class command_outcome {
  kDone,
  kFailed,      // the endpoint answered that it did not do it
  kStaleToken,  // the endpoint has seen a higher epoch
  kUnknown,     // the command may still arrive
};

// Ask the endpoint for its present state and call OnEndpointState.
struct state_query {
  std::string endpoint;
};

using order_effect = std::variant<table_call, command, state_query>;
using order_effects = std::vector<order_effect>;

struct order_settings {
  std::string group;
  std::string self;  // unique for each start of a process
  timing lease;
  // Longest time between the check in MaySend and the arrival of a command, beyond the pause that
  // the lease margin covers. The sender must drop a command that it cannot hand over in time.
  duration max_transit = std::chrono::seconds(2);
  duration command_timeout = std::chrono::seconds(30);
  duration poll_interval = std::chrono::seconds(1);  // of wanted and endpoint state
};

struct endpoint_info {
  std::string id;
  bool checks_token = false;  // from the inventory
};

// One endpoint as the present holder knows it.
struct ordered_endpoint {
  bool checks_token = false;
  std::optional<endpoint_config> reported;  // since the last command
  std::optional<command> open;
  time_point open_deadline;
  time_point not_before;  // no command earlier
  time_point next_query;
};

struct order_group {
  order_settings config;
  holder lease;
  uint64_t epoch = 0;    // of the lease when `endpoints` was last reset; 0: not holding
  bool may_act = false;  // at the last call; deadlines of endpoints count only then
  std::map<std::string, ordered_endpoint, std::less<>> endpoints;
  std::optional<wanted_state> wanted;
  uint64_t wanted_call = 0;
  time_point next_read;  // the read times out, or is due when wanted_call is 0
  uint64_t next_command = 1;
};

// Precondition: Validate(settings.lease) succeeds.
order_group MakeOrderGroup(const order_settings& settings, const faults& faults = {});
void SetEndpoints(order_group& group, std::span<const endpoint_info> endpoints, time_point now);

order_effects OnTick(order_group& group, time_point now);
order_effects OnTableReply(order_group& group, uint64_t id, const table_outcome& outcome,
                           time_point now);
order_effects OnEndpointState(order_group& group, std::string_view endpoint,
                              const endpoint_config& reported, time_point now);
order_effects OnCommandOutcome(order_group& group, const command& command, command_outcome outcome,
                               time_point now);

// Call right before the first byte of the command is written, with a clock read for this call.
// After false, the command is dropped and reported with kFailed.
[[nodiscard]] bool MaySend(const order_group& group, const command& command, time_point now);

order_effects Release(order_group& group, time_point now);
time_point NextDeadline(const order_group& group);

}  // namespace balsambay::lease
