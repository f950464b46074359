#pragma once

#include <array>

#include "fleet.hpp"
#include "probes.hpp"
#include "reassembly.hpp"
#include "steering.hpp"
#include "store.hpp"

namespace dogwoodtrack::carried {

/// State of the store calls for one feed.
struct store_call_state {
    bool in_flight = false;
    bool needs_list = false;   ///< the store dropped the history since `as_of`
    bool taken_over = false;   ///< watches in place of the preferred watchers
    unsigned failures = 0;     ///< consecutive
    time_point not_before{};   ///< earliest time of the next call
    time_point last_success{}; ///< last answer of the store
    time_point last_peer_confirmation{}; ///< latest one reported by a peer
};

/// Whether this balancer takes part in rotation, see `rotation.hpp`.
struct rotation_state {
    bool withdrawn = false;
    /// Consecutive probe rounds in which most of the own failure domain was
    /// lost, in which it was not, and in which no other domain was working.
    unsigned rounds_degraded = 0;
    unsigned rounds_recovered = 0;
    unsigned rounds_without_alternative = 0;
};

/// Counters for metrics.
struct blackboard_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(refusal::count)>
        refused{};
    std::uint64_t forwarded = 0;
    std::uint64_t retried_openings = 0;
    std::uint64_t flows_reset = 0; ///< at upstreams that died
    std::uint64_t held = 0;        ///< packets held until state was known
    std::uint64_t malformed = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t peer_messages = 0;
    std::uint64_t withdrawals = 0; ///< from rotation
};

/// State of this balancer that its controllers read and update. Not thread
/// safe: all of it belongs to one thread.
struct blackboard {
    steering_state steering;
    fleet members;
    probe_table probes;
    rotation_state rotation;
    std::array<feed_version, feed_count> versions{};
    std::array<store_call_state, feed_count> calls{};
    std::array<time_point, feed_count> last_pulled{};
    /// Starting balancers that were sent the complete state, and when.
    boost::unordered_flat_map<std::uint32_t, time_point> bootstrapped_peers;
    partial_configuration incoming_configuration;
    partial_records incoming_records;
    time_point started{};
    time_point store_recovered{}; ///< first answer after an outage
    bool store_unreachable = false;
    bool first_start = false; ///< of the whole system
    /// Time within which an accepted change has to be in force everywhere.
    milliseconds apply_within{3'000};
    bool leaving = false;
    blackboard_counters counters;
};

auto version_of(blackboard &board, feed what) -> feed_version &;
auto version_of(const blackboard &board, feed what) -> const feed_version &;

/// Whether new flows can be served: both feeds were read at least once.
auto can_serve(const blackboard &board) -> bool;

/// Updates what packet decisions take from the rest of the blackboard: when the
/// configuration was last confirmed, and the rank of this balancer in its
/// failure domain.
auto refresh_steering(blackboard &board, time_point now) -> void;

} // namespace dogwoodtrack::carried
