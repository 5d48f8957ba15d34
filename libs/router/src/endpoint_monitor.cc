// Feeds probe results, the VM list and other evidence to the health library and runs its timers.
#include "details/endpoint_monitor.h"

#include <algorithm>
#include <climits>
#include <nlohmann/json.hpp>

#include "base/json.h"
#include "details/logging.h"
#include "details/membership_driver.h"
#include "details/planning.h"
#include "details/quarantine_driver.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr duration kVmListInterval = std::chrono::seconds(1);
constexpr size_t kMaxVmListBytes = size_t{16} << 20;
constexpr duration kVmListTimeout = std::chrono::milliseconds(800);

std::string HealthGroupName(const inventory::endpoint& endpoint) {
  if (endpoint.kind == inventory::endpoint_kind::kService) return "service/" + endpoint.service;
  return endpoint.model + "/" + std::to_string(endpoint.layers.first) + "-" +
         std::to_string(endpoint.layers.end);
}

void ScheduleTick(router_state& state);

void ApplyHealthChanges(router_state& state, const std::vector<health::state_change>& changes) {
  HandleHealthChanges(state, changes);
  ScheduleTick(state);
}

// Both return 0 or an empty string for an absent member and nullopt for a member of another type.
std::optional<uint64_t> NumberOrZero(const json& body, const char* name,
                                     uint64_t max_value = UINT64_MAX) {
  return body.contains(name) ? WholeNumberIn(body, name, max_value) : uint64_t{0};
}

std::optional<std::string> TextOrEmpty(const json& body, const char* name) {
  return body.contains(name) ? TextIn(body, name) : std::string();
}

// Status that an endpoint reports in its reply to a probe.
struct endpoint_status {
  bool leaving = false;
  uint64_t incarnation = 0;
  int active = 0;  // active requests
  uint64_t started_ms = 0;
};

std::optional<endpoint_status> ReadStatus(std::string_view text) {
  const json body = ParseJson(text);
  if (!body.is_object()) return std::nullopt;
  const auto status = TextOrEmpty(body, "state");
  const auto incarnation = NumberOrZero(body, "incarnation");
  const auto active = NumberOrZero(body, "active", INT_MAX);
  const auto started = NumberOrZero(body, "started_ms");
  if (!status || !incarnation || !active || !started) return std::nullopt;
  return endpoint_status{*status == "leaving", *incarnation, static_cast<int>(*active), *started};
}

void OnProbeReply(router_state& state, const std::string& endpoint, const net::whole_reply& reply) {
  const bool usable = reply.end.failure == net::call_failure::kNone && reply.status == 200;
  const auto status = usable ? ReadStatus(reply.body) : std::nullopt;
  health::evidence evidence{.endpoint = endpoint,
                            .kind = health::evidence_kind::kProbeFailed,
                            .incarnation = std::nullopt,
                            .latency = duration::zero()};
  if (status) {
    evidence.kind =
        status->leaving ? health::evidence_kind::kReportedLeaving : health::evidence_kind::kProbeOk;
    evidence.incarnation = status->incarnation;
    state.reported_load[endpoint] = {status->active, MonotonicNow()};
    RecordReportedLoad(state, endpoint, status->active);
    OnEndpointAlive(state, endpoint, status->started_ms);
  } else if (reply.end.failure == net::call_failure::kConnect) {
    evidence.kind = health::evidence_kind::kConnectionRefused;
    OnEndpointRefused(state, endpoint);
  }
  const auto changes = health::OnEvidence(state.health, evidence, MonotonicNow(), state.rng);
  ApplyHealthChanges(state, changes);
  if (evidence.kind != health::evidence_kind::kConnectionRefused) return;
  // A refused connection also counts as a failed probe.
  evidence.kind = health::evidence_kind::kProbeFailed;
  ApplyHealthChanges(state, health::OnEvidence(state.health, evidence, MonotonicNow(), state.rng));
}

void Probe(router_state& state, const std::string& endpoint) {
  const auto it = state.inventory.endpoints.find(endpoint);
  if (it == state.inventory.endpoints.end()) return;
  net::client_request call;
  call.method = "GET";
  call.url = "http://" + it->second.address + "/v1/status";
  call.header_timeout = state.health.config.probe_timeout;
  net::Fetch(
      *state.client, std::move(call),
      [&state, endpoint](const net::whole_reply& reply) { OnProbeReply(state, endpoint, reply); },
      {.body_bytes = kMaxStatusBytes});
}

