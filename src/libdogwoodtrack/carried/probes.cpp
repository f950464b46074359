#include "probes.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Balancers asked in a turn: of a small failure domain, of a large one, and
/// while some do not answer; and of each other domain that is watched.
constexpr std::size_t near_asked = 2;
constexpr std::size_t near_asked_of_many = 1;
constexpr std::size_t near_asked_in_doubt = 8;
constexpr std::size_t many_members = 8;
constexpr std::size_t far_asked = 3;
/// A turn that comes so late tells of this process, not of others.
constexpr milliseconds pause_limit = 2 * probe_interval;
/// Results of probes stand for this time.
constexpr milliseconds result_kept = 5 * probe_interval;
/// A balancer counts as one of its domain for this time after it was heard,
/// by anyone; one that said that it leaves, for a shorter one.
constexpr milliseconds counted_for{15'000};
constexpr milliseconds leaving_counted_for{2'500};
/// What a neighbour says of another domain stands for this time.
constexpr milliseconds told_kept{800};
/// Probes missed in a row by one of a domain out of reach; each of the others
/// that were asked missed its last one.
constexpr std::uint32_t missed_out_of_reach = 2;
constexpr milliseconds unheard_out_of_reach{400};

auto is_counted(const fleet_member &it, time_point now) -> bool {
    return now - it.heard < (it.leaving ? leaving_counted_for : counted_for);
}

auto members_of(const fleet &it, std::uint32_t failure_domain, time_point now)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> found;
    for (const auto &[address, member] : it.others) {
        if (member.failure_domain == failure_domain && is_counted(member, now))
            found.push_back(address);
    }
    // Ordered by hash: the few that are asked in a turn are a random sample.
    const auto order = [&](std::uint32_t address) {
        return hash_pair(address, it.self.address);
    };
    std::sort(
        found.begin(), found.end(),
        [&](std::uint32_t a, std::uint32_t b) { return order(a) < order(b); });
    return found;
}

auto is_fresh(const probed_member &it, time_point now) -> bool {
    return it.asked != time_point{} && now - it.asked < result_kept;
}

auto count_missed(probe_table &it) -> void {
    for (auto &[address, member] : it.members) {
        if (member.asked != it.last_turn)
            continue;
        member.missed = member.heard >= member.asked ? 0 : member.missed + 1;
    }
}

auto forget_old(probe_table &it, time_point now) -> void {
    boost::unordered::erase_if(it.members, [&](const auto &entry) {
        return now - std::max(entry.second.asked, entry.second.heard) >=
               counted_for;
    });
}

auto ask(probe_table &it, const std::vector<std::uint32_t> &candidates,
         std::size_t first, std::size_t most, std::uint32_t failure_domain,
         std::vector<std::uint32_t> &asked) -> void {
    const auto n = std::min(most, candidates.size());
    for (std::size_t i = 0; i < n; ++i) {
        const auto address = candidates[(first + i) % candidates.size()];
        auto &member = it.members[address];
        member.failure_domain = failure_domain;
        member.asked = it.last_turn;
        asked.push_back(address);
    }
}

auto ask_near(probe_table &it, const fleet &members,
              std::vector<std::uint32_t> &asked) -> void {
    const auto now = it.last_turn;
    const auto domain = members.self.failure_domain;
    const auto near = members_of(members, domain, now);
    auto most = near.size() > many_members ? near_asked_of_many : near_asked;
    if (reach_of(it, domain, now).missed > 0)
        most = near_asked_in_doubt;
    ask(it, near, it.next_near, most, domain, asked);
    it.next_near += std::min(most, near.size());
    it.near_known = near.size();
}

} // namespace

auto is_turn_due(const probe_table &it, time_point now) -> bool {
    return now - it.last_turn >= probe_interval;
}

auto end_turn(probe_table &it, time_point now) -> void {
    if (now - it.last_turn < pause_limit)
        count_missed(it);
    it.last_turn = now;
    forget_old(it, now);
    boost::unordered::erase_if(it.reported_unheard, [&](const auto &entry) {
        return now - entry.second >= told_kept;
    });
}

auto begin_turn(probe_table &it, const fleet &members)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> asked;
    ask_near(it, members, asked);
    for (const auto domain : it.watched_domains) {
        const auto candidates = members_of(members, domain, it.last_turn);
        ask(it, candidates, it.next_near, far_asked, domain, asked);
    }
    return asked;
}

auto note_probe(probe_table &it, std::uint32_t from,
                std::uint32_t failure_domain, const probe_message &message,
                time_point now) -> void {
    auto &member = it.members[from];
    member.failure_domain = failure_domain;
    member.heard = now;
    member.missed = 0;
    member.serves = message.serves;
    member.withdrawn = message.withdrawn;
}

auto note_told_unheard(probe_table &it,
                       const std::vector<std::uint32_t> &domains,
                       time_point now) -> void {
    for (const auto domain : domains)
        it.reported_unheard[domain] = now;
}

auto reported_unheard(const probe_table &it) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> domains;
    for (const auto &[domain, when] : it.reported_unheard)
        domains.push_back(domain);
    return domains;
}

auto reach_of(const probe_table &it, std::uint32_t failure_domain,
              time_point now) -> domain_reach {
    domain_reach reach;
    for (const auto &[address, member] : it.members) {
        if (member.failure_domain != failure_domain || !is_fresh(member, now))
            continue;
        ++reach.asked;
        reach.withdrawn += member.withdrawn ? 1 : 0;
        reach.missed += member.missed > 0 ? 1 : 0;
        if (member.missed == 0 && member.heard != time_point{} && member.serves)
            ++reach.serving;
    }
    return reach;
}

auto is_out_of_reach(const probe_table &it, std::uint32_t failure_domain,
                     time_point now) -> bool {
    std::uint32_t most_missed = 0;
    for (const auto &[address, member] : it.members) {
        if (member.failure_domain != failure_domain)
            continue;
        if (now - member.heard < unheard_out_of_reach)
            return false;
        if (!is_fresh(member, now))
            continue;
        if (member.missed == 0)
            return false;
        most_missed = std::max(most_missed, member.missed);
    }
    return most_missed >= missed_out_of_reach;
}

} // namespace dogwoodtrack::carried
