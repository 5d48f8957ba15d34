// Why a request is refused and why an attempt is repeated. The names are stable: they appear in
// problem bodies and as counter labels.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace balsambay::admission {

enum class refusal_reason : uint8_t {
  kBadRequest,
  kUnauthorized,
  kUnknownModel,
  kUnknownService,
  kTooLarge,
  kSlowSender,
  kKeyConflict,
  kDuplicateInProgress,
  kDuplicateUnknown,
  kWorkspaceLimit,
  kQueueFull,
  kDeadline,
  kNoRoute,
  kUncoveredModel,
  kQuarantined,
  kLedgerUnavailable,
  kRetryBudget,
  kDraining,
  kEndpointFailed,
  kNotReady,
};
inline constexpr size_t kRefusalReasonCount = 20;

enum class retry_reason : uint8_t {
  kConnectFailed,  // no connection; nothing was written
  kRefused,        // the endpoint refused before starting
  kStageLost,      // the head reports that a stage is lost
  kStalled,        // no token within the attempt's token timeout
  kReset,          // the connection broke after the request was written
  kOverloaded,     // the endpoint has no room at the moment
};
inline constexpr size_t kRetryReasonCount = 6;

// For example "workspace_limit".
std::string_view ToString(refusal_reason reason);

// For example "stage_lost".
std::string_view ToString(retry_reason reason);

std::optional<refusal_reason> ParseRefusalReason(std::string_view name);
std::optional<retry_reason> ParseRetryReason(std::string_view name);

}  // namespace balsambay::admission
