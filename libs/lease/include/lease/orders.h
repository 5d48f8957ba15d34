// Sends commands (orders) to the endpoints of one group: the holder of the group's lease brings
// each endpoint to its state in the row `wanted/GROUP`. A command carries the epoch of the lease as
// fencing token. For endpoints that do not check the token, a new holder waits until no command of
// an earlier holder can still be in transit. The README states which violations remain possible.
//
// The functions do no I/O: the caller carries out the returned effects. Not thread-safe.
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

// What an endpoint serves: the wanted or the reported state. Empty members of a wanted state are
// not enforced.
struct endpoint_config {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;  // the endpoint may have loaded others too
  std::string role;
  bool operator==(const endpoint_config&) const = default;
};

using wanted_state = std::map<std::string, endpoint_config, std::less<>>;  // by endpoint id

// JSON value of the row `wanted/GROUP`:
// {"endpoints":{"e1":{"model","version","adapters":[],"role"}}}. All members of an endpoint are
// optional. Errors of DecodeWanted: kInvalidArgument.
std::string EncodeWanted(const wanted_state& wanted);
result<wanted_state> DecodeWanted(std::string_view value);

enum class command_kind { kLoadModel, kLoadVersion, kLoadAdapter, kChangeRole };

// Idempotent: names the state to reach, not a change relative to the present one.
struct command {
  uint64_t id = 0;
  std::string endpoint;
  command_kind kind = command_kind::kLoadModel;
  std::string argument;
  uint64_t epoch = 0;  // fencing token
};

enum class command_outcome {
  kDone,
  kFailed,      // not executed: the endpoint reported a failure, or the command was dropped
  kStaleToken,  // the endpoint has seen a higher epoch
  kUnknown,     // no reply; the command may still arrive
};

// Requests the endpoint's present state; the caller reports it with OnEndpointState().
struct state_query {
  std::string endpoint;
};

using command_effect = std::variant<table_call, command, state_query>;
using command_effects = std::vector<command_effect>;

struct command_settings {
  std::string group;
  std::string self;  // unique for each start of a process
  timing lease;
  // Maximum time from the check in MaySend() to the arrival of a command, in addition to the pause
  // that the lease margin covers. The sender must drop a command that it cannot deliver in time.
  duration max_transit = std::chrono::seconds(2);
  duration command_timeout = std::chrono::seconds(30);
  duration poll_interval = std::chrono::seconds(1);  // of the wanted state and the endpoint states
};

struct endpoint_info {
  std::string id;
  bool checks_token = false;  // checks the fencing token; from the inventory
};

// State of one endpoint, as known to the present holder.
struct commanded_endpoint {
  bool checks_token = false;
  std::optional<endpoint_config> reported;  // after the last command; not set: not known
  std::optional<command> open_command;
  time_point command_deadline;
  time_point earliest_command;  // no command is sent before this time
  time_point next_query;
};

struct command_group {
  command_settings config;
  holder lease;
  uint64_t epoch = 0;    // of the lease at the last reset of `endpoints`; 0: not held
  bool may_act = false;  // MayAct() at the last call; other deadlines apply only while true
  std::map<std::string, commanded_endpoint, std::less<>> endpoints;
  std::optional<wanted_state> wanted;
  uint64_t wanted_read_call = 0;
  time_point
      next_wanted_read;  // when the open read times out; the next one is due if the call is 0
  uint64_t next_command = 1;
};

// Precondition: Validate(settings.lease) succeeds.
command_group MakeCommandGroup(const command_settings& settings, const faults& faults = {});

// Replaces the set of endpoints. The state of endpoints that remain is kept.
void SetEndpoints(command_group& group, std::span<const endpoint_info> endpoints, time_point now);

// Each of these functions returns the effects that the caller has to carry out. Call OnTick() at
// NextDeadline(). Outcomes of calls and commands that are no longer open are ignored.
command_effects OnTick(command_group& group, time_point now);
command_effects OnTableReply(command_group& group, uint64_t id, const table_outcome& outcome,
                             time_point now);
command_effects OnEndpointState(command_group& group, std::string_view endpoint,
                                const endpoint_config& reported, time_point now);
command_effects OnCommandOutcome(command_group& group, const command& command,
                                 command_outcome outcome, time_point now);

// Whether the command may still be sent. Call it right before the first byte of the command is
// written, with a clock read for this call. If false, drop the command and report kFailed.
[[nodiscard]] bool MaySend(const command_group& group, const command& command, time_point now);

// Stops gracefully: releases the lease, and sends no further commands.
command_effects Release(command_group& group, time_point now);

// When OnTick() has to be called next.
time_point NextDeadline(const command_group& group);

}  // namespace balsambay::lease
