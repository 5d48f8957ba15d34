// Byte stream over a non-blocking GIO socket on GLib's default main context, with a send buffer.
// C++17: shared by the websocketpp target and the C++20 code.
#pragma once

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsambay::peer {

struct stream_handlers {
  std::function<void()> on_connected;              // once, for outgoing sockets only
  std::function<void(std::string_view)> on_bytes;  // bytes in the order received
  std::function<void()> on_end;                    // end of stream or error, at most once
};

// Handlers run only from the main loop, never from inside a call to the stream.
class gio_stream : public std::enable_shared_from_this<gio_stream> {
 public:
  // Takes over one reference to `socket`. `connecting`: a connect is in progress on it.
  gio_stream(GSocket* socket, bool connecting);
  ~gio_stream();
  gio_stream(const gio_stream&) = delete;
  gio_stream& operator=(const gio_stream&) = delete;

  void Start(stream_handlers handlers);

  // Sends at once what the kernel takes and keeps the rest. A failed socket drops the bytes and
  // reports the end through the loop.
  void Write(std::string_view bytes);

  // Closes the socket; handlers do not run afterwards.
  void Shutdown();

  size_t Buffered() const { return out_.size() - sent_; }
  uint64_t BytesIn() const { return bytes_in_; }
  uint64_t BytesOut() const { return bytes_out_; }

 private:
  static gboolean readable_cb(GSocket* socket, GIOCondition condition, gpointer self);
  static gboolean writable_cb(GSocket* socket, GIOCondition condition, gpointer self);
  void WatchReadable();
  void WatchWritable();
  void FinishConnect();
  void ReadSome();
  void Flush();
  void End();

  GSocket* socket_;
  GSource* read_source_ = nullptr;
  GSource* write_source_ = nullptr;
  stream_handlers handlers_;
  std::string out_;  // bytes from `sent_` on are not yet taken by the kernel
  size_t sent_ = 0;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
  bool connecting_;
  bool closed_ = false;
};

}  // namespace balsambay::peer
