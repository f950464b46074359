#include "carried/explanation.hpp"

#include <algorithm>
#include <tuple>

#include "carried/quota/cold_quota.hpp"
#include "carried/upstreams/outlier_ejection.hpp"
#include "carried/upstreams/planned_selection.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Copy of what a decision about one service reads and changes. Elements of
/// `upstream_table::all` that do not concern the service are left out, so
/// indices differ from those of the original.
struct service_copy {
    steering_state state;
    std::vector<upstream_index> origins; ///< original indices, sorted
};

// Indices of the service's upstreams, and of those that its selection index
// still names although they are used for other upstreams by now.
auto find_origins(const upstream_table &table, service_key service)
    -> std::vector<upstream_index> {
    std::vector<upstream_index> origins;
    for (upstream_index i = 0; i < table.all.size(); ++i) {
        const auto &record = table.all[i].record;
        if (!record.id.empty() && record.service == service)
            origins.push_back(i);
    }
    if (const auto found = table.selection.find(service);
        found != table.selection.end()) {
        for (const auto &domain : found->second.domains) {
            for (const auto &one : domain.upstreams)
                origins.push_back(one.index);
        }
        const auto &trials = found->second.on_probation;
        origins.insert(origins.end(), trials.begin(), trials.end());
    }
    std::sort(origins.begin(), origins.end());
    origins.erase(std::unique(origins.begin(), origins.end()), origins.end());
    return origins;
}

auto to_copied(const std::vector<upstream_index> &origins, upstream_index index)
    -> upstream_index {
    const auto at = std::lower_bound(origins.begin(), origins.end(), index);
    return static_cast<upstream_index>(at - origins.begin());
}

auto copy_selection(const selection_index &from,
                    const std::vector<upstream_index> &origins)
    -> selection_index {
    auto it = from;
    for (auto &domain : it.domains) {
        for (auto &one : domain.upstreams)
            one.index = to_copied(origins, one.index);
    }
    for (auto &index : it.on_probation)
        index = to_copied(origins, index);
    return it;
}

auto copy_upstreams(const upstream_table &from, service_key service,
                    const std::vector<upstream_index> &origins)
    -> upstream_table {
    upstream_table it;
    for (const auto origin : origins) {
        const auto &one = from.all[origin];
        if (index_by_code(from, one.code) == origin)
            it.by_code[one.code] = static_cast<upstream_index>(it.all.size());
        it.all.push_back(one);
    }
    if (const auto found = from.placeable.find(service);
        found != from.placeable.end()) {
        auto &list = it.placeable[service];
        for (const auto index : found->second)
            list.push_back(to_copied(origins, index));
    }
    if (const auto found = from.withheld.find(service);
        found != from.withheld.end())
        it.withheld.insert(*found);
    if (const auto found = from.selection.find(service);
        found != from.selection.end())
        it.selection[service] = copy_selection(found->second, origins);
    it.cold = from.cold;
    it.evacuated_domains = from.evacuated_domains;
    return it;
}

auto copy_plans(const load_plan_state &from, service_key service)
    -> load_plan_state {
    load_plan_state it{.enabled = from.enabled,
                       .coordinator = from.coordinator,
                       .sequence = from.sequence,
                       .received = from.received,
                       .limit_reported = from.limit_reported};
    for (const auto &one : from.services) {
        if (one.plan.service == service)
            it.services.push_back(one);
    }
    for (const auto &one : from.cautious) {
        if (one.service == service)
            it.cautious.push_back(one);
    }
    return it;
}

// Without flows, so that the flow is new.
auto copy_service(const steering_state &from, service_key service,
                  time_point now) -> service_copy {
    service_copy it{.origins = find_origins(from.upstreams, service)};
    auto &state = it.state;
    state.in_force = from.in_force;
    state.upstreams = copy_upstreams(from.upstreams, service, it.origins);
    state.position = from.position;
    state.configuration_confirmed = from.configuration_confirmed;
    state.upstreams_known = from.upstreams_known;
    state.evacuations_known = from.evacuations_known;
    state.plans = copy_plans(from.plans, service);
    state.admission = from.admission;
    // The index is built again if the plan has another address.
    if (const auto found = state.upstreams.selection.find(service);
        found != state.upstreams.selection.end() &&
        found->second.plan == plan_for(from.plans, service, now))
        found->second.plan = plan_for(state.plans, service, now);
    return it;
}

