// Options of all streams to other processes.
#include "details/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace balsambay::net {
namespace {

// A peer that acknowledges nothing for this long is unreachable; ms. Long enough for two
// retransmissions on a lossy link.
constexpr int kUnacknowledgedMs = 2000;

}  // namespace

void SetStreamOptions(GSocket* socket) {
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, TRUE, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs, nullptr);
}

}  // namespace balsambay::net
