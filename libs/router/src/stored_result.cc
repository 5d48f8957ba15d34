// Stored results are encoded as CBOR in base64.
#include "details/stored_result.h"

#include <array>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "base/cbor.h"
#include "details/replies.h"

namespace balsambay::router {
namespace {

using nlohmann::json;

// Base64, because rows of the table are text and a service's reply may contain any bytes.
std::string Encode(const json& value) {
  const std::vector<uint8_t> bytes = json::to_cbor(value);
  return EncodeBase64({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

json Decode(std::string_view stored) { return ParseCbor(DecodeBase64(stored)); }

void RespondStoredService(caller_request& request, const json& value) {
  const std::array<net::header, 3> headers = {
      net::header{"Content-Type", value.at("content_type").get<std::string>()},
      net::header{"Balsambay-Outcome", "ran"}, net::header{"Balsambay-Replayed", "1"}};
  const auto& body = value.at("body").get_binary();
  request.exchange->Respond(value.at("status"), headers, std::string(body.begin(), body.end()));
}

}  // namespace

std::string EncodeModelResult(const caller_request& request, std::string_view finish_reason) {
  return Encode({{"tokens", request.response.tokens}, {"finish_reason", finish_reason}});
}

std::string EncodeServiceResult(int status, std::string_view content_type, std::string_view body) {
  return Encode({{"status", status},
                 {"content_type", content_type},
                 {"body", json::binary(std::vector<uint8_t>(body.begin(), body.end()))}});
}

bool RespondStored(caller_request& request, std::string_view stored) {
  const json value = Decode(stored);
  try {
    if (!request.service.empty()) {
      RespondStoredService(request, value);
      return true;
    }
    request.response.tokens = value.at("tokens").get<std::vector<std::string>>();
    SendTokens(request, request.response.tokens);
    SendCompletion(request, value.at("finish_reason").get<std::string>());
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace balsambay::router
