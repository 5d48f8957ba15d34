// The cases by kind: framing, field lines, request lines, chunks, and fields that are repeated.
#include "request_cases.h"

#include "scripted_endpoint.h"

namespace balsambay::system_test {
namespace {

std::string Hidden(const request_template& from) {
  return "POST " + from.path + " HTTP/1.1\r\n" + from.fields + "X-Hidden: 1\r\n" +
         "Content-Length: 0\r\n\r\n";
}

struct builder {
  const request_template& from;
  std::string hidden;
  std::string body;  // of sound requests
  std::vector<request_case> cases;

  // The request line, `before`, the usual fields and `fields`.
  std::string Head(const std::string& fields, const std::string& before = "") const {
    return "POST " + from.path + " HTTP/1.1\r\n" + before + from.fields + fields + "\r\n";
  }
  void Malformed(const std::string& name, const std::string& text) {
    cases.push_back({name, text, false, ""});
  }
  void Sound(const std::string& name, const std::string& text) {
    cases.push_back({name, text, true, body});
  }
  std::string Length() const { return std::to_string(body.size()); }
  std::string StatedLength() const { return "Content-Length: " + Length() + "\r\n"; }
};

void AddLengths(builder& to) {
  const std::string length = std::to_string(to.hidden.size());
  const std::string stated = "Content-Length: " + length + "\r\n";
  const std::string none = "Content-Length: 0\r\n";
  for (const std::string& fields :
       {to.StatedLength(), "content-length:" + to.Length() + "\r\n",
        "Content-Length: \t" + to.Length() + " \t\r\n",
        "Content-Length: 000" + to.Length() + "\r\n", to.StatedLength() + "X-Empty:\r\n",
        to.StatedLength() + "X-Note: 1\r\nX-Note: 2\r\n",
        "X-Bytes: \xc3\xa9\r\n" + to.StatedLength()}) {
    to.Sound("sound: " + fields, to.Head(fields) + to.body);
  }
  if (to.from.sound_body.empty()) to.cases.push_back({"no body", to.Head(""), true, ""});
  to.Sound("an empty line before", "\r\n" + to.Head(to.StatedLength()) + to.body);
  for (const std::string& fields :
       {stated + none, none + stated, stated + stated, std::string("Content-Length:\r\n"),
        "Content-Length: +" + length + "\r\n", std::string("Content-Length: -1\r\n"),
        std::string("Content-Length: 0x10\r\n"), "Content-Length: " + length + ", 0\r\n",
        "Content-Length: " + length + " 0\r\n",
        std::string("Content-Length: 18446744073709551616\r\n"),
        std::string("Content-Length: 9223372036854775808\r\n"),
        "Content-Length : " + length + "\r\n", "Content-Length\t: " + length + "\r\n",
        "Content-Length: \"" + length + "\"\r\n"}) {
    to.Malformed(fields, to.Head(fields) + to.hidden);
  }
}

void AddCodings(builder& to) {
  const std::string stated = "Content-Length: " + std::to_string(to.hidden.size()) + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string end = "0\r\n\r\n";
  const std::string body = Chunk(to.hidden) + end;
  for (const std::string& fields :
       {chunked, std::string("transfer-encoding:\tChunked \r\n"), chunked + "TE: trailers\r\n"}) {
    to.Sound("sound: " + fields,
             to.Head(fields) + Chunk(to.body.substr(0, 1)) + Chunk(to.body.substr(1)) + end);
  }
  to.Sound("a trailer", to.Head(chunked) + Chunk(to.body) + "0\r\nX-Sum: 1\r\n\r\n");
  std::string extended = Chunk(to.body);
  extended.insert(extended.find('\r'), ";name=\"value\"");
  to.Sound("a chunk extension", to.Head(chunked) + extended + end);
  for (const std::string& fields :
       {chunked + stated, stated + chunked, chunked + chunked, chunked + "Transfer-Encoding:\r\n",
        std::string("Transfer-Encoding:\r\n"), std::string("Transfer-Encoding: identity\r\n"),
        std::string("Transfer-Encoding: xchunked\r\n"),
        std::string("Transfer-Encoding: gzip, chunked\r\n"),
        std::string("Transfer-Encoding: chunked, gzip\r\n"),
        std::string("Transfer-Encoding: chunked, chunked\r\n"),
        std::string("Transfer-Encoding: \"chunked\"\r\n"),
        std::string("Transfer-Encoding : chunked\r\n"), "Transfer-Encoding: identity\r\n" + stated,
        "Transfer-Encoding : chunked\r\n" + stated}) {
    to.Malformed(fields + "with a body in chunks", to.Head(fields) + body);
    to.Malformed(fields + "with a plain body", to.Head(fields) + to.hidden);
  }
  const std::string old_version = "POST " + to.from.path + " HTTP/1.0\r\n" + to.from.fields;
  to.Sound("HTTP/1.0", old_version + to.StatedLength() + "\r\n" + to.body);
  to.Malformed("chunks in HTTP/1.0", old_version + chunked + "\r\n" + body);
  for (const char* malformed :
       {"5\r\nhelloXX0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n",
        "+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n", "\r\n5\r\nhello\r\n0\r\n\r\n"}) {
    to.Malformed(std::string("chunk: ") + malformed, to.Head(chunked) + malformed + to.hidden);
  }
}

void AddLines(builder& to) {
  const std::string stated = "Content-Length: " + std::to_string(to.hidden.size()) + "\r\n";
  std::string feeds = to.Head(to.StatedLength());
  std::erase(feeds, '\r');
  to.Sound("lines that end with a line feed alone", feeds + to.body);
  for (const std::string& line :
       {std::string("X-A: 1\r\n Content-Length: 0\r\n"), std::string("X-A: 1\rX-B: 2\r\n"),
        std::string("X-A: 1\0\r\n", 9), std::string("X-A: 1\x7f\r\n"), std::string("X A: 1\r\n"),
        std::string("X-A\r\n"), std::string(": 1\r\n"), std::string("X\xc3\xa9: 1\r\n"),
        std::string("X-A\x01: 1\r\n")}) {
    to.Malformed("line: " + line, to.Head(line + stated) + to.hidden);
  }
  to.Malformed("a first line that begins with a blank", to.Head(stated, " X-A: 1\r\n") + to.hidden);
  const std::string& path = to.from.path;
  for (const std::string& line :
       {"POST  " + path + " HTTP/1.1", "POST " + path + "  HTTP/1.1", "POST " + path,
        "POST " + path + " HTTP/2.0", "POST " + path + " HTTP/1.1 ", "POST " + path + " HTTP/1.10",
        "POST " + path + " http/1.1", "POST " + path + " HTTP/0.9", "PO ST " + path + " HTTP/1.1",
        "POST\t" + path + "\tHTTP/1.1", " POST " + path + " HTTP/1.1",
        "POST " + path + "\x01 HTTP/1.1"}) {
    to.Malformed("request line: " + line,
                 line + "\r\n" + to.from.fields + stated + "\r\n" + to.hidden);
  }
}

void AddRepeated(builder& to) {
  const std::string stated = "Content-Length: " + std::to_string(to.hidden.size()) + "\r\n";
  for (const std::string& single : to.from.singles) {
    const std::string fields = to.from.fields.find(single) == std::string::npos ? single : "";
    to.Sound("once: " + single, to.Head(fields + to.StatedLength()) + to.body);
    std::string other = single;
    other.insert(other.size() - 2, "0");
    to.Malformed("twice, different: " + single, to.Head(fields + other + stated) + to.hidden);
    to.Malformed("twice, first different: " + single, to.Head(fields + stated, other) + to.hidden);
    to.Malformed("twice, equal: " + single, to.Head(fields + single + stated) + to.hidden);
  }
}

}  // namespace

std::vector<request_case> RequestCases(const request_template& from) {
  const std::string hidden = Hidden(from);
  builder to{from, hidden, from.sound_body.empty() ? hidden : from.sound_body, {}};
  AddLengths(to);
  AddCodings(to);
  AddLines(to);
  AddRepeated(to);
  return std::move(to.cases);
}

}  // namespace balsambay::system_test
