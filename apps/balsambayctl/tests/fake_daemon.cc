// Scripted HTTP server; see the header.
#include "fake_daemon.h"

#include <future>

namespace balsambay::ctl {

fake_daemon::fake_daemon() {
  std::promise<void> ready;
  thread_ = std::thread([&] {
    g_main_context_push_thread_default(context_);
    server_ = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(server_, nullptr, Handle, this, nullptr);
    soup_server_listen_local(server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
    GSList* uris = soup_server_get_uris(server_);
    port_ = uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    ready.set_value();
    Serve();
  });
  ready.get_future().wait();
}

void fake_daemon::Serve() {
  g_main_loop_run(loop_);
  g_object_unref(server_);
  g_main_context_pop_thread_default(context_);
}

fake_daemon::~fake_daemon() {
  // From inside the loop: a quit before the loop runs would be lost.
  g_main_context_invoke(
      context_,
      [](gpointer loop) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_REMOVE;
      },
      loop_);
  thread_.join();
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

void fake_daemon::Script(const std::string& target, std::vector<scripted_reply> replies) {
  const std::scoped_lock lock(mutex_);
  scripts_[target] = std::move(replies);
}

std::vector<seen_request> fake_daemon::Requests() {
  const std::scoped_lock lock(mutex_);
  return requests_;
}

scripted_reply fake_daemon::Answer(const seen_request& request) {
  const std::scoped_lock lock(mutex_);
  requests_.push_back(request);
  auto& replies = scripts_[request.target];
  if (replies.empty()) return {404, "{\"detail\":\"no such path\"}"};
  scripted_reply reply = replies.front();
  if (replies.size() > 1) replies.erase(replies.begin());
  return reply;
}

void fake_daemon::Handle(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
                         gpointer self) {
  const char* query = g_uri_get_query(soup_server_message_get_uri(message));
  const char* token = soup_message_headers_get_one(soup_server_message_get_request_headers(message),
                                                   "Authorization");
  const SoupMessageBody* body = soup_server_message_get_request_body(message);
  const std::string target = std::string(soup_server_message_get_method(message)) + " " + path +
                             (query == nullptr ? "" : std::string("?") + query);
  const scripted_reply reply = static_cast<fake_daemon*>(self)->Answer(
      {target, token == nullptr ? "" : token,
       std::string(body->data, static_cast<size_t>(body->length))});
  if (reply.status == 0) {
    GIOStream* connection = soup_server_message_steal_connection(message);
    g_output_stream_write_all(g_io_stream_get_output_stream(connection), reply.body.data(),
                              reply.body.size(), nullptr, nullptr, nullptr);
    g_io_stream_close(connection, nullptr, nullptr);
    g_object_unref(connection);
    return;
  }
  soup_server_message_set_status(message, reply.status, nullptr);
  soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, reply.body.data(),
                                   reply.body.size());
}

}  // namespace balsambay::ctl
