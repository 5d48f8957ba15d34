// Joins websocketpp's iostream transport and a GIO stream.
#include "websocket_link.h"

#include "gio_stream.h"
#include "net/reply_scanner.h"
#include "websocket_config.h"

namespace balsambay::peer {
namespace {

namespace ws = websocketpp;

template <class Endpoint>
class link_impl final : public websocket_link {
 public:
  using connection_ptr = typename Endpoint::connection_ptr;
  using message_ptr = typename Endpoint::message_ptr;

  link_impl(GSocket* socket, bool connecting, const link_limits& limits, link_handlers handlers)
      : limits_(limits),
        handlers_(std::move(handlers)),
        stream_(std::make_shared<gio_stream>(socket, connecting)),
        awaits_reply_(connecting) {}
  ~link_impl() override { Release(); }

  // `begin` starts the connection once the socket is usable.
  void Start(const std::shared_ptr<link_impl>& self, connection_ptr connection,
             const std::function<void()>& begin, bool connecting) {
    connection_ = std::move(connection);
    BindConnection();
    const std::weak_ptr<link_impl> weak = self;
    stream_->Start({[begin] { begin(); },
                    [weak](std::string_view bytes) {
                      if (const auto link = weak.lock()) link->OnBytes(bytes);
                    },
                    [weak] {
                      if (const auto link = weak.lock()) link->End(link_end::kTransport);
                    }});
    if (!connecting) begin();
  }

  bool Send(std::string_view payload) override {
    if (ended_ || !open_) return false;
    if (stream_->Buffered() + payload.size() > limits_.max_send_buffer_bytes) return false;
    return !connection_->send(payload.data(), payload.size(), ws::frame::opcode::binary);
  }

  void Ping() override {
    ws::lib::error_code ignored;
    if (!ended_ && open_) connection_->ping("", ignored);
  }

  void Close() override {
    if (ended_) return;
    ended_ = true;
    ws::lib::error_code ignored;
    if (open_) connection_->close(ws::close::status::going_away, "", ignored);
    Release();
  }

  size_t Buffered() const override { return stream_->Buffered(); }
  uint64_t BytesIn() const override { return stream_->BytesIn(); }
  uint64_t BytesOut() const override { return stream_->BytesOut(); }

 private:
  void BindConnection() {
    connection_->set_max_message_size(limits_.max_message_bytes);
    connection_->set_write_handler([this](ws::connection_hdl, const char* data, size_t size) {
      stream_->Write(std::string_view(data, size));
      return ws::lib::error_code();
    });
    connection_->set_vector_write_handler(
        [this](ws::connection_hdl, const std::vector<ws::transport::buffer>& buffers) {
          WriteAll(buffers);
          return ws::lib::error_code();
        });
    connection_->set_open_handler([this](ws::connection_hdl) { OnOpen(); });
    connection_->set_message_handler(
        [this](ws::connection_hdl, message_ptr message) { OnMessage(*message); });
    connection_->set_pong_handler([this](ws::connection_hdl, const std::string&) {
      if (!ended_) handlers_.on_pong();
    });
  }

  // One write for the frame header and the payload, so that they leave in one segment.
  void WriteAll(const std::vector<ws::transport::buffer>& buffers) {
    std::string joined;
    for (const auto& buffer : buffers) joined.append(buffer.buf, buffer.len);
    stream_->Write(joined);
  }

  void OnOpen() {
    if (ended_) return;
    open_ = true;
    handlers_.on_open();
  }

  template <class Message>
  void OnMessage(Message& message) {
    if (!ended_) handlers_.on_message(message.get_payload());
  }

  // Checks the head of the reply to the handshake, of which websocketpp trims the field names.
  // Returns false if it is malformed.
  bool CheckReply(std::string_view bytes) {
    if (!awaits_reply_) return true;
    net::ScanReply(reply_, bytes);
    awaits_reply_ = reply_.phase != net::reply_phase::kHeadEnd;
    return reply_.fault == net::reply_fault::kNone;
  }

  void OnBytes(std::string_view bytes) {
    if (!CheckReply(bytes)) return End(link_end::kProtocol);
    connection_->read_all(bytes.data(), bytes.size());
    if (ended_) {
      // A handler closed the link during the read, after which websocketpp asked for more input.
      connection_->eof();
      return;
    }
    if (connection_->get_state() == ws::session::state::connecting) return;
    if (connection_->get_state() != ws::session::state::open) End(EndReason());
  }

  link_end EndReason() const {
    const ws::close::status::value code = connection_->get_local_close_code();
    if (code == ws::close::status::message_too_big) return link_end::kOversized;
    const ws::close::status::value remote = connection_->get_remote_close_code();
    if (remote != ws::close::status::abnormal_close) return link_end::kClosedByPeer;
    return link_end::kProtocol;
  }

  void End(link_end reason) {
    if (ended_) return;
    ended_ = true;
    Release();
    handlers_.on_end(reason);
  }

  // The pending read of websocketpp holds the connection in a reference cycle until it ends.
  void Release() {
    ended_ = true;
    stream_->Shutdown();
    if (connection_) connection_->eof();
  }

  link_limits limits_;
  link_handlers handlers_;
  std::shared_ptr<gio_stream> stream_;
  connection_ptr connection_;
  bool awaits_reply_;  // to the handshake that this side has sent
  net::reply_scanner reply_;
  bool open_ = false;
  bool ended_ = false;
};

template <class Endpoint>
Endpoint& SharedEndpoint() {
  static Endpoint endpoint;
  return endpoint;
}

}  // namespace

std::shared_ptr<websocket_link> StartServerLink(GSocket* socket, const link_limits& limits,
                                                link_handlers handlers) {
  using impl = link_impl<server_endpoint>;
  auto link = std::make_shared<impl>(socket, false, limits, std::move(handlers));
  auto connection = SharedEndpoint<server_endpoint>().get_connection();
  link->Start(
      link, connection, [raw = connection.get()] { raw->start(); }, false);
  return link;
}

std::shared_ptr<websocket_link> StartClientLink(GSocket* socket, const std::string& address,
                                                const link_limits& limits, link_handlers handlers) {
  using impl = link_impl<client_endpoint>;
  auto link = std::make_shared<impl>(socket, true, limits, std::move(handlers));
  client_endpoint& endpoint = SharedEndpoint<client_endpoint>();
  ws::lib::error_code error;
  auto connection = endpoint.get_connection("ws://" + address + "/peer", error);
  if (error) return nullptr;
  const std::weak_ptr<client_endpoint::connection_type> weak = connection;
  link->Start(
      link, connection,
      [&endpoint, weak] {
        if (const auto strong = weak.lock()) endpoint.connect(strong);
      },
      true);
  return link;
}

}  // namespace balsambay::peer
