// Mutual authentication by HMAC-SHA256 over a challenge of both sides. Each side sends a hello with
// a nonce; the dialing side proves itself first, so that a caller without the key gets no proof.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace balsambay::peer::details {

enum class handshake_phase { kAwaitHello, kAwaitProof, kDone };
enum class handshake_verdict { kContinue, kDone, kUnexpectedMessage, kWrongProof };

struct hello {
  std::string id;
  std::string nonce;     // 32 hex digits, new for each link
  std::string instance;  // 32 hex digits, new for each start of the daemon
};

struct handshake {
  bool outgoing = false;
  hello own;
  hello peer;  // set from kAwaitProof on
  handshake_phase phase = handshake_phase::kAwaitHello;
};

struct handshake_step {
  handshake_verdict verdict = handshake_verdict::kContinue;
  nlohmann::json reply;  // null: nothing to send
};

// 16 bytes from the system's random source, as hex.
std::string RandomHex();

nlohmann::json HelloMessage(const hello& own);

// Handles one message from the other side.
handshake_step Advance(handshake& state, std::string_view key, const nlohmann::json& message);

}  // namespace balsambay::peer::details
