// Challenge and proof. The proof covers the prover's role, both ids and both nonces, so that it
// cannot be reflected to its sender or reused on another link.
#include "details/handshake.h"

#include <array>
#include <random>

#include "base/hash.h"

namespace balsambay::peer::details {
namespace {

constexpr std::string_view kContext = "balsambay-peer-1";
constexpr size_t kNonceHexDigits = 32;
constexpr size_t kMaxIdBytes = 128;

// Every part is preceded by its length, so that no two lists of parts give the same text.
std::string Join(std::initializer_list<std::string_view> parts) {
  std::string out;
  for (const std::string_view part : parts) {
    out += std::to_string(part.size());
    out += ':';
    out += part;
  }
  return out;
}

std::string Proof(std::string_view key, bool by_client, const hello& prover,
                  const hello& verifier) {
  return HmacSha256Hex(key, Join({kContext, by_client ? "client" : "server", prover.id, verifier.id,
                                  prover.instance, prover.nonce, verifier.nonce}));
}

nlohmann::json ProofMessage(const handshake& state, std::string_view key) {
  return {{"t", "proof"}, {"mac", Proof(key, state.outgoing, state.own, state.peer)}};
}

bool HasText(const nlohmann::json& message, const char* field, size_t min, size_t max) {
  const auto found = message.find(field);
  if (found == message.end() || !found->is_string()) return false;
  const size_t size = found->get_ref<const std::string&>().size();
  return size >= min && size <= max;
}

bool IsHello(const nlohmann::json& message) {
  return message.is_object() && message.value("t", nlohmann::json()) == "hello" &&
         HasText(message, "id", 1, kMaxIdBytes) &&
         HasText(message, "nonce", kNonceHexDigits, kNonceHexDigits) &&
         HasText(message, "instance", kNonceHexDigits, kNonceHexDigits);
}

bool IsProof(const nlohmann::json& message) {
  return message.is_object() && message.value("t", nlohmann::json()) == "proof" &&
         HasText(message, "mac", 1, kMaxIdBytes);
}

handshake_step OnHello(handshake& state, std::string_view key, const nlohmann::json& message) {
  if (!IsHello(message)) return {handshake_verdict::kUnexpectedMessage, {}};
  state.peer = {message.at("id"), message.at("nonce"), message.at("instance")};
  state.phase = handshake_phase::kAwaitProof;
  if (!state.outgoing) return {};
  return {handshake_verdict::kContinue, ProofMessage(state, key)};
}

handshake_step OnProof(handshake& state, std::string_view key, const nlohmann::json& message) {
  if (!IsProof(message)) return {handshake_verdict::kUnexpectedMessage, {}};
  const std::string expected = Proof(key, !state.outgoing, state.peer, state.own);
  if (!ConstantTimeEqual(expected, message.at("mac").get_ref<const std::string&>())) {
    return {handshake_verdict::kWrongProof, {}};
  }
  state.phase = handshake_phase::kDone;
  if (state.outgoing) return {handshake_verdict::kDone, {}};
  return {handshake_verdict::kDone, ProofMessage(state, key)};
}

}  // namespace

std::string RandomHex() {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::random_device source;
  std::string out;
  for (size_t word = 0; word < kNonceHexDigits / 8; ++word) {
    uint32_t value = source();
    for (int digit = 0; digit < 8; ++digit, value >>= 4) out += kDigits[value & 15];
  }
  return out;
}

nlohmann::json HelloMessage(const hello& own) {
  return {{"t", "hello"}, {"id", own.id}, {"nonce", own.nonce}, {"instance", own.instance}};
}

handshake_step Advance(handshake& state, std::string_view key, const nlohmann::json& message) {
  switch (state.phase) {
    case handshake_phase::kAwaitHello:
      return OnHello(state, key, message);
    case handshake_phase::kAwaitProof:
      return OnProof(state, key, message);
    case handshake_phase::kDone:
      break;
  }
  return {handshake_verdict::kUnexpectedMessage, {}};
}

}  // namespace balsambay::peer::details