// ---- admission

auto decide(admission_state state, const opening_request &request,
            const service_plan *plan, time_point now) -> admission_decision {
    return decide_opening(state, request, plan, now);
}

// Decision about an opening whose turn on arrival is not yet.
auto decide_without_credit(admission_state state,
                           const opening_request &request,
                           const service_plan *plan, time_point now)
    -> admission_decision {
    state.phase = -1;
    for (auto &[service, one] : state.services) {
        for (auto &it : one.classes)
            it.credit = -1;
    }
    return decide_opening(state, request, plan, now);
}

auto plan_age(const load_plan_state &plans, service_key service, time_point now)
    -> std::optional<milliseconds> {
    for (const auto &one : plans.services) {
        if (one.plan.service == service && one.received != time_point{})
            return std::chrono::duration_cast<milliseconds>(now - one.received);
    }
    return std::nullopt;
}

auto explain_admission(const steering_state &state, const packet_header &header,
                       const route_spec &route, service_key service,
                       time_point now) -> explained_admission {
    const auto *plan = plan_for(state.plans, service, now);
    explained_admission it{
        .enabled = state.admission.enabled,
        .plan_age = plan_age(state.plans, service, now),
        .fraction = admit_fraction(plan, priority_index(route.priority))};
    if (plan != nullptr) {
        it.origin = is_coordinated(state.plans, service, now)
                        ? plan_origin::coordinator
                        : plan_origin::derived;
        it.limit = plan->limit;
        it.in_flight = plan->in_flight;
        it.demand = plan->demand;
    }
    if (!it.enabled)
        return it;
    constexpr float half = 0.5F;
    const opening_request request{.header = header,
                                  .service = service,
                                  .priority = route.priority,
                                  .target_latency = route.target_latency};
    it.now = decide(state.admission, request, plan, now);
    it.otherwise = decide_without_credit(state.admission, request, plan, now);
    it.on_average =
        it.fraction >= half ? admission_decision::admit : it.otherwise;
    return it;
}

// ---- upstreams

/// What the rules compare the upstreams of a service with.
struct comparison {
    const new_flow &wanted;
    const domain_position &position;
    time_point now;
    selection_rule rule = selection_rule::none;
    float mean_ms = 0; ///< see `compared_load`
    std::uint32_t chosen_domain = 0;
    float chosen_load = 0;
};

auto load_of(const upstream &it, const comparison &to) -> float {
    return to.rule == selection_rule::load_plan
               ? planned_load(it, planned_weight(it, to.now))
               : compared_load(it, to.wanted, to.position, to.mean_ms, to.now);
}

// Why the upstream cannot get the flow whatever other upstreams there are.
auto find_exclusion(upstream_table &table, upstream_index index,
                    const comparison &to) -> ruled_out {
    auto &it = table.all[index];
    if (!it.placeable) {
        if (it.withheld)
            return ruled_out::evacuated;
        if (it.record.state == upstream_state::draining)
            return ruled_out::draining;
        return it.record.state == upstream_state::gone ? ruled_out::removed
                                                       : ruled_out::code_in_use;
    }
    switch (admit_cold(table.cold, it, to.position.failure_domain, to.now)) {
    case cold_admission::over_share:
        return ruled_out::cold_over_quota;
    case cold_admission::other_domain:
        return ruled_out::cold_other_domain;
    case cold_admission::admitted:
        break;
    }
    if (it.death == upstream_death::cut_off)
        return ruled_out::cut_off;
    if (is_ejected(it, to.now))
        return ruled_out::ejected;
    if (is_on_probation(it, to.now))
        return ruled_out::on_probation;
    if (!is_candidate(it, index, to.wanted, to.now))
        return ruled_out::silent;
    return to.wanted.plan != nullptr && is_at_planned_limit(it)
               ? ruled_out::at_planned_limit
               : ruled_out::undecided;
}

