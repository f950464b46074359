#include "test_support.hpp"

#include <cstring>

namespace dogwoodtrack::test {

namespace {

// Endpoint of the fabric, the network that delivers packets to callers and
// upstreams. The address is arbitrary, but differs from those of the balancers.
constexpr endpoint fabric{.address = 1, .port = 1};
constexpr mac_key key{1, 2, 3};

auto domain_name(std::size_t index) -> std::string {
    return "domain-" + std::to_string(index);
}

} // namespace

auto caller(std::uint32_t number) -> endpoint {
    return {.address = (10U << 24) + number / 1000,
            .port = static_cast<std::uint16_t>(1024 + number % 1000)};
}

cluster::cluster(std::uint32_t limit, double tolerance,
                 std::uint32_t replicas) {
    spec.name = "ordering";
    spec.address = {.address = 0xc6120001, .port = 443};
    spec.imbalance_tolerance = tolerance;
    spec.replicas = replicas;
    for (std::uint32_t i = 0; i < 6; ++i)
        spec.upstreams.push_back(
            {.name = "u" + std::to_string(i),
             .address = {.address = 0xac100001 + i, .port = 8443},
             .failure_domain = domain_name(i % 3),
             .connections = limit});
    for (std::uint32_t i = 0; i < 9; ++i) {
        auto it = std::make_unique<balancer>();
        it->info.name = "b" + std::to_string(i);
        it->info.id = hash_name(it->info.name);
        it->info.failure_domain = hash_name(domain_name(i % 3));
        it->info.link = {.address = 0x7f000001 + i, .port = 6081};
        it->info.synced = {service_id("c", "ordering")};
        it->lease.valid_until =
            (now + std::chrono::hours{1}).time_since_epoch().count();
        it->state = std::make_unique<packet_state>(
            forwarding_options{
                .key = key, .fabric = fabric, .flow_capacity = 10'000},
            now - seconds{1}, it->lease, it->counters);
        balancers.push_back(std::move(it));
    }
    publish();
}

auto cluster::publish() -> void {
    std::vector<member> members;
    for (const auto &it : balancers) {
        auto info = it->info;
        if (!it->up)
            info.status = member_status::dead;
        members.push_back(info);
    }
    for (const auto &it : balancers) {
        auto view = std::make_shared<routing_view>();
        const auto previous_view = it->state->view;
        view->self = it->info.id;
        view->failure_domain = it->info.failure_domain;
        service_route service{.id = service_id("c", "ordering"),
                              .customer = "c",
                              .name = "ordering",
                              .address = spec.address,
                              .imbalance_tolerance = spec.imbalance_tolerance,
                              .replicas = spec.replicas,
                              .idle_timeout = spec.idle_timeout};
        for (const auto &upstream : spec.upstreams) {
            const auto domain = hash_name(upstream.failure_domain);
            const auto *previous =
                previous_view ? previous_view->find_upstream(upstream.address,
                                                             transport::tcp)
                              : nullptr;
            view->by_upstream[route_key(upstream.address, transport::tcp)] =
                static_cast<std::uint32_t>(view->upstreams.size());
            if (service.domains.empty() ||
                std::none_of(service.domains.begin(), service.domains.end(),
                             [&](const domain_route &route) {
                                 return route.failure_domain == domain;
                             }))
                service.domains.push_back(
                    {.failure_domain = domain,
                     .load = std::make_shared<domain_load>()});
            for (auto &route : service.domains) {
                if (route.failure_domain != domain)
                    continue;
                route.capacity += upstream.capacity;
                route.reachable = true;
                route.upstreams.push_back(
                    static_cast<std::uint32_t>(view->upstreams.size()));
            }
            view->upstreams.push_back(
                {.name = upstream.name,
                 .address = upstream.address,
                 .id = hash_name(to_string(upstream.address)),
                 .failure_domain = domain,
                 .capacity = upstream.capacity,
                 .limit = upstream.connections,
                 .in_service = !upstream.leaving,
                 .load = previous != nullptr
                             ? previous->load
                             : std::make_shared<upstream_load>()});
        }
        for (auto &route : service.domains)
            assign_owner(members, service, route);
        view->by_service[route_key(spec.address, transport::tcp)] = 0;
        view->services.push_back(std::move(service));
        for (const auto &other : balancers)
            view->links[other->info.id] = other->info.link;
        it->state->view = view;
    }
}

auto cluster::process_output(std::size_t from) -> void {
    auto &state = *balancers[from]->state;
    const auto out = std::move(state.out);
    state.out.clear();
    for (const auto &packet : out) {
        packet_buffer copy;
        std::memcpy(copy.bytes.data() + packet_headroom, packet.outer.data(),
                    packet.outer.size());
        copy.offset = packet_headroom;
        copy.size = packet.outer.size();
        if (packet.to == fabric) {
            to_fabric.emplace_back(packet.to, copy);
            continue;
        }
        for (std::size_t i = 0; i < balancers.size(); ++i) {
            if (balancers[i]->info.link != packet.to || !balancers[i]->up)
                continue;
            ++relays;
            handle_packet(*balancers[i]->state, copy.view(), now);
            process_output(i);
        }
    }
}

auto cluster::deliver(std::size_t index, const packet_fields &fields) -> void {
    packet_buffer buf;
    const auto outer = build_packet(buf, fields);
    handle_packet(*balancers[index]->state, outer, now);
    process_output(index);
}

auto cluster::last_destination() const -> endpoint {
    if (to_fabric.empty())
        return {};
    auto copy = to_fabric.back().second;
    const auto parsed = parse_packet(copy.view(), key);
    return parsed.packet ? parsed.packet->inner.destination : endpoint{};
}

auto cluster::by_id(std::uint32_t id) -> balancer * {
    return balancers[index_of(id)].get();
}

auto cluster::index_of(std::uint32_t id) const -> std::size_t {
    for (std::size_t i = 0; i < balancers.size(); ++i) {
        if (balancers[i]->info.id == id)
            return i;
    }
    return 0;
}

auto cluster::domain_of(const endpoint &upstream) const -> std::uint32_t {
    return balancers[0]
        ->state->view->find_upstream(upstream, transport::tcp)
        ->failure_domain;
}

auto cluster::owner_in(std::uint32_t domain) const -> std::uint32_t {
    for (const auto &it : balancers) {
        if (!it->up)
            continue;
        for (const auto &route : it->state->view->services[0].domains) {
            if (route.failure_domain == domain)
                return route.owner;
        }
    }
    return 0;
}

auto cluster::drops(drop_kind kind) const -> std::uint64_t {
    std::uint64_t sum = 0;
    for (const auto &it : balancers)
        sum += it->counters.drops[static_cast<std::size_t>(kind)];
    return sum;
}

auto cluster::counter_sum(packet_counter counter) const -> std::uint64_t {
    std::uint64_t sum = 0;
    for (const auto &it : balancers)
        sum += it->counters.values[static_cast<std::size_t>(counter)];
    return sum;
}

auto cluster::open_at(std::size_t index, const endpoint &upstream) const
    -> std::uint32_t {
    return balancers[index]
        ->state->view->find_upstream(upstream, transport::tcp)
        ->load->open;
}

} // namespace dogwoodtrack::test
