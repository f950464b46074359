#include "dogwoodtrack/routing.hpp"

#include <algorithm>

namespace dogwoodtrack {

auto route_key(const endpoint &address, transport protocol) -> std::uint64_t {
    return (static_cast<std::uint64_t>(address.address) << 24) |
           (static_cast<std::uint64_t>(address.port) << 8) |
           static_cast<std::uint64_t>(protocol);
}

auto routing_view::find_service(const endpoint &address,
                                transport protocol) const
    -> const service_route * {
    const auto it = by_service.find(route_key(address, protocol));
    return it == by_service.end() ? nullptr : &services[it->second];
}

auto routing_view::find_upstream(const endpoint &address,
                                 transport protocol) const
    -> const upstream_route * {
    const auto it = by_upstream.find(route_key(address, protocol));
    return it == by_upstream.end() ? nullptr : &upstreams[it->second];
}

auto routing_view::find_link(std::uint32_t id) const -> const endpoint * {
    const auto it = links.find(id);
    return it == links.end() ? nullptr : &it->second;
}

auto service_id(const std::string &customer, const std::string &name)
    -> std::uint32_t {
    return hash_name(customer + "/" + name);
}

auto rank_members(const std::vector<member> &members,
                  std::uint32_t failure_domain, std::uint32_t service)
    -> std::vector<const member *> {
    struct scored {
        std::uint64_t score;
        const member *candidate;
    };
    std::vector<scored> ranked;
    for (const auto &it : members) {
        if (it.failure_domain == failure_domain &&
            it.status == member_status::live)
            ranked.push_back({hash_pair(service, it.id), &it});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const scored &left, const scored &right) {
                  return left.score > right.score;
              });
    std::vector<const member *> order;
    order.reserve(ranked.size());
    for (const auto &it : ranked)
        order.push_back(it.candidate);
    return order;
}

auto assign_owner(const std::vector<member> &members,
                  const service_route &service, domain_route &route) -> void {
    const auto order = rank_members(members, route.failure_domain, service.id);
    route.owner = 0;
    route.replica_count = 0;
    const auto synced = [&](const member &it) {
        return std::find(it.synced.begin(), it.synced.end(), service.id) !=
               it.synced.end();
    };
    std::uint32_t synced_replicas = 0;
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const auto &it = *order[rank];
        const auto is_synced = synced(it);
        if (is_synced && route.owner == 0) {
            route.owner = it.id;
            continue;
        }
        const auto wanted = is_synced ? synced_replicas < service.replicas
                                      : rank <= service.replicas;
        if (!wanted || route.replica_count == chain_limit)
            continue;
        route.replicas[route.replica_count++] = it.id;
        synced_replicas += is_synced ? 1 : 0;
    }
    if (route.owner == 0)
        route.replica_count = 0;
}

auto rank_domains(const service_route &service, std::uint64_t flow_hash)
    -> domain_order {
    struct scored {
        double score;
        const domain_route *domain;
    };
    boost::container::static_vector<scored, domain_limit> ranked;
    for (const auto &it : service.domains) {
        if (ranked.size() == domain_limit)
            break;
        ranked.push_back(
            {rendezvous_score(flow_hash, it.failure_domain, it.capacity), &it});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const scored &left, const scored &right) {
                  return left.score > right.score;
              });
    domain_order order;
    for (const auto &it : ranked)
        order.push_back(it.domain);
    return order;
}

} // namespace dogwoodtrack
