// A daemon's HTTP port with scripted replies, on a loopback address and its own thread.
#pragma once

#include <libsoup/soup.h>

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace balsambay::ctl {

struct scripted_reply {
  unsigned status = 200;  // 0 closes the connection after `body`, which is sent without a head
  std::string body;
};

struct seen_request {
  std::string target;  // "POST /path?query"
  std::string authorization;
  std::string body;
};

class fake_daemon {
 public:
  fake_daemon();
  ~fake_daemon();
  fake_daemon(const fake_daemon&) = delete;
  fake_daemon& operator=(const fake_daemon&) = delete;

  // Replies to `target` in order; the last one is repeated. Other targets get 404.
  void Script(const std::string& target, std::vector<scripted_reply> replies);
  std::vector<seen_request> Requests();
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static void Handle(SoupServer* server, SoupServerMessage* message, const char* path,
                     GHashTable* query, gpointer self);
  scripted_reply Answer(const seen_request& request);
  void Serve();

  std::mutex mutex_;  // guards scripts_ and requests_
  std::map<std::string, std::vector<scripted_reply>> scripts_;
  std::vector<seen_request> requests_;
  GMainContext* context_ = g_main_context_new();
  GMainLoop* loop_ = g_main_loop_new(context_, FALSE);
  SoupServer* server_ = nullptr;
  int port_ = 0;
  std::thread thread_;
};

}  // namespace balsambay::ctl
