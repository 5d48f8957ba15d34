// Connections of callers: collecting and checking header sections, and their streams.
#include "details/client_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <bit>

#include "details/request_head.h"

namespace balsambay::net {
namespace {

using namespace std::chrono_literals;

// Read at once while a section is collected.
constexpr size_t kPieceBytes = 16384;
// Time after a refusal in which what arrives is discarded, as after a rejected body.
constexpr duration kDiscardTime = 1s;

std::string_view StatusLine(close_reason why) {
  switch (why) {
    case close_reason::kHeaderBytes:
    case close_reason::kHeaderLines:
      return "431 Request Header Fields Too Large";
    case close_reason::kSlowHeader:
      return "408 Request Timeout";
    case close_reason::kHeaderMemory:
    case close_reason::kConnections:
      return "503 Service Unavailable";
    case close_reason::kEmptyLines:
    case close_reason::kChunks:
    case close_reason::kRequestLine:
    case close_reason::kFieldLine:
    case close_reason::kContentLength:
    case close_reason::kTransferEncoding:
    case close_reason::kRepeatedField:
    case close_reason::kFraming:
      return "400 Bad Request";
  }
  return "500 Internal Server Error";
}

close_reason ReasonOf(head_verdict verdict) {
  if (verdict == head_verdict::kTooManyLines) return close_reason::kHeaderLines;
  if (verdict == head_verdict::kTooManyEmptyLines) return close_reason::kEmptyLines;
  return close_reason::kHeaderBytes;
}

close_reason ReasonOf(head_fault fault) {
  switch (fault) {
    case head_fault::kFieldLine:
      return close_reason::kFieldLine;
    case head_fault::kContentLength:
      return close_reason::kContentLength;
    case head_fault::kTransferEncoding:
      return close_reason::kTransferEncoding;
    case head_fault::kRepeatedField:
      return close_reason::kRepeatedField;
    case head_fault::kNone:
    case head_fault::kRequestLine:
      break;
  }
  return close_reason::kRequestLine;
}

void SetWouldBlock(GError** error) {
  g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "no whole header section");
}

gboolean KeepSource(gpointer) { return G_SOURCE_CONTINUE; }

gboolean DispatchWait(GSource*, GSourceFunc callback, gpointer data) {
  return callback == nullptr ? G_SOURCE_CONTINUE : callback(data);
}

}  // namespace

void ReportClosed(const connection_set& set, close_reason why, std::string_view field) {
  const auto handlers = set.handlers.lock();
  if (handlers && handlers->on_closed) handlers->on_closed(why, field);
}

client_connection::client_connection(std::shared_ptr<connection_set> set, GSocket* socket,
                                     std::string address)
    : set_(std::move(set)),
      address_(std::move(address)),
      socket_(socket),
      stream_(g_socket_connection_factory_create_connection(socket)),
      input_(g_io_stream_get_input_stream(G_IO_STREAM(stream_))),
      share_(set_->limits.head_buffers, {.on_evicted =
                                             [this] {
                                               ReportClosed(*set_, close_reason::kHeaderMemory);
                                               Shutdown();
                                               Wake();
                                             },
                                         .on_room = [this] { Wake(); }}) {
  ++set_->open;
  ++set_->open_by_address[address_];
}

client_connection::~client_connection() {
  Cancel(*set_->timers, timer_);
  if (wait_ != nullptr) g_source_unref(wait_);
  g_object_unref(stream_);
  g_object_unref(socket_);
  --set_->open;
  const auto entry = set_->open_by_address.find(address_);
  if (--entry->second == 0) set_->open_by_address.erase(entry);
}

// A connection that waits for room does not watch its socket, so the end is passed on from here.
void client_connection::Shutdown() {
  shutdown(g_socket_get_fd(socket_), SHUT_RDWR);
  shut_down_ = true;
  waiting_ = false;
  Wake();
}

size_t client_connection::Counted() const {
  return pending_.capacity() + request_bytes_ + kept_bytes_;
}

grant client_connection::Hold(size_t bytes) {
  const grant granted = share_.Resize(Counted() + bytes);
  waiting_ = granted == grant::kWait;
  return granted;
}

void client_connection::Shrink() { (void)share_.Resize(std::min(Counted(), share_.Bytes())); }

void client_connection::DropPending(size_t bytes) {
  pending_.erase(0, bytes);
  if (pending_.empty()) std::string().swap(pending_);
  Shrink();
}

gssize client_connection::Receive(char* buffer, size_t size, GError** error) {
  return g_pollable_input_stream_read_nonblocking(G_POLLABLE_INPUT_STREAM(input_), buffer, size,
                                                  nullptr, error);
}

