// Lists of replies, made from a template and the line that varies.
#include "reply_cases.h"

#include <utility>

#include "scripted_endpoint.h"

namespace balsambay::system_test {
namespace {

using std::string_literals::operator""s;

constexpr std::string_view kLineEnd = "\r\n";

struct line_case {
  std::string name;
  std::string line;
  bool sound = false;
};

std::vector<line_case> StatusLines() {
  return {{"status 000", "HTTP/1.1 000 OK"},
          {"status 099", "HTTP/1.1 099 OK"},
          {"a status of one digit", "HTTP/1.1 0 OK"},
          {"a status of two digits", "HTTP/1.1 20 OK"},
          {"a status of four digits", "HTTP/1.1 0200 OK"},
          {"a status above 999", "HTTP/1.1 2000 OK"},
          {"status 600", "HTTP/1.1 600 OK"},
          {"status 999", "HTTP/1.1 999 OK"},
          {"a blank within the status", "HTTP/1.1 2 00 OK"},
          {"two blanks before the status", "HTTP/1.1  200 OK"},
          {"a tab before the status", "HTTP/1.1\t200 OK"},
          {"a tab after the status", "HTTP/1.1 200\tOK"},
          {"no blank after the status", "HTTP/1.1 200OK"},
          {"no status", "HTTP/1.1 OK"},
          {"a negative status", "HTTP/1.1 -200 OK"},
          {"another protocol version", "HTTP/9.9 200 OK"},
          {"a version of two digits", "HTTP/1.11 200 OK"},
          {"a control byte in the reason", "HTTP/1.1 200 O\x01K"},
          {"a carriage return in the reason", "HTTP/1.1 200 O\rK"},
          {"an empty line before the status line", "\r\nHTTP/1.1 200 OK"},
          {"a blank before the status line", " HTTP/1.1 200 OK"},
          {"sound status line", "HTTP/1.1 200 OK", true},
          {"no reason", "HTTP/1.1 200 ", true},
          {"no blank for the reason", "HTTP/1.1 200", true},
          {"a reason with digits", "HTTP/1.1 200 000", true},
          {"a reason with a tab and bytes above 127", "HTTP/1.1 200 \xc3\xa9\tOK", true}};
}

std::vector<line_case> FieldLines() {
  return {{"a blank within the name", "X Y: 1"},
          {"a blank before the colon", "X-Y : 1"},
          {"a tab within the name", "X\tY: 1"},
          {"a tab before the colon", "X-Y\t: 1"},
          {"a control byte in the name", "X\x01Y: 1"},
          {"a null byte in the name", "X\0Y: 1"s},
          {"a delete byte in the name", "X\x7fY: 1"},
          {"a carriage return in the name", "X\rY: 1"},
          {"a byte above 127 in the name", "X\x80Y: 1"},
          {"a separator in the name", "X(Y: 1"},
          {"a quote in the name", "X\"Y: 1"},
          {"an empty name", ": 1"},
          {"a name of one blank", " : 1"},
          {"no colon", "X-Y"},
          {"a blank before the name", " X-Y: 1"},
          {"a tab before the name", "\tX-Y: 1"},
          {"sound field", "X-Y: 1", true},
          {"all bytes of a name", "!#$%&'*+-.^_`|~09az: 1", true},
          {"no blank after the colon", "X-Y:1", true},
          {"blanks and tabs around the value", "X-Y: \t1 2\t ", true},
          {"no value", "X-Y:", true},
          {"a colon in the value", "X-Y: a : b", true},
          {"bytes above 127 in the value", "X-Y: \xc3\xa9", true}};
}

// Field lines that frame the body, with a fault in their name. The body ends where they say.
std::vector<line_case> BrokenFraming(const std::string& name, const std::string& value) {
  return {{"a blank before the colon of " + name, name + " : " + value},
          {"a blank before " + name, " " + name + ": " + value},
          {"a tab before the colon of " + name, name + "\t: " + value}};
}

std::string Lines(const std::string& line) { return line + std::string(kLineEnd); }

struct reply_parts {
  std::string interim = {};
  std::string status_line = "HTTP/1.1 200 OK";
  std::string first_lines = {};  // after the status line
  std::string last_lines = {};   // of the head
  std::string framing = {};      // empty: as usual
  std::string trailers = {};
};

std::string Render(const reply_template& from, const reply_parts& parts, bool chunked) {
  const std::string framing =
      !parts.framing.empty()
          ? parts.framing
          : Lines(chunked ? "Transfer-Encoding: chunked"
                          : "Content-Length: " + std::to_string(from.body.size()));
  const std::string body =
      chunked ? Chunk(from.body) + Lines("0") + parts.trailers + Lines("") : from.body;
  return parts.interim + Lines(parts.status_line) + parts.first_lines + framing + from.fields +
         parts.last_lines + Lines("") + body;
}

int StatusOf(const line_case& entry) { return entry.sound ? 200 : 0; }

}  // namespace

std::vector<reply_case> HeadCases(const reply_template& from, bool chunked) {
  std::vector<reply_case> cases;
  const auto add = [&](const std::string& name, const reply_parts& parts, int status) {
    cases.push_back({name, Render(from, parts, chunked), status});
  };
  const std::string hints = Lines("HTTP/1.1 103 Early Hints");
  for (const line_case& entry : StatusLines()) {
    add(entry.name, {.status_line = entry.line}, StatusOf(entry));
    // A sound line in front would begin the final reply.
    if (!entry.sound) add("interim: " + entry.name, {.interim = Lines(entry.line) + Lines("")}, 0);
  }
  for (const line_case& entry : FieldLines()) {
    add("first: " + entry.name, {.first_lines = Lines(entry.line)}, StatusOf(entry));
    add("last: " + entry.name, {.last_lines = Lines(entry.line)}, StatusOf(entry));
    add("interim: " + entry.name, {.interim = hints + Lines(entry.line) + Lines("")},
        StatusOf(entry));
  }
  const auto framing = chunked ? BrokenFraming("Transfer-Encoding", "chunked")
                               : BrokenFraming("Content-Length", std::to_string(from.body.size()));
  for (const line_case& entry : framing) add(entry.name, {.framing = Lines(entry.line)}, 0);
  // Version 1.0 has no chunks.
  if (!chunked) add("version 1.0", {.status_line = "HTTP/1.0 200 OK"}, 200);
  add("two interim replies", {.interim = hints + Lines("Link: x") + Lines("") + hints + Lines("")},
      200);
  return cases;
}

std::vector<reply_case> TrailerCases(const reply_template& from) {
  std::vector<reply_case> cases;
  for (const line_case& entry : FieldLines()) {
    cases.push_back({"trailer: " + entry.name, Render(from, {.trailers = Lines(entry.line)}, true),
                     StatusOf(entry), true});
    cases.push_back({"second trailer: " + entry.name,
                     Render(from, {.trailers = Lines("X-First: 1") + Lines(entry.line)}, true),
                     StatusOf(entry), true});
  }
  cases.push_back({"no line feed at the end", Render(from, {.trailers = "\r!"}, true), 0, true});
  return cases;
}

// An interim reply ends with its head, whatever its fields say (RFC 9112, 6.3).
std::vector<reply_case> InterimBodyCases(const reply_template& from, bool chunked) {
  const std::string hints = Lines("HTTP/1.1 103 Early Hints");
  const std::string body = "hello";
  const std::string length = Lines("Content-Length: 5") + Lines("");
  const std::string chunks = Lines("Transfer-Encoding: chunked") + Lines("");
  const auto reply = [&](const std::string& interim) {
    return Render(from, {.interim = hints + interim}, chunked);
  };
  return {{"interim: a length", reply(length), 200},
          {"interim: chunks announced", reply(chunks), 200},
          {"interim: a body with a length", reply(length + body)},
          {"interim: a body in chunks", reply(chunks + Chunk(body) + Lines("0") + Lines(""))}};
}

std::vector<reply_case> ChunkCases(const reply_template& from) {
  constexpr size_t kBreak = 2;  // the size of a line end
  const std::string head =
      Lines("HTTP/1.1 200 OK") + Lines("Transfer-Encoding: chunked") + from.fields + Lines("");
  const std::string_view body = from.body;
  const std::string chunk = Chunk(body);
  const std::string size = chunk.substr(0, chunk.find(kLineEnd));
  const std::string short_chunk = Chunk(body.substr(0, body.size() - kBreak));
  const std::string without_end = short_chunk.substr(0, short_chunk.size() - kBreak);
  const std::string end = Lines("0") + Lines("");
  const std::string data = Lines(std::string(body));
  return {{"two bytes more than the size",
           head + without_end + std::string(body.substr(body.size() - kBreak)) + end, 0, true},
          {"other bytes at the end of a chunk",
           head + chunk.substr(0, chunk.size() - kBreak) + "!!" + end, 0, true},
          {"a line feed and another byte at the end of a chunk",
           head + chunk.substr(0, chunk.size() - kBreak) + "\n!" + end, 0, true},
          {"no line feed after the size", head + size + "\r!" + data + end},
          {"no line feed after an extension", head + size + ";a=b\r!" + data + end},
          {"a control byte in an extension", head + size + ";a\x01\r\n" + data + end},
          {"a line feed alone after an extension", head + size + ";a=b\n" + data + end},
          {"no size", head + Lines("") + data + end},
          {"no digit before an extension", head + Lines(";a=b") + data + end},
          {"a size with a sign", head + Lines("+" + size) + data + end},
          {"a size beyond 64 bits", head + Lines("10000000000000000" + size) + data + end},
          {"no line feed after the last size", head + chunk + "0\r!" + Lines(""), 0, true},
          {"one chunk", head + chunk + end, 200},
          {"an extension", head + Lines(size + ";a=\"b\"") + data + end, 200},
          {"an extension of the last chunk", head + chunk + Lines("0;a=b") + Lines(""), 200},
          {"leading zeros", head + Lines("000" + size) + data + Lines("000") + Lines(""), 200},
          {"two chunks", head + Chunk(body.substr(0, 3)) + Chunk(body.substr(3)) + end, 200}};
}

}  // namespace balsambay::system_test
