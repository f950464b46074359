#include "carried/upstreams/planned_selection.hpp"

#include <algorithm>
#include <cmath>

#include "carried/quota/cold_quota.hpp"
#include "carried/upstreams/outlier_ejection.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Upstreams on probation that are examined for one new flow.
constexpr std::size_t max_trials_examined = 4;
/// Bounds of the speeds in a plan. Those that `compute_speeds` returns are
/// within them.
constexpr float min_speed = 0.05F;
constexpr float max_speed = 20;

auto domain_of(selection_index &index, std::uint32_t failure_domain)
    -> indexed_domain & {
    for (auto &it : index.domains) {
        if (it.failure_domain == failure_domain)
            return it;
    }
    index.domains.push_back({.failure_domain = failure_domain});
    return index.domains.back();
}

// Applies the speeds and limits of the plan to the upstreams of the list.
auto apply_speeds(upstream_table &table,
                  const std::vector<upstream_index> &list,
                  const service_plan &plan) -> void {
    for (const auto i : list) {
        table.all[i].planned_speed = 1;
        table.all[i].planned_limit = 0;
    }
    for (const auto &one : plan.upstreams) {
        auto *it = find_by_code(table, one.code);
        if (it == nullptr || !std::isfinite(one.speed) || one.speed <= 0)
            continue;
        it->planned_speed = std::clamp(one.speed, min_speed, max_speed);
        it->planned_limit = one.limit;
    }
}

auto build_index(upstream_table &table, selection_index &index,
                 const std::vector<upstream_index> &list, time_point now)
    -> void {
    for (auto &it : index.domains)
        it.upstreams.clear();
    index.on_probation.clear();
    for (const auto i : list) {
        const auto &it = table.all[i];
        const auto weight = planned_weight(it, now);
        auto &line = domain_of(index, it.record.failure_domain).upstreams;
        const auto end = (line.empty() ? 0 : line.back().end) + weight;
        line.push_back({.index = i, .end = end, .weight = weight});
        if (is_on_probation(it, now))
            index.on_probation.push_back(i);
    }
    std::erase_if(index.domains,
                  [](const auto &it) { return it.upstreams.empty(); });
}

auto refresh_index(upstream_table &table,
                   const std::vector<upstream_index> &list,
                   const service_plan &plan, time_point now)
    -> selection_index & {
    auto &index = table.selection[plan.service];
    const std::array loads{plan.limit, plan.in_flight, plan.demand};
    if (index.plan == &plan && index.plan_loads == loads &&
        index.placeable == list.size() && now - index.built < max_index_age)
        return index;
    apply_speeds(table, list, plan);
    build_index(table, index, list, now);
    index.plan = &plan;
    index.plan_loads = loads;
    index.placeable = list.size();
    index.built = now;
    return index;
}

// Whether the element of the index still stands for an upstream that may get
// this flow. Elements of `upstream_table::all` are used again for others. The
// upstream must not be cold beyond its quota, see `admit_cold`.
auto may_get_flow(upstream_table &table, upstream_index index,
                  const new_flow &wanted, std::uint32_t failure_domain,
                  std::uint32_t own, time_point now) -> bool {
    auto &it = table.all[index];
    return it.placeable && it.record.service == wanted.service &&
           it.record.failure_domain == failure_domain &&
           admit_cold(table.cold, it, own, now) == cold_admission::admitted;
}

auto receives_flows(const service_plan &plan, std::uint32_t own,
                    std::uint32_t failure_domain) -> bool {
    return failure_domain == own ||
           std::any_of(plan.spill.begin(), plan.spill.end(),
                       [&](const spill_share &one) {
                           return one.failure_domain == failure_domain &&
                                  one.share > 0;
                       });
}

auto find_trial(upstream_table &table, selection_index &index,
                const new_flow &wanted, const service_plan &plan,
                std::uint32_t own, time_point now) -> upstream_index {
    const auto count = index.on_probation.size();
    for (std::size_t i = 0; i < std::min(count, max_trials_examined); ++i) {
        const auto at = index.on_probation[index.next_trial++ % count];
        const auto &it = table.all[at];
        const auto domain = it.record.failure_domain;
        if (may_get_flow(table, at, wanted, domain, own, now) &&
            receives_flows(plan, own, domain) && is_on_probation(it, now) &&
            is_candidate(it, at, wanted, now))
            return at;
    }
    return no_upstream;
}

// Points between 0 and 1 for successive new flows. Any run of them, and any
// part of one, is spread evenly (a Weyl sequence with the golden ratio), so
// that shares are kept exactly also by a balancer with few flows. Balancers at
// different ranks begin at different points.
auto next_point(selection_index &index, std::uint32_t rank) -> float {
    constexpr std::uint32_t golden_ratio = 2'654'435'769U; // 2^32 / 1.618
    // Another irrational ratio, so that ranks do not repeat each other's
    // points.
    constexpr std::uint32_t rank_ratio = 3'242'174'889U; // 2^32 / 1.3247
    // The upper 24 bits of a point, as many as a float holds exactly.
    constexpr float scale = 1.0F / 16'777'216.0F;
    const auto point = index.flows++ * golden_ratio + rank * rank_ratio;
    return static_cast<float>(point >> 8) * scale;
}

/// Failure domain of a new flow, and a point between 0 and 1 within it.
struct flow_target {
    std::uint32_t failure_domain = 0;
    float point = 0;
};

