#include "peering/envelope.h"

#include "base/errors.h"
#include "peering/codec.h"

#include <algorithm>
#include <sodium.h>

namespace medlarway
{

namespace
{

// Layout, sizes in bytes, integers big-endian:
//   version 1, kind 1, sender 8, boot 8, sequence 8, body, tag 16.
// The tag also covers the receiver's id, which is not sent: each host knows its own id.
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kKindOffset = 1;
constexpr std::size_t kSenderOffset = 2;
constexpr std::size_t kBootOffset = 10;
constexpr std::size_t kSequenceOffset = 18;
constexpr std::size_t kBodyOffset = 26;
static_assert(kBodyOffset + kTagBytes == kEnvelopeBytes);

using Tag = std::array<unsigned char, kTagBytes>;

void appendNumber(std::string &bytes, std::uint64_t number)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(number >> static_cast<unsigned>(shift));
    }
}

std::uint64_t numberAt(std::string_view bytes, std::size_t position)
{
    std::uint64_t number = 0;
    for (const char byte : bytes.substr(position, sizeof(number))) {
        number = (number << 8U) | static_cast<unsigned char>(byte);
    }
    return number;
}

const unsigned char *asUnsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

Tag tagOf(std::string_view signedBytes, HostId receiver, const PeerKey &key)
{
    std::string receiverBytes;
    appendNumber(receiverBytes, receiver.value);
    crypto_generichash_state state;
    Tag tag{};
    crypto_generichash_init(&state, key.data(), key.size(), tag.size());
    crypto_generichash_update(&state, asUnsigned(receiverBytes), receiverBytes.size());
    crypto_generichash_update(&state, asUnsigned(signedBytes), signedBytes.size());
    crypto_generichash_final(&state, tag.data(), tag.size());
    return tag;
}

bool tagMatches(std::string_view bytes, HostId receiver, const PeerKey &key)
{
    const auto signedBytes = bytes.substr(0, bytes.size() - kTagBytes);
    const auto tag = tagOf(signedBytes, receiver, key);
    return sodium_memcmp(tag.data(), bytes.data() + signedBytes.size(), tag.size()) == 0;
}

} // namespace

PeerKey parsePeerKey(std::string_view text)
{
    constexpr std::string_view kWhitespace = " \t\r\n";
    const auto first = std::min(text.find_first_not_of(kWhitespace), text.size());
    const auto last = text.find_last_not_of(kWhitespace);
    const auto digits = last == std::string_view::npos ? std::string_view() : text.substr(first, last + 1 - first);
    PeerKey key{};
    std::size_t length = 0;
    const char *end = nullptr;
    const int result = sodium_hex2bin(key.data(), key.size(), digits.data(), digits.size(), nullptr, &length, &end);
    if (result != 0 || length != key.size() || end != digits.data() + digits.size()) {
        throw Error(ErrorKind::BadSettings, "a peer key is 64 hexadecimal digits");
    }
    return key;
}

Envelope::Envelope(HostId self, std::uint64_t boot, PeerKeys keys)
    : self_(self)
    , boot_(boot)
    , keys_(keys)
{
    if (sodium_init() < 0) {
        throw Error(ErrorKind::Internal, "libsodium can't be initialised");
    }
}

void Envelope::setKeys(PeerKeys keys)
{
    keys_ = keys;
}

HostId Envelope::senderOf(std::string_view bytes)
{
    return HostId{numberAt(bytes, kSenderOffset)};
}

std::uint64_t Envelope::lastSeenBoot(HostId host) const
{
    const auto found = replayWindows_.find(host);
    return found == replayWindows_.end() ? 0 : found->second.boot();
}

void Envelope::raiseBoot(std::uint64_t seenByPeer)
{
    if (seenByPeer >= boot_) {
        boot_ = seenByPeer + 1;
        lastSequence_.clear();
    }
}

std::string Envelope::seal(HostId to, std::uint8_t kind, std::string_view body)
{
    std::string bytes;
    bytes.reserve(body.size() + kEnvelopeBytes);
    bytes += static_cast<char>(kPeerProtocolVersion);
    bytes += static_cast<char>(kind);
    appendNumber(bytes, self_.value);
    appendNumber(bytes, boot_);
    appendNumber(bytes, ++lastSequence_[to]);
    bytes += body;
    const auto tag = tagOf(bytes, to, keys_.current);
    bytes.append(tag.begin(), tag.end());
    return bytes;
}

// Cheap checks come first. No field of the message is trusted before its tag has been verified.
OpenedMessage Envelope::open(std::string_view bytes, std::size_t maxBodyBytes)
{
    if (bytes.size() < kEnvelopeBytes || static_cast<std::uint8_t>(bytes.front()) != kPeerProtocolVersion) {
        throw Error(ErrorKind::PeerMalformed, "the envelope is too short or has an unsupported version");
    }
    if (bytes.size() > maxBodyBytes + kEnvelopeBytes) {
        throw Error(ErrorKind::PeerOversized, "the envelope exceeds the size limit");
    }
    if (!tagMatches(bytes, self_, keys_.current) && !(keys_.previous && tagMatches(bytes, self_, *keys_.previous))) {
        throw Error(ErrorKind::PeerUnauthenticated, "the authentication tag matches no known key");
    }
    const auto from = senderOf(bytes);
    if (!replayWindows_.contains(from) && replayWindows_.size() >= kMaxSenders) {
        throw Error(ErrorKind::PeerOversized, "too many senders");
    }
    auto &window = replayWindows_[from];
    const auto boot = numberAt(bytes, kBootOffset);
    if (boot < window.boot()) {
        throw Error(ErrorKind::PeerStaleBoot, "the message is from an earlier boot of " + endpointToString(endpointOf(from)));
    }
    if (!window.accept(boot, numberAt(bytes, kSequenceOffset))) {
        throw Error(ErrorKind::PeerReplayed, "the message is a duplicate or too old");
    }
    const auto body = bytes.substr(kBodyOffset, bytes.size() - kEnvelopeBytes);
    return OpenedMessage{from, static_cast<std::uint8_t>(bytes[kKindOffset]), body};
}

} // namespace medlarway
