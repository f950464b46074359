#include "carried/load/spill_report.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "dogwoodtrack/event_log.hpp"

namespace dogwoodtrack::carried {

namespace {

/// A share that began or ended is logged, and later each change by this much.
constexpr float notable_difference = 0.1F;

auto share_of(const std::vector<spill_share> &shares, std::uint32_t domain)
    -> float {
    const auto at =
        std::find_if(shares.begin(), shares.end(), [&](const auto &one) {
            return one.failure_domain == domain;
        });
    return at == shares.end() ? 0 : at->share;
}

auto differs_notably(float before, float after) -> bool {
    return (before > 0) != (after > 0) ||
           std::abs(after - before) >= notable_difference;
}

auto domains_of(const std::vector<spill_share> &a,
                const std::vector<spill_share> &b)
    -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> domains;
    for (const auto *shares : {&a, &b}) {
        for (const auto &one : *shares)
            domains.push_back(one.failure_domain);
    }
    std::sort(domains.begin(), domains.end());
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains;
}

auto set_share(std::vector<spill_share> &shares, std::uint32_t domain,
               float share) -> void {
    std::erase_if(
        shares, [&](const auto &one) { return one.failure_domain == domain; });
    if (share > 0)
        shares.push_back({.failure_domain = domain, .share = share});
}

auto log_spill_change(const spill_input &input, std::uint32_t domain,
                      float before, float after) -> void {
    const auto at = std::find_if(
        input.others.begin(), input.others.end(),
        [&](const auto &one) { return one.load.failure_domain == domain; });
    const auto target =
        at == input.others.end() ? spill_target{.age = max_load_age} : *at;
    log_event(severity::info, "spill_changed",
              {{"service", fmt::format("{:016x}", input.own.service)},
               {"domain", fmt::format("{:08x}", domain)},
               {"share", double{after}},
               {"before", double{before}},
               {"demand", double{input.own.demand}},
               {"limit", double{input.own.limit}},
               {"cost_ms", double{leaving_cost_ms(input, target)}},
               {"their_demand", double{target.load.demand}},
               {"their_limit", double{target.load.limit}},
               {"age_ms", std::int64_t{target.age.count()}},
               {"reachable", target.reachable},
               {"evacuated", target.evacuated}});
}

} // namespace

auto mean_request_kib(const flow_table &flows, const configuration &in_force,
                      service_key service) -> float {
    constexpr float bytes_per_kib = 1'024;
    float bytes = 0;
    float samples = 0;
    for (const auto &route : in_force.routes) {
        const auto found = flows.profiles.find(route.address);
        const auto names = std::any_of(
            route.services.begin(), route.services.end(), [&](const auto &one) {
                return one.service == service && one.weight > 0;
            });
        if (!names || found == flows.profiles.end())
            continue;
        const auto n = static_cast<float>(found->second.samples);
        bytes += found->second.bytes * n;
        samples += n;
    }
    return samples > 0 ? bytes / samples / bytes_per_kib : 0;
}

auto mean_shares(const std::vector<const service_plan *> &plans)
    -> std::vector<spill_share> {
    std::vector<spill_share> sums;
    float weights = 0;
    for (const auto *plan : plans) {
        // A service without demand counts a little, so that its share shows.
        const auto weight = std::max(plan->demand, 1e-3F);
        weights += weight;
        for (const auto &one : plan->spill)
            set_share(sums, one.failure_domain,
                      share_of(sums, one.failure_domain) + weight * one.share);
    }
    for (auto &one : sums)
        one.share /= weights;
    std::sort(sums.begin(), sums.end(), [](const auto &a, const auto &b) {
        return a.failure_domain < b.failure_domain;
    });
    return sums;
}

auto log_spill_changes(const spill_input &input,
                       std::vector<spill_share> &logged,
                       const std::vector<spill_share> &now) -> void {
    for (const auto domain : domains_of(logged, now)) {
        const auto before = share_of(logged, domain);
        const auto after = share_of(now, domain);
        if (!differs_notably(before, after))
            continue;
        log_spill_change(input, domain, before, after);
        set_share(logged, domain, after);
    }
}

auto log_speed_changes(speed_table &table, const upstream_table &upstreams)
    -> void {
    for (const auto &one : table.changes) {
        const auto index = index_by_code(upstreams, one.code);
        log_event(severity::info,
                  one.slow ? "upstream_slow" : "upstream_recovered",
                  {{"upstream", index == no_upstream
                                    ? std::string()
                                    : upstreams.all[index].record.id},
                   {"speed", double{one.speed}},
                   {"response_ms", double{one.response_ms}},
                   {"mean_ms", double{one.mean_ms}}});
    }
    table.changes.clear();
}

} // namespace dogwoodtrack::carried
