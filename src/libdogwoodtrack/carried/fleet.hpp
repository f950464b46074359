#pragma once

#include <array>
#include <random>
#include <string_view>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// The two kinds of state that are read from the store and spread by gossip.
enum class feed : std::uint8_t { configuration, upstreams, count };
/// Name of a feed in logs and metrics. Thread safe.
auto to_string(feed what) -> std::string_view;

inline constexpr auto feed_count = static_cast<std::size_t>(feed::count);

/// How much of a feed is known.
struct feed_version {
    std::uint64_t content = 0; ///< revision of the last change applied
    std::uint64_t as_of = 0;   ///< complete up to this store revision
    time_point confirmed{};    ///< when the store last reported `as_of`
    bool complete = false;     ///< the whole feed was read at least once
};

/// A balancer known from gossip. Its address identifies it, since all balancers
/// use the same port.
struct fleet_member {
    std::uint32_t address = 0;
    std::uint32_t failure_domain = 0;
    std::uint16_t capacity = 1; ///< thousandths of a core
    bool leaving = false;
    time_point last_heard{}; ///< by any balancer, as far as reported
};

/// The balancers of the system as known here. Not thread safe.
struct fleet {
    fleet_member self;
    std::vector<std::uint32_t> seeds;
    boost::unordered_flat_map<std::uint32_t, fleet_member> others;
    std::minstd_rand random;
};

/// Time after which a member that no balancer has heard from is considered
/// dead. It grows with the number of members, as gossip takes longer among
/// many.
auto member_timeout(const fleet &members) -> milliseconds;

/// Time for which a member stays known, live or not, after it was last heard.
/// Dead members still count towards `member_timeout`, which depends on how
/// many members gossip has to reach.
auto member_retention(const fleet &members) -> milliseconds;

/// Records that `seen` was last heard at `seen.last_heard`. Ignored if a later
/// time is known.
auto update_member(fleet &members, const fleet_member &seen) -> void;

/// Removes members that were not heard within `member_retention`.
auto expire_members(fleet &members, time_point now) -> void;

/// Whether the member was heard within `member_timeout`.
auto is_live(const fleet &members, const fleet_member &member, time_point now)
    -> bool;

/// Number of live members besides this balancer.
auto count_live_members(const fleet &members, time_point now) -> std::size_t;

/// Up to `limit` live members at random, of which up to `own_domain_limit` are
/// in the own failure domain. Seeds that are not known as members make up for
/// missing ones.
auto random_peers(fleet &members, std::size_t limit,
                  std::size_t own_domain_limit, time_point now)
    -> std::vector<std::uint32_t>;

/// Up to `limit` live members for a digest: the first in the order in which
/// balancers watch the store, so that every balancer knows the watchers, and a
/// random choice of the others.
auto select_digest_members(fleet &members, std::size_t limit, time_point now)
    -> std::vector<fleet_member>;

/// Rank of this balancer in the order in which live balancers watch the store,
/// those of larger capacity first.
auto watch_rank(const fleet &members, time_point now) -> std::size_t;

/// Address of the live balancer of the own failure domain that is elected for
/// `purpose`, of the largest capacity class. Balancers that know the same live
/// members elect the same one.
auto domain_leader(const fleet &members, std::uint64_t purpose, time_point now)
    -> std::uint32_t;

/// Whether the member is live, in the own failure domain and not leaving.
auto is_active_in_own_domain(const fleet &members, const fleet_member &member,
                             time_point now) -> bool;

/// Rank of this balancer among the live ones of its failure domain, and
/// their number.
struct domain_rank {
    std::uint32_t rank = 0;
    std::uint32_t count = 1;
};

/// Rank of this balancer in its failure domain. For `membership_warm_up` after
/// `started` it is a hash of the address among `provisional_ranks` instead:
/// balancers that start together do not know each other yet and would all take
/// the same rank.
auto rank_in_domain(const fleet &members, time_point started, time_point now)
    -> domain_rank;

/// Time after the start in which few other members are known.
inline constexpr milliseconds membership_warm_up{4'000};
inline constexpr std::uint32_t provisional_ranks = 4'096;

} // namespace dogwoodtrack::carried
