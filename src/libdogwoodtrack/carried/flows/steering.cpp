#include "carried/flows/steering.hpp"

#include <algorithm>
#include <array>

#include "carried/quota/cold_flows.hpp"
#include "carried/upstreams/dead_upstreams.hpp"

namespace dogwoodtrack::carried {

namespace {

auto forward_to(const steering_state &state, upstream_index to) -> verdict {
    return {.kind = verdict_kind::forward,
            .to = to,
            .code = state.upstreams.all[to].code};
}

auto refuse(verdict_kind kind, refusal why) -> verdict {
    return {.kind = kind, .why = why};
}

// Whether the upstream of the flow `it` has answered any flow since the opening
// packet of `it` was sent. If so, that packet was probably lost, and the
// upstream is still a good choice.
auto answered_since(const steering_state &state, const flow &it) -> bool {
    return it.to != no_upstream &&
           state.upstreams.all[it.to].stats.last_response > it.opening_sent;
}

// The load coordinator's plan, or null. A plan that this balancer has derived
// itself does not say where flows go.
auto coordinated_plan(const steering_state &state, service_key service,
                      time_point now) -> const service_plan * {
    return is_coordinated(state.plans, service, now)
               ? plan_for(state.plans, service, now)
               : nullptr;
}

auto place_flow(steering_state &state, const packet_header &header,
                const route_spec &route, flow *known, time_point now)
    -> verdict {
    const auto service =
        choose_service(route, flow_endpoints_hash{}(header.endpoints));
    auto wanted = make_new_flow(state, route, service, now);
    if (known != nullptr)
        wanted.excluded = known->to;
    const auto to =
        choose_upstream(state.upstreams, wanted, state.position, now);
    if (to == no_upstream)
        return refuse(state.upstreams_known ? verdict_kind::reject
                                            : verdict_kind::hold,
                      has_withheld_upstreams(state.upstreams, service)
                          ? refusal::evacuated
                          : refusal::no_upstream);
    if (known == nullptr)
        known = add_flow(state.flows, header.endpoints, now);
    if (known == nullptr) {
        count_untracked_request(state.upstreams, to, now);
        return forward_to(state, to);
    }
    bind_flow(state.upstreams, *known, to);
    count_cold_opening(state.upstreams, *known, now);
    known->priority = static_cast<std::uint8_t>(priority_index(route.priority));
    known->stage = flow_stage::opening;
    known->opening_sent = now;
    known->last_packet = now;
    ++known->attempts;
    return forward_to(state, to);
}

// Whether an opening packet with the endpoints of a known flow opens a new
// flow, because the caller reuses its port. Retransmissions of the known flow's
// opening packet arrive before `connect_timeout`.
auto is_new_flow(const flow &it, const packet_header &header, time_point now)
    -> bool {
    return it.stage == flow_stage::closed ||
           (header.retransmission == 0 &&
            now - it.opening_sent >= connect_timeout);
}

auto clear_flow(steering_state &state, flow &it) -> void {
    uncount_flow(state.upstreams, it);
    release_cold_flow(state.upstreams, it);
    end_tracked_request(state.flows, it);
    it = {};
}

// Queues or rejects a new flow as `decide_opening` says; nothing if it is
// admitted.
auto refuse_by_admission(steering_state &state, const packet_header &header,
                         const route_spec &route, time_point now)
    -> std::optional<verdict> {
    const opening_request request{
        .header = header,
        .service =
            choose_service(route, flow_endpoints_hash{}(header.endpoints)),
        .priority = route.priority,
        .target_latency = route.target_latency};
    switch (decide_opening(state.admission, request,
                           plan_for(state.plans, request.service, now), now)) {
    case admission_decision::admit:
        break;
    case admission_decision::queue:
        return refuse(verdict_kind::queue, refusal::none);
    case admission_decision::reject:
        return refuse(verdict_kind::reject, refusal::overload);
    }
    return std::nullopt;
}

auto steer_opening(steering_state &state, const packet_header &header,
                   bool admitted, time_point now) -> verdict {
    if (!state.in_force || !state.evacuations_known)
        return refuse(verdict_kind::hold, refusal::no_configuration);
    const auto *route = find_route(*state.in_force, header.endpoints.service);
    if (route == nullptr)
        return refuse(is_configuration_current(state, now)
                          ? verdict_kind::reject
                          : verdict_kind::drop,
                      refusal::no_route);
    auto *known = find_flow(state.flows, header.endpoints);
    if (known != nullptr && is_new_flow(*known, header, now))
        clear_flow(state, *known);
    if (known == nullptr || known->to == no_upstream) {
        if (state.admission.enabled && !admitted) {
            const auto refused =
                refuse_by_admission(state, header, *route, now);
            if (refused)
                return *refused;
        }
        return place_flow(state, header, *route, known, now);
    }
    if (known->stage != flow_stage::opening)
        return forward_to(state, known->to);
    if (answered_since(state, *known) &&
        state.upstreams.all[known->to].placeable) {
        known->opening_sent = now;
        known->last_packet = now;
        return forward_to(state, known->to);
    }
    return place_flow(state, header, *route, known, now);
}

// Whether an opening packet opens a flow that this balancer has not seen yet.
auto opens_new_flow(steering_state &state, const packet_header &header,
                    time_point now) -> bool {
    if (header.retransmission > 0)
        return false;
    const auto *known = find_flow(state.flows, header.endpoints);
    return known == nullptr || is_new_flow(*known, header, now);
}

// Counts a new flow for the load report, unless it is held for state. One that
// is queued for admission counts as not admitted.
auto track_decision(steering_state &state, const packet_header &header,
                    const verdict &decision) -> void {
    if (!state.in_force || decision.kind == verdict_kind::hold)
        return;
    const auto *route = find_route(*state.in_force, header.endpoints.service);
    if (route == nullptr)
        return;
    count_opening(
        state.flows.load,
        choose_service(*route, flow_endpoints_hash{}(header.endpoints)),
        priority_index(route->priority),
        decision.kind == verdict_kind::forward);
}

// Counts a flow from the admission's queue for the load report, once it is
// placed. `track_decision` has counted its opening when it was queued.
auto track_admission(steering_state &state, const packet_header &header,
                     const verdict &decision) -> void {
    if (decision.kind != verdict_kind::forward)
        return;
    const auto *route = find_route(*state.in_force, header.endpoints.service);
    count_admission(
        state.flows.load,
        choose_service(*route, flow_endpoints_hash{}(header.endpoints)),
        priority_index(route->priority));
}

// Upstream that a packet after the opening goes to. The first such packet
// carries the binding of the upstream that the caller connected to. Later
// packets go to this upstream even if the answer of a second upstream has
// changed the binding that the caller echoes.
auto resolve_binding(const steering_state &state, const flow *known,
                     std::uint32_t binding) -> upstream_index {
    if (known != nullptr && known->to != no_upstream &&
        known->stage != flow_stage::opening &&
        known->stage != flow_stage::closed)
        return known->to;
    return index_by_code(state.upstreams, binding);
}

auto request_kind_of(const steering_state &state, const endpoint &service)
    -> request_kind {
    const auto *route =
        state.in_force ? find_route(*state.in_force, service) : nullptr;
    return route == nullptr ? request_kind::non_idempotent : route->kind;
}

auto priority_of(const steering_state &state, const endpoint &service)
    -> std::uint8_t {
    const auto *route =
        state.in_force ? find_route(*state.in_force, service) : nullptr;
    return static_cast<std::uint8_t>(route == nullptr
                                         ? priority_count - 1
                                         : priority_index(route->priority));
}

auto must_reset(const steering_state &state, upstream_index to,
                const endpoint &service, bool awaits_response) -> bool {
    if (to == no_upstream ||
        state.upstreams.all[to].death == upstream_death::none)
        return false;
    return may_reset(state.upstreams.all[to], request_kind_of(state, service),
                     awaits_response);
}

} // namespace

auto to_string(refusal why) -> std::string_view {
    static constexpr std::array names{
        "none",        "no_configuration", "no_route",
        "no_upstream", "unknown_binding",  "dead_upstream",
        "evacuated",   "overload"};
    return names[static_cast<std::size_t>(why)];
}

auto make_new_flow(const steering_state &state, const route_spec &route,
                   service_key service, time_point now) -> new_flow {
    return {.service = service,
            .kind = route.kind,
            .plan = coordinated_plan(state, service, now)};
}

auto is_configuration_current(const steering_state &state, time_point now)
    -> bool {
    return state.configuration_confirmed != time_point{} &&
           now - state.configuration_confirmed < configuration_max_age;
}

auto steer(steering_state &state, const packet_header &header, time_point now)
    -> verdict {
    if (header.opens) {
        const auto is_new =
            state.flows.load.enabled && opens_new_flow(state, header, now);
        const auto decision = steer_opening(state, header, false, now);
        if (is_new)
            track_decision(state, header, decision);
        return decision;
    }
    auto *known = find_flow(state.flows, header.endpoints);
    const auto to = resolve_binding(state, known, header.binding);
    if (to == no_upstream)
        return refuse(state.upstreams_known ? verdict_kind::drop
                                            : verdict_kind::hold,
                      refusal::unknown_binding);
    if (known == nullptr) {
        // The table has no entry for this established flow. A packet with
        // payload may come from a caller that was idle until the entry was
        // removed. A packet without payload is taken as a sign that the fabric
        // has rehashed flows.
        if (header.payload == 0)
            state.flows.last_rehash = now;
        known = add_flow(state.flows, header.endpoints, now);
        if (known != nullptr)
            known->priority = priority_of(state, header.endpoints.service);
    }
    if (!header.finishes && !header.aborts &&
        must_reset(state, to, header.endpoints.service, header.payload > 0)) {
        if (known != nullptr)
            close_flow(state.flows, state.upstreams, *known);
        return refuse(verdict_kind::reject, refusal::dead_upstream);
    }
    if (known != nullptr) {
        if (known->to != to)
            bind_flow(state.upstreams, *known, to);
        track_packet(state.flows, state.upstreams, *known, header, now);
    } else if (header.payload > 0) {
        count_untracked_request(state.upstreams, to, now);
    }
    return forward_to(state, to);
}

auto steer_admitted(steering_state &state, const packet_header &header,
                    time_point now) -> verdict {
    const auto decision = steer_opening(state, header, true, now);
    if (state.flows.load.enabled)
        track_admission(state, header, decision);
    return decision;
}

auto steer_retry(steering_state &state, const flow_endpoints &endpoints,
                 time_point now) -> verdict {
    auto *known = find_flow(state.flows, endpoints);
    if (known == nullptr || known->stage != flow_stage::opening ||
        known->to == no_upstream || known->attempts > 1 ||
        !state.evacuations_known)
        return {};
    auto &silent = state.upstreams.all[known->to];
    if (!answered_since(state, *known)) {
        record_unanswered(silent, now);
        count_unanswered(state.flows.load, silent.record.service, known->code);
    }
    if (state.admission.enabled &&
        is_limited(plan_for(state.plans, silent.record.service, now)))
        return {};
    // The flow is treated as non-idempotent, so that the retry does not become
    // the trial flow of an upstream on probation.
    const auto service = silent.record.service;
    const new_flow wanted{.service = service,
                          .kind = request_kind::non_idempotent,
                          .excluded = known->to,
                          .plan = coordinated_plan(state, service, now)};
    const auto to =
        choose_upstream(state.upstreams, wanted, state.position, now);
    if (to == no_upstream || to == known->to)
        return {};
    bind_flow(state.upstreams, *known, to);
    count_cold_opening(state.upstreams, *known, now);
    known->opening_sent = now;
    ++known->attempts;
    return forward_to(state, to);
}

auto take_flows_to_reset(steering_state &state, time_point now)
    -> std::vector<dead_upstream> {
    std::vector<dead_upstream> dead;
    const domain_reachability domains{
        .own = state.position.failure_domain,
        .unreachable_domains = state.unreachable_domains,
        .reported_unresponsive = state.reported_unresponsive};
    for (const auto index : find_dead_upstreams(state.upstreams, domains,
                                                state.in_force.get(), now))
        dead.push_back({.index = index, .flows = {}});
    if (dead.empty())
        return dead;
    for (auto &[endpoints, it] : state.flows.all) {
        const auto at = std::find_if(
            dead.begin(), dead.end(),
            [to = it.to](const auto &one) { return one.index == to; });
        if (at == dead.end() || !is_established(it) ||
            !must_reset(state, it.to, endpoints.service,
                        it.stage == flow_stage::requested))
            continue;
        close_flow(state.flows, state.upstreams, it);
        at->flows.push_back(
            {.endpoints = endpoints, .acknowledged = it.latest_acknowledged});
    }
    return dead;
}

} // namespace dogwoodtrack::carried