// Why another upstream than this one was chosen.
auto find_reason(upstream_table &table, upstream_index index,
                 const comparison &to) -> ruled_out {
    const auto excluded = find_exclusion(table, index, to);
    if (excluded != ruled_out::undecided || to.rule == selection_rule::none)
        return excluded;
    if (to.rule == selection_rule::trial)
        return ruled_out::trial;
    const auto &it = table.all[index];
    const auto domain = it.record.failure_domain;
    // Without a plan, upstreams of all failure domains are compared; the own
    // one is preferred by their loads.
    const auto is_compared = domain == to.chosen_domain ||
                             (to.rule != selection_rule::load_plan &&
                              (to.chosen_domain != to.position.failure_domain ||
                               domain == to.position.failure_domain));
    if (!is_compared)
        return ruled_out::other_domain;
    return load_of(it, to) > to.chosen_load ? ruled_out::higher_load
                                            : ruled_out::not_in_turn;
}

auto describe(const upstream &it, float load, ruled_out why)
    -> explained_upstream {
    return {.id = it.record.id,
            .address = it.record.address,
            .failure_domain = it.record.failure_domain,
            .open = it.stats.open,
            .slots = it.record.slots,
            .load = load,
            .why = why};
}

// Whether the load plan alone finds an upstream. Its counters of placed flows
// are put back, so that the next choice is the same.
auto is_found_by_plan(steering_state &state, const new_flow &wanted,
                      time_point now) -> bool {
    if (wanted.plan == nullptr)
        return false;
    auto &selection = state.upstreams.selection;
    const auto before = selection[wanted.service];
    const auto found =
        choose_planned_upstream(state.upstreams, wanted, *wanted.plan,
                                state.position, now) != no_upstream;
    auto &after = selection[wanted.service];
    after.flows = before.flows;
    after.next_trial = before.next_trial;
    return found;
}

// Rule by which `it` was chosen; `it` is as before the decision.
auto find_rule(const upstream &it, upstream_index index, bool by_plan,
               const new_flow &wanted, time_point now) -> selection_rule {
    const auto candidate = is_candidate(it, index, wanted, now);
    if (candidate && is_on_probation(it, now))
        return selection_rule::trial;
    if (by_plan)
        return selection_rule::load_plan;
    const auto at_limit = wanted.plan != nullptr && is_at_planned_limit(it);
    return candidate && !at_limit ? selection_rule::lowest_load
                                  : selection_rule::last_resort;
}

/// An upstream and why it was not chosen.
struct judged_upstream {
    upstream_index index = no_upstream;
    ruled_out why = ruled_out::chosen;
};

// Moves the first `n` upstreams in the order of `flow_explanation::upstreams`
// to the front.
auto sort_first(std::vector<judged_upstream> &all, std::size_t n,
                const upstream_table &table, std::uint32_t own_domain) -> void {
    const auto key = [&](const judged_upstream &it) {
        const auto &record = table.all[it.index].record;
        return std::make_tuple(it.why != ruled_out::chosen,
                               record.failure_domain != own_domain,
                               std::string_view(record.id));
    };
    std::partial_sort(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end(),
        [&](const auto &a, const auto &b) { return key(a) < key(b); });
}