gssize client_connection::Read(char* buffer, size_t size, GError** error) {
  if (share_.IsEvicted() || shut_down_) return 0;
  switch (phase_) {
    case phase::kHead:
      return ReadHead(buffer, size, error);
    case phase::kDeliver:
      return Deliver(buffer, size);
    case phase::kParsed:
      // libsoup sees no end of the section where this side does.
      g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA, "header section without end");
      return -1;
    case phase::kBody:
    case phase::kChunks:
      return ReadBody(buffer, size, error);
    case phase::kRefused:
      break;
  }
  std::array<char, kPieceBytes> discarded{};
  const gssize got = Receive(discarded.data(), discarded.size(), error);
  if (got <= 0) return got;
  SetWouldBlock(error);
  return -1;
}

gssize client_connection::ReadHead(char* buffer, size_t size, GError** error) {
  // Set again by Hold() if there is still no room.
  waiting_ = false;
  while (!CheckHead()) {
    if (phase_ == phase::kRefused || waiting_) {
      SetWouldBlock(error);
      return -1;
    }
    const gssize available = std::max<gssize>(g_socket_get_available_bytes(socket_), 1);
    const size_t wanted = std::min(static_cast<size_t>(available), kPieceBytes);
    const size_t needed = pending_.size() + wanted;
    const size_t capacity =
        needed <= pending_.capacity() ? pending_.capacity() : std::bit_ceil(needed);
    const grant granted = Hold(capacity - pending_.capacity());
    if (granted != grant::kGranted) {
      if (granted == grant::kRefused) Refuse(close_reason::kHeaderMemory);
      SetWouldBlock(error);
      return -1;
    }
    std::array<char, kPieceBytes> piece;  // NOLINT: filled by Receive()
    const gssize got = Receive(piece.data(), wanted, error);
    if (got > 0) {
      pending_.reserve(capacity);
      pending_.append(piece.data(), static_cast<size_t>(got));
    }
    Shrink();
    if (got <= 0) return got;
  }
  return Deliver(buffer, size);
}

// The time for the section begins with its first byte.
void client_connection::StartHead() {
  if (std::exchange(head_started_, true)) return;
  if (executing_ == 0) share_.SetWaiting(MonotonicNow());
  Cancel(*set_->timers, timer_);
  if (set_->limits.header_timeout <= duration::zero()) return;
  timer_ =
      Subscribe(*set_->timers, MonotonicNow() + set_->limits.header_timeout, [this](time_point) {
        Refuse(waiting_ ? close_reason::kHeaderMemory : close_reason::kSlowHeader);
      });
}

bool client_connection::CheckHead() {
  // A whole section that waits for room is not scanned again.
  if (deliver_ == 0) {
    const head_limits limits{set_->limits.max_header_bytes, set_->limits.max_header_lines};
    head_verdict verdict = ScanHead(head_, limits, pending_);
    while (verdict == head_verdict::kEmptyLine) {
      DropPending(pending_.find('\n') + 1);
      verdict = ScanHead(head_, limits, pending_);
    }
    if (!pending_.empty()) StartHead();
    if (verdict == head_verdict::kIncomplete) return false;
    if (verdict != head_verdict::kComplete) {
      Refuse(ReasonOf(verdict));
      return false;
    }
    if (!CheckGrammar()) return false;
    deliver_ = head_.bytes;
  }
  const size_t kept = std::max(kept_bytes_, std::bit_ceil(deliver_));
  const size_t needed = ParserBytes(deliver_, head_.lines);
  const grant granted = Hold(needed + kept - kept_bytes_);
  if (granted == grant::kRefused) Refuse(close_reason::kHeaderMemory);
  if (granted != grant::kGranted) return false;
  Cancel(*set_->timers, timer_);
  head_bytes_ = needed;
  request_bytes_ += needed;
  kept_bytes_ = kept;
  phase_ = phase::kDeliver;
  return true;
}

bool client_connection::CheckGrammar() {
  const std::string_view section = std::string_view{pending_}.substr(0, head_.bytes);
  const request_head head = ReadRequestHead(section, set_->limits.single_fields);
  if (head.fault != head_fault::kNone) {
    Refuse(ReasonOf(head.fault), head.field);
    return false;
  }
  chunked_ = head.chunked;
  stated_bytes_ = head.body_bytes;
  return true;
}

// At most the section itself, so that libsoup holds no bytes of what follows.
gssize client_connection::Deliver(char* buffer, size_t size) {
  const size_t given = std::min(size, deliver_);
  std::copy_n(pending_.data(), given, buffer);
  deliver_ -= given;
  DropPending(given);
  if (deliver_ > 0) return static_cast<gssize>(given);
  head_ = {};
  head_started_ = false;
  phase_ = phase::kParsed;
  return static_cast<gssize>(given);
}

