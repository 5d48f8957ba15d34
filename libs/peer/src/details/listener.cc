// Incoming connections.
#include "details/node.h"

namespace balsambay::peer::details {
namespace {

void Accept(node& node, GSocket* socket) {
  if (node.links.size() >= node.settings.max_links) {
    ++node.counters.rejected_links;
    g_object_unref(socket);
    return;
  }
  const link_id id = node.next_link++;
  AddLink(node, id, nullptr, "");
  node.links.at(id).link = StartServerLink(socket, LimitsOf(node), HandlersFor(node, id));
}

gboolean acceptable_cb(GSocket* socket, GIOCondition /*condition*/, gpointer data) {
  node& self = *static_cast<node*>(data);
  GError* error = nullptr;
  while (GSocket* accepted = g_socket_accept(socket, nullptr, &error)) Accept(self, accepted);
  const bool would_block = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
  g_clear_error(&error);
  // Out of descriptors: the next sweep listens again, so that the loop does not spin.
  if (!would_block) StopListening(self);
  return G_SOURCE_CONTINUE;
}

}  // namespace

result<void> StartListening(node& node) {
  BOOST_OUTCOME_TRY(address, ParseAddress(node.settings.listen_address));
  BOOST_OUTCOME_TRY(socket, Listen(address.get()));
  node.listener = std::move(socket);
  WatchListener(node);
  return Success();
}

void WatchListener(node& node) {
  if (node.accept_source != nullptr || !node.listener) return;
  node.accept_source = g_socket_create_source(node.listener.get(), G_IO_IN, nullptr);
  g_source_set_callback(node.accept_source, G_SOURCE_FUNC(acceptable_cb), &node, nullptr);
  g_source_attach(node.accept_source, nullptr);
}

void StopListening(node& node) {
  if (node.accept_source == nullptr) return;
  g_source_destroy(node.accept_source);
  g_source_unref(node.accept_source);
  node.accept_source = nullptr;
}

}  // namespace balsambay::peer::details
