// Errors of the CBOR parser as values.
#include "base/cbor.h"

namespace balsambay {
namespace {

// The parser calls itself for each level.
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

nlohmann::json ParseCbor(std::string_view data) {
  // The library throws for arrays and objects that claim a size beyond its limits, also when it is
  // asked not to.
  try {
    depth_check check;
    if (!nlohmann::json::sax_parse(data, &check, nlohmann::json::input_format_t::cbor)) {
      return nlohmann::json::value_t::discarded;
    }
    return nlohmann::json::from_cbor(data, true, false);
  } catch (const nlohmann::json::exception&) {
    return nlohmann::json::value_t::discarded;
  }
}

}  // namespace balsambay
