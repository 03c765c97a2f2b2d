#pragma once

#include "base/host.h"
#include "peering/message_limit.h"
#include "peering/replay_window.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace medlarway
{

/// A secret key that all hosts share.
using PeerKey = std::array<unsigned char, 32>;

/// The keys of one host: it signs with the current key and accepts messages signed with either.
struct PeerKeys {
    PeerKey current{};
    std::optional<PeerKey> previous; ///< set during a key rotation
};

/// Parses a key of 64 hexadecimal digits; surrounding whitespace is allowed. Throws Error(BadSettings).
PeerKey parsePeerKey(std::string_view text);

/// The version of the message format; messages of other versions are rejected.
inline constexpr std::uint8_t kPeerProtocolVersion = 1;

/// Size of the header and the authentication tag that the envelope adds to a body.
inline constexpr std::size_t kEnvelopeBytes = 42;

/// Maximum number of senders whose replay windows are stored; more than a fleet has hosts.
inline constexpr std::size_t kMaxSenders = 8192;

/// A message whose sender has been verified.
struct OpenedMessage {
    HostId from;
    std::uint8_t kind = 0; ///< chosen by the caller of seal
    std::string_view body; ///< points into the sealed bytes
};

/// Seals and opens the messages of one host on one channel. A keyed hash over sender, receiver, boot number, sequence
/// number, kind and body authenticates a message; replays are rejected. Not thread-safe.
class Envelope
{
public:
    /// The boot number must increase with each restart of the host.
    Envelope(HostId self, std::uint64_t boot, PeerKeys keys);

    /// Returns the sealed message for the host.
    std::string seal(HostId to, std::uint8_t kind, std::string_view body);

    /// Verifies untrusted bytes. Throws Error with PeerMalformed, PeerOversized, PeerUnauthenticated,
    /// PeerReplayed or PeerStaleBoot.
    OpenedMessage open(std::string_view bytes, std::size_t maxBodyBytes = kMaxMessageBytes);

    /// The sender field of a sealed message. Call it only after open() has verified the tag, that is when open()
    /// returned or threw PeerReplayed or PeerStaleBoot.
    static HostId senderOf(std::string_view bytes);

    /// The highest boot number received from a host; 0 if there is none.
    std::uint64_t lastSeenBoot(HostId host) const;

    /// This host's own boot number.
    std::uint64_t boot() const
    {
        return boot_;
    }

    /// Raises this host's boot number above one that a peer has received from it. Needed after a restart if the clock
    /// that boot numbers are derived from was set back.
    void raiseBoot(std::uint64_t seenByPeer);

    /// Replaces the keys.
    void setKeys(PeerKeys keys);

private:
    HostId self_;
    std::uint64_t boot_;
    PeerKeys keys_;
    std::unordered_map<HostId, std::uint64_t> lastSequence_; ///< last sequence number sent to each host
    std::unordered_map<HostId, ReplayWindow> replayWindows_;
};

} // namespace medlarway
