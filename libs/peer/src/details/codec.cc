// CBOR by nlohmann::json.
#include "details/codec.h"

#include "base/cbor.h"

namespace balsambay::peer::details {

std::string Encode(const nlohmann::json& message) {
  std::string out;
  nlohmann::json::to_cbor(message, out);
  return out;
}

std::optional<nlohmann::json> Decode(std::string_view payload) {
  nlohmann::json message = ParseCbor(payload);
  if (message.is_discarded()) return std::nullopt;
  return message;
}

}  // namespace balsambay::peer::details
