#include "carried/feeds/gossip.hpp"

using namespace dogwoodtrack;

// Decodes and handles arbitrary bytes as a message from another balancer.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data,
                                       std::size_t size) -> int {
    carried::blackboard board;
    board.members.self.address = 1;
    board.steering.upstreams.cold.bounds = {.overage = 1.5, .slack = 5};
    const auto message = carried::decode_peer_message(
        {reinterpret_cast<const char *>(data), size});
    if (!message)
        return 0;
    std::vector<carried::outgoing_message> out;
    constexpr std::uint32_t peer = 2;
    on_peer_message(board, peer, *message, time_point{std::chrono::hours{1}},
                    out);
    return 0;
}
