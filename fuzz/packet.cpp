#include <cstring>

#include "dogwoodtrack/forwarding.hpp"
#include "view_for_fuzzing.hpp"

using namespace dogwoodtrack;

// Any bytes as a packet from the link: no read or write outside the buffer,
// and what is sent lies inside it, too.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    static fuzzing_site site;
    if (size > packet_limit)
        return 0;
    packet_buffer buf;
    std::memcpy(buf.bytes.data() + packet_headroom, data, size);
    buf.size = size;
    handle_packet(*site.state, buf.view(), site.now);
    for (const auto &it : site.state->out) {
        if (it.outer.size() > buf.bytes.size())
            __builtin_trap();
    }
    site.state->out.clear();
    site.state->scratch_used = 0;
    return 0;
}
