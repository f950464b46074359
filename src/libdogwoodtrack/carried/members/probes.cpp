#include "carried/members/probes.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Number of neighbours, the other balancers of the own failure domain, probed
/// in a round.
constexpr std::size_t probes_per_round = 2;
/// Number of neighbours probed in a round if there are more than
/// `large_domain_size` of them.
constexpr std::size_t probes_per_round_large = 1;
/// Number of neighbours probed in a round while some of them do not answer.
constexpr std::size_t probes_per_round_suspect = 8;
constexpr std::size_t large_domain_size = 8;
/// Number of balancers probed in a round in each other failure domain that is
/// in `probe_table::probed_domains`.
constexpr std::size_t probes_per_other_domain = 3;
/// If this time or more passes between the starts of two rounds, this process
/// is taken to have been paused, and missing answers say nothing about other
/// balancers.
constexpr milliseconds pause_threshold = 2 * probe_interval;
/// Time for which the result of a probe is used.
constexpr milliseconds result_lifetime = 5 * probe_interval;
/// Time for which a balancer is still probed after any balancer last heard from
/// it. The time is shorter for a balancer that announced that it is leaving.
constexpr milliseconds member_lifetime{15'000};
constexpr milliseconds leaving_member_lifetime{2'500};
/// Time for which a neighbour's report is used. The report names the failure
/// domains from which the neighbour's flows get no answers.
constexpr milliseconds report_lifetime{800};
/// A failure domain is unreachable only if at least one of its balancers has
/// missed this many consecutive probes, and each of the others probed recently
/// has missed its last one.
constexpr std::uint32_t unreachable_after_missed = 2;
/// A failure domain is unreachable only if no probe or answer arrived from any
/// of its balancers for this time.
constexpr milliseconds unreachable_timeout{400};

auto is_candidate(const fleet_member &it, time_point now) -> bool {
    return now - it.last_heard <
           (it.leaving ? leaving_member_lifetime : member_lifetime);
}

// Addresses of the balancers of a failure domain that may be probed.
auto find_candidates(const fleet &members, std::uint32_t failure_domain,
                     time_point now) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> found;
    for (const auto &[address, member] : members.others) {
        if (member.failure_domain == failure_domain &&
            is_candidate(member, now))
            found.push_back(address);
    }
    // The addresses are ordered by hash, so that the few probed in a round are
    // a random sample.
    const auto order = [&](std::uint32_t address) {
        return hash_pair(address, members.self.address);
    };
    std::sort(
        found.begin(), found.end(),
        [&](std::uint32_t a, std::uint32_t b) { return order(a) < order(b); });
    return found;
}

auto has_recent_result(const probed_member &it, time_point now) -> bool {
    return it.last_probed != time_point{} &&
           now - it.last_probed < result_lifetime;
}

auto count_missed(probe_table &probes) -> void {
    for (auto &[address, member] : probes.members) {
        if (member.last_probed != probes.last_round)
            continue;
        member.missed =
            member.last_heard >= member.last_probed ? 0 : member.missed + 1;
    }
}

auto evict_expired(probe_table &probes, time_point now) -> void {
    boost::unordered::erase_if(probes.members, [&](const auto &entry) {
        return now - std::max(entry.second.last_probed,
                              entry.second.last_heard) >=
               member_lifetime;
    });
}

// Adds up to `limit` candidates, from index `first` on and wrapping around, to
// `selected` and marks them as probed.
auto select_candidates(probe_table &probes,
                       const std::vector<std::uint32_t> &candidates,
                       std::size_t first, std::size_t limit,
                       std::uint32_t failure_domain,
                       std::vector<std::uint32_t> &selected) -> void {
    const auto n = std::min(limit, candidates.size());
    for (std::size_t i = 0; i < n; ++i) {
        const auto address = candidates[(first + i) % candidates.size()];
        auto &member = probes.members[address];
        member.failure_domain = failure_domain;
        member.last_probed = probes.last_round;
        selected.push_back(address);
    }
}

auto select_own_domain_candidates(probe_table &probes, const fleet &members,
                                  std::vector<std::uint32_t> &selected)
    -> void {
    const auto now = probes.last_round;
    const auto domain = members.self.failure_domain;
    const auto candidates = find_candidates(members, domain, now);
    auto limit = candidates.size() > large_domain_size ? probes_per_round_large
                                                       : probes_per_round;
    if (summarize_probes(probes, domain, now).missed > 0)
        limit = probes_per_round_suspect;
    select_candidates(probes, candidates, probes.next_candidate, limit, domain,
                      selected);
    probes.next_candidate += std::min(limit, candidates.size());
    probes.own_domain_peers = candidates.size();
}

} // namespace

auto is_round_due(const probe_table &probes, time_point now) -> bool {
    return now - probes.last_round >= probe_interval;
}

auto end_round(probe_table &probes, time_point now) -> void {
    if (now - probes.last_round < pause_threshold)
        count_missed(probes);
    probes.last_round = now;
    evict_expired(probes, now);
    boost::unordered::erase_if(probes.reported_unresponsive,
                               [&](const auto &entry) {
                                   return now - entry.second >= report_lifetime;
                               });
}

auto begin_round(probe_table &probes, const fleet &members)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> selected;
    select_own_domain_candidates(probes, members, selected);
    for (const auto domain : probes.probed_domains) {
        const auto candidates =
            find_candidates(members, domain, probes.last_round);
        select_candidates(probes, candidates, probes.next_candidate,
                          probes_per_other_domain, domain, selected);
    }
    return selected;
}

auto record_probe(probe_table &probes, std::uint32_t from,
                  std::uint32_t failure_domain, const probe_message &message,
                  time_point now) -> void {
    auto &member = probes.members[from];
    member.failure_domain = failure_domain;
    member.last_heard = now;
    member.missed = 0;
    member.serves = message.serves;
    member.withdrawn = message.withdrawn;
}

auto record_reported_unresponsive(probe_table &probes,
                                  const std::vector<std::uint32_t> &domains,
                                  time_point now) -> void {
    for (const auto domain : domains)
        probes.reported_unresponsive[domain] = now;
}

auto reported_unresponsive(const probe_table &probes)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> domains;
    for (const auto &[domain, when] : probes.reported_unresponsive)
        domains.push_back(domain);
    return domains;
}

auto summarize_probes(const probe_table &probes, std::uint32_t failure_domain,
                      time_point now) -> domain_probe_summary {
    domain_probe_summary summary;
    for (const auto &[address, member] : probes.members) {
        if (member.failure_domain != failure_domain ||
            !has_recent_result(member, now))
            continue;
        ++summary.probed;
        summary.withdrawn += member.withdrawn ? 1 : 0;
        summary.missed += member.missed > 0 ? 1 : 0;
        if (member.missed == 0 && member.last_heard != time_point{} &&
            member.serves)
            ++summary.serving;
    }
    return summary;
}

auto is_domain_unreachable(const probe_table &probes,
                           std::uint32_t failure_domain, time_point now)
    -> bool {
    std::uint32_t max_missed = 0;
    for (const auto &[address, member] : probes.members) {
        if (member.failure_domain != failure_domain)
            continue;
        if (now - member.last_heard < unreachable_timeout)
            return false;
        if (!has_recent_result(member, now))
            continue;
        if (member.missed == 0)
            return false;
        max_missed = std::max(max_missed, member.missed);
    }
    return max_missed >= unreachable_after_missed;
}

} // namespace dogwoodtrack::carried
