// Implementation of the gateway interface: start, updates from the platform adapter, readiness and
// metrics servers, shutdown.
#include "gateway/gateway.h"

#include <sys/resource.h>

#include "details/calls.h"
#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"
#include "details/placer.h"
#include "details/stop_check.h"
#include "log/log.h"
#include "metrics/prometheus.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

// Part of the grace time that is reserved for the process to exit before the platform kills it.
constexpr duration kExitReserve = 300ms;
// Interval at which waiting requests are compared with the time left in a stop.
constexpr duration kWaitingCheckInterval = 100ms;
// Long, because idle connections of callers are left open for reuse; the callers close them.
constexpr duration kIdleTimeout = std::chrono::minutes(5);
// A caller whose network has failed for so long does not wait for its reply any more.
constexpr duration kWriteTimeout = std::chrono::seconds(15);
// Limit of a request body until there is a configuration, which states its own.
constexpr size_t kMaxBodyBytes = size_t{64} << 20;
// Limit of a request body of readiness checks and of calls for metrics, which have none.
constexpr size_t kMaxCheckBodyBytes = 65536;

// Shares of the sockets: for connections of callers, and for those to each of the other servers.
// The rest is for connections to endpoints, of which a waiting caller has none.
constexpr size_t CallerSockets(int max_sockets) {
  return std::max<size_t>(1, static_cast<size_t>(max_sockets) * 3 / 4);
}
constexpr size_t CheckSockets(int max_sockets) {
  return std::max<size_t>(8, static_cast<size_t>(max_sockets) / 32);
}

// Largest resident size of this process so far.
double PeakMemoryBytes() {
  constexpr double kBytesPerUnit = 1024;  // of ru_maxrss
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return kBytesPerUnit * static_cast<double>(usage.ru_maxrss);
}

class gateway_impl final : public gateway {
 public:
  gateway_impl(const settings& settings, wire wire, store_hooks store, net::loop& loop)
      : state_(settings, std::move(wire), std::move(store), loop) {
    ApplyBudgetSettings();
    for (freshness& feed_freshness : state_.feeds)
      feed_freshness.check_jitter = UniformUnit(state_.rng);
  }

  result<void> Listen() {
    net::server_limits limits{.max_body_bytes = kMaxBodyBytes,
                              .body_timeout = std::chrono::seconds(30),
                              .idle_timeout = kIdleTimeout,
                              .head_buffers = state_.head_buffers,
                              .max_connections = CallerSockets(state_.config.max_sockets),
                              .body_buffers = state_.request_buffers,
                              .reply_buffers = state_.reply_buffers,
                              .write_timeout = kWriteTimeout,
                              .single_fields = state_.wire.single_headers};
    net::server_handlers calls;
    calls.on_request = [this](const net::exchange_ptr& exchange) { AcceptCall(state_, exchange); };
    calls.on_reject = [this](net::rejection why, std::vector<net::header>& headers) {
      return RejectCall(state_, why, headers);
    };
    calls.on_cut = [this](net::cut_reason why, size_t bytes) { LogCutReply(state_, why, bytes); };
    const auto on_closed = [this](net::close_reason why, std::string_view field) {
      LogClosed(state_, why, field);
    };
    calls.on_closed = on_closed;
    BOOST_OUTCOME_TRY(server, net::ListenHttp(state_.config.listen, limits, state_.loop.Timers(),
                                              std::move(calls)));
    state_.server = std::move(server);
    limits.max_body_bytes = kMaxCheckBodyBytes;
    limits.head_buffers = state_.check_head_buffers;
    limits.max_connections = CheckSockets(state_.config.max_sockets);
    net::server_handlers ready;
    ready.on_request = [this](const net::exchange_ptr& exchange) { RespondReadiness(exchange); };
    ready.on_closed = on_closed;
    ready.on_reject = [](net::rejection, std::vector<net::header>&) { return std::string(); };
    BOOST_OUTCOME_TRY(ready_server, net::ListenHttp(state_.config.listen_ready, limits,
                                                    state_.loop.Timers(), std::move(ready)));
    state_.ready_server = std::move(ready_server);
    if (state_.config.listen_metrics.empty()) return Success();
    net::server_handlers metrics;
    metrics.on_request = [this](const net::exchange_ptr& exchange) { RespondMetrics(exchange); };
    metrics.on_closed = on_closed;
    metrics.on_reject = [](net::rejection, std::vector<net::header>&) { return std::string(); };
    auto metrics_server = net::ListenHttp(state_.config.listen_metrics, limits,
                                          state_.loop.Timers(), std::move(metrics));
    if (metrics_server.has_error()) {
      // The gateway serves requests even if another process occupies the metrics port.
      log::Log(
          log::level::kError, "metrics server could not listen; metrics are not served",
          {{"address", state_.config.listen_metrics}, {"detail", metrics_server.error().detail}});
      return Success();
    }
    state_.metrics_server = std::move(metrics_server).value();
    return Success();
  }

