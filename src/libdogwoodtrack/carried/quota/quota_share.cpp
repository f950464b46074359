#include "carried/quota/quota_share.hpp"

#include <algorithm>
#include <utility>

namespace dogwoodtrack::carried {

namespace {

/// Shortest interval between two updates. A new member is fresh for longer.
constexpr milliseconds update_interval{500};
/// Time without updates after which the view of this balancer counts as out of
/// date: others may have shared out its part by then.
constexpr milliseconds max_update_gap = min_quota_hold / 2;
/// A balancer receives about six digests with 12 members each per second, so
/// that in a large fleet it hears of a member about every 14 ms for each member
/// of the fleet. The hold time is six times as long.
constexpr milliseconds hold_per_member{80};
/// A balancer that still lacks one in a hundred of the members learns of a
/// further one within this time for each member of the fleet, on average.
constexpr milliseconds settle_per_member{4};
/// If more than one in this number of balancers are silent, they are taken for
/// cut off and keep their shares. If fewer are beyond a cut, these notice that
/// they hear at most one in this number, and give up their shares before the
/// others divide them.
constexpr std::size_t cut_fraction = 8;
/// Bounds the memory if addresses in messages are corrupt. A member beyond the
/// limit would get no place in the division.
constexpr std::size_t max_members = 8'192;

auto fleet_size(const fleet &known) -> std::int64_t {
    return static_cast<std::int64_t>(known.others.size()) + 1;
}

auto add_members(quota_members &members, const fleet &known, time_point now)
    -> bool {
    auto grown = false;
    const auto hold = quota_hold(known);
    for (const auto &[address, member] : known.others) {
        if (member.failure_domain != known.self.failure_domain ||
            now - member.last_heard >= hold)
            continue;
        const auto found = members.others.find(address);
        if (found != members.others.end()) {
            found->second = {.last_heard = std::max(found->second.last_heard,
                                                    member.last_heard),
                             .leaving = member.leaving};
        } else if (members.others.size() < max_members) {
            members.others[address] = {.last_heard = member.last_heard,
                                       .leaving = member.leaving};
            grown = true;
        }
    }
    return grown;
}

// Members count as silent from half the hold time on, so that those which were
// cut off together are counted together although each was last heard at another
// time.
auto expire_quota_members(quota_members &members, milliseconds hold,
                          time_point now) -> bool {
    const auto counted = members.others.size() + 1;
    const auto silent = static_cast<std::size_t>(std::count_if(
        members.others.begin(), members.others.end(), [&](const auto &entry) {
            return !entry.second.leaving &&
                   now - entry.second.last_heard >= hold / 2;
        }));
    const auto cut_off = silent * cut_fraction > counted;
    const auto was_isolated = std::exchange(
        members.isolated, (counted - silent) * cut_fraction <= counted);
    const auto erased =
        boost::unordered::erase_if(members.others, [&](const auto &entry) {
            const auto age = now - entry.second.last_heard;
            if (entry.second.leaving)
                return age >= std::min(hold, quota_leave_hold);
            return age >= (cut_off ? std::max(hold, quota_cut_hold) : hold);
        });
    return erased > 0 || members.isolated != was_isolated;
}

auto is_settled(const quota_members &members, const fleet &known,
                time_point now) -> bool {
    const auto settle_time =
        std::max(min_settle_time, settle_per_member * fleet_size(known));
    const auto age = now - members.warm_up_from;
    return age >= membership_warm_up &&
           (now - members.last_growth >= settle_time || age >= max_fresh_time);
}

// Units dealt to this rank if the units are dealt out in turns.
auto deal(std::uint32_t units, std::uint32_t divisor, std::uint32_t rank)
    -> std::uint32_t {
    return units / divisor + (rank < units % divisor ? 1 : 0);
}

auto rank_for(const quota_members &members, std::uint64_t purpose)
    -> std::uint32_t {
    const auto own = hash_pair(members.self, purpose);
    return static_cast<std::uint32_t>(std::count_if(
        members.others.begin(), members.others.end(), [&](const auto &entry) {
            const auto other = hash_pair(entry.first, purpose);
            return other < own || (other == own && entry.first < members.self);
        }));
}

} // namespace

auto quota_hold(const fleet &known) -> milliseconds {
    return std::max(min_quota_hold, hold_per_member * fleet_size(known));
}

auto update_quota_members(quota_members &members, const fleet &known,
                          time_point started, time_point now) -> void {
    const auto first = members.last_update == time_point{};
    if (!first && now - members.last_update < update_interval)
        return;
    const auto paused = !first && now - members.last_update >= max_update_gap;
    auto changed = members.self != known.self.address;
    members.self = known.self.address;
    if (first || paused) {
        changed = true;
        members.warm_up_from = first ? started : now;
        members.fresh = true;
    }
    members.last_update = now;
    if (add_members(members, known, now)) {
        members.last_growth = now;
        changed = true;
    }
    changed |= expire_quota_members(members, quota_hold(known), now);
    if (members.fresh && is_settled(members, known, now)) {
        members.fresh = false;
        changed = true;
    }
    members.generation += changed ? 1 : 0;
}

auto quota_divisor(const quota_members &members) -> std::uint32_t {
    const auto known = static_cast<std::uint32_t>(members.others.size() + 1);
    return takes_small_share(members) ? std::max(known, small_share_divisor)
                                      : known;
}

auto takes_small_share(const quota_members &members) -> bool {
    return members.fresh || members.isolated;
}

// The units are dealt out in turns, in an order of the balancers that is
// specific to the purpose. A share does not grow if a balancer is added to the
// view. So if every view contains all balancers, and perhaps some dead ones,
// the sum of the shares is at most the quota.
auto quota_share(const quota_members &members, std::uint32_t quota,
                 std::uint64_t purpose) -> std::uint32_t {
    const auto divisor = quota_divisor(members);
    // A quota of one unit has no reserve for small shares.
    if (takes_small_share(members))
        return quota <= 1
                   ? 0
                   : deal(quota, divisor,
                          static_cast<std::uint32_t>(
                              hash_pair(members.self, purpose) % divisor));
    if (quota % divisor == 0)
        return quota / divisor;
    return deal(quota, divisor, rank_for(members, purpose));
}

} // namespace dogwoodtrack::carried
