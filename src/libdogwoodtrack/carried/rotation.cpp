#include "rotation.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Turns in a row with most of the domain lost before this balancer withdraws,
constexpr unsigned turns_to_withdraw = 2;
/// with the domain whole again before it comes back,
constexpr unsigned turns_to_return = 5;
/// and with no other domain at work before it comes back all the same.
constexpr unsigned turns_without_others = 2;
/// Answers of so many neighbours stand for a domain that has more.
constexpr std::size_t sample_least = 8;

auto own_message(const board &it, bool wants_answer) -> probe_message {
    return {.wants_answer = wants_answer,
            .serves = can_serve(it) && !it.leaving,
            .withdrawn = it.rotation.withdrawn,
            .unheard_domains = it.steering.upstreams.unheard_domains};
}

// This balancer counts as one of those that serve. A few answers do not
// stand for a large domain.
auto has_lost_most(const board &it, time_point now) -> bool {
    const auto near = reach_of(it.probes, it.members.self.failure_domain, now);
    if (near.asked < std::min(it.probes.near_known, sample_least))
        return false;
    return (near.serving + 1) * 2 < near.asked + 1;
}

auto is_working(const domain_reach &it) -> bool {
    return it.asked > 0 && it.withdrawn == 0 && it.serving * 2 >= it.asked;
}

auto another_domain_works(const board &it, time_point now) -> bool {
    const auto &domains = it.probes.watched_domains;
    return std::any_of(domains.begin(), domains.end(),
                       [&](std::uint32_t domain) {
                           return is_working(reach_of(it.probes, domain, now));
                       });
}

auto other_domains(const fleet &it) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> domains;
    for (const auto &[address, member] : it.others) {
        if (member.failure_domain != it.self.failure_domain)
            domains.push_back(member.failure_domain);
    }
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains;
}

auto count_turn(unsigned &turns, bool holds) -> void {
    turns = holds ? turns + 1 : 0;
}

auto decide(board &it, bool lost, time_point now) -> void {
    auto &state = it.rotation;
    const auto was_withdrawn = state.withdrawn;
    const auto others = another_domain_works(it, now);
    count_turn(state.turns_lost, lost);
    count_turn(state.turns_whole, !lost);
    count_turn(state.turns_alone, !others);
    if (state.withdrawn)
        state.withdrawn = state.turns_whole < turns_to_return &&
                          state.turns_alone < turns_without_others;
    else
        state.withdrawn =
            can_serve(it) && others && state.turns_lost >= turns_to_withdraw;
    it.counters.withdrawals += state.withdrawn && !was_withdrawn ? 1 : 0;
}

auto domains_to_watch(const board &it, bool lost)
    -> std::vector<std::uint32_t> {
    if (lost || it.rotation.withdrawn)
        return other_domains(it.members);
    return it.steering.upstreams.suspected_domains;
}

auto domains_out_of_reach(const board &it, time_point now)
    -> std::vector<std::uint32_t> {
    auto domains = it.probes.watched_domains;
    std::erase_if(domains, [&](std::uint32_t domain) {
        return !is_out_of_reach(it.probes, domain, now);
    });
    return domains;
}

} // namespace

auto update_rotation(board &it, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    if (!is_turn_due(it.probes, now))
        return;
    end_turn(it.probes, now);
    const auto lost = has_lost_most(it, now);
    decide(it, lost, now);
    it.steering.out_of_reach = domains_out_of_reach(it, now);
    it.steering.told_unheard = told_unheard(it.probes);
    it.probes.watched_domains = domains_to_watch(it, lost);
    for (const auto to : begin_turn(it.probes, it.members))
        out.push_back({.to = to, .message = own_message(it, true)});
}

auto take_probe(board &it, std::uint32_t from, const probe_message &message,
                time_point now, std::vector<outgoing_message> &out) -> void {
    const auto known = it.members.others.find(from);
    if (known != it.members.others.end()) {
        const auto domain = known->second.failure_domain;
        note_probe(it.probes, from, domain, message, now);
        if (domain == it.members.self.failure_domain)
            note_told_unheard(it.probes, message.unheard_domains, now);
    }
    if (message.wants_answer)
        out.push_back({.to = from, .message = own_message(it, false)});
}

auto is_in_rotation(const board &it) -> bool {
    return can_serve(it) && !it.leaving && !it.rotation.withdrawn;
}

} // namespace dogwoodtrack::carried
