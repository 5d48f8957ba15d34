// Metrics of the gateway. The Count functions count by the label "reason".
#pragma once

#include <string_view>

#include "metrics/metrics.h"

namespace balsambay::gateway {

struct telemetry {
  telemetry();
  metrics::registry registry;
  metrics::counter_id accepted;
  metrics::counter_id completed;
  metrics::counter_id truncated_replies;   // replies to callers that ended early
  metrics::counter_id caller_disconnects;  // callers that closed the connection
  metrics::counter_id on_lost_endpoints;   // requests that ran on an endpoint when it was lost
  metrics::counter_id quarantined_parts;   // prompt parts, here or by another gateway
  metrics::counter_id rerouted;
  metrics::counter_id
      denied_attempts;         // requests that ended because a limit forbade another attempt
  metrics::counter_id orders;  // placement orders sent to engines
  metrics::counter_id table_failures;  // calls to the shared table without a usable reply
  metrics::histogram_id first_output_seconds;
  metrics::histogram_id duration_seconds;
  metrics::gauge_id open_calls;
  metrics::gauge_id config_version;
  metrics::gauge_id buffer_bytes;  // held by requests and replies, of the common limit
  metrics::gauge_id buffer_limit;  // bytes
  metrics::gauge_id peak_memory_bytes;
  metrics::gauge_id header_bytes;  // largest resident size of the process so far
};

// A request that the gateway itself answered with an error.
void CountRefusal(telemetry& metrics, std::string_view reason);
// A request that was refused in favour of others, by its priority.
void CountShed(telemetry& metrics, int priority, std::string_view reason);
// A request that was refused or ended because of a stop.
void CountStopRefusal(telemetry& metrics, std::string_view reason);
// A reply that its caller had not taken when the gateway closed the connection.
void CountCutReply(telemetry& metrics, std::string_view reason);
void CountClosedConnection(telemetry& metrics, std::string_view reason);
// A report or health check requested of an endpoint.
void CountReport(telemetry& metrics, std::string_view reason);
// A call that requests the changes of a shared table at once.
void CountFeedCheck(telemetry& metrics, std::string_view reason);
// A change of a shared table that another gateway forwarded and that could not be applied.
void CountUnusedChange(telemetry& metrics, std::string_view reason);
// An attempt that failed because its reply has more bytes than can be held.
void CountLargeReply(telemetry& metrics, std::string_view reason);
// Counts and logs a reply from `address` that breaks the grammar of HTTP.
void RecordMalformedReply(telemetry& metrics, std::string_view address, std::string_view reason,
                          std::string_view detail);
void CountRetry(telemetry& metrics, std::string_view reason);
// An attempt that the gateway cancelled while its endpoint may still have been executing it.
void CountCancelledAttempt(telemetry& metrics, std::string_view reason);

}  // namespace balsambay::gateway
