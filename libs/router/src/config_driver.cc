// Configuration in one table row, polled by each daemon. Replaced by the configsync library.
#include "details/config_driver.h"

#include <fstream>
#include <sstream>

#include "details/admission_driver.h"
#include "details/endpoint_monitor.h"
#include "details/logging.h"
#include "details/planning.h"
#include "details/table_client.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

constexpr const char* kRow = "config/provisional";
constexpr duration kPollInterval = std::chrono::milliseconds(300);

void PutInForce(router_state& state, uint64_t version, json document,
                inventory::configuration config) {
  state.version = version;
  state.document = std::move(document);
  state.inventory = std::move(config);
  metrics::Increment(state.metrics.registry, state.metrics.config_applied);
  log::Log(log::level::kInfo, "configuration in force", {{"version", version}});
  ConfigureAdmission(state);
  MonitorConfiguration(state);
  ConfigurePlans(state);
}

void Poll(router_state& state) {
  Subscribe(state.loop.timers(), MonotonicNow() + kPollInterval,
            [&state](time_point) { Poll(state); });
  SendTableCall(state, {0, table::read_request{{kRow}, ""}},
                [&state](const lease::table_outcome& outcome) {
                  const auto* reply = std::get_if<table::read_reply>(&outcome);
                  if (reply == nullptr || reply->rows.empty()) return;
                  json row = json::parse(reply->rows[0].value, nullptr, false);
                  const uint64_t version = row.at("version");
                  if (version <= state.version) return;
                  state.config_row_version = reply->rows[0].version;
                  auto parsed = inventory::Parse(row.at("document"));
                  if (parsed.errors.empty())
                    PutInForce(state, version, row.at("document"), std::move(parsed.config));
                });
}

void Respond(const net::exchange_ptr& exchange, int status, const json& body) {
  exchange->Respond(status, {}, body.dump());
}

}  // namespace

result<void> StartConfig(router_state& state) {
  if (state.config.config_file.empty()) {
    Poll(state);
    return Success();
  }
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
  PutInForce(state, 1, json::parse(text.str()), std::move(parsed.config));
  return Success();
}

void HandleConfigMessage(router_state&, std::string_view, const json&) {}
void GreetPeer(router_state&, std::string_view) {}

void SubmitConfig(router_state& state, const net::exchange_ptr& exchange, uint64_t base_version,
                  const json& document) {
  auto parsed = inventory::Parse(document);
  if (!parsed.errors.empty()) {
    json errors = json::array();
    for (const auto& error : parsed.errors)
      errors.push_back({{"path", error.path}, {"message", error.message}});
    return Respond(exchange, 422, {{"errors", errors}});
  }
  if (base_version != state.version) return Respond(exchange, 409, {{"version", state.version}});
  const json row = {{"version", base_version + 1}, {"document", document}};
  const table::transaction tx{{{kRow, state.config_row_version}}, {{kRow, row.dump()}}};
  SendTableCall(state, {0, tx},
                [&state, exchange, base_version](const lease::table_outcome& outcome) {
                  const auto* reply = std::get_if<table::commit_reply>(&outcome);
                  if (reply == nullptr) return Respond(exchange, 504, json::object());
                  if (!reply->committed)
                    return Respond(exchange, 409, {{"version", state.version}});
                  Respond(exchange, 200, {{"version", base_version + 1}});
                });
}

json ConfigDocument(const router_state& state) { return state.document; }
int64_t ConfigAgeMs(const router_state& state) { return state.version == 0 ? -1 : 0; }

}  // namespace balsambay::router
