// Attempts at endpoints.
#include "details/attempt.h"

#include <algorithm>
#include <array>

#include "details/containment.h"
#include "details/fleet.h"
#include "log/log.h"

namespace balsambay::gateway {
namespace {

using std::chrono_literals::operator""ms;

constexpr std::array<std::string_view, 6> kFailureNames = {"not_sent", "not_executed", "broken",
                                                           "stalled",  "failed",       "moved"};

// Engines of the platform take 10 ranks; requests without one have 5.
constexpr int kMaxPriority = 9;
// An order to reroute is answered at once or not at all.
constexpr duration kRerouteTimeout = 400ms;
// Further paths that are tried when one of the new engines refuses.
constexpr int kMaxReroutes = 2;
// A reply larger than this is not collected in memory.
constexpr size_t kMaxReplyBytes = size_t{16} << 20;
// Bytes without an end of an event beyond this are no event stream; events hold a few tokens.
constexpr size_t kMaxEventBytes = size_t{256} << 10;
// An endpoint that failed all its recent requests counts as this many requests longer.
constexpr double kFailurePenalty = 20;
// A suspect waits at most this long for engines without others: about the time in which these make
// their first output. Callers wait two seconds for theirs.
constexpr duration kApartWait = 400ms;
constexpr std::ptrdiff_t kMostApart = 6;
// Preference for the own zone, in requests.
constexpr double kOtherZonePenalty = 0.5;

const catalog::service* ServiceOf(const call& item) {
  return catalog::FindService(*item.configuration, item.service);
}

double ExpectedTokens(const call& item, const pipeline::model_spec& model) {
  double answer = model.usual_answer_tokens;
  // The caller's estimate is right at the median only, so it is averaged with the usual length.
  if (item.incoming.expected_answer_tokens > 0) {
    answer = (answer + item.incoming.expected_answer_tokens) / 2;
  }
  if (item.incoming.max_answer_tokens > 0) {
    answer = std::min(answer, item.incoming.max_answer_tokens);
  }
  return item.incoming.prompt_tokens + answer;
}

std::vector<size_t> IndexesOf(std::span<const pipeline::engine> engines,
                              const std::set<std::string>& ids) {
  std::vector<size_t> out;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (ids.contains(engines[i].id)) out.push_back(i);
  }
  return out;
}

std::vector<call_hop> ToHops(const pipeline::path& stages,
                             std::span<const pipeline::engine> engines) {
  std::vector<call_hop> out;
  std::ranges::transform(stages, std::back_inserter(out), [&](const pipeline::path_stage& stage) {
    const pipeline::engine& engine = engines[stage.engine];
    return call_hop{engine.id, engine.address, stage.range};
  });
  return out;
}

int ZoneCrossings(const pipeline::path& stages, std::span<const pipeline::engine> engines) {
  int crossings = 0;
  for (size_t i = 1; i < stages.size(); ++i) {
    if (engines[stages[i].engine].zone != engines[stages[i - 1].engine].zone) ++crossings;
  }
  return crossings;
}

// Of the open path, as far as its engines are still known.
int CrossingsOf(gateway_state& state, const call& item) {
  int crossings = 0;
  std::string_view last;
  for (const call_hop& part : item.path) {
    const endpoint* engine = FindEndpoint(state, part.endpoint_id);
    if (engine == nullptr) continue;
    if (!last.empty() && last != engine->listed.zone) ++crossings;
    last = engine->listed.zone;
  }
  return crossings;
}

std::vector<hop> WireHops(const std::vector<call_hop>& path) {
  std::vector<hop> out;
  std::ranges::transform(path, std::back_inserter(out), [](const call_hop& entry) {
    return hop{entry.address, entry.range};
  });
  return out;
}

struct pipeline_choice {
  start_result result = start_result::kNoEndpoint;
  std::vector<call_hop> path;
};

// Which engines a request may use.
enum class company : uint8_t {
  kAny,
  kApart,  // without those that run other suspects
};

std::vector<size_t> ExcludedEngines(const gateway_state& state, const call& item,
                                    std::span<const pipeline::engine> engines, company company) {
  std::vector<size_t> out = IndexesOf(engines, item.avoided);
  if (company == company::kAny) return out;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (HasSuspect(state, engines[i].id)) out.push_back(i);
  }
  return out;
}

