#include "fleet_simulation.hpp"

namespace dogwoodtrack::model {

auto simulation::domain_of(std::size_t i) const -> unsigned {
    return static_cast<unsigned>(i % options_.domains);
}

auto simulation::is_cut_off(unsigned domain) const -> bool {
    return first_domain_cut_off_ && domain == 0;
}

auto simulation::are_partitioned(unsigned a, unsigned b) const -> bool {
    return a != b && (is_cut_off(a) || is_cut_off(b));
}

auto simulation::send(std::size_t from,
                      const std::vector<outgoing_message> &out) -> void {
    for (const auto &it : out) {
        const std::size_t to = it.to - 1;
        ++report_.peer_messages;
        if (to >= balancers_.size() || random_fraction() < options_.loss ||
            are_partitioned(domain_of(from), domain_of(to)))
            continue;
        schedule_after(internal_latency,
                       [this, from, to, message = it.message] {
                           deliver(from, to, message);
                       });
    }
}

auto simulation::deliver(std::size_t from, std::size_t to,
                         const peer_message &message) -> void {
    auto &it = balancers_[to];
    if (!is_running(it))
        return;
    std::vector<outgoing_message> out;
    on_peer_message(it.state, static_cast<std::uint32_t>(from + 1), message,
                    now_, out);
    send(to, out);
}

auto simulation::step(std::size_t i) -> void {
    schedule_after(step_interval, [this, i] { step(i); });
    auto &it = balancers_[i];
    if (!is_running(it))
        return;
    for (std::size_t f = 0; f < feed_count; ++f) {
        if (const auto call =
                next_store_call(it.state, static_cast<feed>(f), now_))
            start_store_call(i, *call);
    }
    std::vector<outgoing_message> repeated;
    repeat_requests(it.state, now_, repeated);
    send(i, repeated);
    if (now_ >= it.next_digest) {
        it.next_digest = now_ + digest_interval;
        std::vector<outgoing_message> out;
        send_digests(it.state, now_, out);
        send(i, out);
    }
    refresh_balancer(it);
    reset_dead_flows(i);
    std::vector<outgoing_message> out;
    update_rotation(it.state, now_, out);
    share_outcomes(it.state, now_, out);
    send(i, out);
    auto packets = std::exchange(it.held_packets, {});
    for (auto &[since, retry] : packets) {
        if (now_ - since < attempt_timeout)
            retry();
    }
}

auto simulation::refresh_balancer(simulated_balancer &it) -> void {
    auto &steering = it.state.steering;
    refresh_steering(it.state, now_);
    expire_upstreams(steering.upstreams, seconds{60}, now_);
    sweep_flows(steering.flows, steering.upstreams, 256, now_);
    if (!steering.in_force)
        return;
    if (steering.in_force->revision < it.last_revision)
        ++report_.old_configurations;
    it.last_revision = steering.in_force->revision;
}

auto simulation::is_running(const simulated_balancer &it) -> bool {
    return it.up && !it.frozen;
}

// Resets the flows of upstreams that the balancer has found dead or cut off.
// Their callers start the next attempt as soon as they receive the reset.
auto simulation::reset_dead_flows(std::size_t i) -> void {
    auto &it = balancers_[i];
    if (now_ < it.next_reset_check)
        return;
    it.next_reset_check = now_ + reset_check_interval;
    for (const auto &dead : take_flows_to_reset(it.state.steering, now_)) {
        for (const auto &flow : dead.flows)
            handle_reset(flow.endpoints, i);
    }
}

auto simulation::handle_reset(const flow_endpoints &endpoints,
                              std::size_t balancer) -> void {
    const auto found = pending_requests_.find(
        {endpoints.caller.address, endpoints.caller.port});
    if (found == pending_requests_.end())
        return;
    const auto pending = found->second;
    const auto &upstream = upstreams_[pending.upstream];
    const auto alive =
        !upstream.crashed && upstream.record.born == pending.born &&
        !are_partitioned(domain_of(balancer), upstream.record.failure_domain);
    ++(alive ? report_.resets : report_.freed);
    pending_requests_.erase(found);
    schedule_after(caller_latency, [this, request = pending.request,
                                    port = endpoints.caller.port] {
        if (!request->done && request->port == port)
            start_attempt(request);
    });
}

auto simulation::check_rotation() -> void {
    schedule_after(rotation_check_interval, [this] { check_rotation(); });
    for (auto &it : balancers_) {
        const auto answering = is_running(it) && is_in_rotation(it.state);
        it.missed_checks = answering ? 0 : it.missed_checks + 1;
        if (answering)
            it.in_rotation = true;
        else if (it.missed_checks >= max_missed_checks)
            it.in_rotation = false;
    }
}

auto simulation::balancers_of(unsigned domain, bool only_in_rotation) const
    -> std::vector<std::size_t> {
    std::vector<std::size_t> found;
    for (std::size_t i = domain; i < balancers_.size(); i += options_.domains) {
        if (!only_in_rotation || balancers_[i].in_rotation)
            found.push_back(i);
    }
    return found;
}

// Chooses a balancer as the fabric does: by a hash of the caller's address and
// port, from one of these groups.
// - If at least half of the balancers of the request's failure domain are in
//   rotation: the domain's balancers that are in rotation.
// - If fewer than half but at least one are in rotation: all balancers of the
//   domain.
// - If none is in rotation: the balancers in rotation of the next domain that
//   has any.
// - If no domain has a balancer in rotation: all balancers of the request's
//   domain.
auto simulation::pick_balancer(const simulated_request &request) const
    -> std::size_t {
    const auto domain_balancers = balancers_of(request.domain, false);
    auto candidates = balancers_of(request.domain, true);
    for (unsigned i = 1; i < options_.domains && candidates.empty(); ++i)
        candidates =
            balancers_of((request.domain + i) % options_.domains, true);
    const auto in_own_domain =
        !candidates.empty() && domain_of(candidates.front()) == request.domain;
    if (candidates.empty() ||
        (in_own_domain && candidates.size() * 2 < domain_balancers.size()))
        candidates = domain_balancers;
    return candidates[hash_pair(request.caller_address, request.port) %
                      candidates.size()];
}

} // namespace dogwoodtrack::model
