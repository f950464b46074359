#pragma once

#include <array>
#include <deque>

#include "carried/balancer.hpp"
#include "carried/flows/hold_queue.hpp"
#include "dogwoodtrack/metrics.hpp"

namespace dogwoodtrack::carried {

/// Copy of an opening packet that was forwarded. If the opening is still
/// unanswered at `due`, the copy is sent to a second upstream.
struct pending_opening {
    time_point due;
    flow_endpoints endpoints;
    std::array<std::uint8_t, 64> bytes;
    std::size_t size;
};

/// Everything that the event loop of one balancer works on. Not thread safe.
struct balancer_context {
    balancer_options options;
    const packet_codec &codec;
    store_interface &store;
    event_loop &loop;
    blackboard state;
    metric_set metrics;
    /// Socket for packets from callers, deliveries to upstreams and resets to
    /// callers.
    int link = -1;
    int peers = -1; ///< socket for messages from and to other balancers
    /// Packets held until the configuration and the upstreams are known.
    hold_queue waiting;
    std::deque<pending_opening> openings; ///< ordered by `due`
    bool peers_read = false; ///< messages were received in this iteration
    time_point next_tick{};
    time_point next_digest{};
    time_point next_held_retry{};
    time_point next_reload{};
    time_point next_queue_service{}; ///< see `serve_opening_queue`
    time_point last_packet_at{};
    time_point stop_requested_at{};
    time_point next_division_log{};
    /// `quota_members::generation` when it was last logged; 0: never.
    std::uint32_t logged_division = 0;
    bool can_serve_logged = false; ///< the event `can_serve` has been logged
};

/// Sends messages to other balancers.
auto send_messages(balancer_context &it,
                   const std::vector<outgoing_message> &messages) -> void;

/// Receives and handles messages that have arrived at `peers`, a limited number
/// per call, and sends the answers to them.
auto receive_peer_messages(balancer_context &it) -> void;

/// Handles the store's answers that have arrived or failed, and schedules the
/// next calls.
auto handle_store_answers(balancer_context &it, time_point now) -> void;

/// Logs each feed that has become late or is no longer, see `update_lateness`.
auto log_late_feeds(balancer_context &it, time_point now) -> void;

/// Starts the calls to the store that are due.
auto start_store_calls(balancer_context &it, time_point now) -> void;

/// Receives and handles packets that have arrived at `link`, a limited number
/// per call.
auto receive_packets(balancer_context &it) -> void;

/// Resets the flows of upstreams newly found dead or cut off, as far as
/// `may_reset` allows.
auto reset_flows_at_dead_upstreams(balancer_context &it, time_point now)
    -> void;

/// Decides again about the held packets if the configuration and the upstreams
/// are known by now. Rejects held opening packets whose callers would time out
/// before an answer could arrive.
auto retry_held_packets(balancer_context &it, time_point now) -> void;

/// Forwards queued openings that are admitted by now, and rejects those that
/// cannot be served in time or were displaced.
auto serve_opening_queue(balancer_context &it, time_point now) -> void;

/// Rejects all held and queued opening packets, since the balancer is about to
/// stop.
auto reject_held_openings(balancer_context &it) -> void;

/// Forwards each opening packet that is still unanswered at
/// `pending_opening::due` to a second upstream, before its caller would
/// retransmit it.
auto retry_openings(balancer_context &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