// `reached`: endpoints that count as tried.
pipeline_choice ChoosePipeline(gateway_state& state, const call& item,
                               const catalog::service& service,
                               const std::set<std::string>& reached, company company) {
  const pipeline::model_spec& model = *service.pipelined;
  const std::vector<pipeline::engine> engines = ViewEngines(state, service, MonotonicNow());
  const std::vector<size_t> excluded = ExcludedEngines(state, item, engines, company);
  // A request that may not be sent to further endpoints begins again where it was.
  std::vector<size_t> heads;
  if (static_cast<int>(reached.size()) >= item.route->max_attempts) {
    heads = IndexesOf(engines, reached);
    if (heads.empty()) return {};
  }
  const pipeline::path_query query{.tokens = ExpectedTokens(item, model),
                                   .home_zone = state.config.zone,
                                   .head = {},
                                   // An answer that has begun is worth more than one that has not.
                                   .ignore_room = item.streaming,
                                   .excluded = excluded,
                                   .heads = heads,
                                   .old_figures = !state.topology.exact,
                                   .seed = state.rng()};
  const pipeline::path_choice choice = pipeline::ChoosePath(model, engines, query);
  switch (choice.verdict) {
    case pipeline::path_verdict::kUncovered:
      return {};
    case pipeline::path_verdict::kNoRoom:
      return {start_result::kNoRoom, {}};
    case pipeline::path_verdict::kFound:
      return {start_result::kStarted, ToHops(choice.stages, engines)};
  }
  return {};
}

// Whether a suspect should wait for engines without others: it shows what it is only there. With
// many suspects, something else takes engines down, and none of them waits.
bool MayWaitApart(const gateway_state& state, call& item) {
  const time_point now = MonotonicNow();
  if (item.apart_until == time_point()) {
    const auto suspects =
        std::ranges::count_if(state.calls, [](const auto& entry) { return entry.second->suspect; });
    item.apart_until = suspects <= kMostApart ? now + kApartWait : now;
  }
  return now < item.apart_until;
}

start_result TakePipeline(gateway_state& state, call& item, const catalog::service& service) {
  item.committed_tokens = ExpectedTokens(item, *service.pipelined);
  const std::set<std::string> reached = CountedEndpoints(state, item);
  pipeline_choice choice = ChoosePipeline(state, item, service, reached, company::kAny);
  if (choice.result == start_result::kStarted && item.suspect) {
    pipeline_choice apart = ChoosePipeline(state, item, service, reached, company::kApart);
    if (apart.result == start_result::kStarted) {
      choice = std::move(apart);
    } else if (MayWaitApart(state, item)) {
      return start_result::kNoneApart;
    }
  }
  if (choice.result == start_result::kStarted) item.path = std::move(choice.path);
  return choice.result;
}

