// Non-blocking GIO socket with GLib sources for readiness.
#include "gio_stream.h"

#include <array>

namespace balsambay::peer {
namespace {

constexpr size_t kReadBytes = 16384;
// Reads of one socket before the loop serves other sources.
constexpr int kReadsPerTurn = 4;
// Sent bytes are dropped from the front of the buffer in steps of this size.
constexpr size_t kCompactBytes = 65536;

GSource* Attach(GSocket* socket, GIOCondition condition, GSocketSourceFunc fn, gpointer data) {
  GSource* source = g_socket_create_source(socket, condition, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(fn), data, nullptr);
  g_source_attach(source, nullptr);
  return source;
}

void Detach(GSource*& source) {
  if (source == nullptr) return;
  g_source_destroy(source);
  g_source_unref(source);
  source = nullptr;
}

bool IsWouldBlock(const GError* error) {
  return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

}  // namespace

gio_stream::gio_stream(GSocket* socket, bool connecting)
    : socket_(socket), connecting_(connecting) {
  g_socket_set_blocking(socket_, FALSE);
  g_socket_set_option(socket_, 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
}

gio_stream::~gio_stream() {
  Shutdown();
  g_object_unref(socket_);
}

void gio_stream::Start(stream_handlers handlers) {
  handlers_ = std::move(handlers);
  if (connecting_) {
    WatchWritable();
  } else {
    WatchReadable();
  }
}

void gio_stream::WatchReadable() {
  if (read_source_ == nullptr) {
    read_source_ = Attach(socket_, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR),
                          readable_cb, this);
  }
}

void gio_stream::WatchWritable() {
  if (write_source_ == nullptr) write_source_ = Attach(socket_, G_IO_OUT, writable_cb, this);
}

gboolean gio_stream::readable_cb(GSocket* /*socket*/, GIOCondition /*condition*/, gpointer self) {
  const std::shared_ptr<gio_stream> keep = static_cast<gio_stream*>(self)->shared_from_this();
  keep->ReadSome();
  return G_SOURCE_CONTINUE;
}

gboolean gio_stream::writable_cb(GSocket* /*socket*/, GIOCondition /*condition*/, gpointer self) {
  const std::shared_ptr<gio_stream> keep = static_cast<gio_stream*>(self)->shared_from_this();
  Detach(keep->write_source_);
  if (keep->connecting_) {
    keep->FinishConnect();
  } else {
    keep->Flush();
  }
  return G_SOURCE_REMOVE;
}

void gio_stream::FinishConnect() {
  connecting_ = false;
  if (g_socket_check_connect_result(socket_, nullptr) == FALSE) {
    End();
    return;
  }
  WatchReadable();
  if (handlers_.on_connected) handlers_.on_connected();
  if (!closed_) Flush();
}

void gio_stream::ReadSome() {
  std::array<char, kReadBytes> buffer;
  for (int turn = 0; turn < kReadsPerTurn && !closed_; ++turn) {
    GError* error = nullptr;
    const gssize got = g_socket_receive(socket_, buffer.data(), buffer.size(), nullptr, &error);
    const bool would_block = got < 0 && IsWouldBlock(error);
    g_clear_error(&error);
    if (would_block) return;
    if (got <= 0) {
      End();
      return;
    }
    bytes_in_ += static_cast<uint64_t>(got);
    handlers_.on_bytes(std::string_view(buffer.data(), static_cast<size_t>(got)));
    if (static_cast<size_t>(got) < buffer.size()) return;
  }
}

void gio_stream::Write(std::string_view bytes) {
  if (closed_) return;
  out_.append(bytes);
  if (!connecting_ && write_source_ == nullptr) Flush();
}

void gio_stream::Flush() {
  while (Buffered() > 0) {
    GError* error = nullptr;
    const gssize put = g_socket_send(socket_, out_.data() + sent_, Buffered(), nullptr, &error);
    const bool would_block = put < 0 && IsWouldBlock(error);
    g_clear_error(&error);
    if (would_block) {
      WatchWritable();
      break;
    }
    if (put < 0) {
      // The readable source reports the failure as an end of stream.
      sent_ = out_.size();
      break;
    }
    sent_ += static_cast<size_t>(put);
    bytes_out_ += static_cast<uint64_t>(put);
  }
  if (Buffered() == 0 || sent_ >= kCompactBytes) {
    out_.erase(0, sent_);
    sent_ = 0;
  }
}

void gio_stream::End() {
  if (closed_) return;
  Shutdown();
  if (handlers_.on_end) handlers_.on_end();
}

void gio_stream::Shutdown() {
  if (closed_) return;
  closed_ = true;
  Detach(read_source_);
  Detach(write_source_);
  g_socket_close(socket_, nullptr);
}

}  // namespace balsambay::peer
