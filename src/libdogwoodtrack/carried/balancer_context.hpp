#pragma once

#include <array>
#include <deque>

#include "balancer.hpp"
#include "dogwoodtrack/metrics.hpp"
#include "hold_queue.hpp"

namespace dogwoodtrack::carried {

/// An opening packet that was forwarded. If it has no answer at `due`, it is
/// sent to a second upstream, too.
struct pending_opening {
    time_point due;
    flow_endpoints endpoints;
    std::array<std::uint8_t, 64> bytes;
    std::size_t size;
};

/// State of the event loop of one balancer. One thread.
struct balancer_context {
    balancer_options options;
    const packet_format &format;
    store_interface &store;
    event_loop &loop;
    blackboard state;
    metric_set metrics;
    int link = -1;  ///< socket for packets of callers and to upstreams
    int peers = -1; ///< socket for messages of other balancers
    hold_queue waiting;
    std::deque<pending_opening> openings;
    time_point next_tick{};
    time_point next_digest{};
    time_point next_waiting_retry{};
    time_point next_reload{};
    time_point last_packet_at{};
    time_point stop_requested_at{};
    bool has_served = false; ///< `can_serve` has been logged
};

/// Receives and handles the packets that have arrived, at most one batch.
auto receive_packets(balancer_context &it) -> void;

/// Resets the flows of upstreams newly found dead or cut off, as far as
/// `may_reset` allows.
auto reset_flows_at_dead_upstreams(balancer_context &it, time_point now)
    -> void;

/// Decides again about the packets that wait for the configuration and the
/// upstreams, if both are known by now; rejects opening packets that have
/// waited too long.
auto retry_waiting_packets(balancer_context &it, time_point now) -> void;

/// Rejects all waiting opening packets, since the process is about to end.
auto reject_waiting_openings(balancer_context &it) -> void;

/// Sends opening packets that got no answer to a second upstream, before the
/// caller would retransmit them.
auto retry_openings(balancer_context &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
