#include "carried/upstreams/upstream_selection.hpp"

#include "carried/quota/cold_quota.hpp"
#include "carried/upstreams/outlier_ejection.hpp"
#include "carried/upstreams/planned_selection.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Minimum interval between two trial flows to the same avoided upstream.
constexpr milliseconds trial_interval{400};
/// An upstream is avoided for this time after it has left
/// `unanswered_threshold` or more openings in a row unanswered.
constexpr milliseconds avoidance_time{1'500};
/// Load factor of an upstream on probation whose trial flow is due: low, so
/// that the upstream is chosen even if others are idle.
constexpr float trial_load_factor = 0.1F;
/// The load of an upstream in another failure domain is multiplied by this
/// factor, then increased by this offset.
constexpr float other_domain_load_factor = 1.6F;
constexpr float other_domain_load_offset = 0.34F;
/// Limits of an upstream's speed relative to the mean of all upstreams of its
/// service.
constexpr float min_speed = 0.15F;
constexpr float max_speed = 2.0F;

// Speed of the upstream relative to the mean of its service; close to 1 while
// it has few responses.
auto speed_of(const upstream &it, float mean_ms) -> float {
    constexpr float prior_weight = 3;
    const auto &stats = it.stats;
    if (stats.served == 0 || mean_ms <= 0 || stats.service_ms <= 0)
        return 1;
    const auto n = static_cast<float>(std::min(stats.served, 12U));
    const auto expected_ms =
        (stats.service_ms * n + mean_ms * prior_weight) / (n + prior_weight);
    return std::clamp(mean_ms / expected_ms, min_speed, max_speed);
}

auto is_trial_due(const upstream &it, time_point now) -> bool {
    return !is_ejected(it, now) && now - it.stats.last_trial >= trial_interval;
}

// Whether a trial flow with requests of this kind may be sent to an avoided
// upstream. If another balancer ejected it as the outlier detector, only that
// detector sends trial flows and announces the result. Upstreams on probation
// never get trial flows with non-idempotent requests.
auto may_send_trial(const upstream &it, request_kind kind, time_point now)
    -> bool {
    if (!is_trial_due(it, now))
        return false;
    return !is_on_probation(it, now) ||
           (!it.stats.decided_remotely && kind != request_kind::non_idempotent);
}

// Load of the upstream, relative to its speed, with the new flow included.
auto load_after_placing(const upstream &it, const domain_position &position,
                        float speed, time_point now) -> float {
    const auto slots =
        static_cast<float>(std::max<unsigned>(1, it.record.slots));
    auto load = (static_cast<float>(it.stats.open) + 1) / slots / speed;
    if (now < it.warm_at)
        load *= cold_load_factor;
    if (it.record.failure_domain != position.failure_domain)
        load = load * other_domain_load_factor + other_domain_load_offset;
    return load;
}

struct best_candidate {
    upstream_index index = no_upstream;
    float load = 0;

    auto offer(upstream_index other, float other_load) -> void {
        if (index != no_upstream && other_load >= load)
            return;
        index = other;
        load = other_load;
    }
};

// Reasons for which a search has passed over cold upstreams.
struct passed_over {
    bool over_share = false;
    bool other_domain = false;
};

// Whether the flow may be placed on this upstream as far as that is cold. The
// upstream that the flow was sent to before counts the flow already.
auto may_get_flow(upstream_table &table, upstream_index index,
                  const new_flow &wanted, std::uint32_t own_domain,
                  time_point now, passed_over &reasons) -> bool {
    if (index == wanted.excluded)
        return true;
    const auto admission =
        admit_cold(table.cold, table.all[index], own_domain, now);
    reasons.over_share |= admission == cold_admission::over_share;
    reasons.other_domain |= admission == cold_admission::other_domain;
    return admission == cold_admission::admitted;
}

auto count_passed_over(cold_counters &counters, const passed_over &reasons,
                       bool found) -> void {
    counters.over_share += reasons.over_share ? 1 : 0;
    counters.other_domain += reasons.other_domain ? 1 : 0;
    if (!found && (reasons.over_share || reasons.other_domain))
        ++counters.without_result;
}

auto choose_by_walk(upstream_table &table, const new_flow &wanted,
                    const domain_position &position, time_point now)
    -> upstream_index {
    const auto found = table.placeable.find(wanted.service);
    if (found == table.placeable.end() || found->second.empty())
        return no_upstream;
    const auto &list = found->second;
    const auto mean_ms =
        wanted.plan == nullptr ? mean_service_time(table, list) : 0;
    const auto start = list.size() * position.rank /
                       std::max<std::uint32_t>(1, position.count);
    best_candidate best;
    best_candidate fallback;
    passed_over reasons;
    const auto has_limits = !table.cold.limits.empty();
    for (std::size_t i = 0; i < list.size(); ++i) {
        const auto index = list[(start + i) % list.size()];
        const auto &it = table.all[index];
        if (has_limits && now < it.warm_at &&
            !may_get_flow(table, index, wanted, position.failure_domain, now,
                          reasons))
            continue;
        const auto load = compared_load(it, wanted, position, mean_ms, now);
        const auto at_limit = wanted.plan != nullptr && is_at_planned_limit(it);
        if (at_limit || !is_candidate(it, index, wanted, now))
            fallback.offer(index, load);
        else if (is_on_probation(it, now))
            best.offer(index, load * trial_load_factor);
        else
            best.offer(index, load);
    }
    const auto chosen = best.index == no_upstream ? fallback.index : best.index;
    count_passed_over(table.cold.counters, reasons, chosen != no_upstream);
    return chosen;
}

} // namespace

auto is_avoided(const upstream &it, time_point now) -> bool {
    return now < it.stats.avoid_until || is_ejected(it, now) ||
           is_on_probation(it, now);
}

auto mean_service_time(const upstream_table &table,
                       const std::vector<upstream_index> &list) -> float {
    float sum = 0;
    float weight = 0;
    for (const auto index : list) {
        const auto &stats = table.all[index].stats;
        const auto n = static_cast<float>(std::min(stats.served, 8U));
        sum += stats.service_ms * n;
        weight += n;
    }
    return weight > 0 ? sum / weight : 0;
}

auto compared_load(const upstream &it, const new_flow &wanted,
                   const domain_position &position, float mean_ms,
                   time_point now) -> float {
    const auto speed = wanted.plan == nullptr
                           ? speed_of(it, mean_ms)
                           : std::clamp(it.planned_speed, min_speed, max_speed);
    return load_after_placing(it, position, speed, now);
}

auto is_candidate(const upstream &it, upstream_index index,
                  const new_flow &wanted, time_point now) -> bool {
    return index != wanted.excluded && it.death != upstream_death::cut_off &&
           (!is_avoided(it, now) || may_send_trial(it, wanted.kind, now));
}

auto choose_upstream(upstream_table &table, const new_flow &wanted,
                     const domain_position &position, time_point now)
    -> upstream_index {
    auto chosen = no_upstream;
    if (wanted.plan != nullptr)
        chosen =
            choose_planned_upstream(table, wanted, *wanted.plan, position, now);
    if (chosen == no_upstream)
        chosen = choose_by_walk(table, wanted, position, now);
    if (chosen == no_upstream)
        return no_upstream;
    auto &it = table.all[chosen];
    if (is_avoided(it, now))
        it.stats.last_trial = now;
    return chosen;
}

auto record_unanswered(upstream &it, time_point now) -> void {
    ++it.stats.unanswered;
    if (it.stats.unanswered >= unanswered_threshold)
        it.stats.avoid_until = now + avoidance_time;
}

} // namespace dogwoodtrack::carried
