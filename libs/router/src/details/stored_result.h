// Encoding of the results of non-repeatable requests in the ledger, and their replay to duplicates.
#pragma once

#include <string>
#include <string_view>

#include "details/state.h"

namespace balsambay::router {

std::string EncodeModelResult(const caller_request& request, std::string_view finish_reason);
std::string EncodeServiceResult(int status, std::string_view content_type, std::string_view body);

// Replies to a duplicate request with a stored result. Returns false when the result cannot be
// decoded.
bool RespondStored(caller_request& request, std::string_view stored);

}  // namespace balsambay::router
