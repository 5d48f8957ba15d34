// Admin API resources: config, status, endpoints, plan, drain and explain.
#include "details/admin_api.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "details/config_driver.h"
#include "details/endpoint_monitor.h"
#include "details/planning.h"
#include "details/replies.h"
#include "metrics/prometheus.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

void RespondError(const net::exchange_ptr& exchange, int status, const std::string& message) {
  RespondJson(exchange, status, {{"errors", json::array({{{"path", ""}, {"message", message}}})}});
}

bool IsAuthorized(const router_state& state, const net::exchange_ptr& exchange) {
  if (state.config.admin_token.empty()) return false;
  return ConstantTimeEqual(exchange->Header("Authorization"), "Bearer " + state.config.admin_token);
}

std::string_view StateName(const router_state& state) {
  if (state.draining) return "draining";
  if (state.unready) return "stopping";
  return state.config_version == 0 ? "starting" : "serving";
}

void HandleStatus(router_state& state, const net::exchange_ptr& exchange) {
  json members = json::array();
  for (const std::string& id : state.live_daemons) {
    members.push_back({{"id", id},
                       {"state", "live"},
                       {"version", id == state.instance_id ? state.config_version : 0}});
  }
  json shards = json::array();
  if (state.shards) shards = ledger::ServedShards(*state.shards);
  RespondJson(exchange, 200,
              {{"id", state.config.id},
               {"zone", state.config.zone},
               {"version", state.config_version},
               {"age_ms", ConfigAgeMs(state)},
               {"ready", IsConfigReady(state) && !state.unready},
               {"state", StateName(state)},
               {"members", members},
               {"shards", shards},
               {"in_flight", state.requests.size()}});
}

void HandleEndpoints(router_state& state, const net::exchange_ptr& exchange) {
  json endpoints = json::array();
  for (const auto& [id, endpoint] : state.inventory.endpoints) {
    const auto endpoint_health = health::GetEndpointHealth(state.health, id, MonotonicNow());
    const auto load = state.reported_load.find(id);
    const auto in_flight = state.in_flight.find(id);
    endpoints.push_back(
        {{"id", id},
         {"state", health::ToString(endpoint_health.state)},
         {"usable", IsUsable(state, id)},
         {"in_flight", in_flight == state.in_flight.end() ? 0 : in_flight->second},
         {"reported_load", load == state.reported_load.end() ? 0 : load->second.active},
         {"zone", endpoint.zone}});
  }
  RespondJson(exchange, 200, {{"endpoints", endpoints}});
}

json DescribeRoute(const std::vector<net::run_stage>& route) {
  json stages = json::array();
  for (const net::run_stage& stage : route) {
    stages.push_back(
        {{"endpoint", stage.endpoint}, {"first", stage.first_layer}, {"end", stage.end_layer}});
  }
  return stages;
}

void HandleExplain(router_state& state, const net::exchange_ptr& exchange, const json& body) {
  caller_request request;
  request.workspace = body.value("workspace", "");
  request.model = body.value("model", "");
  request.service = body.value("service", "");
  request.prompt = body.value("prompt", "");
  json reasons = json::array();
  const bool non_repeatable = inventory::IsNonRepeatable(state.inventory, request.workspace,
                                                         request.model, request.service);
  reasons.push_back(non_repeatable ? "the rules forbid repeating this request"
                                   : "the request may be repeated on another route");
  json route = json::array();
  if (!request.service.empty()) {
    const auto* chosen = ChooseServiceEndpoint(state, request);
    if (chosen != nullptr) route.push_back({{"endpoint", chosen->id}, {"first", 0}, {"end", 0}});
  } else if (state.inventory.models.contains(request.model)) {
    route = DescribeRoute(ChooseRoute(state, request));
    if (route.empty()) reasons.push_back(DescribeUncovered(state, request.model));
  } else {
    return RespondError(exchange, 404, "model \"" + request.model + "\" does not exist");
  }
  RespondJson(exchange, 200, {{"route", route}, {"reasons", reasons}});
}

