#include "carried/load/load_planning.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include "carried/admission/allocation.hpp"
#include "carried/load/spill.hpp"
#include "carried/load/spill_report.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Weight of one interval in the smoothed rates. At 125 openings an interval
/// their number varies by 9%, the smoothed one by 5%.
constexpr float rate_weight = 0.5F;
constexpr float service_time_weight = 0.3F;
/// Number of openings without an answer after which an upstream counts as
/// silent. A single one may have been lost.
constexpr std::uint32_t silent_openings = 2;
/// An upstream no longer counts as silent if it left no opening unanswered for
/// this time. Longer than the 1.5 s for which a balancer avoids it, so that it
/// is tried again before.
constexpr milliseconds silence_memory{3'000};
/// Speeds outside this range count as a constraint.
constexpr float min_usual_speed = 0.8F;
constexpr float max_usual_speed = 1.25F;
/// Relative change of a speed after which the entry is sent again soon.
constexpr float sent_speed_change = 0.05F;
/// Lower limit of the speed that a change is related to.
constexpr float min_sent_speed = 0.01F;
/// Rates are not smoothed after this time without a plan.
constexpr milliseconds max_smoothing_gap{1'000};

/// Load at the upstreams of one service, from reports.
struct upstream_sums {
    std::vector<upstream_load> upstreams; ///< of all failure domains
    limit_sample own;                     ///< at upstreams of the own domain
    float own_answers_ms = 0;             ///< sum over `own.answers`
    float other_answers = 0;    ///< of upstreams of other failure domains
    float other_answers_ms = 0; ///< sum over `other_answers`
};
using service_sums = std::map<service_key, upstream_sums>;

/// What the configuration says about a service.
struct service_routes {
    milliseconds target_latency{0}; ///< shortest one of its routes
};

auto mix(float old_value, float new_value, float weight) -> float {
    return old_value + weight * (new_value - old_value);
}

auto add_route(service_routes &to, const route_spec &route) -> void {
    if (route.target_latency > milliseconds{0} &&
        (to.target_latency == milliseconds{0} ||
         route.target_latency < to.target_latency))
        to.target_latency = route.target_latency;
}

auto find_services(const planning_input &input)
    -> std::map<service_key, service_routes> {
    std::map<service_key, service_routes> services;
    for (const auto &route : input.in_force.routes) {
        for (const auto &share : route.services)
            add_route(services[share.service], route);
    }
    return services;
}

auto is_usable(const load_planner &it, const upstream &one, time_point now)
    -> bool {
    if (one.death != upstream_death::none || is_ejected(one, now))
        return false;
    const auto silent = it.silent.find(one.code);
    return silent == it.silent.end() ||
           silent->second.openings < silent_openings;
}

auto sum_upstreams(const load_planner &it, const summed_load &sum,
                   const planning_input &input, time_point now)
    -> service_sums {
    service_sums sums;
    for (const auto &[code, load] : sum.upstreams) {
        const auto index = index_by_code(input.upstreams, code);
        if (index == no_upstream)
            continue;
        const auto &upstream = input.upstreams.all[index];
        const auto &record = upstream.record;
        auto &to = sums[record.service];
        to.upstreams.push_back(load);
        const auto answers = static_cast<float>(load.answers);
        if (record.failure_domain != input.failure_domain) {
            to.other_answers += answers;
            to.other_answers_ms += load.service_ms * answers;
            continue;
        }
        // Requests that hang at a silent upstream take no room of the others.
        if (is_usable(it, upstream, now))
            to.own.in_flight += static_cast<float>(load.in_flight);
        to.own.answers += load.answers;
        // An upstream with free slots rejects requests because it fails.
        if (load.in_flight >= record.slots)
            to.own.rejections += load.rejections;
        to.own_answers_ms += load.service_ms * answers;
    }
    return sums;
}

auto update_silence(load_planner &it, const summed_load &sum, time_point now)
    -> void {
    for (const auto &[code, openings] : sum.unanswered) {
        auto &known = it.silent[code];
        known.openings += openings;
        known.last = now;
    }
    boost::unordered::erase_if(it.silent, [&](const auto &entry) {
        const auto load = sum.upstreams.find(entry.first);
        return now - entry.second.last >= silence_memory ||
               (load != sum.upstreams.end() &&
                load->second.answers + load->second.rejections > 0);
    });
}

// Slots of the own domain's upstreams that new flows can be placed on.
auto count_slots(const load_planner &it, service_key service,
                 const planning_input &input, time_point now) -> float {
    const auto found = input.upstreams.placeable.find(service);
    if (found == input.upstreams.placeable.end())
        return 0;
    float slots = 0;
    for (const auto index : found->second) {
        const auto &one = input.upstreams.all[index];
        if (one.record.failure_domain == input.failure_domain &&
            is_usable(it, one, now))
            slots += static_cast<float>(one.record.slots);
    }
    return slots;
}

// Time since the previous plans.
auto interval_until(const load_planner &it, time_point now) -> milliseconds {
    if (it.last_planned == time_point{})
        return max_smoothing_gap;
    return std::chrono::duration_cast<milliseconds>(now - it.last_planned);
}

auto learn_rates(coordinated_service &it, const summed_service &rates,
                 milliseconds interval) -> void {
    const auto weight = interval >= max_smoothing_gap ? 1 : rate_weight;
    for (std::size_t i = 0; i < priority_count; ++i) {
        it.openings[i] = mix(it.openings[i], rates.openings[i], weight);
        it.requests[i] = mix(it.requests[i], rates.requests[i], weight);
    }
}

// The answers of other domains count while there are none of the own one, for
// example during its evacuation.
auto learn_service_time(coordinated_service &it, const upstream_sums &sums)
    -> void {
    const auto has_own = sums.own.answers > 0;
    const auto answers =
        has_own ? static_cast<float>(sums.own.answers) : sums.other_answers;
    if (answers == 0)
        return;
    const auto mean =
        (has_own ? sums.own_answers_ms : sums.other_answers_ms) / answers;
    it.service_ms = it.service_ms == 0
                        ? mean
                        : mix(it.service_ms, mean, service_time_weight);
}

// Time that a request takes at an upstream without queueing; 0 while unknown.
auto baseline_ms(const coordinated_service &it) -> float {
    return it.limit.baseline_ms > 0 ? it.limit.baseline_ms : it.service_ms;
}

auto sum_of(const std::array<float, priority_count> &values) -> float {
    float sum = 0;
    for (const auto value : values)
        sum += value;
    return sum;
}

auto is_cut_off(const planning_input &input, std::uint32_t domain) -> bool {
    return std::find(input.unreachable_domains.begin(),
                     input.unreachable_domains.end(),
                     domain) != input.unreachable_domains.end();
}

// Adds the failure domains with upstreams of the service whose load is unknown.
auto add_unknown_targets(std::vector<spill_target> &targets,
                         service_key service, const planning_input &input)
    -> void {
    const auto found = input.upstreams.placeable.find(service);
    if (found == input.upstreams.placeable.end())
        return;
    for (const auto index : found->second) {
        const auto domain = input.upstreams.all[index].record.failure_domain;
        const auto is_listed =
            std::any_of(targets.begin(), targets.end(), [&](const auto &it) {
                return it.load.failure_domain == domain;
            });
        if (domain != input.failure_domain && !is_listed)
            targets.push_back(
                {.load = {.service = service, .failure_domain = domain},
                 .age = max_load_age,
                 .reachable = !is_cut_off(input, domain)});
    }
}

auto spill_targets(service_key service, const planning_input &input,
                   time_point now) -> std::vector<spill_target> {
    std::vector<spill_target> targets;
    for (const auto &[domain, known] : input.domains.domains) {
        for (const auto &one : known.loads) {
            if (one.load.service != service)
                continue;
            targets.push_back(
                {.load = one.load,
                 .age = std::chrono::ceil<milliseconds>(now - one.received),
                 .round_trip = milliseconds{static_cast<std::int64_t>(
                     std::ceil(known.round_trip_ms))},
                 .reachable = !is_cut_off(input, domain),
                 .evacuated = is_evacuated(input.upstreams, domain)});
        }
    }
    add_unknown_targets(targets, service, input);
    std::sort(targets.begin(), targets.end(), [](const auto &a, const auto &b) {
        return a.load.failure_domain < b.load.failure_domain;
    });
    return targets;
}

// This domain's part of what other domains leave free. Domains without
// upstreams share it.
auto free_elsewhere(const std::vector<spill_target> &targets) -> float {
    float free = 0;
    float sharing = 1;
    for (const auto &one : targets) {
        if (!one.reachable || one.age >= domain_load_lifetime)
            continue;
        free += std::max(0.0F, one.load.limit - one.load.demand);
        sharing += one.load.limit <= 0 ? 1 : 0;
    }
    return free / sharing;
}

auto make_spill_input(const coordinated_service &it,
                      const std::vector<spill_target> &targets,
                      const service_routes &routes, const planning_input &input,
                      milliseconds interval) -> spill_input {
    return {.own = it.load,
            .others = targets,
            .previous = it.plan.spill,
            .price_ms_per_kib = input.price_ms_per_kib,
            .request_kib =
                mean_request_kib(input.flows, input.in_force, it.load.service),
            .target_latency = routes.target_latency,
            .interval = interval};
}

// Demand that other domains take over: the shares, or what they have room for
// while the shares still rise. Flows beyond the shares leave the domain, too,
// once its slots are full.
auto spilled_demand(const spill_input &input,
                    const std::vector<spill_share> &shares, float openings)
    -> float {
    float share = 0;
    for (const auto &one : shares)
        share += one.share;
    float room = 0;
    for (const auto &one : input.others)
        room += usable_capacity(input, one);
    const auto shortage = std::max(0.0F, input.own.demand - input.own.limit);
    return std::max(share * openings, std::min(shortage, room));
}

auto admit(const coordinated_service &it, const planning_input &input,
           const spill_input &elsewhere, float slots)
    -> std::array<float, priority_count> {
    const auto &targets = elsewhere.others;
    const auto has_upstreams = slots > 0;
    if (baseline_ms(it) <= 0 || (has_upstreams && it.limit.limit <= 0) ||
        (!has_upstreams && targets.empty()))
        return {1, 1, 1, 1};
    const auto limit = has_upstreams ? it.limit.limit : free_elsewhere(targets);
    allocation_input wanted{.limit = limit * input.limit_part,
                            .min_share = input.min_share};
    for (std::size_t i = 0; i < priority_count; ++i) {
        wanted.established[i] = it.requests[i] * baseline_ms(it);
        wanted.demand[i] = it.openings[i] * baseline_ms(it);
    }
    // Without upstreams in the domain, the limit is that of the others already.
    if (has_upstreams)
        wanted.spilled =
            spilled_demand(elsewhere, it.plan.spill, sum_of(wanted.demand));
    return allocate_admission(wanted);
}

auto plan_service(load_planner &planner, service_key service,
                  const service_routes &routes, const summed_load &sum,
                  upstream_sums &sums, const planning_input &input,
                  time_point now) -> void {
    auto &it = planner.services[service];
    const auto interval = interval_until(planner, now);
    const auto rates = sum.services.find(service);
    learn_rates(it,
                rates == sum.services.end() ? summed_service{} : rates->second,
                interval);
    learn_service_time(it, sums);
    auto sample = sums.own;
    sample.slots = count_slots(planner, service, input, now);
    sample.in_flight += placed_by_others(input.domains, service);
    sample.service_ms =
        sample.answers > 0
            ? sums.own_answers_ms / static_cast<float>(sample.answers)
            : 0;
    sample.established = sum_of(it.requests) * baseline_ms(it);
    sample.target_latency = routes.target_latency;
    sample.interval = interval;
    const auto limit = update_limit(it.limit, sample, now);
    it.load = {.service = service,
               .failure_domain = input.failure_domain,
               .limit = sample.slots > 0 ? limit : 0,
               .in_flight = sample.in_flight,
               .demand = (sum_of(it.openings) + sum_of(it.requests)) *
                         baseline_ms(it),
               .service_ms = it.service_ms};
    const auto targets = spill_targets(service, input, now);
    it.plan.service = service;
    const auto elsewhere =
        make_spill_input(it, targets, routes, input, interval);
    it.plan.spill = compute_spill(elsewhere);
    log_spill_changes(elsewhere, it.logged_spill, it.plan.spill);
    it.plan.admit = admit(it, input, elsewhere, sample.slots);
    it.speeds.target_latency = routes.target_latency;
    track_upstreams(it.speeds, input.upstreams, service);
    it.plan.upstreams = compute_speeds(it.speeds, sums.upstreams, interval);
    log_speed_changes(it.speeds, input.upstreams);
    it.plan.limit = it.load.limit;
    it.plan.in_flight = it.load.in_flight;
    it.plan.demand = it.load.demand;
}

// Relative change of the speed, or 0 if it is too small to matter. A limit that
// has changed and an entry never sent before count as a large change.
auto change_since(const sent_upstream *sent, const upstream_plan &now)
    -> float {
    if (sent == nullptr || sent->plan.limit != now.limit)
        return 1;
    const auto change = std::abs(sent->plan.speed - now.speed) /
                        std::max(sent->plan.speed, min_sent_speed);
    return change > sent_speed_change ? change : 0;
}

} // namespace

auto compute_plans(load_planner &it, const summed_load &sum,
                   const planning_input &input, time_point now) -> void {
    const auto services = find_services(input);
    boost::unordered::erase_if(it.services, [&](const auto &entry) {
        return !services.contains(entry.first);
    });
    update_silence(it, sum, now);
    auto sums = sum_upstreams(it, sum, input, now);
    for (const auto &[service, routes] : services)
        plan_service(it, service, routes, sum, sums[service], input, now);
    it.last_planned = now;
}

auto is_binding(const service_plan &plan) -> bool {
    return std::any_of(plan.admit.begin(), plan.admit.end(),
                       [](float part) { return part < 1; }) ||
           std::any_of(plan.spill.begin(), plan.spill.end(),
                       [](const auto &one) { return one.share > 0; }) ||
           std::any_of(plan.upstreams.begin(), plan.upstreams.end(),
                       [](const auto &one) {
                           return one.speed < min_usual_speed ||
                                  one.speed > max_usual_speed;
                       });
}

auto is_binding(const load_planner &it) -> bool {
    return std::any_of(
        it.services.begin(), it.services.end(),
        [](const auto &entry) { return is_binding(entry.second.plan); });
}

auto make_plan(load_planner &it) -> load_plan {
    load_plan plan{.sequence = ++it.sequence, .services = {}};
    for (const auto &[service, one] : it.services)
        plan.services.push_back(one.plan);
    return plan;
}

auto select_upstreams(load_planner &it, load_plan &plan, time_point now)
    -> void {
    struct candidate {
        service_plan *service;
        upstream_plan upstream;
        float change;
        time_point sent;
    };
    std::vector<candidate> all;
    for (auto &service : plan.services) {
        for (const auto &one : std::exchange(service.upstreams, {})) {
            const auto found = it.sent.find(one.code);
            const auto *sent =
                found == it.sent.end() ? nullptr : &found->second;
            all.push_back(
                {.service = &service,
                 .upstream = one,
                 .change = change_since(sent, one),
                 .sent = sent == nullptr ? time_point{} : sent->sent});
        }
    }
    const auto count = std::min(all.size(), max_sent_upstreams);
    std::partial_sort(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count),
        all.end(), [](const auto &a, const auto &b) {
            return a.change != b.change ? a.change > b.change : a.sent < b.sent;
        });
    boost::unordered_flat_map<std::uint32_t, sent_upstream> sent;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const auto &one = all[i];
        const auto known = it.sent.find(one.upstream.code);
        if (i < count) {
            one.service->upstreams.push_back(one.upstream);
            sent[one.upstream.code] = {.plan = one.upstream, .sent = now};
        } else if (known != it.sent.end()) {
            sent[one.upstream.code] = known->second;
        }
    }
    it.sent = std::move(sent);
}

} // namespace dogwoodtrack::carried
