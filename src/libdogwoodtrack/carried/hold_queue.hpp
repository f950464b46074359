#pragma once

#include <functional>
#include <vector>

#include "flows.hpp"

namespace dogwoodtrack::carried {

/// Packet that arrived before this balancer had the state to decide about it.
struct held_packet {
    packet_header header;
    std::vector<std::uint8_t> bytes;
    time_point attempt_started{}; ///< when the caller's attempt began
};

/// Packets held until state is available, at most `limit`. Packets of
/// established flows come first, then opening packets with the latest attempt
/// first, because its caller has the most time left. Not thread-safe.
struct hold_queue {
    std::vector<held_packet> all;
    std::size_t limit = 1'024;
    std::uint64_t overflowed = 0;
};

/// Adds a packet. A retransmission of a held opening packet is ignored. If the
/// queue is full, its last packet is dropped: the one whose attempt began
/// first, opening packets before all others.
auto hold_packet(hold_queue &queue, held_packet packet) -> void;

/// Time at which the caller sent the first opening packet of this attempt,
/// derived from the known intervals of retransmissions.
auto attempt_start(std::uint32_t retransmission, time_point now) -> time_point;

/// Removes and returns the packets whose callers would time out before an
/// answer could arrive.
auto take_expired(hold_queue &queue, time_point now)
    -> std::vector<held_packet>;

/// Part of `connect_timeout` reserved for the opening packet and its answer.
inline constexpr milliseconds handshake_allowance{150};

} // namespace dogwoodtrack::carried
