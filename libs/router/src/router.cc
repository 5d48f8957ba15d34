// Start, HTTP routes and shutdown of an entry daemon.
#include "router/router.h"

#include <fstream>
#include <sstream>

#include "details/caller_api.h"
#include "details/requests.h"

namespace balsambay::router {
namespace {

result<void> LoadConfigFile(router_state& state) {
  if (state.config.config_file.empty()) return Success();
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
  state.inventory = std::move(parsed.config);
  state.version = 1;
  return Success();
}

void HandleReady(const router_state& state, const net::exchange_ptr& exchange) {
  const bool ready = state.version != 0 && !state.unready;
  exchange->Respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
}

void Route(router_state& state, const net::exchange_ptr& exchange) {
  const std::string_view path = exchange->Path();
  if (path == "/healthz") return exchange->Respond(200, {}, "ok\n");
  if (path == "/readyz") return HandleReady(state, exchange);
  const bool caller_path = path == "/v1/chat/completions" || path.starts_with("/v1/services/");
  if (caller_path && exchange->Method() == "POST") return HandleCallerRequest(state, exchange);
  RespondProblem(state, exchange, {.reason = "not_found", .detail = "no such resource"});
}

std::string RenderRejection(router_state& state, net::rejection why,
                            std::vector<net::header>& headers) {
  const bool large = why == net::rejection::kTooLarge;
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
    BOOST_OUTCOME_TRYV(LoadConfigFile(state_));
    net::server_handlers handlers;
    handlers.on_request = [this](const net::exchange_ptr& exchange) { Route(state_, exchange); };
    handlers.on_reject = [this](net::rejection why, std::vector<net::header>& headers) {
      return RenderRejection(state_, why, headers);
    };
    BOOST_OUTCOME_TRY(server, net::ListenHttp(state_.config.listen,
                                              {.max_body_bytes = state_.config.max_body_bytes,
                                               .body_timeout = state_.config.body_timeout},
                                              state_.loop.timers(), std::move(handlers)));
    state_.server = std::move(server);
    return Success();
  }

  int Port() const override { return state_.server->Port(); }

  void Stop(std::function<void(int)> on_stopped) override {
    if (state_.unready) return ForceStop();
    state_.unready = true;
    state_.on_stopped = std::move(on_stopped);
    Subscribe(state_.loop.timers(), MonotonicNow() + state_.config.unready_delay,
              [this](time_point) {
                state_.draining = true;
                CheckStopped(state_);
              });
  }

 private:
  void ForceStop() {
    if (!state_.on_stopped) return;
    std::exchange(state_.on_stopped, nullptr)(static_cast<int>(state_.requests.size()));
  }

  router_state state_;
};

}  // namespace

result<std::unique_ptr<router>> Start(const settings& settings, net::loop& loop) {
  auto made = std::make_unique<router_impl>(settings, loop);
  BOOST_OUTCOME_TRYV(made->Start());
  return std::unique_ptr<router>(std::move(made));
}

}  // namespace balsambay::router
