#include "carried/members/fleet.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Shortest `member_timeout` while at most `small_fleet` other members are
/// known, few enough for gossip to reach all of them quickly.
constexpr milliseconds min_member_timeout{2'000};
/// Shortest `member_timeout` in a larger fleet, in which gossip takes several
/// rounds.
constexpr milliseconds min_member_timeout_large_fleet{5'000};
constexpr std::size_t small_fleet = 16;
constexpr milliseconds timeout_per_member{45};
constexpr milliseconds max_member_timeout{30'000};
/// `member_retention` as a multiple of `member_timeout`.
constexpr int retention_timeouts = 6;

/// Number of members that every digest with a list of members contains: the
/// first live ones in the order in which balancers watch the store.
constexpr std::size_t leading_digest_members = 4;
/// Smallest capacities of the large and the medium capacity class, in
/// thousandths of a core.
constexpr std::uint16_t large_capacity = 400;
constexpr std::uint16_t medium_capacity = 80;
/// Argument `purpose` of `comes_before` for the order in which balancers watch
/// the store.
constexpr std::uint64_t watch_purpose = 1;
/// Hashed together with the address of a balancer that has just started, to
/// determine its provisional rank.
constexpr std::uint64_t provisional_rank_purpose = 2;

auto capacity_class(const fleet_member &it) -> int {
    if (it.capacity >= large_capacity)
        return 2;
    return it.capacity >= medium_capacity ? 1 : 0;
}

// Members of a larger capacity class come first. Within a class members are
// ordered by a hash of address and `purpose`, so that the first ones are spread
// over the failure domains and differ from purpose to purpose.
auto comes_before(const fleet_member &a, const fleet_member &b,
                  std::uint64_t purpose) -> bool {
    if (capacity_class(a) != capacity_class(b))
        return capacity_class(a) > capacity_class(b);
    return hash_pair(a.address, purpose) < hash_pair(b.address, purpose);
}

} // namespace

auto to_string(feed what) -> std::string_view {
    static constexpr std::array<std::string_view, feed_count> names{
        "configuration", "upstreams", "evacuations"};
    return names[static_cast<std::size_t>(what)];
}

auto update_member(fleet &members, const fleet_member &member) -> void {
    if (member.address == members.self.address || member.address == 0)
        return;
    auto &known = members.others[member.address];
    if (member.last_heard < known.last_heard)
        return;
    known = member;
}

auto member_timeout(const fleet &members) -> milliseconds {
    const auto count = static_cast<std::int64_t>(members.others.size());
    const auto shortest = members.others.size() <= small_fleet
                              ? min_member_timeout
                              : min_member_timeout_large_fleet;
    return std::clamp(timeout_per_member * count, shortest, max_member_timeout);
}

auto member_retention(const fleet &members) -> milliseconds {
    return member_timeout(members) * retention_timeouts;
}

auto expire_members(fleet &members, time_point now) -> void {
    const auto retention = member_retention(members);
    boost::unordered::erase_if(members.others, [&](const auto &entry) {
        return now - entry.second.last_heard >= retention;
    });
}

auto is_live(const fleet &members, const fleet_member &member, time_point now)
    -> bool {
    return now - member.last_heard < member_timeout(members);
}

auto count_live_members(const fleet &members, time_point now) -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        members.others.begin(), members.others.end(), [&](const auto &entry) {
            return is_live(members, entry.second, now);
        }));
}

auto random_peers(fleet &members, std::size_t limit,
                  std::size_t own_domain_limit, time_point now)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> own_domain;
    std::vector<std::uint32_t> other_domains;
    std::vector<std::uint32_t> silent;
    for (const auto &[address, member] : members.others) {
        if (!is_live(members, member, now))
            silent.push_back(address);
        else if (member.failure_domain == members.self.failure_domain)
            own_domain.push_back(address);
        else
            other_domains.push_back(address);
    }
    std::shuffle(silent.begin(), silent.end(), members.random);
    std::shuffle(own_domain.begin(), own_domain.end(), members.random);
    std::shuffle(other_domains.begin(), other_domains.end(), members.random);
    auto peers = own_domain;
    if (peers.size() > own_domain_limit)
        peers.resize(own_domain_limit);
    for (const auto address : other_domains) {
        if (peers.size() >= limit)
            break;
        peers.push_back(address);
    }
    for (const auto address : members.seeds) {
        if (peers.size() >= limit)
            break;
        if (address != members.self.address &&
            !members.others.contains(address))
            peers.push_back(address);
    }
    for (const auto address : silent) {
        if (peers.size() >= limit)
            break;
        peers.push_back(address);
    }
    return peers;
}

