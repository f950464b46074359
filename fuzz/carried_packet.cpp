#include <array>

#include "packet_codec.hpp"

using namespace dogwoodtrack;

// Reads arbitrary bytes as a packet from a caller. If they can be read as one,
// selects the upstream for the packet and builds a TCP reset in reply.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    static const auto codec = platform::make_packet_codec();
    static carried::steering_state state;
    const auto header = codec.read({data, size});
    if (!header)
        return 0;
    carried::steer(state, *header, time_point{std::chrono::hours{1}});
    std::array<std::uint8_t, 64> out{};
    codec.make_reset(header->endpoints, header->acknowledged, out);
    return 0;
}
