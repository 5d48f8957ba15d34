// Health monitoring of endpoints and zones, and the exchange of load, endpoint state and table
// changes with other gateways (peers.cc). To be used on the main loop only.
#pragma once

#include <string_view>

#include "details/state.h"

namespace balsambay::gateway {

// Limits for reports and replies to orders: they are short and sent without delay.
inline constexpr net::fetch_limits kShortReplyLimits{.body_bytes = size_t{1} << 20,
                                                     .body_time = std::chrono::milliseconds(400)};

// Reasons for requesting a report; values of the label "reason" of gateway_reports_total.
inline constexpr std::string_view kNoProgress = "no progress";
inline constexpr std::string_view kReportedByPeer = "told by a peer";

// Requests the report of an engine, if MayRequestReport() allows it. An engine that does not answer
// is taken out of use. Engines that the report names as the cause of stalled requests are checked
// in turn, and requests move off those that are lost. Plain endpoints have no reports: no effect.
void RequestReport(gateway_state& state, endpoint& target, std::string_view reason);

// Checks whether an endpoint that closed a connection early is alive. For plain endpoints, see
// CheckSilence().
void ConfirmLoss(gateway_state& state, endpoint& target);

// Whether a report requested now could give new information: none is under way, the endpoint is in
// use, and the last check is not too recent.
bool MayRequestReport(const endpoint& target, time_point now);

// Starts the periodic checks. Call once.
void StartMonitor(gateway_state& state);

// Starts the exchange of load and endpoint state with other gateways.
result<void> StartPeers(gateway_state& state);
// Notifies the other gateways at once of a state change of an endpoint that this gateway observed.
void AnnounceEndpointUpdate(gateway_state& state, exchange::endpoint_event_kind kind,
                            const endpoint& target);
// Notifies the other gateways at once of suspected and quarantined requests.
void AnnounceSuspects(gateway_state& state, std::span<const quarantine::update> updates);
// Records the position in a followed table that a reply of the store states. If the reply ended a
// check, the other gateways are notified at once.
void RecordFeedPosition(gateway_state& state, feed which, uint64_t changed, uint64_t complete,
                        const clock_sample& sample);

// Requests the changes of a table from the store now, unless the last request is too recent.
void CheckFeedNow(gateway_state& state, feed which, std::string_view reason);

// Recomputes the check intervals of the tables. Call after changes of the role of this gateway, of
// the number of gateways or of the settings.
void AdaptFeeds(gateway_state& state);
// Whether table changes that this gateway has read may be forwarded to the other gateways of its
// cell.
bool SharesChanges(const gateway_state& state);
// Forwards changes that this gateway has read to its cell, if ShouldShareWithCell() allows it.
void ShareChange(gateway_state& state, feed which, const table_change& change, uint64_t as_of_ms);
// Applies the complete list of the other gateways.
void ReplacePeers(gateway_state& state, std::span<const peer_address> peers);

// Sets this gateway's share of the retry slack of the installation: equal shares for all gateways.
// Without effect before the list of gateways is known.
void UpdateShare(gateway_state& state);

}  // namespace balsambay::gateway
