#include <array>

#include "packet_codec.hpp"

using namespace dogwoodtrack;

// Any bytes as a caller's packet, decided about and answered.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    static const auto codec = platform::packet_codec();
    static carried::steering_state state;
    const auto head = codec.read({data, size});
    if (!head)
        return 0;
    carried::steer(state, *head, time_point{std::chrono::hours{1}});
    std::array<std::uint8_t, 64> out{};
    codec.make_reset(head->endpoints, head->acknowledged, out);
    return 0;
}
