// Options of all streams to other processes.
#pragma once

#include <gio/gio.h>

namespace balsambay::net {

// Sends small pieces at once and gives up on peers that acknowledge nothing.
void SetStreamOptions(GSocket* socket);

}  // namespace balsambay::net
