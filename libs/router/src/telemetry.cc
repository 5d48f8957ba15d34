// Registers all time series at start, so that each reason is exported with value 0.
#include "details/telemetry.h"

#include <algorithm>
#include <array>

#include "admission/reason.h"
#include "log/log.h"

namespace balsambay::router {
namespace {

constexpr std::string_view kRefusalHelp = "Requests refused or given up, by reason.";
constexpr std::string_view kRetryHelp = "Attempts repeated, by reason.";
constexpr std::string_view kKeptHelp =
    "Times that a silent attempt was kept without a successor, by reason.";

// Reasons that HandleSilentAttempt() counts; the last three come from the retry decision.
constexpr std::array<std::string_view, 6> kKeptAttemptReasons = {
    "may_not_repeat", "suspected", "no_other_route", "endpoint_failed", "deadline", "retry_budget"};

metrics::counter_id AddReason(metrics::registry& registry, std::string_view name,
                              std::string_view help, std::string_view reason) {
  return metrics::AddCounter(registry, name, help, {{"reason", std::string(reason)}});
}

}  // namespace

telemetry::telemetry()
    : accepted(
          metrics::AddCounter(registry, "balsambay_requests_accepted_total", "Requests accepted.")),
      completed(metrics::AddCounter(registry, "balsambay_requests_completed_total",
                                    "Requests answered in full.")),
      cancelled(metrics::AddCounter(registry, "balsambay_requests_cancelled_total",
                                    "Requests whose caller hung up.")),
      tokens(
          metrics::AddCounter(registry, "balsambay_tokens_total", "Tokens delivered to callers.")),
      stale_messages(
          metrics::AddCounter(registry, "balsambay_stale_messages_total",
                              "Tokens and end marks of attempts that were no longer current.")),
      peer_errors(metrics::AddCounter(registry, "balsambay_peer_message_errors_total",
                                      "Messages of peers that could not be read.")),
      config_applied(metrics::AddCounter(registry, "balsambay_config_applied_total",
                                         "Configuration versions put in force.")),
      in_flight(metrics::AddGauge(registry, "balsambay_requests_in_flight",
                                  "Requests without a final answer.")),
      config_version(metrics::AddGauge(registry, "balsambay_config_version",
                                       "Configuration version in force.")),
      throughput_bound(metrics::AddGauge(registry, "balsambay_throughput_bound_tokens_per_second",
                                         "Throughput bound of the planned models.")),
      buffer_bytes(metrics::AddGauge(registry, "balsambay_buffer_bytes",
                                     "Bytes held for requests and their answers.")),
      buffer_limit(metrics::AddGauge(registry, "balsambay_buffer_limit_bytes",
                                     "Limit of the bytes held for requests and their answers.")),
      header_bytes(metrics::AddGauge(registry, "balsambay_header_bytes",
                                     "Bytes held for header sections of requests.")),
      first_token(metrics::AddHistogram(registry, "balsambay_first_token_seconds",
                                        "Time from acceptance to the first token.",
                                        metrics::kLatencySeconds)),
      duration_seconds(metrics::AddHistogram(registry, "balsambay_request_seconds",
                                             "Time from acceptance to the end of the answer.",
                                             metrics::kLatencySeconds)),
      claim(metrics::AddHistogram(registry, "balsambay_claim_seconds",
                                  "Time to the durable start record of a non-repeatable request.",
                                  metrics::kLatencySeconds)) {
  for (size_t i = 0; i < admission::kRefusalReasonCount; ++i) {
    const auto reason = admission::ToString(static_cast<admission::refusal_reason>(i));
    refusals[std::string(reason)] =
        AddReason(registry, "balsambay_refusals_total", kRefusalHelp, reason);
  }
  for (size_t i = 0; i < admission::kRetryReasonCount; ++i) {
    const auto reason = admission::ToString(static_cast<admission::retry_reason>(i));
    retries[std::string(reason)] =
        AddReason(registry, "balsambay_retries_total", kRetryHelp, reason);
  }
  for (const std::string_view reason : kKeptAttemptReasons) {
    kept_attempts[std::string(reason)] =
        AddReason(registry, "balsambay_silent_attempts_kept_total", kKeptHelp, reason);
  }
}

void CountRefusal(telemetry& metrics_set, std::string_view reason) {
  auto it = metrics_set.refusals.find(reason);
  if (it == metrics_set.refusals.end()) {
    const auto id =
        AddReason(metrics_set.registry, "balsambay_refusals_total", kRefusalHelp, reason);
    it = metrics_set.refusals.emplace(reason, id).first;
  }
  metrics::Increment(metrics_set.registry, it->second);
}

void CountClosedConnection(telemetry& metrics_set, std::string_view reason) {
  auto it = metrics_set.closed_connections.find(reason);
  if (it == metrics_set.closed_connections.end()) {
    const auto id =
        AddReason(metrics_set.registry, "balsambay_connections_closed_total",
                  "Connections of callers refused or closed without a request executing.", reason);
    it = metrics_set.closed_connections.emplace(reason, id).first;
  }
  metrics::Increment(metrics_set.registry, it->second);
}

void RecordMalformedReply(telemetry& metrics_set, std::string_view address, std::string_view reason,
                          std::string_view detail) {
  log::Log(log::level::kWarning, "malformed reply",
           {{"address", address}, {"reason", reason}, {"detail", detail}});
  auto it = metrics_set.malformed_replies.find(reason);
  if (it == metrics_set.malformed_replies.end()) {
    const auto id = AddReason(metrics_set.registry, "balsambay_replies_malformed_total",
                              "Replies that break the grammar of HTTP.", reason);
    it = metrics_set.malformed_replies.emplace(reason, id).first;
  }
  metrics::Increment(metrics_set.registry, it->second);
}

void CountRetry(telemetry& metrics_set, std::string_view reason) {
  const auto it = metrics_set.retries.find(reason);
  if (it != metrics_set.retries.end()) metrics::Increment(metrics_set.registry, it->second);
}

void CountKeptAttempt(telemetry& metrics_set, std::string_view reason) {
  const auto it = metrics_set.kept_attempts.find(reason);
  if (it != metrics_set.kept_attempts.end()) metrics::Increment(metrics_set.registry, it->second);
}

}  // namespace balsambay::router
