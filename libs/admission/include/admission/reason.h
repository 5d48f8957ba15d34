// Reasons for refusing a request and for retrying an attempt. Their names are part of the external
// interface: they appear in problem bodies (error responses) and as labels of counters.
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
  kRefused,        // the endpoint refused the attempt before starting it
  kStageLost,      // the head of the route reports the loss of a stage
  kStalled,        // no token within the attempt's token timeout
  kReset,          // the connection broke after the request was written
  kOverloaded,     // the endpoint has no free capacity at the moment
};
inline constexpr size_t kRetryReasonCount = 6;

// For example "workspace_limit".
std::string_view ToString(refusal_reason reason);

// For example "stage_lost".
std::string_view ToString(retry_reason reason);

// Inverse of ToString; nullopt for an unknown name.
std::optional<refusal_reason> ParseRefusalReason(std::string_view name);
std::optional<retry_reason> ParseRetryReason(std::string_view name);

}  // namespace balsambay::admission
