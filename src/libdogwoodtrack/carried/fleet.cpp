#include "fleet.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Hearsay reaches a few members at once; more need several rounds.
constexpr milliseconds min_timeout_few{2'000};
constexpr milliseconds min_timeout_many{5'000};
constexpr std::size_t few_members = 16;
constexpr milliseconds timeout_per_member{45};
constexpr milliseconds max_timeout{30'000};
constexpr int retention_timeouts = 6;

/// Members that every digest tells of, the first in the order of watching.
constexpr std::size_t leading_members = 4;
constexpr std::uint16_t large_capacity = 400;
constexpr std::uint16_t middle_capacity = 80;
/// Purpose of the order in which balancers watch the store.
constexpr std::uint64_t watching = 1;
/// Purpose of the places of balancers that have just started.
constexpr std::uint64_t placing = 2;

auto size_class(const fleet_member &it) -> int {
    if (it.capacity >= large_capacity)
        return 2;
    return it.capacity >= middle_capacity ? 1 : 0;
}

// Capacities of one class are alike; the rest is spread by hash, so that the
// first in the order are not all of one failure domain, nor the same for
// every purpose.
auto comes_before(const fleet_member &a, const fleet_member &b,
                  std::uint64_t purpose) -> bool {
    if (size_class(a) != size_class(b))
        return size_class(a) > size_class(b);
    return hash_pair(a.address, purpose) < hash_pair(b.address, purpose);
}

} // namespace

auto to_string(feed what) -> std::string_view {
    return what == feed::configuration ? "configuration" : "upstreams";
}

auto update_member(fleet &it, const fleet_member &seen) -> void {
    if (seen.address == it.self.address || seen.address == 0)
        return;
    auto &known = it.others[seen.address];
    if (seen.last_heard < known.last_heard)
        return;
    known = seen;
}

auto member_timeout(const fleet &it) -> milliseconds {
    const auto members = static_cast<std::int64_t>(it.others.size());
    const auto least =
        it.others.size() <= few_members ? min_timeout_few : min_timeout_many;
    return std::clamp(timeout_per_member * members, least, max_timeout);
}

auto member_retention(const fleet &it) -> milliseconds {
    return member_timeout(it) * retention_timeouts;
}

auto expire_members(fleet &it, time_point now) -> void {
    const auto kept = member_retention(it);
    boost::unordered::erase_if(it.others, [&](const auto &entry) {
        return now - entry.second.last_heard >= kept;
    });
}

auto is_live(const fleet &it, const fleet_member &member, time_point now)
    -> bool {
    return now - member.last_heard < member_timeout(it);
}

auto count_live_members(const fleet &it, time_point now) -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        it.others.begin(), it.others.end(),
        [&](const auto &entry) { return is_live(it, entry.second, now); }));
}

auto random_peers(fleet &it, std::size_t most, std::size_t own_domain,
                  time_point now) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> near;
    std::vector<std::uint32_t> far;
    for (const auto &[address, member] : it.others) {
        if (!is_live(it, member, now))
            continue;
        if (member.failure_domain == it.self.failure_domain)
            near.push_back(address);
        else
            far.push_back(address);
    }
    std::shuffle(near.begin(), near.end(), it.random);
    std::shuffle(far.begin(), far.end(), it.random);
    auto peers = near;
    if (peers.size() > own_domain)
        peers.resize(own_domain);
    for (const auto address : far) {
        if (peers.size() >= most)
            break;
        peers.push_back(address);
    }
    for (const auto address : it.seeds) {
        if (peers.size() >= most)
            break;
        if (address != it.self.address && !it.others.contains(address))
            peers.push_back(address);
    }
    return peers;
}

auto select_digest_members(fleet &it, std::size_t most, time_point now)
    -> std::vector<fleet_member> {
    std::vector<fleet_member> told;
    for (const auto &[address, member] : it.others) {
        if (is_live(it, member, now))
            told.push_back(member);
    }
    const auto first = std::min({leading_members, most, told.size()});
    const auto rest = told.begin() + static_cast<std::ptrdiff_t>(first);
    std::partial_sort(told.begin(), rest, told.end(),
                      [](const fleet_member &a, const fleet_member &b) {
                          return comes_before(a, b, watching);
                      });
    std::shuffle(rest, told.end(), it.random);
    if (told.size() > most)
        told.resize(most);
    return told;
}

auto watch_rank(const fleet &it, time_point now) -> std::size_t {
    return static_cast<std::size_t>(std::count_if(
        it.others.begin(), it.others.end(), [&](const auto &entry) {
            const auto &other = entry.second;
            return is_live(it, other, now) && !other.leaving &&
                   (it.self.leaving || comes_before(other, it.self, watching));
        }));
}

auto domain_leader(const fleet &it, std::uint64_t purpose, time_point now)
    -> std::uint32_t {
    const auto *first = &it.self;
    for (const auto &[address, member] : it.others) {
        if (is_active_in_own_domain(it, member, now) &&
            comes_before(member, *first, purpose))
            first = &member;
    }
    return first->address;
}

auto is_active_in_own_domain(const fleet &it, const fleet_member &member,
                             time_point now) -> bool {
    return member.failure_domain == it.self.failure_domain && !member.leaving &&
           is_live(it, member, now);
}

auto rank_in_domain(const fleet &it, time_point started, time_point now)
    -> domain_rank {
    if (now - started < membership_warm_up)
        return {.rank = static_cast<std::uint32_t>(
                    hash_pair(it.self.address, placing) % provisional_ranks),
                .count = provisional_ranks};
    domain_rank own;
    for (const auto &[address, member] : it.others) {
        if (!is_active_in_own_domain(it, member, now))
            continue;
        ++own.count;
        if (address < it.self.address)
            ++own.rank;
    }
    return own;
}

} // namespace dogwoodtrack::carried
