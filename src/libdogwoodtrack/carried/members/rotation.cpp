#include "carried/members/rotation.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Number of consecutive probe rounds in which most of the own failure domain's
/// balancers do not serve before this balancer withdraws from rotation.
constexpr unsigned rounds_to_withdraw = 2;
/// Number of consecutive probe rounds in which the own domain has recovered
/// before this balancer returns to rotation.
constexpr unsigned rounds_to_return = 5;
/// Number of consecutive probe rounds in which no other domain works before
/// this balancer returns to rotation although its own domain has not recovered.
constexpr unsigned rounds_to_return_without_alternative = 2;
/// Number of neighbours (the other balancers of the own domain) with recent
/// probe results that is enough to judge a domain with more neighbours.
constexpr std::size_t min_sample_size = 8;

auto make_probe(const blackboard &board, bool wants_answer) -> probe_message {
    return {.wants_answer = wants_answer,
            .serves = can_serve(board) && !board.leaving,
            .withdrawn = board.rotation.withdrawn,
            .unresponsive_domains =
                board.steering.upstreams.unresponsive_domains};
}

// Whether most of the own failure domain's balancers do not serve. Counts this
// balancer as serving. Returns false while too few balancers of the domain were
// probed recently to judge by.
auto has_lost_majority(const blackboard &board, time_point now) -> bool {
    const auto summary =
        summarize_probes(board.probes, board.members.self.failure_domain, now);
    if (summary.probed <
        std::min(board.probes.own_domain_peers, min_sample_size))
        return false;
    return (summary.serving + 1) * 2 < summary.probed + 1;
}

// Whether another failure domain can take over packets: none of its probed
// balancers has withdrawn, and at least half of them serve.
auto is_working(const domain_probe_summary &it) -> bool {
    return it.probed > 0 && it.withdrawn == 0 && it.serving * 2 >= it.probed;
}

auto is_other_domain_working(const blackboard &board, time_point now) -> bool {
    const auto &domains = board.probes.probed_domains;
    return std::any_of(
        domains.begin(), domains.end(), [&](std::uint32_t domain) {
            return is_working(summarize_probes(board.probes, domain, now));
        });
}

auto other_domains(const fleet &members) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> domains;
    for (const auto &[address, member] : members.others) {
        if (member.failure_domain != members.self.failure_domain)
            domains.push_back(member.failure_domain);
    }
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains;
}

// Counts the consecutive rounds in which a condition holds.
auto count_round(unsigned &rounds, bool holds) -> void {
    rounds = holds ? rounds + 1 : 0;
}

auto update_withdrawal(blackboard &board, bool degraded, time_point now)
    -> void {
    auto &state = board.rotation;
    const auto was_withdrawn = state.withdrawn;
    const auto has_alternative = is_other_domain_working(board, now);
    count_round(state.rounds_degraded, degraded);
    count_round(state.rounds_recovered, !degraded);
    count_round(state.rounds_without_alternative, !has_alternative);
    if (state.withdrawn)
        state.withdrawn = state.rounds_recovered < rounds_to_return &&
                          state.rounds_without_alternative <
                              rounds_to_return_without_alternative;
    else
        state.withdrawn = can_serve(board) && has_alternative &&
                          state.rounds_degraded >= rounds_to_withdraw;
    board.counters.withdrawals += state.withdrawn && !was_withdrawn ? 1 : 0;
}

auto domains_to_probe(const blackboard &board, bool degraded)
    -> std::vector<std::uint32_t> {
    if (degraded || board.rotation.withdrawn)
        return other_domains(board.members);
    return board.steering.upstreams.suspected_domains;
}

auto find_unreachable_domains(const blackboard &board, time_point now)
    -> std::vector<std::uint32_t> {
    auto domains = board.probes.probed_domains;
    std::erase_if(domains, [&](std::uint32_t domain) {
        return !is_domain_unreachable(board.probes, domain, now);
    });
    return domains;
}

} // namespace

auto update_rotation(blackboard &board, time_point now,
                     std::vector<outgoing_message> &out) -> void {
    if (!is_round_due(board.probes, now))
        return;
    end_round(board.probes, now);
    const auto degraded = has_lost_majority(board, now);
    update_withdrawal(board, degraded, now);
    board.steering.unreachable_domains = find_unreachable_domains(board, now);
    board.steering.reported_unresponsive = reported_unresponsive(board.probes);
    board.probes.probed_domains = domains_to_probe(board, degraded);
    for (const auto to : begin_round(board.probes, board.members))
        out.push_back({.to = to, .message = make_probe(board, true)});
}

auto handle_probe(blackboard &board, std::uint32_t from,
                  const probe_message &message, time_point now,
                  std::vector<outgoing_message> &out) -> void {
    const auto known = board.members.others.find(from);
    if (known != board.members.others.end()) {
        const auto domain = known->second.failure_domain;
        record_probe(board.probes, from, domain, message, now);
        if (domain == board.members.self.failure_domain)
            record_reported_unresponsive(board.probes,
                                         message.unresponsive_domains, now);
    }
    if (message.wants_answer)
        out.push_back({.to = from, .message = make_probe(board, false)});
}

auto is_in_rotation(const blackboard &board) -> bool {
    return can_serve(board) && !board.leaving && !board.rotation.withdrawn;
}

} // namespace dogwoodtrack::carried