  result<void> Run() {
    BOOST_OUTCOME_TRYV(Listen());
    state_.started_at = MonotonicNow();
    HoldRepeats();
    BOOST_OUTCOME_TRYV(StartPeers(state_));
    StartMonitor(state_);
    StartPlacer(state_);
    StartContainment(state_);
    log::Log(log::level::kInfo, "gateway started",
             {{"id", state_.config.id}, {"zone", state_.config.zone}});
    return Success();
  }

  int Port() const override { return state_.server->Port(); }

  void OnConfiguration(catalog::document document) override {
    const uint64_t current_version =
        state_.configuration ? state_.configuration->content.version : 0;
    if (document.version <= current_version) return;
    state_.configuration =
        std::make_shared<const catalog::catalog>(catalog::Build(std::move(document)));
    LogConfiguration(current_version);
    const catalog::request_limits& limits = state_.configuration->content.limits;
    state_.server->SetMaxBodyBytes(limits.max_body_bytes);
    state_.server->SetHeaderLimits(limits.max_header_bytes, limits.header_timeout);
    ForgetOtherRoutes(state_);
    metrics::Set(state_.metrics.registry, state_.metrics.config_version,
                 static_cast<double>(state_.configuration->content.version));
  }

  void OnConfigurationFeedStatus(bool reachable) override {
    const bool was_reachable = std::exchange(state_.configuration_reachable, reachable);
    if (reachable && !was_reachable) state_.store_recovered_at = MonotonicNow();
  }

  void OnEndpoints(std::span<const listed_endpoint> endpoints) override {
    ReplaceEndpoints(state_, endpoints);
  }

  void OnEndpointFeedStatus(bool reachable) override {
    if (reachable) state_.list_recovered_at = MonotonicNow();
  }

  void OnFeedPosition(feed which, uint64_t changed, uint64_t complete,
                      const clock_sample& sample) override {
    RecordFeedPosition(state_, which, changed, complete, sample);
  }

  bool SharesChanges() const override { return balsambay::gateway::SharesChanges(state_); }

  void OnTableChange(feed which, const table_change& change, uint64_t as_of_ms) override {
    ShareChange(state_, which, change, as_of_ms);
  }

  void OnPeers(std::span<const peer_address> peers) override {
    state_.peers_known = true;
    ReplacePeers(state_, peers);
  }

  void OnQuarantine(std::span<const quarantine_record> records) override {
    ApplyQuarantineRecords(state_, records);
  }

  void OnStoreMoved() override {
    std::ranges::for_each(state_.feeds,
                          [](freshness& copy) { balsambay::gateway::OnStoreMoved(copy); });
    state_.store_clock = {};
    RestartLease(state_);
  }

  void OnSettings(const settings& settings) override {
    state_.config.retry_ratio = settings.retry_ratio;
    state_.config.retry_window = settings.retry_window;
    state_.config.retry_slack = settings.retry_slack;
    state_.config.stop_grace = settings.stop_grace;
    state_.config.engine_stall = settings.engine_stall;
    state_.config.feed_age_limit = settings.feed_age_limit;
    state_.config.change_propagation_limit = settings.change_propagation_limit;
    state_.config.memory_limit_bytes = settings.memory_limit_bytes;
    state_.request_buffers->limit_bytes = settings.memory_limit_bytes / kRequestMemoryDivisor;
    state_.reply_buffers->limit_bytes = settings.memory_limit_bytes / kReplyMemoryDivisor;
    net::SetLimit(*state_.head_buffers, settings.memory_limit_bytes / kHeaderMemoryDivisor);
    net::SetLimit(*state_.check_head_buffers,
                  settings.memory_limit_bytes / kCheckHeaderMemoryDivisor);
    state_.config.max_sockets = settings.max_sockets;
    state_.server->SetMaxConnections(CallerSockets(settings.max_sockets));
    state_.ready_server->SetMaxConnections(CheckSockets(settings.max_sockets));
    if (state_.metrics_server)
      state_.metrics_server->SetMaxConnections(CheckSockets(settings.max_sockets));
    ApplyBudgetSettings();
    AdaptFeeds(state_);
  }

