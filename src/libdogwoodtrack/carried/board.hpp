#pragma once

#include <array>

#include "arriving_parts.hpp"
#include "fleet.hpp"
#include "probes.hpp"
#include "steering.hpp"
#include "store.hpp"

namespace dogwoodtrack::carried {

/// State of the calls to the store for one feed.
struct call_state {
    bool under_way = false;
    bool needs_list = false;       ///< the changes since `as_of` are gone
    bool took_over = false;        ///< in place of those that should watch
    unsigned failures = 0;         ///< in a row
    time_point not_before{};       ///< of the next call
    time_point succeeded{};        ///< last answer of the store
    time_point others_confirmed{}; ///< last one that a peer told of
};

/// Whether this balancer takes part in rotation, see `rotation.hpp`.
struct rotation_state {
    bool withdrawn = false;
    /// Turns in a row in which most of the failure domain was lost, in which
    /// it was whole, and in which no other domain worked.
    unsigned turns_lost = 0;
    unsigned turns_whole = 0;
    unsigned turns_alone = 0;
};

/// Counts for metrics.
struct board_counters {
    std::array<std::uint64_t, static_cast<std::size_t>(refusal::count)>
        refused{};
    std::uint64_t forwarded = 0;
    std::uint64_t tried_again = 0;
    std::uint64_t flows_reset = 0; ///< at upstreams that died
    std::uint64_t held = 0;
    std::uint64_t malformed = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t peer_messages = 0;
    std::uint64_t withdrawals = 0; ///< from rotation
};

/// What this balancer knows and what its controllers work on. One thread.
struct board {
    steering_state steering;
    fleet members;
    probe_table probes;
    rotation_state rotation;
    std::array<feed_version, feed_count> versions{};
    std::array<call_state, feed_count> calls{};
    std::array<time_point, feed_count> pulled{};
    /// Starting balancers that were sent the whole state, and when.
    boost::unordered_flat_map<std::uint32_t, time_point> helped;
    partial_configuration arriving_configuration;
    partial_records arriving_records;
    time_point started{};
    time_point store_returned{}; ///< first answer after it was away
    bool store_away = false;
    bool first_start = false; ///< the whole system starts now
    /// A change that the store accepted is to be in force by then.
    milliseconds apply_within{3'000};
    bool leaving = false;
    board_counters counters;
};

auto version_of(board &it, feed what) -> feed_version &;
auto version_of(const board &it, feed what) -> const feed_version &;

/// Whether new flows can be served: both feeds were read once.
auto can_serve(const board &it) -> bool;

/// Brings what packet decisions need of the rest of the board up to date: how
/// current the configuration is, and this balancer's place in its domain.
auto refresh_steering(board &it, time_point now) -> void;

} // namespace dogwoodtrack::carried
