// Grammar of request lines and field lines, and the framing of the body.
#include "details/request_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <vector>

#include "base/text.h"
#include "details/http_grammar.h"

namespace balsambay::net {
namespace {

constexpr std::string_view kHost = "Host";
constexpr std::string_view kContentLength = "Content-Length";
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
// Two values of one of these would let readers differ about the end of the request or its route.
constexpr std::array<std::string_view, 3> kSingleFields = {kHost, kContentLength,
                                                           kTransferEncoding};

struct field_line {
  std::string_view name;
  std::string_view value;  // without the white space around it
};

struct framing_fields {
  std::optional<std::string_view> length;
  std::optional<std::string_view> coding;
};

// Part of the line before the next blank, which is removed with it.
std::string_view TakeWord(std::string_view& line) {
  const size_t blank = std::min(line.find(' '), line.size());
  const std::string_view word = line.substr(0, blank);
  line.remove_prefix(std::min(blank + 1, line.size()));
  return word;
}

enum class http_version : uint8_t { k10, k11 };

// Returns nullopt if the line is not METHOD TARGET VERSION, or the version is another one, which
// libsoup does not read either.
std::optional<http_version> ReadRequestLine(std::string_view line) {
  const std::string_view method = TakeWord(line);
  const std::string_view target = TakeWord(line);
  const bool valid = !method.empty() && std::ranges::all_of(method, IsTokenByte) &&
                     !target.empty() && std::ranges::all_of(target, IsTextByte) &&
                     target.find('\t') == std::string_view::npos;
  if (valid && line == "HTTP/1.1") return http_version::k11;
  if (valid && line == "HTTP/1.0") return http_version::k10;
  return std::nullopt;
}

// A line that begins with a blank folds the one before it, and is refused as in replies.
std::optional<field_line> ReadFieldLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos) return std::nullopt;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = line.substr(colon + 1);
  const bool valid =
      std::ranges::all_of(name, IsTokenByte) && std::ranges::all_of(value, IsTextByte);
  return valid ? std::optional(field_line{name, TrimSpace(value)}) : std::nullopt;
}

std::optional<uint64_t> ReadLength(std::string_view value) {
  uint64_t bytes = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), bytes);
  const bool valid = error == std::errc() && end == value.data() + value.size() &&
                     bytes <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  return valid ? std::optional(bytes) : std::nullopt;
}

request_head Fault(head_fault fault, std::string_view field = {}) {
  return {.fault = fault, .field = field};
}

request_head DecideFraming(const framing_fields& fields, http_version version) {
  request_head head;
  if (fields.coding) {
    head.chunked = EqualsIgnoreCase(*fields.coding, "chunked");
    if (!head.chunked || fields.length || version == http_version::k10) {
      return Fault(head_fault::kTransferEncoding, kTransferEncoding);
    }
  } else if (fields.length) {
    const auto bytes = ReadLength(*fields.length);
    if (!bytes) return Fault(head_fault::kContentLength, kContentLength);
    head.body_bytes = *bytes;
  }
  return head;
}

// Names that may stand once only, and which of them have been found.
class single_names {
 public:
  explicit single_names(std::span<const std::string> more) : names_(kSingleFields.size()) {
    std::ranges::copy(kSingleFields, names_.begin());
    names_.insert(names_.end(), more.begin(), more.end());
    found_.resize(names_.size());
  }

  // Returns the name if it was found before; otherwise empty.
  std::string_view Repeated(std::string_view name) {
    const auto it = std::ranges::find_if(
        names_, [&](std::string_view single) { return EqualsIgnoreCase(single, name); });
    if (it == names_.end()) return {};
    const auto index = static_cast<size_t>(it - names_.begin());
    if (found_[index]) return *it;
    found_[index] = true;
    return {};
  }

 private:
  std::vector<std::string_view> names_;
  std::vector<bool> found_;
};

}  // namespace

request_head ReadRequestHead(std::string_view section, std::span<const std::string> single_fields) {
  const auto version = ReadRequestLine(TakeLine(section));
  if (!version) return Fault(head_fault::kRequestLine);
  framing_fields framing;
  single_names singles(single_fields);
  for (std::string_view line = TakeLine(section); !line.empty(); line = TakeLine(section)) {
    const auto field = ReadFieldLine(line);
    if (!field) return Fault(head_fault::kFieldLine);
    const std::string_view repeated = singles.Repeated(field->name);
    if (!repeated.empty()) return Fault(head_fault::kRepeatedField, repeated);
    if (EqualsIgnoreCase(field->name, kContentLength)) framing.length = field->value;
    if (EqualsIgnoreCase(field->name, kTransferEncoding)) framing.coding = field->value;
  }
  return DecideFraming(framing, *version);
}

}  // namespace balsambay::net