void HandlePlan(router_state& state, const net::exchange_ptr& exchange) {
  constexpr std::string_view kPrefix = "model=";
  std::string model(exchange->Query());
  if (model.starts_with(kPrefix)) model.erase(0, kPrefix.size());
  if (model.empty() && !state.inventory.models.empty())
    model = state.inventory.models.begin()->first;
  const auto plan = DescribePlan(state, model);
  if (plan.is_null()) return RespondError(exchange, 404, "model \"" + model + "\" does not exist");
  RespondJson(exchange, 200, plan);
}

void HandleGetConfig(router_state& state, const net::exchange_ptr& exchange) {
  RespondJson(exchange, 200,
              {{"version", state.config_version},
               {"age_ms", ConfigAgeMs(state)},
               {"document", ConfigDocument(state)}});
}

void HandlePostConfig(router_state& state, const net::exchange_ptr& exchange, const json& body) {
  if (!body.contains("document"))
    return RespondError(exchange, 422, "member \"document\" is missing");
  SubmitConfig(state, exchange, body.value("base_version", uint64_t{0}), body.at("document"));
}

// Draining an endpoint is a configuration change, so that it applies to all daemons and
// persists.
void HandleDrain(router_state& state, const net::exchange_ptr& exchange, const json& body) {
  const std::string endpoint = body.value("endpoint", "");
  json document = ConfigDocument(state);
  if (!state.inventory.endpoints.contains(endpoint)) {
    return RespondError(exchange, 404, "endpoint \"" + endpoint + "\" does not exist");
  }
  document["endpoints"][endpoint]["drained"] = body.value("drain", true);
  SubmitConfig(state, exchange, state.config_version, document);
}

void HandlePost(router_state& state, const net::exchange_ptr& exchange, std::string_view resource) {
  const json body = json::parse(exchange->Body(), nullptr, false);
  if (!body.is_object()) return RespondError(exchange, 422, "the body is not a JSON object");
  if (resource == "config") return HandlePostConfig(state, exchange, body);
  if (resource == "drain") return HandleDrain(state, exchange, body);
  if (resource == "explain") return HandleExplain(state, exchange, body);
  RespondError(exchange, 404, "no such resource");
}

void HandleGet(router_state& state, const net::exchange_ptr& exchange, std::string_view resource) {
  if (resource == "status") return HandleStatus(state, exchange);
  if (resource == "config") return HandleGetConfig(state, exchange);
  if (resource == "endpoints") return HandleEndpoints(state, exchange);
  if (resource == "plan") return HandlePlan(state, exchange);
  RespondError(exchange, 404, "no such resource");
}

}  // namespace

void HandleAdminRequest(router_state& state, const net::exchange_ptr& exchange) {
  if (!IsAuthorized(state, exchange))
    return RespondError(exchange, 401, "the admin token is missing or wrong");
  const std::string_view resource = exchange->Path().substr(std::string_view("/admin/v1/").size());
  try {
    if (exchange->Method() == "POST") return HandlePost(state, exchange, resource);
    HandleGet(state, exchange, resource);
  } catch (const json::exception& failure) {
    RespondError(exchange, 422, failure.what());
  }
}

void HandleMetrics(router_state& state, const net::exchange_ptr& exchange) {
  metrics::registry& registry = state.metrics.registry;
  metrics::Set(registry, state.metrics.in_flight, static_cast<double>(state.requests.size()));
  metrics::Set(registry, state.metrics.config_version, static_cast<double>(state.config_version));
  metrics::Set(registry, state.metrics.header_bytes,
               static_cast<double>(net::UsedBytes(*state.head_buffers)));
  metrics::Set(registry, state.metrics.buffer_bytes,
               static_cast<double>(state.buffers->used_bytes));
  metrics::Set(registry, state.metrics.buffer_limit,
               static_cast<double>(state.buffers->limit_bytes));
  const net::header type{"Content-Type", std::string(metrics::kContentType)};
  exchange->Respond(200, {&type, 1}, metrics::PrometheusText(registry));
}

}  // namespace balsambay::router
