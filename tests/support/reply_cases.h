// Replies of endpoints whose syntax breaks HTTP's grammar in one place, and sound ones that are
// close to them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace balsambay::system_test {

struct reply_case {
  std::string name;
  std::string text;   // all bytes that the endpoint sends before it ends the connection
  int status = 0;     // 0: the reply is broken
  bool late = false;  // the fault comes after the body
};

// What is the same in all replies of an installation.
struct reply_template {
  std::string fields;  // field lines that its callers or gateways need
  std::string body;
};

// Replies whose status line, field lines or interim replies vary, with a length or with chunks.
std::vector<reply_case> HeadCases(const reply_template& from, bool chunked);

// Replies with chunks whose trailer varies.
std::vector<reply_case> TrailerCases(const reply_template& from);

// Replies whose interim reply has fields that would frame a body.
std::vector<reply_case> InterimBodyCases(const reply_template& from, bool chunked);

// Replies whose chunks are framed in various ways.
std::vector<reply_case> ChunkCases(const reply_template& from);

}  // namespace balsambay::system_test
