// Properties of the check of request heads. Guards against a head whose end this side and libsoup
// read differently, so that bytes of a body are run as a request.
#include "../src/details/request_head.h"

#include <libsoup/soup.h>
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "../src/details/head_scanner.h"

namespace balsambay::net {
namespace {

const std::vector<std::string> kSingles = {"X-Key"};

using texts = std::vector<std::string>;

// Mostly one of `sound`, so that many heads are sound as a whole.
std::string Mostly(const texts& sound, const texts& odd) {
  const bool is_odd = *rc::gen::inRange(0, 12) == 0;
  return *rc::gen::elementOf(is_odd ? odd : sound);
}

std::string AnyLine() {
  const auto field = *rc::gen::element(0, 1, 2, 2);
  const std::string end = Mostly({"\r\n", "\n"}, {"\r\n ", "\r\r\n"});
  const std::string colon = Mostly({":", ": ", ":\t"}, {" : ", ""});
  if (field == 0) {
    return Mostly({"Content-Length", "content-length"}, {"Content-Length "}) + colon +
           Mostly({"5", "0", "005", "5 ", "5\t", "9223372036854775807"},
                  {"", "+5", "-5", "5, 5", "5 5", "0x5", "\"5\"", "99999999999999999999"}) +
           end;
  }
  if (field == 1) {
    return "Transfer-Encoding" + colon +
           Mostly({"chunked", "Chunked\t", "CHUNKED"},
                  {"", "gzip, chunked", "chunked, chunked", "identity", "chunked;a=b"}) +
           end;
  }
  return Mostly({"Host", "X-Key", "X-Note", "Connection", "Expect", "Accept"},
                {"X Note", "", " X-Note", "X-\xc3\xa9"}) +
         colon +
         Mostly({"", "close", "keep-alive", "100-continue", "a:b", "\xc3\xa9", "a  b", "a,b"},
                {"a\rb", std::string("a\0b", 3), "a\x01"}) +
         end;
}

std::string AnyHead() {
  std::string text =
      Mostly({"POST", "GET", "HEAD", "OPTIONS", "DELETE", "PURGE", "get"}, {"", "P(ST"}) +
      Mostly({" "}, {"  ", "\t"}) +
      Mostly({"/a", "/a?b=c", "/%2F", "http://h/a", "*", "/\xc3\xa9"}, {"/a b", ""}) +
      Mostly({" HTTP/1.1", " HTTP/1.0"}, {" HTTP/1.2", " HTTP/2.0", " HTTP/1.10", ""}) + "\r\n";
  const int lines = *rc::gen::inRange(0, 5);
  for (int i = 0; i < lines; ++i) text += AnyLine();
  // The last line may have ended with a fold.
  return text + (text.ends_with(' ') ? "x\r\n\r\n" : "\r\n");
}

TEST_CASE("libsoup reads the same request from each head that is sound") {
  CHECK(rc::check("any head", [] {
    std::string text = AnyHead();
    head_scanner end;
    RC_ASSERT(ScanHead(end, {}, text) == head_verdict::kComplete);
    text.resize(end.bytes);
    const request_head head = ReadRequestHead(text, kSingles);
    RC_CLASSIFY(head.fault == head_fault::kNone, "sound");
    RC_CLASSIFY(head.chunked, "chunked");
    if (head.fault != head_fault::kNone) return;
    SoupMessageHeaders* headers = soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);
    // The section without its last line end, as libsoup's server passes it.
    const size_t size = text.size() - (text.ends_with("\r\n") ? 2 : 1);
    const guint status = soup_headers_parse_request(text.data(), static_cast<int>(size), headers,
                                                    nullptr, nullptr, nullptr);
    const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
    const goffset length = soup_message_headers_get_content_length(headers);
    size_t fields = 0;
    SoupMessageHeadersIter it;
    soup_message_headers_iter_init(&it, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&it, &name, &value) != FALSE) ++fields;
    soup_message_headers_unref(headers);
    // An expectation that libsoup does not know.
    if (status == 417) return;
    RC_ASSERT(status == 200);
    RC_ASSERT((encoding == SOUP_ENCODING_CHUNKED) == head.chunked);
    RC_ASSERT(head.chunked || length == static_cast<goffset>(head.body_bytes));
    RC_ASSERT(fields == static_cast<size_t>(std::ranges::count(text, '\n')) - 2);
  }));
}

TEST_CASE("the fault of a head is named, with its field") {
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  const auto read = [&](const std::string& fields) {
    return ReadRequestHead(start + fields + "\r\n", kSingles);
  };
  CHECK(read("Content-Length: 5\r\n").body_bytes == 5);
  CHECK(read("Transfer-Encoding: chunked\r\n").chunked);
  CHECK(read("Content-Length: 5\r\nContent-Length: 5\r\n").field == "Content-Length");
  CHECK(read("x-key: 1\r\nX-Key: 1\r\n").field == "X-Key");
  CHECK(read("x-key: 1\r\nX-Key: 1\r\n").fault == head_fault::kRepeatedField);
  CHECK(read("Content-Length: 5 5\r\n").fault == head_fault::kContentLength);
  CHECK(read("Transfer-Encoding: gzip\r\n").fault == head_fault::kTransferEncoding);
  CHECK(read("X-Note : 1\r\n").fault == head_fault::kFieldLine);
  CHECK(ReadRequestHead("POST /\r\n\r\n", kSingles).fault == head_fault::kRequestLine);
}

}  // namespace
}  // namespace balsambay::net
