// Registration of the gateway's metrics: their names, help texts and labels.
#include "details/telemetry.h"

#include <string>

#include "log/log.h"

namespace balsambay::gateway {
namespace {

void Count(telemetry& metrics, const char* name, const char* help, std::string_view reason) {
  metrics::Increment(metrics.registry, metrics::AddCounter(metrics.registry, name, help,
                                                           {{"reason", std::string(reason)}}));
}

}  // namespace

telemetry::telemetry()
    : accepted(metrics::AddCounter(registry, "gateway_requests_total", "Requests taken.")),
      completed(
          metrics::AddCounter(registry, "gateway_completed_total", "Answers passed on whole.")),
      truncated_replies(
          metrics::AddCounter(registry, "gateway_broken_off_total",
                              "Replies that were cut because they could not be completed.")),
      caller_disconnects(metrics::AddCounter(registry, "gateway_hung_up_total",
                                             "Requests whose caller closed the connection.")),
      on_lost_endpoints(metrics::AddCounter(registry, "gateway_on_lost_endpoints_total",
                                            "Requests that were on an endpoint when it was lost.")),
      quarantined_parts(metrics::AddCounter(registry, "gateway_quarantined_parts_total",
                                            "Prompt parts that crash endpoints.")),
      rerouted(metrics::AddCounter(registry, "gateway_rerouted_total",
                                   "Running requests that were moved to other engines.")),
      denied_attempts(
          metrics::AddCounter(registry, "gateway_attempts_denied_total",
                              "Requests that ended because a limit forbade another attempt.")),
      orders(metrics::AddCounter(registry, "gateway_orders_total", "Orders sent to engines.")),
      table_failures(metrics::AddCounter(registry, "gateway_table_failures_total",
                                         "Calls to the shared table without a usable reply.")),
      first_output_seconds(metrics::AddHistogram(registry, "gateway_first_output_seconds",
                                                 "Time to the first output.",
                                                 metrics::kLatencySeconds)),
      duration_seconds(metrics::AddHistogram(registry, "gateway_duration_seconds",
                                             "Time to the whole answer.",
                                             metrics::kLatencySeconds)),
      open_calls(metrics::AddGauge(registry, "gateway_open_requests", "Requests in progress.")),
      config_version(
          metrics::AddGauge(registry, "gateway_config_version", "Configuration in force.")),
      buffer_bytes(metrics::AddGauge(registry, "gateway_buffer_bytes",
                                     "Bytes held for requests and replies.")),
      buffer_limit(metrics::AddGauge(registry, "gateway_buffer_limit_bytes",
                                     "Limit of the bytes held for requests and replies.")),
      peak_memory_bytes(metrics::AddGauge(registry, "gateway_peak_memory_bytes",
                                          "Largest resident size of the process.")),
      header_bytes(metrics::AddGauge(registry, "gateway_header_bytes",
                                     "Bytes held for header sections of requests.")) {}

void CountRefusal(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_refusals_total", "Requests answered without an endpoint's answer.",
        reason);
}

void CountShed(telemetry& metrics, int priority, std::string_view reason) {
  metrics::Increment(metrics.registry, metrics::AddCounter(metrics.registry, "gateway_shed_total",
                                                           "Requests refused in favour of others.",
                                                           {{"priority", std::to_string(priority)},
                                                            {"reason", std::string(reason)}}));
}

void CountStopRefusal(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_stop_refusals_total", "Requests refused or ended because of a stop.",
        reason);
}

void CountCutReply(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_replies_cut_total", "Replies that callers had not taken in time.",
        reason);
}

void CountClosedConnection(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_connections_closed_total",
        "Connections of callers refused or closed without a request executing.", reason);
}

void CountReport(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_reports_total", "Reports asked of engines.", reason);
}

void CountFeedCheck(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_table_checks_total", "Shared tables asked for changes at once.", reason);
}

void CountUnusedChange(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_table_changes_unused_total",
        "Changes of shared tables from other gateways that could not be used.", reason);
}

void CountLargeReply(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_replies_too_large_total", "Replies with more bytes than can be held.",
        reason);
}

void RecordMalformedReply(telemetry& metrics, std::string_view address, std::string_view reason,
                          std::string_view detail) {
  log::Log(log::level::kWarning, "malformed reply",
           {{"address", address}, {"reason", reason}, {"detail", detail}});
  Count(metrics, "gateway_replies_malformed_total", "Replies that break the grammar of HTTP.",
        reason);
}

void CountRetry(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_retries_total", "Further attempts of requests.", reason);
}

void CountCancelledAttempt(telemetry& metrics, std::string_view reason) {
  Count(metrics, "gateway_attempts_ended_total", "Attempts that the gateway ended.", reason);
}

}  // namespace balsambay::gateway