// Explains the choice of `chosen`, or that of none.
auto explain_upstreams(flow_explanation &result, upstream_table &table,
                       comparison to, upstream_index chosen) -> void {
    const auto found = table.placeable.find(to.wanted.service);
    if (to.wanted.plan == nullptr && found != table.placeable.end())
        to.mean_ms = mean_service_time(table, found->second);
    if (chosen != no_upstream) {
        to.chosen_domain = table.all[chosen].record.failure_domain;
        to.chosen_load = load_of(table.all[chosen], to);
    }
    std::vector<judged_upstream> judged;
    for (upstream_index i = 0; i < table.all.size(); ++i) {
        const auto &record = table.all[i].record;
        if (record.id.empty() || record.service != to.wanted.service)
            continue;
        const auto why =
            i == chosen ? ruled_out::chosen : find_reason(table, i, to);
        ++result.reasons[static_cast<std::size_t>(why)];
        judged.push_back({.index = i, .why = why});
    }
    const auto n = std::min(judged.size(), max_explained_upstreams);
    sort_first(judged, n, table, result.failure_domain);
    result.left_out = judged.size() - n;
    for (std::size_t i = 0; i < n; ++i) {
        const auto &it = table.all[judged[i].index];
        result.upstreams.push_back(
            describe(it, load_of(it, to), judged[i].why));
    }
}

auto explain_route(flow_explanation &result, const steering_state &original,
                   const packet_header &header, const route_spec &route,
                   time_point now) -> void {
    const auto service =
        choose_service(route, flow_endpoints_hash{}(header.endpoints));
    auto copy = copy_service(original, service, now);
    auto &state = copy.state;
    result.route = route;
    result.service = service;
    result.admission = explain_admission(state, header, route, service, now);
    const auto wanted = make_new_flow(state, route, service, now);
    const auto by_plan = is_found_by_plan(state, wanted, now);
    auto decision = steer(state, header, now);
    result.decision = decision.kind;
    result.refused = decision.why;
    // Not admitted now: shows where the flow goes once it is admitted.
    if (decision.kind == verdict_kind::queue ||
        decision.why == refusal::overload)
        decision = steer_admitted(state, header, now);
    comparison to{.wanted = wanted, .position = state.position, .now = now};
    auto chosen = no_upstream;
    if (decision.kind == verdict_kind::forward) {
        chosen = decision.to;
        // Without the new flow, which is counted by now.
        auto &it = state.upstreams.all[chosen];
        const auto &before = original.upstreams.all[copy.origins[chosen]];
        it.stats = before.stats;
        it.cold = before.cold;
        to.rule = find_rule(it, chosen, by_plan, wanted, now);
        result.rule = to.rule;
    }
    explain_upstreams(result, state.upstreams, to, chosen);
}

} // namespace

auto to_string(ruled_out why) -> std::string_view {
    static constexpr std::array names{
        "chosen",      "evacuated",    "draining",        "removed",
        "code_in_use", "cut_off",      "cold_over_quota", "cold_other_domain",
        "ejected",     "on_probation", "silent",          "at_planned_limit",
        "undecided",   "trial",        "other_domain",    "higher_load",
        "not_in_turn"};
    return names[static_cast<std::size_t>(why)];
}

auto to_string(selection_rule rule) -> std::string_view {
    static constexpr std::array names{"none", "load_plan", "lowest_load",
                                      "trial", "last_resort"};
    return names[static_cast<std::size_t>(rule)];
}

auto to_string(plan_origin origin) -> std::string_view {
    static constexpr std::array names{"none", "coordinator", "derived"};
    return names[static_cast<std::size_t>(origin)];
}

auto explain_new_flow(const steering_state &state,
                      const flow_endpoints &endpoints, time_point now)
    -> flow_explanation {
    flow_explanation it{.endpoints = endpoints,
                        .failure_domain = state.position.failure_domain,
                        .configuration_known = state.in_force != nullptr,
                        .configuration_current =
                            is_configuration_current(state, now),
                        .upstreams_known = state.upstreams_known,
                        .evacuations_known = state.evacuations_known};
    const packet_header header{.endpoints = endpoints, .opens = true};
    const auto *route = state.in_force
                            ? find_route(*state.in_force, endpoints.service)
                            : nullptr;
    if (route != nullptr) {
        explain_route(it, state, header, *route, now);
        return it;
    }
    // Without a route, no state of a service is needed.
    auto copy = copy_service(state, 0, now);
    const auto decision = steer(copy.state, header, now);
    it.decision = decision.kind;
    it.refused = decision.why;
    return it;
}

} // namespace dogwoodtrack::carried
