#pragma once

#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "carried/feeds/configuration.hpp"
#include "carried/flows/flows.hpp"

namespace dogwoodtrack::carried {

/// Opening packet that waits for admission.
struct queued_opening {
    packet_header header;
    service_key service = 0;
    std::size_t priority = 0; ///< see `priority_index`
    time_point arrived{};
    time_point not_before{}; ///< earliest admission, see `decide_opening`
    time_point deadline{};   ///< rejected if it still waits at this time
    time_point due{};        ///< the target latency is exceeded after this time
    std::vector<std::uint8_t> bytes; ///< the packet; empty until stored
};

/// Queue of openings in front of the limit. Not thread safe.
struct opening_queue {
    std::vector<queued_opening> all; ///< in no particular order
    /// Maximum number of openings, several times those that a balancer admits
    /// within their waiting time.
    std::size_t limit = 64;
    time_point busy_since{}; ///< since when the queue has not been empty
};

/// Numbers of openings that may wait, see `queue_opening`.
struct queue_room {
    std::size_t same_class = 0; ///< with the same service and priority
    /// Of these, from one caller address, if others compete.
    std::size_t same_caller = 0;
};

/// Result of `queue_opening`.
struct queue_result {
    bool queued = false; ///< false if the new opening has to be rejected
    /// The opening that is rejected belongs to a caller that has reached
    /// `queue_room::same_caller`.
    bool caller_cap = false;
    /// Earlier opening that has to be rejected.
    std::optional<queued_opening> displaced;
};

/// Waiting time of an opening whose route has this target latency (0: none): at
/// most a quarter of it, and short enough that the caller does not send the
/// opening again while it waits. Thread safe.
auto queue_time(milliseconds target_latency) -> milliseconds;

/// Adds an opening. A retransmission of a queued opening is not added, but
/// counts as queued. If the class or the queue is full, the last opening in
/// order is rejected, which may be the new one. If the class is full, an
/// opening of a caller that has reached its number displaces only others of
/// this caller, and those of callers that exceed it are displaced first.
auto queue_opening(opening_queue &queue, queued_opening opening,
                   const queue_room &room, time_point now) -> queue_result;

/// Stores the packet of a queued opening. Does nothing if no opening with these
/// endpoints is queued or its packet is already stored.
auto store_queued_packet(opening_queue &queue, const flow_endpoints &endpoints,
                         std::span<const std::uint8_t> packet) -> void;

/// Calls `decide` for each opening in order and removes those for which it
/// returns true, after which the opening may be moved from. The order is
/// priority, then least slack to the target latency; once the queue has not
/// been empty for `overload_time`, it is priority, then last in, first out.
auto serve_queue(opening_queue &queue,
                 const std::function<bool(queued_opening &)> &decide,
                 time_point now) -> void;

/// Earliest time at which a queued opening has to be rejected, or
/// `time_point::max()`.
auto next_queue_deadline(const opening_queue &queue) -> time_point;

/// A queue that has not been empty for this time is overloaded: its openings do
/// not wait because of a short burst.
inline constexpr milliseconds overload_time{100};

} // namespace dogwoodtrack::carried
