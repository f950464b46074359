#include <algorithm>

#include "flow_context.hpp"

namespace dogwoodtrack {

namespace {

struct candidate {
    const upstream_route *upstream = nullptr;
    double capacity = 0;
    std::uint32_t open = 0;
};

struct domain_totals {
    double capacity = 0;
    double open = 0;
};

auto weighted_capacity(const upstream_route &it) -> double {
    const auto weight = it.load->weight.load(std::memory_order_relaxed);
    return it.capacity * weight / upstream_load::full_weight;
}

auto load_after_placing(const candidate &it) -> double {
    return (it.open + 1.0) / it.capacity;
}

// Adds a flow to the open-flow count if it is below `limit`. Incrementing
// before the comparison keeps two workers from exceeding the limit together.
auto try_reserve(const upstream_route &it, std::uint32_t limit) -> bool {
    const auto open_before =
        it.load->open.fetch_add(1, std::memory_order_acq_rel);
    if (open_before < limit)
        return true;
    it.load->open.fetch_sub(1, std::memory_order_acq_rel);
    return false;
}

} // namespace

auto effective_limit(const service_route &service,
                     const upstream_route &upstream) -> std::uint32_t {
    if (service.overload == overload_policy::place)
        return upstream.limit;
    const auto weight = upstream.load->weight.load(std::memory_order_relaxed);
    const auto limit = static_cast<std::uint64_t>(upstream.limit) * weight /
                       upstream_load::full_weight;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit));
}

auto choose_upstream(const routing_view &view, const service_route &service,
                     const domain_route &domain, std::uint64_t hash,
                     bool &by_default) -> const upstream_route * {
    candidate preferred;
    candidate least_loaded;
    double best_score = -1;
    domain_totals totals;
    for (const auto index : domain.upstreams) {
        const auto &upstream = view.upstreams[index];
        const candidate it{
            .upstream = &upstream,
            .capacity = weighted_capacity(upstream),
            .open = upstream.load->open.load(std::memory_order_acquire)};
        if (!upstream.in_service || it.capacity <= 0)
            continue;
        totals.capacity += it.capacity;
        totals.open += it.open;
        if (it.open >= effective_limit(service, upstream))
            continue;
        if (least_loaded.upstream == nullptr ||
            load_after_placing(it) < load_after_placing(least_loaded))
            least_loaded = it;
        const auto score = rendezvous_score(hash, upstream.id, it.capacity);
        if (score > best_score) {
            best_score = score;
            preferred = it;
        }
    }
    if (least_loaded.upstream == nullptr)
        return nullptr;
    const auto mean = (totals.open + 1) / totals.capacity;
    by_default = load_after_placing(preferred) <=
                 (1 + service.imbalance_tolerance) * mean;
    const auto &chosen = by_default ? preferred : least_loaded;
    const auto limit = effective_limit(service, *chosen.upstream);
    if (try_reserve(*chosen.upstream, limit))
        return chosen.upstream;
    // Another worker has filled the upstream since its count was read.
    return choose_upstream(view, service, domain, hash, by_default);
}

} // namespace dogwoodtrack
