#pragma once

#include <array>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/feeds/store_revision.hpp"
#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// The kinds of state that are read from the store and spread by gossip.
enum class feed : std::uint8_t { configuration, upstreams, evacuations, count };
/// Name of a feed in logs and metrics. Thread safe.
auto to_string(feed what) -> std::string_view;

inline constexpr auto feed_count = static_cast<std::size_t>(feed::count);

/// How much of a feed this balancer knows.
struct feed_version {
    store_revision content; ///< of the last change applied
    store_revision as_of;   ///< no change up to this revision is missing
    /// When the store last confirmed this state as current.
    time_point confirmed{};
    /// The whole feed was read at least once, from the store or from a peer.
    bool complete = false;
    /// Upstreams only: a record of every upstream that was removed after this
    /// store revision is known. One removed earlier may never have been known
    /// here, or was forgotten.
    store_revision removals_since;
};

/// A balancer known from gossip. Its address identifies it, since all balancers
/// use the same port.
struct fleet_member {
    std::uint32_t address = 0;
    std::uint32_t failure_domain = 0;
    std::uint16_t capacity = 1; ///< thousandths of a core
    bool leaving = false;
    /// When any balancer last heard from this member, as far as known here.
    time_point last_heard{};
};

/// The balancers of the system as far as this one knows them. Not thread safe.
struct fleet {
    fleet_member self;
    /// Addresses of balancers to contact while too few members are known.
    std::vector<std::uint32_t> seeds;
    boost::unordered_flat_map<std::uint32_t, fleet_member> others;
    std::minstd_rand random;
};

/// Time after which a member that no balancer has heard from is considered
/// dead. The time grows with the number of members, as gossip takes longer
/// among many.
auto member_timeout(const fleet &members) -> milliseconds;

/// Time after which a member that no balancer has heard from is removed. Dead
/// members still count towards `member_timeout`, which depends on how many
/// members gossip has to reach.
auto member_retention(const fleet &members) -> milliseconds;

/// Adds or replaces the member with the address of `member`, unless a later
/// `last_heard` of that member is known.
auto update_member(fleet &members, const fleet_member &member) -> void;

/// Removes members that no balancer has heard from within `member_retention`.
auto expire_members(fleet &members, time_point now) -> void;

/// Whether any balancer has heard from the member within `member_timeout`.
auto is_live(const fleet &members, const fleet_member &member, time_point now)
    -> bool;

/// Number of live members besides this balancer.
auto count_live_members(const fleet &members, time_point now) -> std::size_t;

/// Addresses of up to `limit` live members chosen at random, of which up to
/// `own_domain_limit` are in the own failure domain. If there are too few,
/// seeds that are not known as members are added, then members that count as
/// dead: a balancer that was cut off from all others finds them again.
auto random_peers(fleet &members, std::size_t limit,
                  std::size_t own_domain_limit, time_point now)
    -> std::vector<std::uint32_t>;

/// Up to `limit` live members to be listed in a digest: the first few in the
/// order in which balancers are chosen to watch the store, and a random choice
/// of the others. Listing the first few in every digest makes the members that
/// watch the store known to every balancer. Leaving members are included, and
/// not moved to the end of the order as they are for `watch_rank`.
auto select_digest_members(fleet &members, std::size_t limit, time_point now)
    -> std::vector<fleet_member>;

/// Rank of this balancer, counted from 0, in the order in which live balancers
/// are chosen to watch the store: those of a larger capacity class first,
/// leaving ones last.
auto watch_rank(const fleet &members, time_point now) -> std::size_t;

/// Address of the balancer that is elected for a task in the own failure
/// domain. The candidates are this balancer and the domain's other balancers
/// that are live and not leaving; the elected one belongs to the largest
/// capacity class among them. `purpose` identifies the task, so that different
/// tasks go to different balancers. All balancers of the domain that are not
/// leaving and know the same live members elect the same balancer.
auto domain_leader(const fleet &members, std::uint64_t purpose, time_point now)
    -> std::uint32_t;

/// As `domain_leader`, but the balancers with the addresses `skipped` are not
/// elected, nor is this balancer if it is leaving and another one may be
/// elected.
auto elect_in_own_domain(const fleet &members, std::uint64_t purpose,
                         std::span<const std::uint32_t> skipped, time_point now)
    -> std::uint32_t;

/// The balancer elected for a task of one failure domain.
struct elected_member {
    std::uint32_t failure_domain = 0;
    std::uint32_t address = 0;
};

/// Balancers that the failure domains other than the own one elect for a task,
/// in the order of `domain_leader`; one for each domain with a balancer that is
/// live and not leaving.
auto elect_in_other_domains(const fleet &members, std::uint64_t purpose,
                            time_point now) -> std::vector<elected_member>;

/// Whether the member is live, in the own failure domain and not leaving.
auto is_active_in_own_domain(const fleet &members, const fleet_member &member,
                             time_point now) -> bool;

/// Rank of this balancer, by address, among the balancers of its failure domain
/// that are live and not leaving, and the number of these balancers.
struct domain_rank {
    std::uint32_t rank = 0;
    std::uint32_t count = 1;
};

/// Rank of this balancer in its failure domain. For `membership_warm_up` after
/// `started` the rank is instead one of `provisional_ranks` ranks, selected by
/// a hash of the address: balancers that start together do not know each other
/// yet and would all take the same rank.
auto rank_in_domain(const fleet &members, time_point started, time_point now)
    -> domain_rank;

/// Time after its start in which a balancer knows too few other members to
/// determine its rank.
inline constexpr milliseconds membership_warm_up{4'000};
/// Number of different ranks that balancers take during `membership_warm_up`.
inline constexpr std::uint32_t provisional_ranks = 4'096;

} // namespace dogwoodtrack::carried
