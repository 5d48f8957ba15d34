// Metrics of the gateway: a counter for each refusal and retry reason, latency histograms.
#pragma once

#include <string_view>

#include "metrics/metrics.h"

namespace balsambay::gateway {

struct telemetry {
  telemetry();
  metrics::registry registry;
  metrics::counter_id accepted;
  metrics::counter_id completed;
  metrics::counter_id broken_off;  // replies that ended early
  metrics::counter_id hung_up;     // callers that left
  metrics::counter_id on_lost;     // requests that were on an endpoint when it was lost
  metrics::counter_id rerouted;
  metrics::counter_id denied;  // further attempts that a limit forbade
  metrics::counter_id orders;
  metrics::counter_id table_failures;
  metrics::histogram_id first_output_seconds;
  metrics::histogram_id duration_seconds;
  metrics::gauge_id open_calls;
  metrics::gauge_id config_version;
};

void CountRefusal(telemetry& metrics, std::string_view reason);
void CountReport(telemetry& metrics, std::string_view reason);
// Calls that ask a shared table for changes at once.
void CountFeedCheck(telemetry& metrics, std::string_view reason);
// Changes of a shared table that were passed on to this gateway and could not be used.
void CountNotApplied(telemetry& metrics, std::string_view reason);
void CountRetry(telemetry& metrics, std::string_view reason);
// An attempt that the gateway itself ended while its endpoint may still have been at work.
void CountEndedRunning(telemetry& metrics, std::string_view reason);

}  // namespace balsambay::gateway
