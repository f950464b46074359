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

auto world::send(std::size_t from, const std::vector<outgoing> &out) -> void {
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
    if (!it.up)
        return;
    std::vector<outgoing> out;
    on_peer_message(it.state, static_cast<std::uint32_t>(from + 1), message,
                    now_, out);
    send(to, out);
}

auto world::step(std::size_t i) -> void {
    after(step_interval, [this, i] { step(i); });
    auto &it = balancers_[i];
    if (!it.up)
        return;
    for (std::size_t f = 0; f < feed_count; ++f) {
        if (const auto call = next_call(it.state, static_cast<feed>(f), now_))
            start_call(i, *call);
    }
    if (now_ >= it.next_digest) {
        it.next_digest = now_ + digest_interval;
        std::vector<outgoing> out;
        send_digests(it.state, now_, out);
        send(i, out);
    }
    tick(it);
    std::vector<outgoing> told;
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
    const auto &version = version_of(it.state, feed::configuration);
    steering.configuration_current =
        version.complete && now_ - version.confirmed < options_.bound;
    const auto own = rank_in_domain(it.state.members, now_);
    steering.position.rank = own.rank;
    steering.position.count = own.count;
    expire_upstreams(steering.upstreams, seconds{60}, now_);
    sweep_flows(steering.flows, steering.upstreams, 256, now_);
    if (!steering.in_force)
        return;
    if (steering.in_force->revision < it.newest_configuration)
        ++report_.old_configurations;
    it.newest_configuration = steering.in_force->revision;
}

auto world::check_rotation() -> void {
    after(rotation_interval, [this] { check_rotation(); });
    for (auto &it : balancers_)
        it.in_rotation = it.up && can_serve(it.state);
}

// As the fabric does: all of a domain when fewer than half are in
// rotation.
auto world::pick_balancer(const request &it) const -> std::size_t {
    std::vector<std::size_t> all;
    std::vector<std::size_t> serving;
    for (std::size_t i = it.domain; i < balancers_.size();
         i += options_.domains) {
        all.push_back(i);
        if (balancers_[i].in_rotation)
            serving.push_back(i);
    }
    const auto &from = serving.size() * 2 < all.size() ? all : serving;
    return from[hash_pair(it.caller, it.port) % from.size()];
}

} // namespace dogwoodtrack::model
