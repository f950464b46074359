#pragma once

#include <array>
#include <random>
#include <string_view>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// The two kinds of state that come from the store and spread over peers.
enum class feed : std::uint8_t { configuration, upstreams, count };
/// Name of a feed in logs and metrics. Thread safe.
auto to_string(feed what) -> std::string_view;

inline constexpr auto feed_count = static_cast<std::size_t>(feed::count);

/// How far one feed is known.
struct feed_version {
    std::uint64_t content = 0; ///< revision of the last change taken
    std::uint64_t as_of = 0;   ///< complete up to this store revision
    time_point confirmed{};    ///< the store last showed `as_of` then
    bool complete = false;     ///< the whole feed was read once
};

/// One balancer as heard of. Its address identifies it; all use one port.
struct fleet_member {
    std::uint32_t address = 0;
    std::uint32_t failure_domain = 0;
    std::uint16_t capacity = 1; ///< thousandths of a core
    bool leaving = false;
    time_point last_heard{}; ///< by anyone, as far as told
};

/// The balancers of the system as this one knows them. One thread at a time.
struct fleet {
    fleet_member self;
    std::vector<std::uint32_t> seeds;
    boost::unordered_flat_map<std::uint32_t, fleet_member> others;
    std::minstd_rand random;
};

/// A member that nobody heard for this long is taken for dead. Signs of life
/// come by hearsay, which takes longer among many.
auto member_timeout(const fleet &it) -> milliseconds;

/// A member is known, if not as a live one, for this time after it was heard:
/// the number of members tells how long hearsay takes.
auto member_retention(const fleet &it) -> milliseconds;

/// Takes note that `seen` was heard of at `seen.heard`; an older sign of
/// life than the one known changes nothing.
auto update_member(fleet &it, const fleet_member &seen) -> void;

/// Forgets members that have been silent for longer than `member_retention`.
auto expire_members(fleet &it, time_point now) -> void;

/// Whether the member gave a sign of life within `member_timeout`.
auto is_live(const fleet &it, const fleet_member &member, time_point now)
    -> bool;

/// Number of live members besides this balancer.
auto count_live_members(const fleet &it, time_point now) -> std::size_t;

/// Up to `most` live members at random, `own_domain` of them in the own
/// failure domain where it has so many. Seeds that are not known as members
/// stand in for missing ones.
auto random_peers(fleet &it, std::size_t most, std::size_t own_domain,
                  time_point now) -> std::vector<std::uint32_t>;

/// Up to `most` live members for a digest: those that come first in the order
/// in which balancers watch the store, so that all know who does, and others
/// at random.
auto select_digest_members(fleet &it, std::size_t most, time_point now)
    -> std::vector<fleet_member>;

/// Position of this balancer in the order in which balancers watch the
/// store: larger ones first, and live ones only.
auto watch_rank(const fleet &it, time_point now) -> std::size_t;

/// Address of the live balancer of the own failure domain that comes first
/// in an order of `purpose`, larger ones before smaller ones. All that know
/// the same live members get the same.
auto domain_leader(const fleet &it, std::uint64_t purpose, time_point now)
    -> std::uint32_t;

/// Whether the member is a live one of the own failure domain that stays.
auto is_active_in_own_domain(const fleet &it, const fleet_member &member,
                             time_point now) -> bool;

/// Rank of this balancer among the live ones of its failure domain, and
/// their number.
struct domain_rank {
    std::uint32_t rank = 0;
    std::uint32_t count = 1;
};

/// The rank. For `membership_warm_up` after `started` it is a place by hash
/// among `places` instead: balancers that start at once know no others yet, and
/// would all take the same rank.
auto rank_in_domain(const fleet &it, time_point started, time_point now)
    -> domain_rank;

/// A balancer that has just started has heard of few others for this time.
inline constexpr milliseconds membership_warm_up{4'000};
inline constexpr std::uint32_t provisional_ranks = 4'096;

} // namespace dogwoodtrack::carried
