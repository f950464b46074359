#pragma once

#include <functional>
#include <vector>

#include "flows.hpp"

namespace dogwoodtrack::carried {

/// A packet that arrived before this balancer had state to decide from.
struct waiting_packet {
    packet_head head;
    std::vector<std::uint8_t> bytes;
    time_point began{}; ///< of the caller's attempt
};

/// Packets that wait for state, the latest first: their callers have the
/// longest time left. One thread at a time.
struct waiting_room {
    std::vector<waiting_packet> all;
    std::size_t limit = 1'024;
    std::uint64_t overflowed = 0;
};

/// Adds a packet. A copy of a waiting opening packet is left out. When the
/// room is full the one that began first is dropped.
auto add_waiting(waiting_room &room, waiting_packet packet) -> void;

/// Time at which the caller sent the first packet of this attempt: copies
/// follow after known intervals.
auto attempt_began(std::uint32_t copy, time_point now) -> time_point;

/// Takes out the packets that cannot be served any more, because the attempt
/// of their callers ends before an answer could arrive.
auto take_hopeless(waiting_room &room, time_point now)
    -> std::vector<waiting_packet>;

/// Part of `attempt_longest` that the opening packet and its answer need.
inline constexpr milliseconds opening_time{150};

} // namespace dogwoodtrack::carried
