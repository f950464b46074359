#include "carried/feeds/configuration.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

auto supersedes(const configuration &next, const configuration &current)
    -> bool {
    if (next.revision.era > current.revision.era)
        return next.version >= current.version;
    if (next.revision.era < current.revision.era)
        return next.version > current.version;
    if (next.revision != current.revision)
        return next.revision > current.revision;
    return next.version > current.version;
}

auto sort_routes(configuration &it) -> void {
    std::sort(it.routes.begin(), it.routes.end(),
              [](const route_spec &a, const route_spec &b) {
                  return a.address < b.address;
              });
}

auto find_route(const configuration &it, const endpoint &address)
    -> const route_spec * {
    const auto found =
        std::lower_bound(it.routes.begin(), it.routes.end(), address,
                         [](const route_spec &route, const endpoint &wanted) {
                             return route.address < wanted;
                         });
    if (found == it.routes.end() || found->address != address)
        return nullptr;
    return &*found;
}

auto names_service(const configuration &it, service_key service) -> bool {
    return std::any_of(
        it.routes.begin(), it.routes.end(), [service](const route_spec &route) {
            return std::any_of(route.services.begin(), route.services.end(),
                               [service](const weighted_service &one) {
                                   return one.service == service;
                               });
        });
}

auto services_in_force(const configuration *in_force)
    -> std::vector<service_key> {
    std::vector<service_key> services;
    if (in_force == nullptr)
        return services;
    for (const auto &route : in_force->routes) {
        for (const auto &it : route.services)
            services.push_back(it.service);
    }
    std::sort(services.begin(), services.end());
    services.erase(std::unique(services.begin(), services.end()),
                   services.end());
    return services;
}

auto choose_service(const route_spec &route, std::uint64_t flow_hash)
    -> service_key {
    std::uint64_t total = 0;
    for (const auto &it : route.services)
        total += it.weight;
    if (total == 0)
        return route.services.empty() ? 0 : route.services.front().service;
    auto position = flow_hash % total;
    for (const auto &it : route.services) {
        if (position < it.weight)
            return it.service;
        position -= it.weight;
    }
    return 0;
}

} // namespace dogwoodtrack::carried