auto pick_domain(const service_plan &plan, std::uint32_t own, float point)
    -> flow_target {
    float begin = 0;
    for (const auto &one : plan.spill) {
        if (!(one.share > 0))
            continue;
        if (point < begin + one.share)
            return {.failure_domain = one.failure_domain,
                    .point = (point - begin) / one.share};
        begin += one.share;
    }
    // If the shares add up to 1, rounding may leave a point beyond them.
    const auto rest = std::max(1 - begin, 1e-6F);
    return {.failure_domain = own, .point = (point - begin) / rest};
}

/// Best of the candidates examined so far.
struct lowest_load {
    upstream_index index = no_upstream;
    float load = 0;
    bool at_limit = false;

    auto offer(upstream_index other, float other_load, bool other_at_limit)
        -> void {
        if (index != no_upstream &&
            (other_at_limit > at_limit ||
             (other_at_limit == at_limit && other_load >= load)))
            return;
        *this = {other, other_load, other_at_limit};
    }
};

using line_position = std::vector<indexed_upstream>::const_iterator;

// The upstream at this point of the line. It is usually the one at `hint` or
// the next one.
auto find_at(const std::vector<indexed_upstream> &line, line_position hint,
             float point) -> line_position {
    const auto covers = [&](line_position it) {
        return point < it->end &&
               (it == line.begin() || point >= std::prev(it)->end);
    };
    if (covers(hint))
        return hint;
    const auto next = std::next(hint);
    if (next != line.end() && covers(next))
        return next;
    const auto found =
        std::upper_bound(line.begin(), line.end(), point,
                         [](float a, const auto &b) { return a < b.end; });
    return found == line.end() ? std::prev(found) : found;
}

/// Part of a capacity line that belongs to this balancer, and the point of it
/// where the examination begins.
struct own_part {
    float begin = 0;
    float length = 0;
    float first = 0; ///< from `begin`
};

// The i-th point of the capacity line to examine: first around the own part,
// then onwards from its end.
auto point_at(const own_part &part, float distance, float total) -> float {
    const auto offset = distance < part.length
                            ? std::fmod(part.first + distance, part.length)
                            : distance;
    return std::fmod(part.begin + offset, total);
}

// Examines upstreams at equal distances on the capacity line, as many as there
// are.
auto examine(upstream_table &table, const indexed_domain &domain,
             const new_flow &wanted, const own_part &part, std::uint32_t own,
             time_point now) -> upstream_index {
    const auto &line = domain.upstreams;
    const auto total = line.back().end;
    const auto stride = total / static_cast<float>(line.size());
    auto it = line.begin();
    lowest_load best;
    for (std::size_t i = 0; i < std::min(line.size(), max_examined); ++i) {
        const auto at = point_at(part, stride * static_cast<float>(i), total);
        it = find_at(line, it, at);
        const auto &one = table.all[it->index];
        if (!may_get_flow(table, it->index, wanted, domain.failure_domain, own,
                          now) ||
            !is_candidate(one, it->index, wanted, now))
            continue;
        if (one.stats.open == 0 && !is_on_probation(one, now))
            return it->index;
        best.offer(it->index, planned_load(one, it->weight),
                   is_at_planned_limit(one));
    }
    return best.at_limit || best.load > 1 ? no_upstream : best.index;
}

auto choose_in_domain(upstream_table &table, const selection_index &index,
                      const new_flow &wanted, const flow_target &target,
                      const domain_position &position, time_point now)
    -> upstream_index {
    const auto count =
        static_cast<float>(std::max<std::uint32_t>(1, position.count));
    const auto rank =
        static_cast<float>(position.rank % std::max(1U, position.count));
    for (const auto &domain : index.domains) {
        if (domain.failure_domain != target.failure_domain)
            continue;
        const auto length = domain.upstreams.back().end / count;
        return examine(table, domain, wanted,
                       {.begin = rank * length,
                        .length = length,
                        .first = target.point * length},
                       position.failure_domain, now);
    }
    return no_upstream;
}

} // namespace

auto planned_weight(const upstream &it, time_point now) -> float {
    const auto weight =
        static_cast<float>(std::max<unsigned>(1, it.record.slots)) *
        it.planned_speed;
    return now < it.warm_at ? weight / cold_load_factor : weight;
}

auto planned_load(const upstream &it, float weight) -> float {
    const auto slots =
        static_cast<float>(std::max<unsigned>(1, it.record.slots));
    const auto flows = static_cast<float>(it.stats.open) + 1;
    return flows <= slots ? flows / slots : 1 + (flows - slots) / weight;
}

auto choose_planned_upstream(upstream_table &table, const new_flow &wanted,
                             const service_plan &plan,
                             const domain_position &position, time_point now)
    -> upstream_index {
    const auto found = table.placeable.find(wanted.service);
    if (found == table.placeable.end() || found->second.empty())
        return no_upstream;
    auto &index = refresh_index(table, found->second, plan, now);
    auto chosen =
        find_trial(table, index, wanted, plan, position.failure_domain, now);
    if (chosen != no_upstream)
        return chosen;
    const auto point = next_point(index, position.rank);
    const auto target = pick_domain(plan, position.failure_domain, point);
    chosen = choose_in_domain(table, index, wanted, target, position, now);
    if (chosen != no_upstream ||
        target.failure_domain == position.failure_domain)
        return chosen;
    return choose_in_domain(
        table, index, wanted,
        {.failure_domain = position.failure_domain, .point = target.point},
        position, now);
}

} // namespace dogwoodtrack::carried
