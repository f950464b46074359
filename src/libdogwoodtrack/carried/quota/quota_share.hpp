#pragma once

#include <algorithm>

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/members/fleet.hpp"

namespace dogwoodtrack::carried {

/// A balancer of the own failure domain among which quotas are divided.
struct quota_member {
    time_point last_heard{};
    bool leaving = false;
};

/// The other balancers of the own failure domain among which quotas are
/// divided: the live ones and those that fell silent within a hold time. No
/// balancer coordinates the division. The sum of all shares stays within the
/// quota as long as no balancer lacks another one that uses its regular share,
/// whatever else the views differ in. Not thread safe.
struct quota_members {
    boost::unordered_flat_map<std::uint32_t, quota_member> others;
    std::uint32_t self = 0;    ///< address of this balancer
    time_point warm_up_from{}; ///< start of the process, or end of a pause
    time_point last_growth{};  ///< when `others` last got a new member
    time_point last_update{};  ///< of this table
    /// This balancer may not know all others yet and takes a small share.
    bool fresh = true;
    /// This balancer hears at most one in eight of the balancers that count,
    /// itself included, and takes a small share: the others may stop counting
    /// it.
    bool isolated = false;
    /// Differs after each change of a share.
    std::uint32_t generation = 1;
};

/// Updates the balancers that count, and whether this one is fresh. `started`
/// is the start of this balancer. Calls within 500 ms of an update do nothing.
auto update_quota_members(quota_members &members, const fleet &known,
                          time_point started, time_point now) -> void;

/// Number of balancers that a quota is divided among, this one included.
auto quota_divisor(const quota_members &members) -> std::uint32_t;

/// Whether this balancer takes a small share, for one of the reasons above.
auto takes_small_share(const quota_members &members) -> bool;

/// Share of this balancer in `quota`, a number of indivisible units. `purpose`
/// identifies the quota: remainders of different quotas go to different
/// balancers. Takes time in proportion to the number of members if the quota
/// cannot be divided evenly.
auto quota_share(const quota_members &members, std::uint32_t quota,
                 std::uint64_t purpose) -> std::uint32_t;

/// Part of a quota that is divided among the balancers. The rest is a reserve
/// for the shares of fresh balancers and for those that not every balancer
/// knows yet.
constexpr auto divided_part(std::uint32_t quota) -> std::uint32_t {
    constexpr std::uint32_t reserve_divisor = 8;
    const auto reserve = 1 + quota / reserve_divisor;
    return quota > reserve ? quota - reserve : std::min(quota, 1U);
}

/// A silent balancer counts for at least this time after it was last heard. It
/// may be cut off rather than dead, and use its share.
inline constexpr milliseconds min_quota_hold{60'000};

/// Time for which a silent balancer counts: `min_quota_hold`, or longer in a
/// large fleet, in which a balancer hears more rarely of each of the others.
auto quota_hold(const fleet &known) -> milliseconds;

/// If more than one in eight of the balancers are silent, they count for this
/// time: so many at once are more likely cut off than dead, and use shares.
inline constexpr milliseconds quota_cut_hold{1'200'000};

/// A silent balancer that had announced that it leaves counts for this time,
/// which is longer than a planned stop.
inline constexpr milliseconds quota_leave_hold{15'000};

/// Smallest number of balancers that one with a small share divides a quota
/// among. The largest failure domain of the design target has 395 balancers. If
/// all of them start at the same time, they take about two fifths of a quota.
inline constexpr std::uint32_t small_share_divisor = 1'024;

/// A balancer is fresh until it has learned of no further balancer for this
/// time, or longer in a large fleet, but at least for `membership_warm_up`.
inline constexpr milliseconds min_settle_time{2'000};

/// Time after its start at which a balancer is no longer fresh, even if it
/// still learns of other balancers.
inline constexpr milliseconds max_fresh_time{600'000};

} // namespace dogwoodtrack::carried
