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
// A list of endpoints that has not been confirmed for longer is worth a line for each request that
// it decides; the usual limit of age is below it.
constexpr duration kOldList = 3000ms;
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
  for (const call_hop& part : item.open->path) {
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
  kApart,    // without those that run other suspects
  kCertain,  // without those that may have said that they leave
};

// Whether an engine is left out.
bool IsLeftOut(const gateway_state& state, const std::string& id, const endpoint& item,
               company company, time_point now) {
  switch (company) {
    case company::kAny:
      return false;
    case company::kApart:
      return HasSuspect(state, id);
    case company::kCertain:
      return IsDoubtful(state, item, now);
  }
  return false;
}

// Where the open attempt entered, if there is one: its successor enters elsewhere.
std::string_view HeadInUse(const call& item) {
  if (!item.open) return {};
  return item.open->path.front().endpoint_id;
}

std::vector<size_t> ExcludedEngines(const gateway_state& state, const call& item,
                                    std::span<const pipeline::engine> engines, company company) {
  std::vector<size_t> out = IndexesOf(engines, item.avoided);
  if (company == company::kAny) return out;
  const time_point now = MonotonicNow();
  for (size_t i = 0; i < engines.size(); ++i) {
    const auto found = state.endpoints.find(engines[i].id);
    const bool known = found != state.endpoints.end();
    if (known && IsLeftOut(state, found->first, found->second, company, now)) out.push_back(i);
  }
  return out;
}

// Whether a path is too slow for a request that has not begun anywhere.
bool IsTooSlow(const gateway_state& state, const call& item, const pipeline::model_spec& model,
               const pipeline::path_choice& choice) {
  if (choice.verdict != pipeline::path_verdict::kFound || !item.route->streamed) return false;
  if (item.streaming || item.open || item.may_have_run) return false;
  const auto most = MaxTokenMs(state.pace, item.route->event_gap_goal, model.usual_answer_tokens);
  return most && choice.token_ms > *most;
}

