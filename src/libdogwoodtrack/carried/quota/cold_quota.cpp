#include "carried/quota/cold_quota.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

auto quota_of(double per_second, const cold_bounds &bounds) -> std::uint32_t {
    const auto quota = per_second * bounds.overage + bounds.slack;
    return static_cast<std::uint32_t>(
        std::clamp<double>(quota, 0, max_cold_quota));
}

auto share_of(const cold_quota &quota, upstream &it, const cold_limit &limit)
    -> std::uint32_t {
    auto &usage = it.cold;
    if (usage.share_generation != quota.members.generation) {
        usage.share_generation = quota.members.generation;
        usage.share =
            quota_share(quota.members, divided_part(limit.quota), it.code);
    }
    return usage.share;
}

auto is_in_window(time_point at, time_point now) -> bool {
    return now - at < cold_window;
}

} // namespace

auto update_cold_limits(cold_quota &quota, const configuration *in_force,
                        const cold_bounds &bounds) -> void {
    quota.bounds = bounds;
    quota.limits.clear();
    ++quota.members.generation;
    if (in_force == nullptr || bounds.overage <= 0)
        return;
    for (const auto &route : in_force->routes) {
        for (const auto &share : route.services) {
            if (share.cold_per_s > 0)
                quota.limits[share.service] = {
                    .quota = quota_of(share.cold_per_s, bounds),
                    .cold_start = share.cold_start};
        }
    }
}

auto find_cold_limit(const cold_quota &quota, const upstream &it,
                     time_point now) -> const cold_limit * {
    if (now >= it.warm_at || quota.limits.empty())
        return nullptr;
    const auto found = quota.limits.find(it.record.service);
    if (found == quota.limits.end())
        return nullptr;
    const auto &limit = found->second;
    // An entry that is wrong, or was written long ago, does not keep the
    // upstream cold for longer than its service says.
    if (limit.cold_start > milliseconds{0} &&
        now - it.cold.known_since >= limit.cold_start)
        return nullptr;
    return &limit;
}

auto admit_cold(cold_quota &quota, upstream &it, std::uint32_t own_domain,
                time_point now) -> cold_admission {
    const auto *limit = find_cold_limit(quota, it, now);
    if (limit == nullptr)
        return cold_admission::admitted;
    if (it.record.failure_domain != own_domain)
        return cold_admission::other_domain;
    return count_cold_requests(it.cold, now) < share_of(quota, it, *limit)
               ? cold_admission::admitted
               : cold_admission::over_share;
}

auto count_cold_requests(const cold_usage &usage, time_point now)
    -> std::uint32_t {
    const auto recent =
        std::count_if(usage.released.begin(), usage.released.end(),
                      [now](time_point at) { return is_in_window(at, now); });
    return usage.held + static_cast<std::uint32_t>(recent);
}

auto add_released(cold_usage &usage, time_point at) -> void {
    std::erase_if(usage.released,
                  [at](time_point other) { return !is_in_window(other, at); });
    usage.released.push_back(at);
}

auto count_cold_upstreams(const upstream_table &table, time_point now)
    -> std::size_t {
    if (table.cold.limits.empty())
        return 0;
    return static_cast<std::size_t>(std::count_if(
        table.all.begin(), table.all.end(), [&](const upstream &it) {
            return it.placeable &&
                   find_cold_limit(table.cold, it, now) != nullptr;
        }));
}

auto describe_division(const cold_quota &quota, const fleet &known,
                       time_point now) -> cold_division {
    cold_division it{.services = quota.limits.size(),
                     .divisor = quota_divisor(quota.members),
                     .small_share = takes_small_share(quota.members)};
    const auto timeout = member_timeout(known);
    for (const auto &[address, member] : quota.members.others) {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - member.last_heard);
        it.silent += age >= timeout ? 1 : 0;
        it.oldest = std::max(it.oldest, age);
    }
    return it;
}

} // namespace dogwoodtrack::carried
