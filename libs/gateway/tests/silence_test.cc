// Tests of the detection of silent plain endpoints, with an endpoint over loopback.
#include "details/silence.h"

#include <array>
#include <catch2/catch.hpp>

#include "details/containment.h"
#include "details/fleet.h"
#include "details/monitor.h"

namespace balsambay::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kIdHeader = "Endpoint-Id";
constexpr duration kTick = 100ms;
constexpr const char* kService = "desk";

// A gateway without peers that checks the endpoint "e1", and the runs of one request on it.
struct fixture {
  net::loop loop;
  gateway_state state;
  std::unique_ptr<net::http_server> server;
  bool silent = false;
  std::string answers_as = "e1";
  std::vector<net::exchange_ptr> unanswered;
  quarantine::fingerprint key{1, 2};
  quarantine::run_id last_run = 0;

  fixture() : state(MakeSettings(), MakeWire(), {}, loop) {
    catalog::document document;
    document.version = 1;
    catalog::service service;
    service.name = kService;
    service.health_path = "/health";
    document.services = {service};
    state.configuration = std::make_shared<const catalog::catalog>(catalog::Build(document));
    net::server_handlers handlers;
    handlers.on_request = [this](const net::exchange_ptr& exchange) {
      if (silent) return unanswered.push_back(exchange);
      Answer(exchange);
    };
    server = net::ListenHttp("127.0.0.1:0", {}, loop.Timers(), std::move(handlers)).value();
    List({MakeEntry("e1", 1), MakeEntry("e2", 1)});
    Tick(MonotonicNow());
  }

  static settings MakeSettings() {
    settings values;
    values.id = "g1";
    values.zone = "a";
    values.seed = 1;
    values.memory_limit_bytes = size_t{100} << 20;
    return values;
  }
  static wire MakeWire() {
    wire calls;
    calls.read_reply = [](const net::reply_head& head) {
      reply_metadata facts;
      facts.endpoint_id = head.Get(kIdHeader);
      return facts;
    };
    return calls;
  }
  listed_endpoint MakeEntry(const std::string& id, uint64_t incarnation) const {
    listed_endpoint entry;
    entry.id = id;
    entry.service = kService;
    entry.address = "127.0.0.1:" + std::to_string(server->Port());
    entry.zone = "b";
    entry.incarnation = incarnation;
    return entry;
  }
  void List(const std::vector<listed_endpoint>& entries) { ReplaceEndpoints(state, entries); }

  void Answer(const net::exchange_ptr& exchange) const {
    exchange->Respond(200, std::array{net::header{std::string(kIdHeader), answers_as}}, "");
  }
  void AnswerAll() {
    silent = false;
    for (const auto& exchange : std::exchange(unanswered, {})) {
      if (exchange->IsOpen()) Answer(exchange);
    }
  }

  // A request is sent to "e1" and ends without an answer 1 s later, as far as the gateway knows.
  void EndUnanswered() {
    const time_point sent = MonotonicNow() - 1s;
    const quarantine::endpoint_instance instance{"e1", 1};
    quarantine::side_effects effects;
    quarantine::Start(state.quarantine, ++last_run, {key}, sent, effects);
    quarantine::SetRoute(state.quarantine, last_run, {&instance, 1}, effects, sent);
    quarantine::ReportUnanswered(state.quarantine, last_run, instance, sent + 1s, sent + 15s);
    quarantine::End(state.quarantine, last_run, quarantine::run_end::kFailed, std::nullopt,
                    sent + 1s, effects);
    CheckSilence(state, {"e1", 1, MakeEntry("e1", 1).address, kService, "b"}, sent);
  }

  void Tick(time_point now) {
    // The store confirms the list all the time.
    const auto now_ms = static_cast<uint64_t>(WholeMilliseconds(now.time_since_epoch()));
    RecordFeedPosition(state, feed::kEndpoints, 1, 1, {now, now, now_ms});
    // Another endpoint of the zone is heard of.
    if (zone_is_heard) FindEndpoint(state, "e2")->last_not_leaving_at = now;
    UpdateSilence(state, now);
    Subscribe(loop.Timers(), now + kTick, [this](time_point at) { Tick(at); });
  }
  void Run(duration time) {
    Subscribe(loop.Timers(), MonotonicNow() + time, [this](time_point) { loop.Quit(); });
    loop.Run();
  }
  bool IsSuspected() const {
    return quarantine::StateOf(state.quarantine, key) == quarantine::fingerprint_state::kSuspected;
  }

  bool zone_is_heard = true;
};

// Guards against a request that crashes endpoints without end because none of them is found lost.
TEST_CASE(
    "an endpoint that answers neither requests nor checks is lost after the longest silence") {
  fixture f;
  f.silent = true;
  f.EndUnanswered();
  f.Run(800ms);
  CHECK_FALSE(f.IsSuspected());
  f.Run(400ms);
  CHECK(f.IsSuspected());
}

// Guards against a loss that stands although the endpoint was only cut off or paused: its answers
// to checks that were sent before the loss was found arrive after it.
TEST_CASE("the loss of a silent endpoint is withdrawn when it answers as it was") {
  const bool restarted = GENERATE(false, true);
  CAPTURE(restarted);
  fixture f;
  f.silent = true;
  f.EndUnanswered();
  f.Run(1200ms);
  REQUIRE(f.IsSuspected());
  f.AnswerAll();
  f.Run(200ms);
  // The list may not show a restart yet.
  CHECK(f.IsSuspected());
  if (restarted) f.List({f.MakeEntry("e1", 2), f.MakeEntry("e2", 1)});
  f.Run(600ms);
  CHECK(f.IsSuspected() == restarted);
}

TEST_CASE("an endpoint is lost at once when another one answers at its address") {
  fixture f;
  f.answers_as = "e3";
  f.EndUnanswered();
  f.Run(200ms);
  CHECK(f.IsSuspected());
}

// Guards against requests that are blamed for endpoints that are slow, that serve on without an
// entry, or whose zone is cut off.
TEST_CASE("an endpoint is not lost if it answers a check, or if its zone is silent") {
  fixture f;
  SECTION("it answers late") {
    f.silent = true;
    f.EndUnanswered();
    f.Run(700ms);
    f.AnswerAll();
  }
  SECTION("it has left the list") {
    f.List({f.MakeEntry("e2", 1)});
    f.EndUnanswered();
  }
  SECTION("nobody in its zone is heard of") {
    f.silent = true;
    f.zone_is_heard = false;
    f.EndUnanswered();
  }
  f.Run(2500ms);
  CHECK_FALSE(f.IsSuspected());
}

}  // namespace
}  // namespace balsambay::gateway
