#include "base/errors.h"
#include "cluster/peer_message.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

// Decodes an arbitrary peer message. The first byte of the input is the kind, the rest is the body. Encoding an accepted message,
// decoding it and encoding it again must give the same bytes. All others must be rejected as malformed or oversized.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace medlarway;
    if (size == 0) {
        return 0;
    }
    const std::string_view body(reinterpret_cast<const char *>(data) + 1, size - 1);
    try {
        const auto message = decodePeerMessage(data[0], body);
        const auto encoded = encodePeerMessage(message);
        const auto decoded = decodePeerMessage(data[0], encoded);
        if (encodePeerMessage(decoded) != encoded) {
            std::abort();
        }
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::PeerMalformed && error.kind() != ErrorKind::PeerOversized) {
            std::abort();
        }
    }
    return 0;
}
