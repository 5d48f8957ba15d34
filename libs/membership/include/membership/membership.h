// Membership of the entry VMs of one zone, SWIM-like: each daemon probes one member a period, asks
// others to probe when there is no answer, and suspects before it declares a failure. A suspected
// member refutes with a higher incarnation. No I/O and no clock: the daemon passes messages, link
// events and the time, and carries out the returned effects.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/gossip_queue.h"
#include "membership/message.h"

namespace balsambay::membership {

struct settings {
  std::string id;       // unique in the zone
  std::string address;  // IP:PORT at which peers reach this daemon
  std::string zone;
  std::vector<std::string> seeds;  // addresses; may contain the own one
  // Start time in ms since the Unix epoch. A replaced VM thereby has a higher one than its
  // predecessor; a clock that was set back is corrected by refutation.
  uint64_t incarnation = 1;
  duration period = std::chrono::milliseconds(500);
  duration direct_timeout = std::chrono::milliseconds(150);
  int indirect_probes = 3;
  // Periods without an answer before suspicion. One more than 1, because at 30% loss 11% of single
  // attempts fail and their refutations would use up the byte budget.
  int probe_attempts = 2;
  int suspicion_periods = 3;  // multiplied by max(1, log10(members))
  duration gossip_interval = std::chrono::milliseconds(200);
  int gossip_fanout = 3;        // receivers of urgent news
  int transmission_factor = 3;  // an update is sent factor * ceil(log10(members + 1)) times
  size_t max_piggyback_bytes = 600;
  duration sync_interval = std::chrono::seconds(10);
  duration resync_delay = std::chrono::seconds(2);  // after two tables differed
  duration rejoin_interval = std::chrono::seconds(1);
  duration tombstone_lifetime = std::chrono::seconds(600);
  size_t max_members = 1000;
  size_t max_facts = 64;  // for each daemon
  size_t max_fact_bytes = 256;
  // Sent updates and facts together. Received ones are as many on average, so that a daemon stays
  // below 6 KB/s in both directions with probes and headers.
  size_t gossip_bytes_per_second = 1500;
};

struct member {
  std::string id;
  std::string address;
  uint64_t incarnation = 0;
  member_status status = member_status::kUnknown;
  time_point since;                   // when `status` was entered
  time_point suspect_until = kNever;  // set while suspect
  time_point last_heard;              // last message received from it directly
  uint64_t config_version = 0;
  std::map<std::string, fact, std::less<>> facts;  // by key; at most max_facts
};

enum class event_kind { kJoined, kSuspect, kRecovered, kFailed, kLeft };

struct event {
  event_kind kind = event_kind::kJoined;
  std::string id;
  std::string address;
};

struct send {
  std::string to;  // member id; empty for a seed of which only the address is known
  std::string address;
  message content;
};

// Configuration version that a member told about itself.
struct config_report {
  std::string id;
  uint64_t version = 0;
  duration age{0};
};

struct effects {
  std::vector<send> sends;
  std::vector<event> events;
  std::vector<fact> facts;  // new or newer than before, from other daemons
  std::vector<config_report> reports;
};

struct probe {
  std::string target;
  uint64_t sequence = 0;
  time_point started;
  time_point indirect_due;  // kNever once the indirect probes are sent
  time_point deadline;
  int attempt = 1;
};

// A ping sent on behalf of another member.
struct relayed_probe {
  std::string requester;
  std::string target;
  uint64_t requester_sequence = 0;
  time_point expires;
};

struct membership_counters {
  uint64_t probes = 0;
  uint64_t indirect_rounds = 0;
  uint64_t suspicions = 0;  // raised by this daemon
  uint64_t refutations = 0;
  uint64_t rejoins = 0;                // members that came back after kFailed
  uint64_t foreign_zone_messages = 0;  // messages refused because of their zone
  uint64_t limit_rejections = 0;       // members or facts over a limit
  uint64_t detected_pauses = 0;        // gaps between ticks that look like a pause of this process
};

// Invariants: `members` does not contain the own id; a member has a suspect_until exactly while
// suspect; every id in `probe_order` was a member when it was added.
struct state {
  settings config;
  random_generator rng;
  uint64_t incarnation = 0;
  bool leaving = false;
  std::map<std::string, member, std::less<>> members;
  std::vector<std::string> probe_order;  // shuffled; probed from the back
  std::optional<probe> current_probe;
  std::map<uint64_t, relayed_probe> relayed_probes;
  uint64_t next_sequence = 1;
  gossip_queue update_queue;  // member ids, the own one included, by transmissions so far
  gossip_queue fact_queue;    // FactName()s; urgent facts rank before all others
  std::map<std::string, fact, std::less<>> own_facts;
  uint64_t next_fact_version = 1;
  double gossip_tokens = 0;  // bytes of updates and facts that may be sent now
  time_point last_tick;
  time_point next_probe;
  time_point next_gossip;
  time_point next_sync;
  time_point next_rejoin;
  uint64_t config_version = 0;
  time_point config_confirmed;
  membership_counters counters;
};

state MakeState(settings config, uint64_t seed, time_point now);

// Does everything that is due. Call at NextDeadline() or later; earlier calls are harmless.
effects OnTick(state& state, time_point now);
time_point NextDeadline(const state& state);

effects OnMessage(state& state, const message& message, time_point now);

// The link to a member broke: it is probed next. Not proof of a failure by itself.
void OnLinkDown(state& state, std::string_view id, time_point now);

// Publishes or replaces a fact of this daemon; an empty value withdraws it. Errors:
// kInvalidArgument for an empty key or a value over max_fact_bytes, kExhausted over max_facts.
result<effects> PublishFact(state& state, std::string key, std::string value, bool urgent,
                            time_point now);

// The configuration version in force here, carried by every message. `confirmed`: when it was last
// known to be the latest.
void SetConfigVersion(state& state, uint64_t version, time_point confirmed);

// Graceful leave. The daemon goes on answering until it exits.
effects Leave(state& state, time_point now);

// Ids of the members that are alive or suspect, in order, with the own id.
std::vector<std::string> LiveIds(const state& state);
size_t LiveCount(const state& state);

}  // namespace balsambay::membership
