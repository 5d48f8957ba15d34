// Requests on a caller's connection, sound and malformed, whose bodies are requests themselves: a
// server that misreads where one ends runs the hidden one.
#pragma once

#include <string>
#include <vector>

namespace balsambay::system_test {

struct request_template {
  std::string path;                  // of both requests
  std::string fields;                // of both, with Host, each with its CRLF
  std::vector<std::string> singles;  // fields that may stand once only, each with its CRLF
  std::string sound_body = "";       // of sound requests; empty: the hidden request, or none
};

struct request_case {
  std::string name;
  std::string text;    // all bytes that the caller sends
  bool sound = false;  // if not, it is refused and nothing runs
  std::string body;    // of a sound one
};

std::vector<request_case> RequestCases(const request_template& from);

}  // namespace balsambay::system_test
