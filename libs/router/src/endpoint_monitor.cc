// Drives the health library.
#include "details/endpoint_monitor.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "details/logging.h"
#include "details/membership_driver.h"
#include "details/planning.h"
#include "details/quarantine_driver.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr duration kVmListInterval = std::chrono::seconds(1);
constexpr duration kVmListTimeout = std::chrono::milliseconds(800);

std::string GroupOf(const inventory::endpoint& endpoint) {
  if (endpoint.kind == inventory::endpoint_kind::kService) return "service/" + endpoint.service;
  return endpoint.model + "/" + std::to_string(endpoint.layers.first) + "-" +
         std::to_string(endpoint.layers.end);
}

void ScheduleTick(router_state& state);

void Apply(router_state& state, const std::vector<health::change>& changes) {
  HandleHealthChanges(state, changes);
  ScheduleTick(state);
}

void OnProbeReply(router_state& state, const std::string& endpoint, const net::whole_reply& reply) {
  const json body = json::parse(reply.body, nullptr, false);
  const bool valid = reply.status == 200 && body.is_object();
  const bool leaving = valid && body.value("state", "") == "leaving";
  health::evidence seen{.endpoint = endpoint,
                        .kind = health::evidence_kind::kProbeFailed,
                        .incarnation = std::nullopt,
                        .latency = duration::zero()};
  if (valid) {
    seen.kind = leaving ? health::evidence_kind::kReportedLeaving : health::evidence_kind::kProbeOk;
    seen.incarnation = body.value("incarnation", uint64_t{0});
    const int active = body.value("active", 0);
    state.reported_load[endpoint] = {active, MonotonicNow()};
    NoteReportedLoad(state, endpoint, active);
    OnEndpointAlive(state, endpoint, body.value("started_ms", uint64_t{0}));
  } else if (reply.end.failure == net::call_failure::kConnect) {
    seen.kind = health::evidence_kind::kConnectRefused;
    OnEndpointRefused(state, endpoint);
  }
  const auto changes = health::OnEvidence(state.health, seen, MonotonicNow(), state.rng);
  Apply(state, changes);
  if (seen.kind != health::evidence_kind::kConnectRefused) return;
  // A refused connection is a failed probe as well.
  seen.kind = health::evidence_kind::kProbeFailed;
  Apply(state, health::OnEvidence(state.health, seen, MonotonicNow(), state.rng));
}

void Probe(router_state& state, const std::string& endpoint) {
  const auto it = state.inventory.endpoints.find(endpoint);
  if (it == state.inventory.endpoints.end()) return;
  net::client_request call;
  call.method = "GET";
  call.url = "http://" + it->second.address + "/v1/status";
  call.header_timeout = state.health.config.probe_timeout;
  net::Fetch(*state.client, std::move(call), [&state, endpoint](const net::whole_reply& reply) {
    OnProbeReply(state, endpoint, reply);
  });
}

void RunTick(router_state& state) {
  const health::tick_result due = health::Tick(state.health, MonotonicNow(), state.rng);
  std::ranges::for_each(due.probes, [&](const std::string& endpoint) { Probe(state, endpoint); });
  Apply(state, due.changes);
}

void ScheduleTick(router_state& state) {
  Cancel(state.loop.Timers(), state.health_timer);
  const time_point deadline = health::NextDeadline(state.health);
  if (deadline == kNever) return;
  state.health_timer =
      Subscribe(state.loop.Timers(), deadline, [&state](time_point) { RunTick(state); });
}

std::vector<health::vm_entry> ParseVmList(const json& body) {
  std::vector<health::vm_entry> out;
  if (!body.is_object() || !body.contains("vms") || !body.at("vms").is_array()) return out;
  for (const json& entry : body.at("vms")) {
    if (!entry.is_object() || !entry.contains("vm") || !entry.at("vm").is_string()) continue;
    out.push_back({entry.at("vm").get<std::string>(), entry.value("incarnation", uint64_t{0}),
                   entry.value("state", "live") == "leaving"});
  }
  return out;
}

void PollVmList(router_state& state) {
  Subscribe(state.loop.Timers(), MonotonicNow() + Jitter(state.rng, kVmListInterval, 0.1),
            [&state](time_point) { PollVmList(state); });
  net::client_request call;
  call.method = "GET";
  call.url = "http://" + state.config.platform + "/v1/vms";
  call.header_timeout = kVmListTimeout;
  net::Fetch(*state.client, std::move(call), [&state](const net::whole_reply& reply) {
    if (reply.status != 200) return;
    const auto list = ParseVmList(json::parse(reply.body, nullptr, false));
    // An empty list says more about the platform than about the VMs.
    if (list.empty()) return;
    Apply(state, health::OnVmList(state.health, list, MonotonicNow()));
  });
}

}  // namespace

void StartMonitor(router_state& state) {
  if (!state.config.platform.empty()) PollVmList(state);
}

void MonitorConfiguration(router_state& state) {
  std::vector<health::endpoint_spec> specs;
  for (const auto& [id, endpoint] : state.inventory.endpoints) {
    specs.push_back({id, endpoint.vm, GroupOf(endpoint)});
  }
  Apply(state, health::SetEndpoints(state.health, specs, MonotonicNow()));
}

void ReportEvidence(router_state& state, std::string_view endpoint, health::evidence_kind kind,
                    duration latency) {
  const health::evidence seen{
      .endpoint = endpoint, .kind = kind, .incarnation = std::nullopt, .latency = latency};
  Apply(state, health::OnEvidence(state.health, seen, MonotonicNow(), state.rng));
}

void ReportPeerEvidence(router_state& state, const health::peer_evidence& evidence) {
  Apply(state, health::OnPeerEvidence(state.health, evidence, MonotonicNow(), state.rng));
}

bool IsUsable(const router_state& state, std::string_view endpoint) {
  const auto it = state.inventory.endpoints.find(endpoint);
  if (it == state.inventory.endpoints.end() || it->second.drained) return false;
  return health::View(state.health, endpoint, MonotonicNow()).usable;
}

void HandleHealthChanges(router_state& state, std::span<const health::change> changes) {
  if (changes.empty()) return;
  for (const health::change& change : changes) {
    log::Log(log::level::kInfo, "endpoint changed",
             {{"endpoint", change.endpoint},
              {"state", health::ToString(change.to)},
              {"usable", change.usable},
              {"cause", health::ToString(change.cause)}});
    if (const auto evidence = health::ToPeerEvidence(change)) PublishHealth(state, *evidence);
  }
  InvalidatePlans(state);
}

}  // namespace balsambay::router
