// One connection of a caller, between the socket and libsoup. libsoup's parser allocates many times
// the size of a header section and has no limit on its lines. The connection therefore collects
// each section, checks its limits and its grammar, decides where the request ends, and gives it to
// libsoup only when it is whole and there is room for what the parser allocates.
#pragma once

#include <libsoup/soup.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "details/head_budget.h"
#include "details/head_scanner.h"
#include "net/http_server.h"

namespace balsambay::net {

// What the connections of one server share. They may outlive the server.
struct connection_set {
  server_limits limits;
  timer_service* timers = nullptr;
  std::weak_ptr<const server_handlers> handlers;
  size_t open = 0;
  std::map<std::string, size_t, std::less<>> open_by_address;
};

// Reports a connection that was refused or closed for `why`. `field`: name of the header field at
// fault; may be empty.
void ReportClosed(const connection_set& set, close_reason why, std::string_view field = {});

class client_connection {
 public:
  // Takes over the reference to `socket`, which is accepted and not blocking.
  client_connection(std::shared_ptr<connection_set> set, GSocket* socket, std::string address);
  ~client_connection();
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  GSocket* Socket() const { return socket_; }
  GSocketConnection* Stream() const { return stream_; }
  void Shutdown();

  // For the stream that libsoup reads from. Read() returns the bytes stored in `buffer`, 0 at the
  // end, or -1 with `error`, which is G_IO_ERROR_WOULD_BLOCK if there are none yet.
  gssize Read(char* buffer, size_t size, GError** error);
  bool IsReadable();
  // Becomes ready when Read() may succeed.
  GSource* MakeSource();

  // The header section that was read last has been parsed; its body follows. Returns the length
  // that the section states, 0 if the body comes in chunks. `encoding` and `length` are those that
  // libsoup will read; nullopt if they are not those of the section.
  std::optional<size_t> BeginBody(SoupEncoding encoding, goffset length);
  // The request is being executed: the connection is not closed for the room of others.
  void BeginExecution();
  // The request and its headers were freed. `executed`: BeginExecution() was called for it.
  void EndRequest(size_t head_bytes, bool executed);
  // Bytes counted for the header section that was read last; EndRequest() returns them. nullopt if
  // no section was delivered: libsoup ends a body after its first trailer, and takes further ones
  // for a request.
  std::optional<size_t> TakeHeadBytes();
  bool IsEvicted() const { return share_.IsEvicted(); }

 private:
  enum class phase : uint8_t { kHead, kDeliver, kParsed, kBody, kChunks, kRefused };

  gssize ReadHead(char* buffer, size_t size, GError** error);
  gssize ReadBody(char* buffer, size_t size, GError** error);
  gssize Deliver(char* buffer, size_t size);
  gssize Receive(char* buffer, size_t size, GError** error);
  // Checks what has been collected. Returns whether a section may be delivered.
  bool CheckHead();
  void StartHead();
  void DropPending(size_t bytes);
  // Checks the grammar of the whole section at the start of `pending_`. Returns whether it is
  // sound.
  bool CheckGrammar();
  void Refuse(close_reason why, std::string_view field = {});
  // Asks for `bytes` beyond what is held.
  grant Hold(size_t bytes);
  // Returns what is not held any more.
  void Shrink();
  size_t Counted() const;
  void Wake();

  std::shared_ptr<connection_set> set_;
  std::string address_;
  GSocket* socket_;
  GSocketConnection* stream_;
  GInputStream* input_;  // of `stream_`
  phase phase_ = phase::kHead;
  std::string pending_;  // received, not given to libsoup yet
  size_t deliver_ = 0;   // bytes of `pending_` that are a whole section
  head_scanner head_;
  bool chunked_ = false;     // framing of the section that was delivered last
  size_t stated_bytes_ = 0;  // length of its body; 0 if it is chunked
  chunk_scanner chunks_;
  size_t body_left_ = 0;
  bool head_started_ = false;  // `timer_` runs for the section
  size_t head_bytes_ = 0;      // counted for the section that was delivered last
  size_t request_bytes_ = 0;   // counted for all sections whose request is not freed
  size_t kept_bytes_ = 0;      // of libsoup's buffer, which it keeps for the next section
  int executing_ = 0;
  bool waiting_ = false;  // for room
  bool shut_down_ = false;
  timer_id timer_ = 0;
  GSource* wait_ = nullptr;  // that is woken when there may be room
  head_share share_;
};

// A stream over the connection for soup_server_accept_iostream(). It keeps the connection alive and
// closes it when it is closed.
GIOStream* MakeStream(std::shared_ptr<client_connection> connection);

// An address object that carries the connection, which libsoup hands back with each message.
GSocketAddress* TagAddress(GSocketAddress* address,
                           const std::shared_ptr<client_connection>& connection);
// The connection of a message.
std::shared_ptr<client_connection> ConnectionOf(SoupServerMessage* message);

}  // namespace balsambay::net
