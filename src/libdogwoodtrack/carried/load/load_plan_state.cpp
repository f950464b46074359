#include "carried/load/load_plan_state.hpp"

#include <algorithm>
#include <map>

#include "carried/admission/allocation.hpp"
#include "carried/load/sequence.hpp"

namespace dogwoodtrack::carried {

namespace {

/// An upstream entry is used for this time after its arrival. A coordinator
/// repeats the entries of its upstreams within this time, see
/// `select_upstreams`.
constexpr milliseconds upstream_plan_lifetime{60'000};
/// A report that a limit binds counts for this time. In that time a balancer
/// receives about 12 digests.
constexpr milliseconds limit_report_lifetime{2'000};
/// Limits of what a coordinator can make this balancer store.
constexpr std::size_t max_services = 256;
constexpr std::size_t max_upstreams = 8'192;
/// Weight of one interval in the smoothed service time.
constexpr float service_time_weight = 0.2F;
/// Part of the new flows of the last priority that a cautious plan admits.
constexpr float cautious_share = 0.5F;

// Element of `services` with this service, or null.
template <typename Services>
auto find_service(Services &services, service_key service)
    -> decltype(services.data()) {
    const auto found =
        std::find_if(services.begin(), services.end(), [&](const auto &one) {
            return one.plan.service == service;
        });
    return found == services.end() ? nullptr : &*found;
}

auto find_plan(const std::vector<service_plan> &plans, service_key service)
    -> const service_plan * {
    const auto found =
        std::find_if(plans.begin(), plans.end(),
                     [&](const auto &one) { return one.service == service; });
    return found == plans.end() ? nullptr : &*found;
}

auto is_current(const known_service_plan &it, time_point now) -> bool {
    return it.received != time_point{} && now - it.received < plan_lifetime;
}

auto admits_all(const service_plan &it) -> bool {
    return std::all_of(it.admit.begin(), it.admit.end(),
                       [](float part) { return part >= 1; });
}

auto merge_upstream(known_service_plan &it, const upstream_plan &upstream,
                    time_point now) -> void {
    auto &list = it.plan.upstreams;
    const auto found = std::lower_bound(
        list.begin(), list.end(), upstream.code,
        [](const auto &one, std::uint32_t code) { return one.code < code; });
    const auto at = found - list.begin();
    if (found != list.end() && found->code == upstream.code) {
        *found = upstream;
        it.upstreams_received[static_cast<std::size_t>(at)] = now;
        return;
    }
    if (list.size() >= max_upstreams)
        return;
    list.insert(found, upstream);
    it.upstreams_received.insert(it.upstreams_received.begin() + at, now);
}

auto expire_upstreams(known_service_plan &it, time_point now) -> void {
    std::size_t kept = 0;
    for (std::size_t i = 0; i < it.plan.upstreams.size(); ++i) {
        if (now - it.upstreams_received[i] >= upstream_plan_lifetime)
            continue;
        it.plan.upstreams[kept] = it.plan.upstreams[i];
        it.upstreams_received[kept++] = it.upstreams_received[i];
    }
    it.plan.upstreams.resize(kept);
    it.upstreams_received.resize(kept);
}

// Takes over the datagram's plan of a service. The upstreams of earlier
// datagrams are kept, since a datagram has only some of them.
auto merge_service(load_plan_state &state, const service_plan &plan,
                   time_point now) -> void {
    auto *known = find_service(state.services, plan.service);
    if (known == nullptr) {
        if (state.services.size() >= max_services)
            return;
        known = &state.services.emplace_back();
    }
    auto upstreams = std::move(known->plan.upstreams);
    known->plan = plan;
    known->plan.upstreams = std::move(upstreams);
    known->received = now;
    known->recovery = 0;
    known->own_share = {.service = plan.service};
    for (const auto &upstream : plan.upstreams)
        merge_upstream(*known, upstream, now);
}

auto own_load(const load_report &own, service_key service)
    -> const service_load * {
    const auto found =
        std::find_if(own.services.begin(), own.services.end(),
                     [&](const auto &one) { return one.service == service; });
    return found == own.services.end() ? nullptr : &*found;
}

auto learn_service_time(known_service_plan &it, const service_load &load)
    -> void {
    if (load.answers == 0)
        return;
    if (it.service_ms == 0)
        it.service_ms = load.service_ms;
    else
        it.service_ms +=
            service_time_weight * (load.service_ms - it.service_ms);
}

auto compute_own_share(const known_service_plan &it,
                       const own_share_input &input, const service_load &load)
    -> std::array<float, priority_count> {
    // Little's law: requests per millisecond times milliseconds per request.
    const auto factor =
        it.service_ms / static_cast<float>(std::max<std::int64_t>(
                            1, input.own.interval.count()));
    allocation_input wanted{
        .limit =
            it.plan.limit / static_cast<float>(std::max(1U, input.balancers)),
        .min_share = input.min_share};
    for (std::size_t i = 0; i < priority_count; ++i) {
        const auto &one = load.priorities[i];
        wanted.demand[i] = static_cast<float>(one.openings) * factor;
        wanted.established[i] = static_cast<float>(one.requests) * factor;
    }
    return allocate_admission(wanted);
}

auto update_own_share(known_service_plan &it, const own_share_input &input,
                      time_point now) -> void {
    static const service_load idle;
    const auto *own = own_load(input.own, it.plan.service);
    const auto &load = own == nullptr ? idle : *own;
    learn_service_time(it, load);
    if (is_current(it, now + input.own.interval))
        return;
    const auto elapsed = static_cast<float>(input.own.interval.count()) /
                         static_cast<float>(plan_recovery_time.count());
    it.recovery = load.rejections > 0 ? 0 : it.recovery + elapsed;
    it.own_share = {.service = it.plan.service, .limit = it.plan.limit};
    if (it.plan.limit <= 0 || it.service_ms <= 0)
        return;
    const auto allowed = compute_own_share(it, input, load);
    const auto risen = std::min(it.recovery, 1.0F);
    for (std::size_t i = 0; i < priority_count; ++i)
        it.own_share.admit[i] = allowed[i] + (1 - allowed[i]) * risen;
}

} // namespace

auto plan_for(const load_plan_state &state, service_key service, time_point now)
    -> const service_plan * {
    if (!state.enabled)
        return nullptr;
    if (const auto *known = find_service(state.services, service))
        return is_current(*known, now) ? &known->plan : &known->own_share;
    if (state.received != time_point{} ||
        state.limit_reported == time_point{} ||
        now - state.limit_reported >= limit_report_lifetime)
        return nullptr;
    return find_plan(state.cautious, service);
}

auto is_coordinated(const load_plan_state &state, service_key service,
                    time_point now) -> bool {
    const auto *known = find_service(state.services, service);
    return state.enabled && known != nullptr && is_current(*known, now);
}

auto limit_binds(const load_plan_state &state, time_point now) -> bool {
    return state.enabled &&
           std::any_of(state.services.begin(), state.services.end(),
                       [&](const auto &one) {
                           return !admits_all(
                               is_current(one, now) ? one.plan : one.own_share);
                       });
}

auto apply_plan(load_plan_state &state, std::uint32_t from,
                const load_plan &plan, time_point now) -> bool {
    const auto is_same_sender = state.coordinator == from;
    if (is_same_sender && is_outdated(plan.sequence, state.sequence,
                                      now - state.received >= plan_lifetime))
        return false;
    // A doubled datagram does not renew what the first one said.
    if (!is_same_sender || plan.sequence != state.sequence ||
        state.received == time_point{})
        state.received = now;
    state.coordinator = from;
    state.sequence = plan.sequence;
    for (const auto &service : plan.services)
        merge_service(state, service, state.received);
    for (auto &known : state.services)
        expire_upstreams(known, now);
    return true;
}

auto update_own_shares(load_plan_state &state, const own_share_input &input,
                       time_point now) -> void {
    for (auto &known : state.services)
        update_own_share(known, input, now);
    std::erase_if(state.services, [&](const auto &known) {
        return !is_current(known, now) && known.recovery >= 1;
    });
}

auto update_cautious_plans(load_plan_state &state,
                           const configuration *in_force) -> void {
    state.cautious.clear();
    if (in_force == nullptr || state.received != time_point{})
        return;
    std::map<service_key, std::size_t> last_priorities;
    for (const auto &route : in_force->routes) {
        for (const auto &share : route.services) {
            auto &last = last_priorities[share.service];
            last = std::max(last, priority_index(route.priority));
        }
    }
    for (const auto &[service, last] : last_priorities) {
        auto &plan = state.cautious.emplace_back();
        plan.service = service;
        plan.admit[last] = cautious_share;
    }
}

} // namespace dogwoodtrack::carried
