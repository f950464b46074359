#include "carried/quota/cold_flows.hpp"

#include "carried/quota/cold_quota.hpp"

namespace dogwoodtrack::carried {

namespace {

auto is_limited(const upstream_table &upstreams, upstream_index to,
                time_point now) -> bool {
    return to != no_upstream &&
           find_cold_limit(upstreams.cold, upstreams.all[to], now) != nullptr;
}

} // namespace

auto count_cold_opening(upstream_table &upstreams, flow &it, time_point now)
    -> void {
    if (!is_limited(upstreams, it.to, now))
        return;
    it.holds_quota = true;
    ++upstreams.all[it.to].cold.held;
    ++upstreams.cold.counters.openings;
}

auto count_cold_request(upstream_table &upstreams, flow &it, time_point now)
    -> void {
    if (!is_limited(upstreams, it.to, now))
        return release_cold_flow(upstreams, it);
    auto &one = upstreams.all[it.to];
    auto &counters = upstreams.cold.counters;
    if (it.holds_quota && it.request_seen != time_point{})
        add_released(one.cold, it.request_seen);
    if (!it.holds_quota)
        ++one.cold.held;
    it.holds_quota = true;
    ++counters.requests;
    if (count_cold_requests(one.cold, now) > one.cold.share)
        ++counters.requests_over_share;
}

auto count_untracked_request(upstream_table &upstreams, upstream_index to,
                             time_point now) -> void {
    if (!is_limited(upstreams, to, now))
        return;
    add_released(upstreams.all[to].cold, now);
    ++upstreams.cold.counters.requests;
}

auto release_cold_flow(upstream_table &upstreams, flow &it) -> void {
    if (!it.holds_quota)
        return;
    it.holds_quota = false;
    auto &usage = upstreams.all[it.to].cold;
    if (usage.held > 0)
        --usage.held;
    add_released(usage, std::max(it.opening_sent, it.request_seen));
}

} // namespace dogwoodtrack::carried
