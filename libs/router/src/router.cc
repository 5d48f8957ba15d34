// Startup, HTTP routing and shutdown of an entry daemon.
#include "router/router.h"

#include "details/admin_api.h"
#include "details/admission_driver.h"
#include "details/caller_api.h"
#include "details/config_driver.h"
#include "details/endpoint_monitor.h"
#include "details/ledger_driver.h"
#include "details/logging.h"
#include "details/membership_driver.h"
#include "details/peers.h"
#include "details/quarantine_driver.h"
#include "details/requests.h"

namespace balsambay::router {
namespace {

void HandleReady(const router_state& state, const net::exchange_ptr& exchange) {
  const bool ready = IsConfigReady(state) && !state.unready;
  exchange->Respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
}

void Route(router_state& state, const net::exchange_ptr& exchange) {
  const std::string_view path = exchange->Path();
  if (path == "/healthz") return exchange->Respond(200, {}, "ok\n");
  if (path == "/readyz") return HandleReady(state, exchange);
  if (path == "/metrics") return HandleMetrics(state, exchange);
  if (path.starts_with("/admin/v1/")) return HandleAdminRequest(state, exchange);
  const bool caller_path = path == "/v1/chat/completions" || path.starts_with("/v1/services/");
  if (caller_path && exchange->Method() == "POST") return HandleCallerRequest(state, exchange);
  RespondProblem(state, exchange, {.reason = "not_found", .detail = "no such resource"});
}

std::string RenderRejection(router_state& state, net::rejection reason,
                            std::vector<net::header>& headers) {
  const bool large = reason == net::rejection::kTooLarge;
  const problem error{.reason = large ? "too_large" : "slow_sender",
                      .detail = large ? "the body is larger than this entry VM accepts"
                                      : "the body did not arrive in time"};
  CountRefusal(state.metrics, error.reason);
  headers.push_back({"Content-Type", "application/problem+json"});
  headers.push_back({"Balsambay-Outcome", "not-run"});
  return ProblemBody(error);
}

class router_impl final : public router {
 public:
  router_impl(const settings& settings, net::loop& loop) : state_(settings, loop) {}

  result<void> Start() {
    BOOST_OUTCOME_TRYV(Listen());
    StartMembership(state_);
    BOOST_OUTCOME_TRYV(StartPeers(state_));
    BOOST_OUTCOME_TRYV(StartLedger(state_));
    BOOST_OUTCOME_TRYV(StartConfig(state_));
    StartMonitor(state_);
    StartQuarantine(state_);
    log::Log(
        log::level::kInfo, "entry daemon started",
        {{"id", state_.config.id}, {"zone", state_.config.zone}, {"port", state_.server->Port()}});
    return Success();
  }

  int Port() const override { return state_.server->Port(); }

  void Stop(std::function<void(int)> on_stopped) override {
    if (state_.unready) return ForceStop();
    log::Log(log::level::kInfo, "entry daemon stopping", {{"in_flight", state_.requests.size()}});
    state_.unready = true;
    state_.on_stopped = std::move(on_stopped);
    Subscribe(state_.loop.Timers(), MonotonicNow() + state_.config.unready_delay,
              [this](time_point) {
                state_.draining = true;
                LeaveZone(state_);
                CheckStopped(state_);
              });
  }

 private:
  result<void> Listen() {
    net::server_handlers handlers;
    handlers.on_request = [this](const net::exchange_ptr& exchange) { Route(state_, exchange); };
    handlers.on_reject = [this](net::rejection reason, std::vector<net::header>& headers) {
      return RenderRejection(state_, reason, headers);
    };
    handlers.on_closed = [this](net::close_reason why, std::string_view field) {
      log::Log(log::level::kInfo, "connection of a caller refused or closed",
               {{"reason", net::ToString(why)},
                {"field", field},
                {"header_bytes", net::UsedBytes(*state_.head_buffers)}});
      CountClosedConnection(state_.metrics, net::ToString(why));
    };
    const net::server_limits limits{
        .max_body_bytes = state_.config.max_body_bytes,
        .body_timeout = state_.config.body_timeout,
        .max_header_bytes = state_.config.max_header_bytes,
        .max_header_lines = state_.config.max_header_lines,
        .header_timeout = state_.config.header_timeout,
        .head_buffers = state_.head_buffers,
        .max_connections = state_.config.max_connections,
        .max_connections_per_address = state_.config.max_connections_per_address,
        .single_fields = SingleHeaders()};
    BOOST_OUTCOME_TRY(server, net::ListenHttp(state_.config.listen, limits, state_.loop.Timers(),
                                              std::move(handlers)));
    state_.server = std::move(server);
    return Success();
  }

  // Aborts the open requests and logs each of them.
  void ForceStop() {
    if (!state_.on_stopped) return;
    for (const auto& [id, request] : state_.requests) {
      log::Log(log::level::kWarning, "request aborted by a forced stop", {{"request", id}});
    }
    std::exchange(state_.on_stopped, nullptr)(static_cast<int>(state_.requests.size()));
  }

  router_state state_;
};

}  // namespace

result<std::unique_ptr<router>> Start(const settings& settings, net::loop& loop) {
  auto instance = std::make_unique<router_impl>(settings, loop);
  BOOST_OUTCOME_TRYV(instance->Start());
  return std::unique_ptr<router>(std::move(instance));
}

}  // namespace balsambay::router
