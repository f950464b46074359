#include "carried/load/spill.hpp"

#include <algorithm>
#include <cmath>

namespace dogwoodtrack::carried {

namespace {

/// Interval that the step bounds below refer to.
constexpr float step_interval_ms = 250;
constexpr float max_step = 0.1F;
/// Part of the equal part of a neighbour's free capacity by which the use of it
/// may grow in one step. After four steps all domains know each other's
/// shortage, as loads are sent every 500 ms and decisions made every 250 ms.
constexpr float max_growth = 0.25F;
/// A share may also grow by this part of itself in one step, so that one short
/// domain among many reaches more than its equal part soon.
constexpr float max_relative_growth = 0.4F;
/// A load older than this was sent before the last two that were due.
constexpr milliseconds late_load_age{1'000};
/// Part of a neighbour's limit that is left to its own fluctuations.
constexpr float reserved = 0.05F;
/// Smaller shares are not begun. They would follow the noise of the demand.
constexpr float min_share = 0.02F;
constexpr float negligible = 1e-3F;
/// Counts as the target latency while that is unknown: the time after which a
/// caller gives up opening a flow.
constexpr milliseconds default_target_latency{1'400};

auto is_usable(const spill_target &it) -> bool {
    return it.reachable && !it.evacuated && it.age < max_load_age &&
           it.load.limit > 0;
}

auto shortage_of(const domain_load &it) -> float {
    return std::max(0.0F, it.demand - it.limit);
}

// Shortage that another domain may cover with the same neighbours. A domain
// whose present load is unknown may be cut off only from here, and counts at
// least as short as this one.
auto assumed_shortage(const spill_input &input, const spill_target &it)
    -> float {
    const auto known =
        it.evacuated ? std::max(0.0F, it.load.demand) : shortage_of(it.load);
    return it.reachable && it.age < late_load_age
               ? known
               : std::max(known, shortage_of(input.own));
}

// Concurrent requests that the domain's own callers leave free.
auto free_capacity(const spill_target &it) -> float {
    return std::max(0.0F, it.load.limit * (1 - reserved) - it.load.demand);
}

auto target_latency_ms(const spill_input &input) -> float {
    const auto latency = input.target_latency > milliseconds{0}
                             ? input.target_latency
                             : default_target_latency;
    return static_cast<float>(latency.count());
}

// Concurrent requests that are better left in the own domain than sent to this
// target. With a demand of x limits, the part (x - 1) / x cannot be served and
// costs its callers the target latency. This is less than leaving costs if
// x <= 1 / (1 - cost / target latency).
auto kept_demand(const spill_input &input, const spill_target &target)
    -> float {
    const auto cost = leaving_cost_ms(input, target) / target_latency_ms(input);
    return cost >= 1 && input.own.limit > 0
               ? input.own.demand
               : input.own.limit / std::max(negligible, 1 - cost);
}

/// Requests that one target could take, and takes, of the own demand.
struct allotment {
    const spill_target *target = nullptr;
    float room = 0;   ///< most that it may take
    float weight = 0; ///< part of what is spilled, relative to the others
    float taken = 0;
};

auto make_allotments(const spill_input &input) -> std::vector<allotment> {
    std::vector<allotment> all;
    for (const auto &one : input.others) {
        if (!is_usable(one))
            continue;
        const auto wanted =
            std::max(0.0F, input.own.demand - kept_demand(input, one));
        const auto room = std::min(wanted, usable_capacity(input, one));
        // Targets of about the same cost share the load, so that a small
        // change of the costs moves little of it from one to the other.
        const auto cost = 1 + leaving_cost_ms(input, one);
        all.push_back(
            {.target = &one, .room = room, .weight = room / (cost * cost)});
    }
    return all;
}

// Distributes `wanted` requests by weight, none of the targets above its room.
auto distribute(std::vector<allotment> &all, float wanted) -> void {
    for (std::size_t round = 0; round < all.size(); ++round) {
        float weights = 0;
        for (const auto &one : all)
            weights += one.taken < one.room ? one.weight : 0;
        if (wanted <= negligible || weights <= 0)
            return;
        const auto per_weight = wanted / weights;
        for (auto &one : all) {
            if (one.taken >= one.room)
                continue;
            const auto more =
                std::min(one.room - one.taken, per_weight * one.weight);
            one.taken += more;
            wanted -= more;
        }
    }
}

auto total_wanted(const spill_input &input, const std::vector<allotment> &all)
    -> float {
    float wanted = 0;
    for (const auto &one : all)
        wanted = std::max(wanted,
                          input.own.demand - kept_demand(input, *one.target));
    return wanted;
}

auto share_of(const std::vector<spill_share> &shares, std::uint32_t domain)
    -> float {
    for (const auto &one : shares) {
        if (one.failure_domain == domain)
            return one.share;
    }
    return 0;
}

// Next share of a target: towards `wanted`, by a bounded step, and at most what
// its free capacity allows.
auto next_share(const spill_input &input, const allotment &it) -> float {
    const auto demand = input.own.demand;
    const auto wanted = it.taken / demand;
    const auto now = share_of(input.previous, it.target->load.failure_domain);
    if (now <= 0 && wanted < min_share)
        return 0;
    const auto steps = std::clamp(static_cast<float>(input.interval.count()) /
                                      step_interval_ms,
                                  0.0F, 4.0F);
    const auto equal_part =
        free_capacity(*it.target) / static_cast<float>(input.others.size());
    const auto growth =
        std::max(max_growth * equal_part / demand, max_relative_growth * now);
    const auto rise = steps * std::min(max_step, growth);
    const auto next = std::clamp(wanted, now - steps * max_step, now + rise);
    return std::min(next, usable_capacity(input, *it.target) / demand);
}

} // namespace

auto leaving_cost_ms(const spill_input &input, const spill_target &target)
    -> float {
    const auto longer_ms =
        input.own.limit > 0 ? target.load.service_ms - input.own.service_ms : 0;
    return std::max(0.0F, static_cast<float>(target.round_trip.count()) +
                              input.price_ms_per_kib * input.request_kib +
                              longer_ms);
}

auto usable_capacity(const spill_input &input, const spill_target &target)
    -> float {
    if (!is_usable(target))
        return 0;
    const auto own = shortage_of(input.own);
    auto all = own;
    for (const auto &one : input.others) {
        if (one.load.failure_domain != target.load.failure_domain)
            all += assumed_shortage(input, one);
    }
    // Without a shortage an equal part bounds the shares that are ending.
    const auto part =
        own > 0 ? own / all : 1 / static_cast<float>(input.others.size());
    return free_capacity(target) * part;
}

auto compute_spill(const spill_input &input) -> std::vector<spill_share> {
    if (!(input.own.demand > 0))
        return {};
    auto all = make_allotments(input);
    distribute(all, total_wanted(input, all));
    std::vector<spill_share> shares;
    float total = 0;
    for (const auto &one : all) {
        const auto share = next_share(input, one);
        if (share < negligible)
            continue;
        shares.push_back({.failure_domain = one.target->load.failure_domain,
                          .share = share});
        total += share;
    }
    for (auto &one : shares)
        one.share /= std::max(1.0F, total);
    return shares;
}

} // namespace dogwoodtrack::carried