  void Stop(std::function<void(int)> on_stopped) override {
    if (state_.unready) return;
    log::Log(log::level::kInfo, "gateway stopping", {{"open_requests", state_.calls.size()}});
    state_.unready = true;
    state_.on_stopped = std::move(on_stopped);
    const time_point now = MonotonicNow();
    StopPlacer(state_);
    timer_service& timers = state_.loop.Timers();
    Subscribe(timers, now + state_.config.unready_delay, [this](time_point) {
      state_.draining = true;
      RefuseUnreadRequests(state_);
      FinishStopIfIdle(state_);
    });
    state_.forced_end = now + state_.config.stop_grace - kExitReserve;
    RefuseWaitingPeriodically();
    Subscribe(timers, *state_.forced_end, [this](time_point) {
      state_.draining = true;
      const auto stop_callback = std::exchange(state_.on_stopped, nullptr);
      RefuseUnreadRequests(state_);
      const int ended_requests = AbortCalls(state_);
      if (!stop_callback) return;
      log::Log(log::level::kWarning, "stop grace time expired; open requests were ended",
               {{"cut_requests", ended_requests}});
      Subscribe(state_.loop.Timers(), MonotonicNow() + 100ms,
                [stop_callback, ended_requests](time_point) { stop_callback(ended_requests); });
    });
  }

 private:
  // `before`: the version that was in force before; 0: none.
  void LogConfiguration(uint64_t before) const {
    const catalog::document& content = state_.configuration->content;
    const catalog::key_summary keys = catalog::SummarizeKeys(*state_.configuration);
    log::Log(log::level::kInfo, "configuration applied",
             {{"version", content.version},
              {"before", before},
              {"routes", content.routes.size()},
              {"workspaces", content.workspaces ? content.workspaces->size() : 0},
              {"keys_required", keys.required},
              {"keys", keys.usable}});
    const bool nobody = keys.required && keys.usable == 0;
    if (!nobody && keys.unusable == 0 && keys.shared == 0) return;
    log::Log(log::level::kWarning,
             nobody ? "configuration without a usable key; requests that need one are refused"
                    : "configuration with keys that are unusable or of several workspaces",
             {{"version", content.version},
              {"keys", keys.usable},
              {"unusable", keys.unusable},
              {"shared", keys.shared}});
  }

  void RefuseWaitingPeriodically() {
    if (!state_.on_stopped) return;
    RefuseWaitingCalls(state_);
    Subscribe(state_.loop.Timers(), MonotonicNow() + kWaitingCheckInterval,
              [this](time_point) { RefuseWaitingPeriodically(); });
  }

  void ApplyBudgetSettings() {
    state_.budget.window = state_.config.retry_window;
    state_.budget.ratio = state_.config.retry_ratio;
    UpdateShare(state_);
  }

  // An earlier process of this gateway may have used its part of the retry budget until now.
  void HoldRepeats() {
    if (state_.config.bootstrap) return;
    state_.budget.held_until = state_.started_at + state_.config.retry_window;
    log::Log(log::level::kInfo, "retries held until the budget's window has passed",
             {{"ms", WholeMilliseconds(state_.config.retry_window)}});
  }

  void RespondReadiness(const net::exchange_ptr& exchange) {
    const bool ready = !state_.unready && state_.configuration && state_.endpoints_known;
    exchange->Respond(ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n");
  }

  void RespondMetrics(const net::exchange_ptr& exchange) {
    metrics::Set(state_.metrics.registry, state_.metrics.open_calls,
                 static_cast<double>(state_.calls.size()));
    metrics::Set(
        state_.metrics.registry, state_.metrics.buffer_bytes,
        static_cast<double>(state_.request_buffers->used_bytes + state_.reply_buffers->used_bytes));
    metrics::Set(state_.metrics.registry, state_.metrics.buffer_limit,
                 static_cast<double>(state_.request_buffers->limit_bytes +
                                     state_.reply_buffers->limit_bytes));
    metrics::Set(state_.metrics.registry, state_.metrics.header_bytes,
                 static_cast<double>(net::UsedBytes(*state_.head_buffers)));
    metrics::Set(state_.metrics.registry, state_.metrics.peak_memory_bytes, PeakMemoryBytes());
    const std::vector<net::header> headers = {{"Content-Type", std::string(metrics::kContentType)}};
    exchange->Respond(200, headers, metrics::PrometheusText(state_.metrics.registry));
  }

  gateway_state state_;
};

}  // namespace

result<std::unique_ptr<gateway>> Start(const settings& settings, wire wire, store_hooks store,
                                       net::loop& loop) {
  auto instance = std::make_unique<gateway_impl>(settings, std::move(wire), std::move(store), loop);
  BOOST_OUTCOME_TRYV(instance->Run());
  return std::unique_ptr<gateway>(std::move(instance));
}

}  // namespace balsambay::gateway
