#pragma once

#include <array>
#include <deque>

#include "balancer.hpp"
#include "dogwoodtrack/metrics.hpp"
#include "waiting.hpp"

namespace dogwoodtrack::carried {

/// An opening packet whose answer is awaited.
struct pending_opening {
    time_point due;
    flow_endpoints endpoints;
    std::array<std::uint8_t, 64> bytes;
    std::size_t size;
};

/// Everything that the loop of one balancer works with.
struct context {
    balancer_options options;
    const packet_format &format;
    store_port &store;
    event_loop &loop;
    blackboard state;
    metric_set metrics;
    int link = -1;
    int peers = -1;
    hold_queue waiting;
    std::deque<pending_opening> openings;
    time_point next_tick{};
    time_point next_digest{};
    time_point next_waiting{};
    time_point next_reload{};
    time_point last_packet{};
    time_point stop_asked{};
    bool served = false;
};

/// Takes the packets that have arrived, up to a batch.
auto take_packets(context &it) -> void;

/// Resets the flows that wait for upstreams that are dead.
auto reset_flows_at_dead_upstreams(context &it, time_point now) -> void;

/// Decides again about the packets that waited for state, if there is any
/// now; rejects those that waited too long.
auto try_waiting_packets(context &it, time_point now) -> void;

/// Rejects all opening packets that wait, as this process ends.
auto reject_waiting(context &it) -> void;

/// Sends opening packets that got no answer to a second upstream, before the
/// caller's own copy would arrive.
auto try_openings_again(context &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
