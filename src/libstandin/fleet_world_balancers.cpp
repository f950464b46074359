#include "fleet_world.hpp"

namespace dogwoodtrack::model {

auto world::domain_of(std::size_t i) const -> unsigned {
    return static_cast<unsigned>(i % options_.domains);
}

auto world::is_cut(unsigned domain) const -> bool {
    return cut_ && domain == 0;
}

auto world::separated(unsigned a, unsigned b) const -> bool {
    return a != b && (is_cut(a) || is_cut(b));
}

auto world::send(std::size_t from, const std::vector<outgoing_message> &out)
    -> void {
    for (const auto &one : out) {
        const std::size_t to = one.to - 1;
        ++report_.peer_messages;
        if (to >= balancers_.size() || chance() < options_.loss ||
            separated(domain_of(from), domain_of(to)))
            continue;
        after(to_upstream, [this, from, to, message = one.message] {
            deliver(from, to, message);
        });
    }
}

auto world::deliver(std::size_t from, std::size_t to,
                    const peer_message &message) -> void {
    auto &it = balancers_[to];
    if (!runs(it))
        return;
    std::vector<outgoing_message> out;
    on_peer_message(it.state, static_cast<std::uint32_t>(from + 1), message,
                    now_, out);
    send(to, out);
}

auto world::step(std::size_t i) -> void {
    after(step_interval, [this, i] { step(i); });
    auto &it = balancers_[i];
    if (!runs(it))
        return;
    for (std::size_t f = 0; f < feed_count; ++f) {
        if (const auto call =
                next_store_call(it.state, static_cast<feed>(f), now_))
            start_call(i, *call);
    }
    if (now_ >= it.next_digest) {
        it.next_digest = now_ + digest_interval;
        std::vector<outgoing_message> out;
        send_digests(it.state, now_, out);
        send(i, out);
    }
    tick(it);
    free_callers(i);
    std::vector<outgoing_message> told;
    update_rotation(it.state, now_, told);
    share_outcomes(it.state, now_, told);
    send(i, told);
    auto held = std::exchange(it.held, {});
    for (auto &[since, again] : held) {
        if (now_ - since < attempt_time)
            again();
    }
}

auto world::tick(balancer &it) -> void {
    auto &steering = it.state.steering;
    refresh_steering(it.state, now_);
    expire_upstreams(steering.upstreams, seconds{60}, now_);
    sweep_flows(steering.flows, steering.upstreams, 256, now_);
    if (!steering.in_force)
        return;
    if (steering.in_force->revision < it.newest_configuration)
        ++report_.old_configurations;
    it.newest_configuration = steering.in_force->revision;
}

auto world::runs(const balancer &it) -> bool {
    return it.up && !it.frozen;
}

// Callers whose flows are reset try again at once.
auto world::free_callers(std::size_t i) -> void {
    auto &it = balancers_[i];
    if (now_ < it.next_look)
        return;
    it.next_look = now_ + tick_interval;
    for (const auto &dead : take_flows_to_reset(it.state.steering, now_)) {
        for (const auto &flow : dead.flows)
            note_reset(flow.endpoints, i);
    }
}

auto world::note_reset(const flow_endpoints &endpoints, std::size_t i) -> void {
    const auto found =
        asked_.find({endpoints.caller.address, endpoints.caller.port});
    if (found == asked_.end())
        return;
    const auto asked = found->second;
    const auto &host = hosts_[asked.host];
    const auto lives = !host.dark && host.record.born == asked.born &&
                       !separated(domain_of(i), host.record.failure_domain);
    ++(lives ? report_.resets : report_.freed);
    asked_.erase(found);
    after(to_caller, [this, it = asked.request, port = endpoints.caller.port] {
        if (!it->done && it->port == port)
            attempt(it);
    });
}

auto world::check_rotation() -> void {
    after(rotation_interval, [this] { check_rotation(); });
    for (auto &it : balancers_) {
        const auto answers = runs(it) && is_in_rotation(it.state);
        it.missed = answers ? 0 : it.missed + 1;
        if (answers)
            it.in_rotation = true;
        else if (it.missed >= checks_missed)
            it.in_rotation = false;
    }
}

auto world::balancers_of(unsigned domain, bool only_in_rotation) const
    -> std::vector<std::size_t> {
    std::vector<std::size_t> found;
    for (std::size_t i = domain; i < balancers_.size(); i += options_.domains) {
        if (!only_in_rotation || balancers_[i].in_rotation)
            found.push_back(i);
    }
    return found;
}

// As the fabric does: all of a domain when fewer than half are in rotation,
// those of the next domains when none is.
auto world::pick_balancer(const request &it) const -> std::size_t {
    const auto all = balancers_of(it.domain, false);
    auto from = balancers_of(it.domain, true);
    for (unsigned i = 1; i < options_.domains && from.empty(); ++i)
        from = balancers_of((it.domain + i) % options_.domains, true);
    const auto own = !from.empty() && domain_of(from.front()) == it.domain;
    if (from.empty() || (own && from.size() * 2 < all.size()))
        from = all;
    return from[hash_pair(it.caller, it.port) % from.size()];
}

} // namespace dogwoodtrack::model
