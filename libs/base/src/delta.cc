// Deltas are streams of zlib with the base as preset dictionary. The checksums of the dictionary
// and of the text are part of the stream.
#include "base/delta.h"

#include <zlib.h>

#include <algorithm>
#include <cstdlib>

namespace balsambay {
namespace {

constexpr size_t kWindowBytes = size_t{32} * 1024;  // what zlib keeps of a dictionary
constexpr size_t kStepBytes = size_t{16} * 1024;

std::string_view Dictionary(std::string_view base) {
  return base.substr(base.size() - std::min(base.size(), kWindowBytes));
}

// zlib takes non-const bytes and does not write to them.
Bytef* Bytes(std::string_view text) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

uInt Length(std::string_view text) { return static_cast<uInt>(text.size()); }

}  // namespace

std::string EncodeDelta(std::string_view base, std::string_view text) {
  z_stream stream{};
  if (deflateInit(&stream, Z_DEFAULT_COMPRESSION) != Z_OK) std::abort();
  const std::string_view dictionary = Dictionary(base);
  if (!dictionary.empty()) deflateSetDictionary(&stream, Bytes(dictionary), Length(dictionary));
  std::string out(deflateBound(&stream, static_cast<uLong>(text.size())), '\0');
  stream.next_in = Bytes(text);
  stream.avail_in = Length(text);
  stream.next_out = Bytes(out);
  stream.avail_out = Length(out);
  if (deflate(&stream, Z_FINISH) != Z_STREAM_END) std::abort();
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return out;
}

std::optional<std::string> ApplyDelta(std::string_view base, std::string_view delta,
                                      size_t most_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) std::abort();
  stream.next_in = Bytes(delta);
  stream.avail_in = Length(delta);
  std::string out;
  int status = Z_OK;
  while (status == Z_OK && out.size() <= most_bytes) {
    const size_t done = out.size();
    out.resize(done + kStepBytes);
    stream.next_out = Bytes(out) + done;
    stream.avail_out = kStepBytes;
    status = inflate(&stream, Z_NO_FLUSH);
    if (status == Z_NEED_DICT) {
      const std::string_view dictionary = Dictionary(base);
      status = inflateSetDictionary(&stream, Bytes(dictionary), Length(dictionary));
    }
    out.resize(stream.total_out);
  }
  const bool whole = status == Z_STREAM_END && stream.avail_in == 0 && out.size() <= most_bytes;
  inflateEnd(&stream);
  if (!whole) return std::nullopt;
  return out;
}

}  // namespace balsambay
