#include "conditions.hpp"

#include <algorithm>

#include "health.hpp"

namespace dogwoodtrack {

namespace {

// Time without free capacity after which the condition is set.
constexpr milliseconds set_after{5000};
// Time with free capacity after which the condition is cleared.
constexpr milliseconds clear_after{10'000};
// Time for which a peer's report of an exhausted service is valid. Peers repeat
// the report at shorter intervals while the service is exhausted.
constexpr milliseconds report_lifetime{2500};

// Whether no reachable failure domain has free capacity for the service. A
// single domain with free capacity is enough, as full domains forward new flows
// to it. False if no failure domain is reachable.
auto is_exhausted(const blackboard &board, const service_route &service,
                  const std::vector<std::uint32_t> &own_exhausted,
                  time_point now) -> bool {
    auto exhausted = false;
    for (const auto &domain : service.domains) {
        if (!domain.reachable)
            continue;
        const auto it =
            board.exhausted_services.find({service.id, domain.failure_domain});
        const auto reported = it != board.exhausted_services.end() &&
                              now - it->second < report_lifetime;
        const auto exhausted_here =
            domain.owner == board.self.id &&
            std::count(own_exhausted.begin(), own_exhausted.end(), service.id) >
                0;
        if (!reported && !exhausted_here)
            return false;
        exhausted = true;
    }
    return exhausted;
}

// Updates the condition after a check. Returns true if the check has set it,
// false if the check has cleared it, and otherwise no value.
auto update_condition(condition_state &state, bool exhausted, time_point now)
    -> std::optional<bool> {
    if (exhausted) {
        if (state.exhausted_since == time_point{})
            state.exhausted_since = now;
        state.last_exhausted = now;
        if (!state.set && now - state.exhausted_since >= set_after) {
            state.set = true;
            return true;
        }
        return std::nullopt;
    }
    if (!state.set) {
        state.exhausted_since = {};
        return std::nullopt;
    }
    if (now - state.last_exhausted < clear_after)
        return std::nullopt;
    state = {};
    return false;
}

// The reporter of a customer is the live, reachable balancer with the highest
// hash of customer and balancer.
auto is_elected_reporter(const blackboard &board, const std::string &customer,
                         std::uint32_t id) -> bool {
    const auto key = hash_name(customer);
    auto best = board.self.id;
    for (const auto &[peer_id, it] : board.peers) {
        if (it.info.status == member_status::live &&
            !board.cut_domains.contains(it.info.failure_domain) &&
            hash_pair(key, peer_id) > hash_pair(key, best))
            best = peer_id;
    }
    return best == id;
}

} // namespace

auto is_reporter(const blackboard &board, const std::string &customer) -> bool {
    return is_elected_reporter(board, customer, board.self.id);
}

auto announce_exhausted_services(const blackboard &board,
                                 control_actions &actions) -> void {
    for (const auto id : find_exhausted_services(board)) {
        const auto *service = service_by_id(board, id);
        for (const auto &[peer_id, peer] : board.peers) {
            if (!is_elected_reporter(board, service->customer, peer_id))
                continue;
            wire::Envelope message;
            message.mutable_heartbeat()->set_incarnation(board.incarnation);
            message.mutable_heartbeat()->set_version(board.version);
            message.mutable_heartbeat()->add_troubled(id);
            send_to(actions, peer, message);
        }
    }
}

auto tick_conditions(blackboard &board, time_point now)
    -> std::vector<condition_change> {
    std::vector<condition_change> changes;
    if (!board.view)
        return changes;
    const auto own_exhausted = find_exhausted_services(board);
    for (const auto &service : board.view->services) {
        const auto name = service.customer + "/" + service.name;
        auto &state = board.conditions[name];
        const auto changed = update_condition(
            state, is_exhausted(board, service, own_exhausted, now), now);
        if (!changed || !is_reporter(board, service.customer))
            continue;
        const std::string reason =
            "every upstream in service is at its limit; raise the limits "
            "or add upstreams";
        board.events->record(*changed ? event_kind::condition_set
                                      : event_kind::condition_cleared,
                             name, 0, reason);
        changes.push_back({.customer = service.customer,
                           .service = service.name,
                           .set = *changed,
                           .reason = reason});
    }
    return changes;
}

} // namespace dogwoodtrack
