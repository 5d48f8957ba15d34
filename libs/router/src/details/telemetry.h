// Counters and histograms of one daemon.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/time.h"
#include "metrics/metrics.h"

namespace balsambay::router {

struct telemetry {
  telemetry();

  metrics::registry registry;
  std::map<std::string, metrics::counter_id, std::less<>> refusals;            // by reason
  std::map<std::string, metrics::counter_id, std::less<>> retries;             // by reason
  std::map<std::string, metrics::counter_id, std::less<>> kept_attempts;       // by reason
  std::map<std::string, metrics::counter_id, std::less<>> closed_connections;  // by reason
  std::map<std::string, metrics::counter_id, std::less<>> malformed_replies;   // by reason
  metrics::counter_id accepted;
  metrics::counter_id completed;
  metrics::counter_id cancelled;
  metrics::counter_id tokens;
  metrics::counter_id stale_messages;
  metrics::counter_id peer_errors;
  metrics::counter_id config_applied;
  metrics::gauge_id in_flight;
  metrics::gauge_id config_version;
  metrics::gauge_id throughput_bound;
  metrics::gauge_id buffer_bytes;  // held by requests and their answers, of the common limit
  metrics::gauge_id buffer_limit;  // bytes
  metrics::gauge_id header_bytes;  // held by header sections of requests
  metrics::histogram_id first_token;
  metrics::histogram_id duration_seconds;
  metrics::histogram_id claim;
};

void CountRefusal(telemetry& metrics_set, std::string_view reason);
void CountClosedConnection(telemetry& metrics_set, std::string_view reason);
// Counts and logs a reply from `address` that breaks the grammar of HTTP.
void RecordMalformedReply(telemetry& metrics_set, std::string_view address, std::string_view reason,
                          std::string_view detail);
void CountRetry(telemetry& metrics_set, std::string_view reason);
// Counts a silent attempt that stays open without a successor.
void CountKeptAttempt(telemetry& metrics_set, std::string_view reason);

}  // namespace balsambay::router
