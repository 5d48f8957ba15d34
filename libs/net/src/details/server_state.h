// State of the HTTP server that its parts share: requests before they reach the handler, and
// exchanges.
#pragma once

#include <libsoup/soup.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "details/client_connection.h"
#include "net/http_server.h"

namespace balsambay::net {

struct intake;
using idle_map = std::map<uint64_t, intake*>;  // by the number of the connection's request

struct server_state {
  server_limits limits;
  timer_service* timers = nullptr;
  std::shared_ptr<const server_handlers> handlers;
  // Shared with the messages and exchanges, which may outlive the server.
  // Requests whose head has arrived, without the whole body.
  std::shared_ptr<std::set<intake*>> unread = std::make_shared<std::set<intake*>>();
  std::shared_ptr<size_t> unfinished_replies = std::make_shared<size_t>(0);
  // Connections that wait for the headers of a request, the oldest first.
  std::shared_ptr<idle_map> idle = std::make_shared<idle_map>();
  uint64_t started = 0;  // connections and further requests on them
  std::shared_ptr<connection_set> connections = std::make_shared<connection_set>();
};

// Ends the connection of a message for both sides.
void ShutdownConnection(SoupServerMessage* message);

// The body of a request, and its share of the common limit.
struct request_body {
  std::string bytes;
  std::unique_ptr<buffer_share> share;
};

// Limits of one request before it reaches the handler, and its body. Owned by the message.
struct intake {
  server_state* server = nullptr;  // gone when an exchange outlives its server
  timer_service* timers = nullptr;
  SoupServerMessage* message = nullptr;
  timer_id timer = 0;
  request_body body;
  bool rejected = false;
  std::shared_ptr<std::set<intake*>> unread = nullptr;
  uint64_t number = 0;                       // key in `idle`
  std::shared_ptr<idle_map> idle = nullptr;  // that it may be in
  std::shared_ptr<client_connection> connection = nullptr;
  size_t head_bytes = 0;  // counted by the connection
  bool executed = false;
};

// Answers a request that has not arrived whole on its socket, because libsoup replies only after
// the whole body. The rest of the body is discarded for a limited time.
void RespondEarly(intake& state, std::string_view status, std::span<const header> headers,
                  std::string_view body);

// Handlers of libsoup's signals; the last argument is the server_state.
void OnRequestStarted(SoupServer* server, SoupServerMessage* message, gpointer data);
void OnRequest(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query,
               gpointer data);

// Starts the exchange of a request that has arrived whole.
exchange_ptr StartExchange(SoupServerMessage* message, request_body body,
                           const server_state& server);

}  // namespace balsambay::net
