#pragma once

#include <functional>
#include <vector>

#include "carried/flows/flows.hpp"

namespace dogwoodtrack::carried {

/// Packet that arrived before this balancer had the configuration and the
/// upstreams that are needed to decide about it.
struct held_packet {
    packet_header header;
    std::vector<std::uint8_t> bytes;
    /// When the caller sent the first opening packet of this attempt; for other
    /// packets, when the packet arrived.
    time_point attempt_started{};
};

/// Packets held until the configuration and the upstreams are known, at most
/// `limit`. Packets of established flows come first, then opening packets.
/// Among the opening packets those of the latest attempts come first, because
/// their callers have the most time left. Not thread safe.
struct hold_queue {
    std::vector<held_packet> all;
    std::size_t limit = 1'024;
    std::uint64_t overflowed = 0; ///< packets dropped because of `limit`
};

/// Adds a packet. A retransmission of a held opening packet is ignored. If the
/// queue is full, its last packet is dropped to make room: the opening packet
/// whose attempt began earliest or, if none is held, the earliest other packet.
auto hold_packet(hold_queue &queue, held_packet packet) -> void;

/// Time at which a caller began an attempt, given the number of the
/// retransmission that arrives now (0 is the first opening packet). Derived
/// from the known delays of retransmissions.
auto attempt_start(std::uint32_t retransmission, time_point now) -> time_point;

/// Removes and returns the packets whose callers would time out before an
/// answer could arrive.
auto take_expired(hold_queue &queue, time_point now)
    -> std::vector<held_packet>;

/// Part of `connect_timeout` reserved for the opening packet and its answer.
inline constexpr milliseconds handshake_allowance{150};

} // namespace dogwoodtrack::carried