pipeline_choice ChoosePipeline(gateway_state& state, const call& item,
                               const catalog::service& service, company company) {
  const pipeline::model_spec& model = *service.pipelined;
  const std::vector<pipeline::engine> engines = ViewEngines(state, service, MonotonicNow());
  std::vector<size_t> excluded = ExcludedEngines(state, item, engines, company);
  const auto in_use = std::ranges::find(engines, HeadInUse(item), &pipeline::engine::id);
  if (in_use != engines.end()) excluded.push_back(static_cast<size_t>(in_use - engines.begin()));
  // A request that may not be sent to further endpoints begins again where it was.
  std::vector<size_t> heads;
  const std::set<std::string> reached = CountedEndpoints(state, item);
  if (static_cast<int>(reached.size()) >= item.route->max_attempts) {
    heads = IndexesOf(engines, reached);
    if (heads.empty()) return {};
  }
  pipeline::path_query query{.tokens = ExpectedTokens(item, model),
                             .home_zone = state.config.zone,
                             .head = {},
                             // An answer that has begun is worth more than one that has not.
                             .ignore_room = item.streaming,
                             .excluded = excluded,
                             .heads = heads,
                             .old_figures = !state.topology.exact,
                             .seed = state.rng()};
  pipeline::path_choice choice = pipeline::ChoosePath(model, engines, query);
  if (IsTooSlow(state, item, model, choice)) {
    // The spread of costs may have led past the fastest path.
    query.old_figures = false;
    choice = pipeline::ChoosePath(model, engines, query);
    if (IsTooSlow(state, item, model, choice)) return {start_result::kTooSlow, {}};
  }
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

start_result TakePipeline(gateway_state& state, call& item, const catalog::service& service,
                          attempt& made) {
  made.committed_tokens = ExpectedTokens(item, *service.pipelined);
  pipeline_choice choice;
  if (IsListOld(state, MonotonicNow())) {
    choice = ChoosePipeline(state, item, service, company::kCertain);
  }
  if (choice.result != start_result::kStarted) {
    choice = ChoosePipeline(state, item, service, company::kAny);
  }
  if (choice.result == start_result::kStarted && item.suspect) {
    pipeline_choice apart = ChoosePipeline(state, item, service, company::kApart);
    if (apart.result == start_result::kStarted) {
      choice = std::move(apart);
    } else if (MayWaitApart(state, item)) {
      return start_result::kNoneApart;
    }
  }
  if (choice.result == start_result::kStarted) made.path = std::move(choice.path);
  return choice.result;
}

// nullptr: none.
const endpoint* ChoosePlain(gateway_state& state, const call& item, company company) {
  const time_point now = MonotonicNow();
  const endpoint* best = nullptr;
  double best_cost = 0;
  for (const auto& [id, candidate] : state.endpoints) {
    if (candidate.listed.service != item.service || item.avoided.contains(id)) continue;
    if (id == HeadInUse(item)) continue;
    if (!IsUsable(state, candidate, now)) continue;
    if (IsLeftOut(state, id, candidate, company, now)) continue;
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

start_result TakePlain(gateway_state& state, const call& item, attempt& made) {
  const endpoint* best = item.suspect ? ChoosePlain(state, item, company::kApart) : nullptr;
  if (best == nullptr && IsListOld(state, MonotonicNow())) {
    best = ChoosePlain(state, item, company::kCertain);
  }
  if (best == nullptr) best = ChoosePlain(state, item, company::kAny);
  if (best == nullptr) return start_result::kNoEndpoint;
  made.path = {{best->listed.id, best->listed.address, {}}};
  return start_result::kStarted;
}

// Whether it is the open attempt or its successor.
bool IsCurrent(const call_ptr& item, const attempt_ptr& from) {
  return item && from && from->upstream && (item->open == from || item->successor == from);
}

bool IsStreamAnswer(const call& item, const attempt& from) {
  return item.route->streamed && from.head.status == 200;
}

bool IsForeign(const call& item, const reply_facts& facts) {
  return !facts.request_id.empty() && facts.request_id != item.incoming.id;
}

// Whether the reply belongs to the request and is as the endpoint made it.
bool IsOwnReply(const call& item, const attempt& from) {
  const bool success = from.head.status >= 200 && from.head.status < 300;
  return !IsForeign(item, from.facts) && !from.facts.encoded && (!success || from.facts.authentic);
}

void OnHead(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
            const net::reply_head& head, const attempt_events& events) {
  from->head = head;
  from->facts = state.wire.read_reply(head);
  // A reply of another request or endpoint says nothing about this one.
  endpoint* target = IsForeign(*item, from->facts) || head.status == 421
                         ? nullptr
                         : FindEndpoint(state, from->path.front().endpoint_id);
  if (target != nullptr) ApplyFacts(state, *target, from->facts);
  if (!IsCurrent(item, from)) return;
  // A refusal of another request proves nothing about this one.
  if (from->facts.not_executed && !IsForeign(*item, from->facts)) {
    return events.on_failure(state, item, from, attempt_failure::kNotExecuted);
  }
  if (!IsOwnReply(*item, *from)) {
    return events.on_failure(state, item, from, attempt_failure::kBroken);
  }
}

void OnData(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
            std::string_view data, const attempt_events& events) {
  if (!IsStreamAnswer(*item, *from)) {
    from->reply_body += data;
    if (from->reply_body.size() > kMaxReplyBytes) {
      events.on_failure(state, item, from, attempt_failure::kBroken);
    }
    return;
  }
  const std::string whole = TakeCompleteEvents(from->events, data);
  const bool unusable = from->events.malformed || from->events.partial.size() > kMaxEventBytes;
  if (whole.empty()) {
    if (unusable) events.on_failure(state, item, from, attempt_failure::kBroken);
    return;
  }
  const time_point now = MonotonicNow();
  AddSample(from->progressed ? state.pace.gap : state.pace.first, now - from->last_progress);
  from->last_progress = now;
  from->progressed = true;
  ++from->outputs;
  events.on_output(state, item, from, whole);
  if (unusable && IsCurrent(item, from)) {
    events.on_failure(state, item, from, attempt_failure::kBroken);
  }
}

void OnEnd(gateway_state& state, const call_ptr& item, const attempt_ptr& from,
           const net::call_end& end, const attempt_events& events) {
  const auto fail = [&](attempt_failure why) { events.on_failure(state, item, from, why); };
  switch (end.failure) {
    case net::call_failure::kConnect:
      return fail(attempt_failure::kNotSent);
    case net::call_failure::kTimeout:
      return fail(attempt_failure::kStalled);
    case net::call_failure::kBroken:
      from->cut = true;
      return fail(attempt_failure::kBroken);
    case net::call_failure::kNone:
      break;
  }
  const bool incomplete = IsStreamAnswer(*item, *from) && !from->events.partial.empty();
  if (incomplete) return fail(attempt_failure::kBroken);
  // An error cannot end an answer that has begun.
  const bool misplaced = item->streaming && from->head.status != 200;
  if (misplaced || from->head.status >= 500) return fail(attempt_failure::kFailed);
  events.on_answer(state, item, from);
}

attempt_spec MakeSpec(const call& item, const attempt& made, duration time_left) {
  attempt_spec spec;
  spec.address = made.path.front().address;
  spec.endpoint_id = made.path.front().endpoint_id;
  spec.time_left = time_left;
  spec.workspace = item.workspace;
  spec.priority = std::clamp(item.priority, 0, kMaxPriority);
  if (IsPipelined(made)) spec.path = WireHops(made.path);
  spec.last_event_id =
      made.events.last_id.empty() ? item.incoming.last_event_id : made.events.last_id;
  return spec;
}

net::client_callbacks MakeCallbacks(gateway_state& state, const call_ptr& item,
                                    const attempt_ptr& made, const attempt_events& events) {
  const std::weak_ptr<call> weak = item;
  const std::weak_ptr<attempt> weak_attempt = made;
  net::client_callbacks out;
  out.on_headers = [&state, weak, weak_attempt, events](const net::reply_head& head) {
    const call_ptr held = weak.lock();
    const attempt_ptr from = weak_attempt.lock();
    if (IsCurrent(held, from)) OnHead(state, held, from, head, events);
  };
  out.on_data = [&state, weak, weak_attempt, events](std::string_view data) {
    const call_ptr held = weak.lock();
    const attempt_ptr from = weak_attempt.lock();
    if (IsCurrent(held, from)) OnData(state, held, from, data, events);
  };
  out.on_end = [&state, weak, weak_attempt, events](const net::call_end& end) {
    const call_ptr held = weak.lock();
    const attempt_ptr from = weak_attempt.lock();
    if (IsCurrent(held, from)) OnEnd(state, held, from, end, events);
  };
  return out;
}

// The request counts as sent there from now on, since a byte of it may arrive at any time.
void NoteSent(gateway_state& state, call& item, attempt& made) {
  ++item.sends;
  const std::string& id = made.path.front().endpoint_id;
  made.first_there = !item.reached.contains(id);
  item.reached[id] = FindEndpoint(state, id)->listed.incarnation;
}

// Attempts after the first, and those that rest on a list of endpoints that is old.
void LogSent(const gateway_state& state, const call& item, const attempt& made, time_point now) {
  const duration age = EndpointListAge(state, now);
  if (made.number == 1 && age < kOldList) return;
  log::Log(log::level::kInfo, "attempt sent",
           {{"request", item.incoming.id},
            {"attempt", made.number},
            {"endpoint", made.path.front().endpoint_id},
            {"hops", made.path.size()},
            {"list_version", EndpointListVersion(state)},
            {"list_age_ms", WholeMilliseconds(age)}});
}

// All engines that run the request, or may soon do.
std::vector<call_hop> EnginesOf(const call& item) {
  std::vector<call_hop> out;
  for (const attempt_ptr& part : {item.open, item.successor}) {
    if (part) out.insert(out.end(), part->path.begin(), part->path.end());
  }
  return out;
}

// A path that begins at the open attempt's head, engine number `head`. Full engines are used if
// there are no others.
pipeline::path_choice ChooseRest(const catalog::service& service,
                                 std::span<const pipeline::engine> engines, const call& item,
                                 size_t head, const gateway_state& state, company company) {
  std::vector<size_t> excluded = ExcludedEngines(state, item, engines, company);
  std::erase(excluded, head);
  pipeline::path_query query{.tokens = item.open->committed_tokens,
                             .home_zone = state.config.zone,
                             .head = pipeline::path_stage{head, item.open->path.front().range},
                             .ignore_room = false,
                             .excluded = excluded};
  pipeline::path_choice choice = pipeline::ChoosePath(*service.pipelined, engines, query);
  if (choice.verdict != pipeline::path_verdict::kNoRoom) return choice;
  query.ignore_room = true;
  return pipeline::ChoosePath(*service.pipelined, engines, query);
}

void AdoptPath(gateway_state& state, const call& item, std::vector<call_hop> path) {
  attempt& open = *item.open;
  PlaceAttempt(state, item, path);
  AttachLoad(state, open, -1);
  open.outputs = 0;
  open.path = std::move(path);
  AttachLoad(state, open, 1);
}

// A refusal that names an engine is met with a path without it.
void OnRerouteRefused(gateway_state& state, const call_ptr& item, const net::whole_reply& reply,
                      const attempt_events& events) {
  endpoint* fault =
      reply.status == 409 ? FindByAddress(state, state.wire.read_order_fault(reply.body)) : nullptr;
  if (fault != nullptr && ++item->open->reroutes <= kMaxReroutes) {
    item->avoided.insert(fault->listed.id);
    if (Reroute(state, item, false, events)) return;
  }
  events.on_reroute_failed(state, item);
}

}  // namespace

std::set<std::string> CountedEndpoints(gateway_state& state, const call& item) {
  const time_point now = MonotonicNow();
  std::set<std::string> out;
  for (const auto& [id, incarnation] : item.reached) {
    const endpoint* engine = FindEndpoint(state, id);
    const bool ended = engine != nullptr ? HasEnded(*engine, incarnation, now)
                                         : !MayServeUnlisted(state, id, incarnation, now);
    if (!ended) out.insert(id);
  }
  return out;
}

std::string_view ToString(attempt_failure failure) {
  return kFailureNames.at(static_cast<size_t>(failure));
}

bool HasPart(const attempt& item, std::string_view endpoint_id) {
  return std::ranges::find(item.path, endpoint_id, &call_hop::endpoint_id) != item.path.end();
}

bool IsPipelined(const attempt& item) { return item.path.front().range.Size() > 0; }

bool IsStalled(const gateway_state& state, const attempt& item, time_point now) {
  const pace::estimate& usual = item.progressed ? state.pace.gap : state.pace.first;
  return now - item.last_progress >= StallThreshold(usual);
}

start_result StartAttempt(gateway_state& state, const call_ptr& item,
                          const attempt_events& events) {
  const catalog::service* service = ServiceOf(*item);
  if (service == nullptr) return start_result::kNoEndpoint;
  const auto made = std::make_shared<attempt>();
  const start_result chosen = service->pipelined ? TakePipeline(state, *item, *service, *made)
                                                 : TakePlain(state, *item, *made);
  if (chosen != start_result::kStarted) return chosen;
  const time_point now = MonotonicNow();
  made->number = ++item->attempts;
  made->last_progress = now;
  made->events = item->events;
  DropPartialEvent(made->events);
  (item->open ? item->successor : item->open) = made;
  NoteSent(state, *item, *made);
  AttachLoad(state, *made, 1);
  PlaceAttempt(state, *item, EnginesOf(*item));
  LogSent(state, *item, *made, now);
  net::client_request request =
      state.wire.write_attempt(item->incoming, item->body, MakeSpec(*item, *made, item->due - now));
  request.header_timeout = item->due - now;
  made->upstream = state.client->Send(std::move(request), MakeCallbacks(state, item, made, events));
  return start_result::kStarted;
}

bool MayStartElsewhere(gateway_state& state, const call& item) {
  const catalog::service* service = ServiceOf(item);
  if (service == nullptr) return false;
  if (!service->pipelined) return ChoosePlain(state, item, company::kAny) != nullptr;
  return ChoosePipeline(state, item, *service, company::kAny).result == start_result::kStarted;
}

void CloseAttempt(gateway_state& state, attempt& item) {
  if (!item.upstream) return;
  AttachLoad(state, item, -1);
  item.upstream->Cancel();
  item.upstream.reset();
}

bool Reroute(gateway_state& state, const call_ptr& item, bool allow_crossings,
             const attempt_events& events) {
  const catalog::service* service = ServiceOf(*item);
  if (service == nullptr || !service->pipelined) return false;
  const attempt_ptr open = item->open;
  if (open->rerouting) return true;
  const std::vector<pipeline::engine> engines = ViewEngines(state, *service, MonotonicNow());
  const auto head =
      std::ranges::find(engines, open->path.front().endpoint_id, &pipeline::engine::id);
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
      state.wire.write_reroute(open->path.front().address, item->incoming.id, WireHops(path));
  order.header_timeout = kRerouteTimeout;
  open->rerouting = true;
  // The new engines may begin before the reply is here.
  std::vector<call_hop> both = open->path;
  both.insert(both.end(), path.begin(), path.end());
  PlaceAttempt(state, *item, both);
  metrics::Increment(state.metrics.registry, state.metrics.rerouted);
  const std::weak_ptr<call> weak = item;
  const std::weak_ptr<attempt> weak_attempt = open;
  net::Fetch(
      *state.client, std::move(order),
      [&state, weak, weak_attempt, path = std::move(path), events](const net::whole_reply& reply) {
        const call_ptr held = weak.lock();
        const attempt_ptr open = weak_attempt.lock();
        if (!open || !held || held->open != open) return;
        open->rerouting = false;
        if (endpoint* engine = FindEndpoint(state, path.front().endpoint_id)) {
          ApplyFacts(state, *engine, state.wire.read_reply(reply.head));
        }
        const bool done = reply.end.failure == net::call_failure::kNone &&
                          (reply.status == 200 || reply.status == 202);
        log::Log(log::level::kInfo, "request rerouted",
                 {{"request", held->incoming.id},
                  {"attempt", open->number},
                  {"head", path.front().endpoint_id},
                  {"status", reply.status},
                  {"detail", reply.end.detail}});
        if (!done) {
          PlaceAttempt(state, *held, open->path);
          return OnRerouteRefused(state, held, reply, events);
        }
        open->reroutes = 0;
        open->last_progress = MonotonicNow();
        AdoptPath(state, *held, path);
      });
  return true;
}

}  // namespace balsambay::gateway
