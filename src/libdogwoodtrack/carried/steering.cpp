#include "steering.hpp"

#include <algorithm>
#include <array>

#include "dead_upstreams.hpp"

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

// Whether the upstream answered others after this flow's opening packet was
// sent: then the packet was lost, and the upstream is the right one still.
auto answered_since(const steering_state &state, const flow &it) -> bool {
    return it.to != no_upstream &&
           state.upstreams.all[it.to].seen.last_answer > it.sent;
}

auto place(steering_state &state, const packet_head &head,
           const route_spec &route, flow *known, time_point now) -> verdict {
    const auto service = choose_service(route, flow_ends_hash{}(head.ends));
    const new_flow wanted{.service = service,
                          .kind = route.kind,
                          .except = known == nullptr ? no_upstream : known->to};
    const auto to =
        choose_upstream(state.upstreams, wanted, state.position, now);
    if (to == no_upstream)
        return refuse(state.upstreams_known ? verdict_kind::reject
                                            : verdict_kind::hold,
                      refusal::no_upstream);
    if (known == nullptr)
        known = add_flow(state.flows, head.ends, now);
    if (known == nullptr)
        return forward_to(state, to);
    bind_flow(state.upstreams, *known, to);
    known->stage = flow_stage::opening;
    known->sent = now;
    known->last = now;
    ++known->tries;
    return forward_to(state, to);
}

// Asked when the decision is made: a process may have been paused since its
// last look at the clock.
auto is_current(const steering_state &state, time_point now) -> bool {
    return state.configuration_confirmed != time_point{} &&
           now - state.configuration_confirmed < current_for;
}

// A caller that uses its port again opens a new flow; copies of the opening
// packet come earlier.
auto is_another_flow(const flow &it, const packet_head &head, time_point now)
    -> bool {
    return it.stage == flow_stage::closed ||
           (head.copy == 0 && now - it.sent >= attempt_longest);
}

auto restart(steering_state &state, flow &it) -> void {
    uncount_flow(state.upstreams, it);
    it = {};
}

auto steer_opening(steering_state &state, const packet_head &head,
                   time_point now) -> verdict {
    if (!state.in_force)
        return refuse(verdict_kind::hold, refusal::no_configuration);
    const auto *route = find_route(*state.in_force, head.ends.service);
    if (route == nullptr)
        return refuse(is_current(state, now) ? verdict_kind::reject
                                             : verdict_kind::drop,
                      refusal::no_route);
    auto *known = find_flow(state.flows, head.ends);
    if (known != nullptr && is_another_flow(*known, head, now))
        restart(state, *known);
    if (known == nullptr || known->to == no_upstream)
        return place(state, head, *route, known, now);
    if (known->stage != flow_stage::opening)
        return forward_to(state, known->to);
    if (answered_since(state, *known) &&
        state.upstreams.all[known->to].placeable) {
        known->sent = now;
        known->last = now;
        return forward_to(state, known->to);
    }
    return place(state, head, *route, known, now);
}

// The first packet after the handshake names the upstream that the caller
// took; later ones go there even if another answer changed the binding that
// the caller repeats.
auto resolve(const steering_state &state, const flow *known,
             std::uint32_t binding) -> upstream_index {
    if (known != nullptr && known->to != no_upstream &&
        known->stage != flow_stage::opening &&
        known->stage != flow_stage::closed)
        return known->to;
    return index_by_code(state.upstreams, binding);
}

auto kind_of(const steering_state &state, const endpoint &service)
    -> request_kind {
    const auto *route =
        state.in_force ? find_route(*state.in_force, service) : nullptr;
    return route == nullptr ? request_kind::non_idempotent : route->kind;
}

auto is_to_reset(const steering_state &state, upstream_index to,
                 const endpoint &service, bool waits) -> bool {
    if (to == no_upstream ||
        state.upstreams.all[to].death == upstream_death::none)
        return false;
    return may_reset(state.upstreams.all[to], kind_of(state, service), waits);
}

} // namespace

auto to_string(refusal why) -> std::string_view {
    static constexpr std::array names{
        "none",        "no_configuration", "no_route",
        "no_upstream", "unknown_binding",  "dead_upstream"};
    return names[static_cast<std::size_t>(why)];
}

auto steer(steering_state &state, const packet_head &head, time_point now)
    -> verdict {
    if (head.opens)
        return steer_opening(state, head, now);
    auto *known = find_flow(state.flows, head.ends);
    const auto to = resolve(state, known, head.binding);
    if (to == no_upstream)
        return refuse(state.upstreams_known ? verdict_kind::drop
                                            : verdict_kind::hold,
                      refusal::unknown_binding);
    if (known == nullptr) {
        // A caller that asks after a long pause sends payload.
        if (head.payload == 0)
            state.flows.moved = now;
        known = add_flow(state.flows, head.ends, now);
    }
    if (!head.finishes && !head.aborts &&
        is_to_reset(state, to, head.ends.service, head.payload > 0)) {
        if (known != nullptr)
            close_flow(state.upstreams, *known);
        return refuse(verdict_kind::reject, refusal::dead_upstream);
    }
    if (known != nullptr) {
        if (known->to != to)
            bind_flow(state.upstreams, *known, to);
        note_packet(state.flows, state.upstreams, *known, head, now);
    }
    return forward_to(state, to);
}

auto steer_again(steering_state &state, const flow_ends &ends, time_point now)
    -> verdict {
    auto *known = find_flow(state.flows, ends);
    if (known == nullptr || known->stage != flow_stage::opening ||
        known->to == no_upstream || known->tries > 1)
        return {};
    auto &silent = state.upstreams.all[known->to];
    if (!answered_since(state, *known))
        note_unanswered(silent, now);
    // Where the first choice is silent, no second trial is made.
    const new_flow wanted{.service = silent.record.service,
                          .kind = request_kind::non_idempotent,
                          .except = known->to};
    const auto to =
        choose_upstream(state.upstreams, wanted, state.position, now);
    if (to == no_upstream || to == known->to)
        return {};
    bind_flow(state.upstreams, *known, to);
    known->sent = now;
    ++known->tries;
    return forward_to(state, to);
}

auto take_flows_to_reset(steering_state &state, time_point now)
    -> std::vector<dead_upstream> {
    std::vector<dead_upstream> dead;
    const domain_knowledge domains{.own = state.position.failure_domain,
                                   .out_of_reach = state.out_of_reach,
                                   .told_unheard = state.told_unheard};
    for (const auto index : find_dead_upstreams(state.upstreams, domains, now))
        dead.push_back({.index = index, .flows = {}});
    if (dead.empty())
        return dead;
    for (auto &[ends, it] : state.flows.all) {
        const auto at = std::find_if(
            dead.begin(), dead.end(),
            [to = it.to](const auto &one) { return one.index == to; });
        if (at == dead.end() || !is_established(it) ||
            !is_to_reset(state, it.to, ends.service,
                         it.stage == flow_stage::requested))
            continue;
        close_flow(state.upstreams, it);
        at->flows.push_back(
            {.ends = ends, .acknowledged = it.latest_acknowledged});
    }
    return dead;
}

} // namespace dogwoodtrack::carried
