#include <cstring>

#include "dogwoodtrack/forwarding.hpp"
#include "view_for_fuzzing.hpp"

using namespace dogwoodtrack;

// Handles arbitrary bytes as a packet from the link. There must be no access
// outside the buffer, and no packet to send may be larger than it.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    static forwarding_fixture fixture;
    if (size > packet_limit)
        return 0;
    packet_buffer buf;
    std::memcpy(buf.bytes.data() + packet_headroom, data, size);
    buf.size = size;
    handle_packet(*fixture.state, buf.view(), fixture.now);
    for (const auto &it : fixture.state->out) {
        if (it.outer.size() > buf.bytes.size())
            __builtin_trap();
    }
    fixture.state->out.clear();
    fixture.state->scratch_used = 0;
    return 0;
}