// nullptr: none.
const endpoint* ChoosePlain(gateway_state& state, const call& item, company company) {
  const time_point now = MonotonicNow();
  const endpoint* best = nullptr;
  double best_cost = 0;
  for (const auto& [id, candidate] : state.endpoints) {
    if (candidate.listed.service != item.service || item.avoided.contains(id)) continue;
    if (!IsUsable(state, candidate, now)) continue;
    if (company == company::kApart && HasSuspect(state, id)) continue;
    const double cost = candidate.own.sequences + candidate.peers.sequences +
                        kFailurePenalty * FailureRate(candidate, now) +
                        (candidate.listed.zone == state.config.zone ? 0 : kOtherZonePenalty) +
                        UniformUnit(state.rng) * 0.1;
    if (best == nullptr || cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return best;
}

start_result TakePlain(gateway_state& state, call& item) {
  const endpoint* best = item.suspect ? ChoosePlain(state, item, company::kApart) : nullptr;
  if (best == nullptr) best = ChoosePlain(state, item, company::kAny);
  if (best == nullptr) return start_result::kNoEndpoint;
  item.committed_tokens = 0;
  item.path = {{best->listed.id, best->listed.address, {}}};
  return start_result::kStarted;
}

bool IsOpen(const call_ptr& item, uint32_t attempt) {
  return item && item->upstream && item->attempt == attempt;
}

bool IsStreamAnswer(const call& item) { return item.route->streamed && item.head.status == 200; }

bool IsForeign(const call& item) {
  return !item.facts.request_id.empty() && item.facts.request_id != item.incoming.id;
}

// Whether the reply belongs to the request and is as the endpoint made it.
bool IsOwnReply(const call& item) {
  const bool success = item.head.status >= 200 && item.head.status < 300;
  return !IsForeign(item) && !item.facts.encoded && (!success || item.facts.authentic);
}

void Fail(gateway_state& state, const call_ptr& item, attempt_failure failure,
          const attempt_events& events) {
  events.on_failure(state, item, failure);
}

void OnHead(gateway_state& state, const call_ptr& item, const net::reply_head& head,
            const attempt_events& events) {
  const uint32_t attempt = item->attempt;
  item->head = head;
  item->facts = state.wire.read_reply(head);
  // A reply of another request or endpoint says nothing about this one.
  endpoint* target = IsForeign(*item) || head.status == 421
                         ? nullptr
                         : FindEndpoint(state, item->path.front().endpoint_id);
  if (target != nullptr) ApplyFacts(state, *target, item->facts);
  if (!IsOpen(item, attempt)) return;
  if (item->facts.not_executed) return Fail(state, item, attempt_failure::kNotExecuted, events);
  if (!IsOwnReply(*item)) return Fail(state, item, attempt_failure::kBroken, events);
}

void OnData(gateway_state& state, const call_ptr& item, std::string_view data,
            const attempt_events& events) {
  if (!IsStreamAnswer(*item)) {
    item->reply_body += data;
    if (item->reply_body.size() > kMaxReplyBytes) {
      Fail(state, item, attempt_failure::kBroken, events);
    }
    return;
  }
  const std::string whole = TakeWholeEvents(item->events, data);
  if (item->events.partial.size() > kMaxEventBytes) {
    return Fail(state, item, attempt_failure::kBroken, events);
  }
  if (whole.empty()) return;
  const time_point now = MonotonicNow();
  Learn(item->progressed ? state.pace.gap : state.pace.first, now - item->last_progress);
  item->last_progress = now;
  item->progressed = true;
  ++item->outputs;
  NoteOutput(state, *item);
  events.on_output(state, item, whole);
}

void OnEnd(gateway_state& state, const call_ptr& item, const net::call_end& end,
           const attempt_events& events) {
  switch (end.failure) {
    case net::call_failure::kConnect:
      return Fail(state, item, attempt_failure::kNotSent, events);
    case net::call_failure::kTimeout:
      return Fail(state, item, attempt_failure::kStalled, events);
    case net::call_failure::kBroken:
      item->cut = true;
      return Fail(state, item, attempt_failure::kBroken, events);
    case net::call_failure::kNone:
      break;
  }
  const bool incomplete = IsStreamAnswer(*item) && !item->events.partial.empty();
  if (incomplete) return Fail(state, item, attempt_failure::kBroken, events);
  // An error cannot end an answer that has begun.
  const bool misplaced = item->streaming && item->head.status != 200;
  if (misplaced || item->head.status >= 500) {
    return Fail(state, item, attempt_failure::kFailed, events);
  }
  events.on_answer(state, item);
}

attempt_spec MakeSpec(const call& item, const endpoint& target, duration time_left) {
  attempt_spec spec;
  spec.address = target.listed.address;
  spec.endpoint_id = target.listed.id;
  spec.time_left = time_left;
  spec.workspace = item.workspace;
  spec.priority = std::clamp(item.priority, 0, kMaxPriority);
  if (item.path.front().range.Size() > 0) spec.path = WireHops(item.path);
  spec.last_event_id =
      item.events.last_id.empty() ? item.incoming.last_event_id : item.events.last_id;
  return spec;
}

net::client_callbacks MakeCallbacks(gateway_state& state, const call_ptr& item,
                                    const attempt_events& events) {
  const std::weak_ptr<call> weak = item;
  const uint32_t attempt = item->attempt;
  net::client_callbacks out;
  out.on_headers = [&state, weak, attempt, events](const net::reply_head& head) {
    const call_ptr held = weak.lock();
    if (IsOpen(held, attempt)) OnHead(state, held, head, events);
  };
  out.on_data = [&state, weak, attempt, events](std::string_view data) {
    const call_ptr held = weak.lock();
    if (IsOpen(held, attempt)) OnData(state, held, data, events);
  };
  out.on_end = [&state, weak, attempt, events](const net::call_end& end) {
    const call_ptr held = weak.lock();
    if (IsOpen(held, attempt)) OnEnd(state, held, end, events);
  };
  return out;
}

// A path that begins at the open attempt's head, engine number `head`. Full engines are used if
// there are no others.
pipeline::path_choice ChooseRest(const catalog::service& service,
                                 std::span<const pipeline::engine> engines, const call& item,
                                 size_t head, const gateway_state& state, company company) {
  std::vector<size_t> excluded = ExcludedEngines(state, item, engines, company);
  std::erase(excluded, head);
  pipeline::path_query query{.tokens = item.committed_tokens,
                             .home_zone = state.config.zone,
                             .head = pipeline::path_stage{head, item.path.front().range},
                             .ignore_room = false,
                             .excluded = excluded};
  pipeline::path_choice choice = pipeline::ChoosePath(*service.pipelined, engines, query);
  if (choice.verdict != pipeline::path_verdict::kNoRoom) return choice;
  query.ignore_room = true;
  return pipeline::ChoosePath(*service.pipelined, engines, query);
}

void AdoptPath(gateway_state& state, call& item, std::vector<call_hop> path) {
  PlaceAttempt(state, item, path);
  AttachLoad(state, item, -1);
  item.outputs = 0;
  item.path = std::move(path);
  AttachLoad(state, item, 1);
}

// A refusal that names an engine is met with a path without it.
void OnRerouteRefused(gateway_state& state, const call_ptr& item, const net::whole_reply& reply,
                      const attempt_events& events) {
  endpoint* fault =
      reply.status == 409 ? FindByAddress(state, state.wire.read_order_fault(reply.body)) : nullptr;
  if (fault != nullptr && ++item->reroutes <= kMaxReroutes) {
    item->avoided.insert(fault->listed.id);
    if (Reroute(state, item, false, events)) return;
  }
  events.on_reroute_failed(state, item);
}

}  // namespace

std::set<std::string> CountedEndpoints(gateway_state& state, const call& item) {
  std::set<std::string> out;
  for (const auto& [id, incarnation] : item.reached) {
    const endpoint* engine = FindEndpoint(state, id);
    const bool ended =
        engine == nullptr || engine->down || engine->listed.incarnation != incarnation;
    if (!ended) out.insert(id);
  }
  return out;
}

std::string_view ToString(attempt_failure failure) {
  return kFailureNames.at(static_cast<size_t>(failure));
}

start_result StartAttempt(gateway_state& state, const call_ptr& item,
                          const attempt_events& events) {
  const catalog::service* service = ServiceOf(*item);
  if (service == nullptr) return start_result::kNoEndpoint;
  const start_result chosen =
      service->pipelined ? TakePipeline(state, *item, *service) : TakePlain(state, *item);
  if (chosen != start_result::kStarted) return chosen;
  const time_point now = MonotonicNow();
  const endpoint& target = *FindEndpoint(state, item->path.front().endpoint_id);
  ++item->attempt;
  item->last_progress = now;
  item->progressed = false;
  item->outputs = 0;
  item->cut = false;
  item->rerouting = false;
  item->reroutes = 0;
  item->head = {};
  item->facts = {};
  item->reply_body.clear();
  DropPartialEvent(item->events);
  AttachLoad(state, *item, 1);
  PlaceAttempt(state, *item, item->path);
  net::client_request request = state.wire.write_attempt(item->incoming, item->body,
                                                         MakeSpec(*item, target, item->due - now));
  request.header_timeout = item->due - now;
  item->upstream = state.client->Send(std::move(request), MakeCallbacks(state, item, events));
  return start_result::kStarted;
}

bool MayStartElsewhere(gateway_state& state, const call& item) {
  const catalog::service* service = ServiceOf(item);
  if (service == nullptr || !service->pipelined) return false;
  std::set<std::string> reached = CountedEndpoints(state, item);
  reached.insert(item.path.front().endpoint_id);
  return ChoosePipeline(state, item, *service, reached, company::kAny).result ==
         start_result::kStarted;
}

void CloseAttempt(gateway_state& state, call& item) {
  if (!item.upstream) return;
  EndAttempt(state, item, attempt_end::kClosed);
  AttachLoad(state, item, -1);
  item.path.clear();
  Cancel(state.loop.Timers(), item.try_timer);
  item.upstream->Cancel();
  item.upstream.reset();
}

bool Reroute(gateway_state& state, const call_ptr& item, bool allow_crossings,
             const attempt_events& events) {
  const catalog::service* service = ServiceOf(*item);
  if (service == nullptr || !service->pipelined) return false;
  if (item->rerouting) return true;
  const std::vector<pipeline::engine> engines = ViewEngines(state, *service, MonotonicNow());
  const auto head =
      std::ranges::find(engines, item->path.front().endpoint_id, &pipeline::engine::id);
  if (head == engines.end()) return false;
  const auto index = static_cast<size_t>(head - engines.begin());
  pipeline::path_choice choice;
  if (item->suspect) choice = ChooseRest(*service, engines, *item, index, state, company::kApart);
  if (choice.verdict != pipeline::path_verdict::kFound) {
    choice = ChooseRest(*service, engines, *item, index, state, company::kAny);
  }
  if (choice.verdict != pipeline::path_verdict::kFound) return false;
  const bool crosses = ZoneCrossings(choice.stages, engines) > CrossingsOf(state, *item);
  if (crosses && !allow_crossings) return false;
  std::vector<call_hop> path = ToHops(choice.stages, engines);
  net::client_request order =
      state.wire.write_reroute(item->path.front().address, item->incoming.id, WireHops(path));
  order.header_timeout = kRerouteTimeout;
  item->rerouting = true;
  // The new engines may begin before the reply is here.
  std::vector<call_hop> both = item->path;
  both.insert(both.end(), path.begin(), path.end());
  PlaceAttempt(state, *item, both);
  metrics::Increment(state.metrics.registry, state.metrics.rerouted);
  const std::weak_ptr<call> weak = item;
  net::Fetch(*state.client, std::move(order),
             [&state, weak, attempt = item->attempt, path = std::move(path),
              events](const net::whole_reply& reply) {
               const call_ptr held = weak.lock();
               if (!IsOpen(held, attempt)) return;
               held->rerouting = false;
               if (endpoint* engine = FindEndpoint(state, path.front().endpoint_id)) {
                 ApplyFacts(state, *engine, state.wire.read_reply(reply.head));
               }
               const bool done = reply.end.failure == net::call_failure::kNone &&
                                 (reply.status == 200 || reply.status == 202);
               log::Log(log::level::kInfo, "request rerouted",
                        {{"request", held->incoming.id},
                         {"attempt", attempt},
                         {"head", path.front().endpoint_id},
                         {"status", reply.status},
                         {"detail", reply.end.detail}});
               if (!done) {
                 PlaceAttempt(state, *held, held->path);
                 return OnRerouteRefused(state, held, reply, events);
               }
               held->reroutes = 0;
               held->last_progress = MonotonicNow();
               AdoptPath(state, *held, path);
             });
  return true;
}

}  // namespace balsambay::gateway