gssize client_connection::ReadBody(char* buffer, size_t size, GError** error) {
  if (phase_ == phase::kBody) size = std::min(size, body_left_);
  gssize got = 0;
  if (!pending_.empty()) {
    got = static_cast<gssize>(std::min(size, pending_.size()));
    std::copy_n(pending_.data(), got, buffer);
    DropPending(static_cast<size_t>(got));
  } else {
    got = Receive(buffer, size, error);
    if (got <= 0) return got;
  }
  if (phase_ == phase::kBody) {
    body_left_ -= static_cast<size_t>(got);
    if (body_left_ == 0) phase_ = phase::kHead;
    return got;
  }
  const size_t used = ScanChunks(chunks_, {buffer, static_cast<size_t>(got)});
  if (chunks_.failed) {
    Refuse(close_reason::kChunks);
    SetWouldBlock(error);
    return -1;
  }
  // What follows the body belongs to the next request. libsoup reads at most 8 KB at once.
  pending_.insert(0, buffer + used, static_cast<size_t>(got) - used);
  if (chunks_.complete) phase_ = phase::kHead;
  return static_cast<gssize>(used);
}

bool client_connection::IsReadable() {
  if (share_.IsEvicted() || shut_down_) return true;
  switch (phase_) {
    case phase::kDeliver:
    case phase::kParsed:
      return true;
    case phase::kHead:
      if (waiting_) return false;
      if (pending_.size() > head_.bytes) return true;
      break;
    case phase::kBody:
    case phase::kChunks:
      if (!pending_.empty()) return true;
      break;
    case phase::kRefused:
      break;
  }
  return g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(input_)) != FALSE;
}

GSource* client_connection::MakeSource() {
  const bool waits = waiting_ && !share_.IsEvicted();
  if (!waits && !IsReadable()) {
    return g_pollable_input_stream_create_source(G_POLLABLE_INPUT_STREAM(input_), nullptr);
  }
  // GLib requires a closure callback of sources that become children of others.
  static GSourceFuncs functions{nullptr, nullptr, DispatchWait, nullptr, KeepSource, nullptr};
  GSource* source = g_source_new(&functions, sizeof(GSource));
  if (!waits) g_source_set_ready_time(source, 0);
  if (wait_ != nullptr) g_source_unref(wait_);
  wait_ = g_source_ref(source);
  return source;
}

void client_connection::Wake() {
  if (wait_ != nullptr) g_source_set_ready_time(wait_, 0);
}

std::optional<size_t> client_connection::TakeHeadBytes() {
  if (phase_ != phase::kParsed) return std::nullopt;
  return std::exchange(head_bytes_, 0);
}

std::optional<size_t> client_connection::BeginBody(SoupEncoding encoding, goffset length) {
  if (phase_ != phase::kParsed) return std::nullopt;
  if (executing_ == 0) share_.SetWaiting(MonotonicNow());
  const bool same =
      chunked_ ? encoding == SOUP_ENCODING_CHUNKED
               : encoding != SOUP_ENCODING_CHUNKED && length == static_cast<goffset>(stated_bytes_);
  if (!same) {
    ReportClosed(*set_, close_reason::kFraming);
    return std::nullopt;
  }
  if (chunked_) {
    StartChunks(chunks_, {set_->limits.max_header_bytes, set_->limits.max_header_lines});
    phase_ = phase::kChunks;
    return 0;
  }
  body_left_ = stated_bytes_;
  phase_ = body_left_ > 0 ? phase::kBody : phase::kHead;
  return stated_bytes_;
}

void client_connection::BeginExecution() {
  ++executing_;
  share_.SetExecuting();
}

void client_connection::EndRequest(size_t head_bytes, bool executed) {
  request_bytes_ -= head_bytes;
  if (executed && --executing_ == 0) share_.SetWaiting(MonotonicNow());
  Shrink();
}

// Answers on the socket, because libsoup has no request to answer, and discards for a limited time
// what arrives, so that the caller receives the answer.
void client_connection::Refuse(close_reason why, std::string_view field) {
  if (phase_ == phase::kRefused) return;
  phase_ = phase::kRefused;
  waiting_ = false;
  ReportClosed(*set_, why, field);
  deliver_ = 0;
  DropPending(pending_.size());
  const std::string body =
      std::string(ToString(why)) + (field.empty() ? "" : ": ") + std::string(field) + "\n";
  const std::string text = "HTTP/1.1 " + std::string(StatusLine(why)) +
                           "\r\nConnection: close\r\nContent-Type: text/plain\r\n" +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  send(g_socket_get_fd(socket_), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  shutdown(g_socket_get_fd(socket_), SHUT_WR);
  Cancel(*set_->timers, timer_);
  timer_ =
      Subscribe(*set_->timers, MonotonicNow() + kDiscardTime, [this](time_point) { Shutdown(); });
  Wake();
}

}  // namespace balsambay::net
