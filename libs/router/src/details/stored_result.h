// Results of non-repeatable requests as the ledger stores them, and their replay to a repeat.
#pragma once

#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::router {

std::string EncodeModelResult(const caller_request& request, std::string_view finish_reason);
std::string EncodeServiceResult(int status, std::string_view content_type, std::string_view body);

// Answers a repeat with a stored result. False when the result cannot be read.
bool RespondStored(caller_request& request, std::string_view stored);

}  // namespace balsambay::router