void RunTick(router_state& state) {
  const health::tick_result tick = health::Tick(state.health, MonotonicNow(), state.rng);
  std::ranges::for_each(tick.probes, [&](const std::string& endpoint) { Probe(state, endpoint); });
  ApplyHealthChanges(state, tick.changes);
}

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.health_timer);
  const time_point deadline = health::NextDeadline(state.health);
  if (deadline == kNever) return;
  state.health_timer =
      Subscribe(state.loop.Timers(), deadline, [&state](time_point) { RunTick(state); });
}

std::optional<health::vm_entry> ReadVm(const json& entry) {
  if (!entry.is_object()) return std::nullopt;
  const auto vm = TextIn(entry, "vm");
  const auto incarnation = NumberOrZero(entry, "incarnation");
  const auto status = TextOrEmpty(entry, "state");
  if (!vm || !incarnation || !status) return std::nullopt;
  return health::vm_entry{*vm, *incarnation, *status == "leaving"};
}

// Skips malformed entries.
std::vector<health::vm_entry> ParseVmList(std::string_view text) {
  std::vector<health::vm_entry> vms;
  const json body = ParseJson(text);
  if (!body.is_object() || !body.contains("vms") || !body.at("vms").is_array()) return vms;
  const json& entries = body.at("vms");
  for (size_t i = 0; i < entries.size(); ++i) {
    if (auto entry = ReadVm(entries[i])) {
      vms.push_back(std::move(*entry));
    } else {
      log::Log(log::level::kWarning, "malformed entry of the VM list is ignored",
               {{"position", i}});
    }
  }
  return vms;
}

void PollVmList(router_state& state) {
  Subscribe(state.loop.Timers(), MonotonicNow() + Jitter(state.rng, kVmListInterval, 0.1),
            [&state](time_point) { PollVmList(state); });
  net::client_request call;
  call.method = "GET";
  call.url = "http://" + state.config.platform + "/v1/vms";
  call.header_timeout = kVmListTimeout;
  net::Fetch(*state.client, std::move(call),
             [&state](const net::whole_reply& reply) {
               if (reply.end.failure != net::call_failure::kNone || reply.status != 200) return;
               const auto list = ParseVmList(reply.body);
               // An empty list indicates a fault of the platform, not the loss of all VMs.
               if (list.empty()) return;
               ApplyHealthChanges(state, health::OnVmList(state.health, list, MonotonicNow()));
             },
             {.body_bytes = kMaxVmListBytes});
}

}  // namespace

void StartMonitor(router_state& state) {
  if (!state.config.platform.empty()) PollVmList(state);
}

void MonitorConfiguration(router_state& state) {
  std::vector<health::endpoint_spec> endpoints;
  for (const auto& [id, endpoint] : state.inventory.endpoints) {
    endpoints.push_back({id, endpoint.vm, HealthGroupName(endpoint)});
  }
  ApplyHealthChanges(state, health::SetEndpoints(state.health, endpoints, MonotonicNow()));
}

void ReportEvidence(router_state& state, std::string_view endpoint, health::evidence_kind kind,
                    duration latency) {
  const health::evidence evidence{
      .endpoint = endpoint, .kind = kind, .incarnation = std::nullopt, .latency = latency};
  ApplyHealthChanges(state, health::OnEvidence(state.health, evidence, MonotonicNow(), state.rng));
}

void ReportPeerEvidence(router_state& state, const health::peer_evidence& evidence) {
  ApplyHealthChanges(state,
                     health::OnPeerEvidence(state.health, evidence, MonotonicNow(), state.rng));
}

bool IsUsable(const router_state& state, std::string_view endpoint) {
  const auto it = state.inventory.endpoints.find(endpoint);
  if (it == state.inventory.endpoints.end() || it->second.drained) return false;
  return health::GetEndpointHealth(state.health, endpoint, MonotonicNow()).usable;
}

void HandleHealthChanges(router_state& state, std::span<const health::state_change> changes) {
  if (changes.empty()) return;
  for (const health::state_change& change : changes) {
    log::Log(log::level::kInfo, "endpoint health changed",
             {{"endpoint", change.endpoint},
              {"state", health::ToString(change.new_state)},
              {"usable", change.usable},
              {"cause", health::ToString(change.cause)}});
    if (const auto evidence = health::ToPeerEvidence(change)) PublishHealth(state, *evidence);
  }
  InvalidatePlans(state);
}

}  // namespace balsambay::router
