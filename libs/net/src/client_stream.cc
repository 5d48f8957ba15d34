// The streams that libsoup reads from and writes to: GObject classes over a client_connection.
#include "details/client_connection.h"

namespace balsambay::net {
namespace {

constexpr const char* kConnectionKey = "balsambay-connection";

// The names of GObject classes are those of GLib's macros.
// NOLINTBEGIN
using connection_ptr = std::shared_ptr<client_connection>;

struct HeadInputStream {
  GInputStream parent;
  connection_ptr* connection;
};
struct HeadInputStreamClass {
  GInputStreamClass parent;
};

void head_input_stream_pollable_init(GPollableInputStreamInterface* iface, gpointer);

G_DEFINE_TYPE_WITH_CODE(HeadInputStream, head_input_stream, G_TYPE_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
                                              head_input_stream_pollable_init))

client_connection& ConnectionOf(gpointer stream) {
  return **reinterpret_cast<HeadInputStream*>(stream)->connection;
}

// libsoup's server does not block.
gssize ReadBlocking(GInputStream*, void*, gsize, GCancellable*, GError** error) {
  g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED, "the stream does not block");
  return -1;
}

gssize ReadNonblocking(GPollableInputStream* stream, void* buffer, gsize size, GError** error) {
  return ConnectionOf(stream).Read(static_cast<char*>(buffer), size, error);
}

gboolean IsReadable(GPollableInputStream* stream) {
  return ConnectionOf(stream).IsReadable() ? TRUE : FALSE;
}

GSource* CreateSource(GPollableInputStream* stream, GCancellable* cancellable) {
  GSource* child = ConnectionOf(stream).MakeSource();
  GSource* source = g_pollable_source_new_full(stream, child, cancellable);
  g_source_unref(child);
  return source;
}

gboolean Close(GInputStream* stream, GCancellable*, GError** error) {
  return g_io_stream_close(G_IO_STREAM(ConnectionOf(stream).Stream()), nullptr, error);
}

void Finalize(GObject* object) {
  delete reinterpret_cast<HeadInputStream*>(object)->connection;
  G_OBJECT_CLASS(head_input_stream_parent_class)->finalize(object);
}

void head_input_stream_init(HeadInputStream*) {}

void head_input_stream_class_init(HeadInputStreamClass* type) {
  G_OBJECT_CLASS(type)->finalize = Finalize;
  G_INPUT_STREAM_CLASS(type)->read_fn = ReadBlocking;
  G_INPUT_STREAM_CLASS(type)->close_fn = Close;
}

void head_input_stream_pollable_init(GPollableInputStreamInterface* iface, gpointer) {
  iface->is_readable = IsReadable;
  iface->create_source = CreateSource;
  iface->read_nonblocking = ReadNonblocking;
}
// NOLINTEND

void DeleteConnection(gpointer data) { delete static_cast<connection_ptr*>(data); }

}  // namespace

GIOStream* MakeStream(std::shared_ptr<client_connection> connection) {
  GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(connection->Stream()));
  auto* input = static_cast<HeadInputStream*>(g_object_new(head_input_stream_get_type(), nullptr));
  input->connection = new connection_ptr(std::move(connection));
  GIOStream* stream = g_simple_io_stream_new(G_INPUT_STREAM(input), output);
  g_object_unref(input);
  return stream;
}

GSocketAddress* TagAddress(GSocketAddress* address,
                           const std::shared_ptr<client_connection>& connection) {
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  GSocketAddress* copy = g_inet_socket_address_new(g_inet_socket_address_get_address(inet),
                                                   g_inet_socket_address_get_port(inet));
  g_object_set_data_full(G_OBJECT(copy), kConnectionKey, new connection_ptr(connection),
                         DeleteConnection);
  return copy;
}

std::shared_ptr<client_connection> ConnectionOf(SoupServerMessage* message) {
  GSocketAddress* address = soup_server_message_get_remote_address(message);
  if (address == nullptr) return nullptr;
  const auto* found =
      static_cast<connection_ptr*>(g_object_get_data(G_OBJECT(address), kConnectionKey));
  return found == nullptr ? nullptr : *found;
}

}  // namespace balsambay::net
