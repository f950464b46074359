#pragma once

#include <functional>
#include <span>
#include <vector>

#include "flows.hpp"

namespace dogwoodtrack::carried {

/// A packet that waits for state or for room at an upstream.
struct waiting_packet {
    packet_head head;
    std::vector<std::uint8_t> bytes;
    std::uint8_t priority = 0; ///< 0 is the most urgent
    milliseconds target{0};    ///< latency that the caller expects
    service_key service = 0;   ///< 0 as long as it is not known
    time_point began{};        ///< of the caller's attempt
};

/// Packets that wait. Those whose callers can still be answered in time go
/// first, the more urgent ones before; then the late ones, the longest
/// waiting first. One thread at a time.
struct waiting_room {
    std::vector<waiting_packet> all;
    time_point sorted{};
    std::size_t limit = 1'024;
    std::uint64_t overflowed = 0;
};

/// What became of a waiting packet that was tried again.
enum class waiting_outcome : std::uint8_t {
    done,    ///< forwarded, rejected or dropped
    no_room, ///< its service has no room now
    no_state ///< nothing has room before more is known
};

/// Adds a packet. A copy of a waiting opening packet is left out. When the
/// room is full the least entitled one is dropped.
auto add_waiting(waiting_room &room, waiting_packet packet, time_point now)
    -> void;

/// Time at which the caller sent the first packet of this attempt: copies
/// follow after known intervals.
auto attempt_began(std::uint32_t copy, time_point now) -> time_point;

/// Tries waiting packets in their order, until every service that still has
/// packets is out of room.
auto try_waiting(waiting_room &room, time_point now,
                 const std::function<waiting_outcome(waiting_packet &)> &attempt)
    -> void;

/// Takes out the packets that cannot be served any more, because the attempt
/// of their callers ends before an answer could arrive.
auto take_hopeless(waiting_room &room, time_point now)
    -> std::vector<waiting_packet>;

/// After this time without an answer a caller's attempt ends.
inline constexpr milliseconds attempt_longest{1'400};
/// Part of it that the opening packet and its answer need.
inline constexpr milliseconds opening_time{150};

} // namespace dogwoodtrack::carried
