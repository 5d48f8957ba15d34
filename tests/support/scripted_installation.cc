// Configuration of the scripted endpoints, and calls to them.
#include "scripted_installation.h"

#include <charconv>

namespace balsambay::system_test {

using nlohmann::json;

scripted_installation::scripted_installation(const std::string& name,
                                             const std::vector<std::string>& flags)
    : c(name), status_reply(WholeReply(R"({"state":"ready","active":0,"started_ms":1})")) {
  c.document["zones"]["z1"] = {{"region", "r1"}};
  c.document["models"] = json::object();
  c.AddDaemon("d1", "z1", flags);
}

void scripted_installation::AddService(const std::string& name, const scripted_faults& how,
                                       const std::string& reply) {
  json entry = Add(name, how, [reply](std::string_view) { return reply; });
  entry.update({{"kind", "service"}, {"service", name}});
  c.document["endpoints"][name] = entry;
  c.document["services"][name] = {{"repeatable", true}};
}

void scripted_installation::AddModel(const std::string& name, const scripted_faults& how,
                                     const scripted_endpoint::reply_function& reply_to) {
  constexpr int kLayers = 8;
  c.document["models"][name] = {{"layers", kLayers}};
  for (const std::string& id : {name + "-a", name + "-b"}) {
    json entry = Add(id, how, reply_to);
    entry.update({{"kind", "engine"},
                  {"accelerator", "a"},
                  {"model", name},
                  {"layers", {0, kLayers}},
                  {"tokens_per_second", 1000},
                  {"prefill_tokens_per_second", 50000},
                  {"checks_fencing", true}});
    c.document["endpoints"][id] = entry;
  }
}

reply_ptr scripted_installation::CallService(const std::string& name, bool repeatable,
                                             const std::string& text) {
  std::vector<net::header> headers = {{"Balsambay-Timeout-Ms", std::to_string(timeout_ms)}};
  if (!repeatable) {
    headers.push_back({"Balsambay-Repeatable", "no"});
    headers.push_back({"Idempotency-Key", name});
  }
  return c.SendCall("d1", "/v1/services/" + name, {{"for", name}, {"text", text}},
                    std::move(headers));
}

reply_ptr scripted_installation::CallModel(const std::string& name, bool stream) {
  constexpr int kMaxTokens = 8;
  const json body = {{"model", name},
                     {"messages", json::array({{{"role", "user"}, {"content", name}}})},
                     {"max_tokens", kMaxTokens},
                     {"stream", stream}};
  return c.SendCall("d1", "/v1/chat/completions", body,
                    {{"Balsambay-Timeout-Ms", std::to_string(timeout_ms)}});
}

json scripted_installation::Add(const std::string& id, const scripted_faults& how,
                                scripted_endpoint::reply_function reply_to) {
  auto reply = [this, id, reply_to = std::move(reply_to)](std::string_view request) {
    if (request.starts_with("GET /v1/status")) return status_reply;
    ++requests[id];
    if (on_request) on_request(request);
    return reply_to(request);
  };
  const auto& added =
      *endpoints_.emplace_back(std::make_unique<scripted_endpoint>(std::move(reply), how));
  c.document["vms"]["vm-" + id] = {{"zone", "z1"}};
  return {{"vm", "vm-" + id},
          {"address", "127.0.0.1:" + std::to_string(added.Port())},
          {"max_runs", 64}};
}

int AttemptOf(std::string_view request) {
  constexpr std::string_view kName = "\"attempt\":";
  const size_t at = request.find(kName);
  int attempt = 0;
  if (at == std::string_view::npos) return attempt;
  const std::string_view digits = request.substr(at + kName.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), attempt);
  return attempt;
}

}  // namespace balsambay::system_test
