// An endpoint that replies with any bytes, also ones that are no valid reply. Runs on the loop of
// the test.
#pragma once

#include <glib.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace balsambay::system_test {

// How a scripted endpoint sends.
struct scripted_faults {
  size_t piece_bytes = std::string::npos;  // of each write; one write a millisecond
  bool resets = false;                     // ends the connection with a reset
  // Bytes that follow the reply, by their number from 0, until the peer closes the connection.
  // Empty ones leave the connection open. Null: nothing follows, and the endpoint closes it.
  std::function<std::string(std::string_view request, size_t number)> more = nullptr;
};

// Writes the bytes that `reply_to` returns for each request and ends the connection.
class scripted_endpoint {
 public:
  using reply_function = std::function<std::string(std::string_view request)>;

  explicit scripted_endpoint(reply_function reply_to, scripted_faults how = {});
  ~scripted_endpoint();
  scripted_endpoint(const scripted_endpoint&) = delete;
  scripted_endpoint& operator=(const scripted_endpoint&) = delete;

  int Port() const;

 private:
  struct connection {
    int fd = -1;
    std::string request;
    std::string output;
    bool replying = false;
    bool is_status = false;
    size_t pieces = 0;  // of those after the reply
  };

  static gboolean OnTimer(gpointer data);
  void Pump(connection& open);
  void ReadRequest(connection& open);
  // Returns false if the peer has closed the connection.
  static bool Write(connection& open, size_t limit);
  void SendMore(connection& open) const;
  void End(connection& open) const;

  reply_function reply_to_;
  scripted_faults how_;
  int listener_ = -1;
  guint timer_ = 0;
  std::vector<connection> connections_;
};

// A whole reply with a length.
std::string WholeReply(std::string_view body);

// `data` as one chunk of a chunked body.
std::string Chunk(std::string_view data);

// Each length at which `whole` may be cut, in steps that keep a test short.
std::vector<size_t> CutLengths(std::string_view whole, size_t step);

}  // namespace balsambay::system_test
