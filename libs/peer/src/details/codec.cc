// CBOR by nlohmann::json, with a limit on nesting.
#include "details/codec.h"

namespace balsambay::peer::details {
namespace {

constexpr int kMaxDepth = 64;

// Accepts every event and stops the parser when the nesting is too deep.
class depth_check final : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
  bool start_object(size_t /*elements*/) override { return ++depth_ <= kMaxDepth; }
  bool end_object() override { return Leave(); }
  bool start_array(size_t /*elements*/) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Leave() {
    --depth_;
    return true;
  }
  int depth_ = 0;
};

}  // namespace

std::string Encode(const nlohmann::json& message) {
  std::string out;
  nlohmann::json::to_cbor(message, out);
  return out;
}

std::optional<nlohmann::json> Decode(std::string_view payload) {
  depth_check check;
  if (!nlohmann::json::sax_parse(payload, &check, nlohmann::json::input_format_t::cbor)) {
    return std::nullopt;
  }
  nlohmann::json message = nlohmann::json::from_cbor(payload, true, false);
  if (message.is_discarded()) return std::nullopt;
  return message;
}

}  // namespace balsambay::peer::details
