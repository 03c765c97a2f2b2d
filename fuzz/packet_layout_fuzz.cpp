// Decodes an arbitrary datagram. If it is accepted, its length field must match its size, writing a token must change only
// the token, and the reset for it must be a valid packet in the opposite direction.
#include "platform/packet_layout.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace medlarway;
    const auto packet = decodePacket({data, size});
    if (!packet) {
        return 0;
    }
    if (size != kPacketHeaderBytes + packet->dataBytes) {
        std::abort();
    }
    std::vector<std::uint8_t> copy(data, data + size);
    writeToken(copy, 0x01020304);
    auto expected = *packet;
    expected.token = 0x01020304;
    if (decodePacket(copy) != expected) {
        std::abort();
    }
    const auto reset = decodePacket(resetForPacket(*packet));
    if (!reset || !reset->rst || reset->flow.client != packet->flow.destination || reset->flow.destination != packet->flow.client) {
        std::abort();
    }
    return 0;
}
