// Membership of the entry VMs of one zone, based on the SWIM protocol. Each daemon probes one
// member per period. If the member does not acknowledge, the daemon asks other members to probe it,
// then suspects it, and declares it failed when the suspicion times out. A suspected member refutes
// the suspicion with a higher incarnation.
//
// The functions do no I/O and read no clock: the caller passes messages, link events and the time,
// and carries out the returned effects. Not thread-safe.
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
  std::vector<std::string> seeds;  // addresses; may contain this daemon's own
  // Start time in ms since the Unix epoch, so that a replacement VM has a higher incarnation than
  // its predecessor. If the clock was set back, refutation raises the incarnation.
  uint64_t incarnation = 1;
  duration period = std::chrono::milliseconds(500);          // one probe attempt per period
  duration direct_timeout = std::chrono::milliseconds(150);  // then indirect probes are sent
  int indirect_probes = 3;                                   // members asked to probe the target
  // Probe attempts without an acknowledgement before the target is suspected. With a single
  // attempt, 11% of probes fail at 30% loss, and the refutations use up the gossip byte budget.
  int probe_attempts = 2;
  int suspicion_periods = 3;  // until a suspect has failed; times max(1, log10(members))
  duration gossip_interval = std::chrono::milliseconds(200);
  int gossip_fanout = 3;             // receivers of urgent gossip
  int transmission_factor = 3;       // an update is sent factor * ceil(log10(members + 1)) times
  size_t max_piggyback_bytes = 600;  // updates and facts in one message
  // Interval between exchanges of member tables with a random member.
  duration sync_interval = std::chrono::seconds(10);
  // Until the next sync after the member tables of two daemons differed.
  duration resync_delay = std::chrono::seconds(2);
  // Interval between attempts to reach seeds and members that are not live.
  duration rejoin_interval = std::chrono::seconds(1);
  duration tombstone_lifetime = std::chrono::seconds(600);  // of failed and left members
  size_t max_members = 1000;
  size_t max_facts = 64;  // per origin
  size_t max_fact_bytes = 256;
  // Limit for the updates and facts that a daemon sends. It receives as many on average, so that
  // its traffic in both directions, with probes and headers, stays below 6 KB/s.
  size_t gossip_bytes_per_second = 1500;
};

struct member {
  std::string id;
  std::string address;
  uint64_t incarnation = 0;
  member_status status = member_status::kUnknown;
  time_point status_since;            // when the member entered `status`
  time_point suspect_until = kNever;  // set only while suspect
  time_point last_heard;              // arrival of the last message sent by this member itself
  uint64_t config_version = 0;
  std::map<std::string, fact, std::less<>> facts;  // by key; at most max_facts
};

// Status changes of a member as seen by this daemon.
enum class event_kind { kJoined, kSuspect, kRecovered, kFailed, kLeft };

struct member_event {
  event_kind kind = event_kind::kJoined;
  std::string id;
  std::string address;
};

// Message that the caller has to send.
struct outgoing_message {
  std::string
      receiver_id;  // receiver's member id; empty for a seed of which only the address is known
  std::string address;
  message content;
};

// Configuration version in force at a member, as reported in its message.
struct config_report {
  std::string id;
  uint64_t version = 0;
  duration age{0};  // time since the member last knew that the version was the latest
};

// Results of a call that the caller has to carry out or handle.
struct effects {
  std::vector<outgoing_message> outgoing_messages;
  std::vector<member_event> events;
  std::vector<fact> facts;  // of other daemons, new or with a higher version than before
  std::vector<config_report> config_reports;
};

// Probe attempt in progress. An acknowledgement of `sequence` or any message of the target ends it.
struct probe {
  std::string target;  // member id
  uint64_t sequence = 0;
  time_point started;
  time_point indirect_due;  // when to send indirect probes; kNever once they are sent
  time_point deadline;
  int attempt = 1;  // 1 to settings::probe_attempts
};

// A ping sent on behalf of another member, the requester.
struct relayed_probe {
  std::string requester;            // member id
  std::string target;               // member id
  uint64_t requester_sequence = 0;  // of the ping request; repeated in the acknowledgement
  time_point expires;
};

struct membership_counters {
  uint64_t probes = 0;           // attempts started
  uint64_t indirect_rounds = 0;  // attempts for which indirect probes were sent
  uint64_t suspicions = 0;       // raised by this daemon
  uint64_t refutations = 0;
  uint64_t rejoins = 0;                // members that became live again after kFailed
  uint64_t foreign_zone_messages = 0;  // messages ignored because they come from another zone
  uint64_t limit_rejections = 0;       // members or facts ignored because of a limit
  uint64_t detected_pauses = 0;  // intervals between ticks that indicate a pause of the process
};

// Invariants: `members` does not contain this daemon's id; suspect_until of a member differs from
// kNever exactly while it is suspect; every id in `probe_order` was a member when it was added.
struct state {
  settings config;
  random_generator rng;
  uint64_t incarnation = 0;
  bool leaving = false;
  std::map<std::string, member, std::less<>> members;
  std::vector<std::string> probe_order;  // ids in random order; probed from the back
  std::optional<probe> current_probe;
  std::map<uint64_t, relayed_probe> relayed_probes;  // by sequence of the ping sent
  uint64_t next_sequence = 1;
  gossip_queue update_queue;  // member ids with this daemon's; rank: number of sends
  gossip_queue fact_queue;    // keys of FactQueueKey(); urgent facts rank before all others
  std::map<std::string, fact, std::less<>> own_facts;  // by key
  uint64_t next_fact_version = 1;
  double gossip_tokens = 0;  // token bucket: bytes of updates and facts that may be sent now
  time_point last_tick;
  time_point next_probe;
  time_point next_gossip;
  time_point next_sync;
  time_point next_rejoin;
  uint64_t config_version = 0;
  time_point config_confirmed;  // when config_version was last known to be the latest
  membership_counters counters;
};

// `seed` initializes the random numbers.
state MakeState(settings config, uint64_t seed, time_point now);

// Runs all periodic work that is due. Call at NextDeadline() or later; earlier calls are harmless.
effects OnTick(state& state, time_point now);
time_point NextDeadline(const state& state);

// Processes a received message. Messages from other zones and from this daemon itself are ignored.
effects OnMessage(state& state, const message& message, time_point now);

// Probes the member next, because the link to it broke. A broken link alone does not make a member
// suspect or failed.
void OnLinkDown(state& state, std::string_view id, time_point now);

// Publishes or replaces a fact of this daemon; an empty value withdraws it. Errors:
// kInvalidArgument for an empty key, or a key or value longer than max_fact_bytes; kExhausted if
// max_facts facts are already published.
result<effects> PublishFact(state& state, std::string key, std::string value, bool urgent,
                            time_point now);

// Sets the configuration version in force at this daemon, which every message reports. `confirmed`:
// when the version was last known to be the latest.
void SetConfigVersion(state& state, uint64_t version, time_point confirmed);

// Announces a graceful leave. The daemon still replies to messages until it exits.
effects Leave(state& state, time_point now);

// Sorted ids of the members that are alive or suspect, and of this daemon.
std::vector<std::string> LiveMemberIds(const state& state);
// Number of ids in LiveMemberIds().
size_t LiveMemberCount(const state& state);

}  // namespace balsambay::membership
