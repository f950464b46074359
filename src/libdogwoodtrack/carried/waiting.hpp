#pragma once

#include <functional>
#include <vector>

#include "flows.hpp"

namespace dogwoodtrack::carried {

/// A packet that arrived before this balancer had state to decide from.
struct held_packet {
    packet_header header;
    std::vector<std::uint8_t> bytes;
    time_point attempt_started{}; ///< of the caller's attempt
};

/// Packets that wait for state, the latest first: their callers have the
/// longest time left. One thread at a time.
struct hold_queue {
    std::vector<held_packet> all;
    std::size_t limit = 1'024;
    std::uint64_t overflowed = 0;
};

/// Adds a packet. A copy of a waiting opening packet is left out. When the
/// room is full the one that began first is dropped.
auto hold_packet(hold_queue &queue, held_packet packet) -> void;

/// Time at which the caller sent the first packet of this attempt: copies
/// follow after known intervals.
auto attempt_start(std::uint32_t retransmission, time_point now) -> time_point;

/// Takes out the packets that cannot be served any more, because the attempt
/// of their callers ends before an answer could arrive.
auto take_expired(hold_queue &queue, time_point now)
    -> std::vector<held_packet>;

/// Part of `connect_timeout` that the opening packet and its answer need.
inline constexpr milliseconds handshake_allowance{150};

} // namespace dogwoodtrack::carried