auto select_digest_members(fleet &members, std::size_t limit, time_point now)
    -> std::vector<fleet_member> {
    std::vector<fleet_member> selected;
    for (const auto &[address, member] : members.others) {
        if (is_live(members, member, now))
            selected.push_back(member);
    }
    const auto leading =
        std::min({leading_digest_members, limit, selected.size()});
    const auto rest = selected.begin() + static_cast<std::ptrdiff_t>(leading);
    std::partial_sort(selected.begin(), rest, selected.end(),
                      [](const fleet_member &a, const fleet_member &b) {
                          return comes_before(a, b, watch_purpose);
                      });
    std::shuffle(rest, selected.end(), members.random);
    if (selected.size() > limit)
        selected.resize(limit);
    return selected;
}

auto watch_rank(const fleet &members, time_point now) -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        members.others.begin(), members.others.end(), [&](const auto &entry) {
            const auto &other = entry.second;
            return is_live(members, other, now) && !other.leaving &&
                   (members.self.leaving ||
                    comes_before(other, members.self, watch_purpose));
        }));
}

auto domain_leader(const fleet &members, std::uint64_t purpose, time_point now)
    -> std::uint32_t {
    const auto *leader = &members.self;
    for (const auto &[address, member] : members.others) {
        if (is_active_in_own_domain(members, member, now) &&
            comes_before(member, *leader, purpose))
            leader = &member;
    }
    return leader->address;
}

auto elect_in_own_domain(const fleet &members, std::uint64_t purpose,
                         std::span<const std::uint32_t> skipped, time_point now)
    -> std::uint32_t {
    const auto *leader = members.self.leaving ? nullptr : &members.self;
    for (const auto &[address, member] : members.others) {
        if (!is_active_in_own_domain(members, member, now) ||
            std::find(skipped.begin(), skipped.end(), address) != skipped.end())
            continue;
        if (leader == nullptr || comes_before(member, *leader, purpose))
            leader = &member;
    }
    return leader == nullptr ? members.self.address : leader->address;
}

auto elect_in_other_domains(const fleet &members, std::uint64_t purpose,
                            time_point now) -> std::vector<elected_member> {
    std::vector<const fleet_member *> leaders;
    for (const auto &entry : members.others) {
        const auto &member = entry.second;
        if (member.failure_domain == members.self.failure_domain ||
            member.leaving || !is_live(members, member, now))
            continue;
        const auto found = std::find_if(
            leaders.begin(), leaders.end(), [&](const auto *leader) {
                return leader->failure_domain == member.failure_domain;
            });
        if (found == leaders.end())
            leaders.push_back(&member);
        else if (comes_before(member, **found, purpose))
            *found = &member;
    }
    std::vector<elected_member> elected;
    elected.reserve(leaders.size());
    for (const auto *leader : leaders)
        elected.push_back({.failure_domain = leader->failure_domain,
                           .address = leader->address});
    return elected;
}

auto is_active_in_own_domain(const fleet &members, const fleet_member &member,
                             time_point now) -> bool {
    return member.failure_domain == members.self.failure_domain &&
           !member.leaving && is_live(members, member, now);
}

auto rank_in_domain(const fleet &members, time_point started, time_point now)
    -> domain_rank {
    if (now - started < membership_warm_up)
        return {.rank = static_cast<std::uint32_t>(
                    hash_pair(members.self.address, provisional_rank_purpose) %
                    provisional_ranks),
                .count = provisional_ranks};
    domain_rank own;
    for (const auto &[address, member] : members.others) {
        if (!is_active_in_own_domain(members, member, now))
            continue;
        ++own.count;
        if (address < members.self.address)
            ++own.rank;
    }
    return own;
}

} // namespace dogwoodtrack::carried
