#include "carried/admission/admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "carried/flows/hold_queue.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Openings are counted per window of this length: two reports to the load
/// coordinator, so that the rate refers to the same time as its plan.
constexpr milliseconds rate_window{500};
/// A caller may take this part of the openings that may wait.
constexpr std::size_t caller_share_divisor = 4;
/// Returning openings are spread over this part of their waiting time.
constexpr int spread_divisor = 2;

auto seconds_between(time_point from, time_point to) -> float {
    return std::chrono::duration<float>(to - from).count();
}

auto count(admission_state &it, admission_outcome outcome, std::size_t priority)
    -> void {
    ++it.counters[static_cast<std::size_t>(outcome)][priority];
}

// State of a service to which a limit applies at `now`.
auto limited_service(admission_state &it, service_key service, time_point now)
    -> service_admission & {
    const auto [entry, added] = it.services.try_emplace(service);
    auto &found = entry->second;
    found.last_limited = now;
    if (added) {
        for (auto &one : found.classes)
            one.credit = it.phase;
        it.changes.push_back({.service = service, .limited = true});
    }
    return found;
}

// Openings of the class that the fraction admits in the waiting time.
auto expected_admissions(const admission_class &it, float fraction,
                         milliseconds wait) -> float {
    return it.rate * fraction * std::chrono::duration<float>(wait).count();
}

auto update_rate(admission_class &it, time_point now) -> void {
    const auto elapsed = now - it.window_began;
    if (elapsed < rate_window)
        return;
    if (elapsed < 2 * rate_window) {
        it.rate = static_cast<float>(it.arrivals) /
                  seconds_between(it.window_began, now);
    } else {
        it.rate = 0;
        it.spare = 0;
    }
    it.arrivals = 0;
    it.window_began = now;
}

// Adds the admissions that were to be expected since the last update.
auto advance(admission_class &it, float fraction, time_point now) -> void {
    update_rate(it, now);
    // What recent openings left may wait for others in the queue. Older
    // admissions are forfeited, since together they would be a burst.
    const auto bound =
        1 +
        std::max(expected_admissions(it, fraction, queue_time(milliseconds{0})),
                 fraction * static_cast<float>(it.arrivals));
    it.spare += it.rate * fraction * seconds_between(it.updated, now);
    it.spare = std::clamp(it.spare, -bound, bound);
    it.updated = now;
}

// Records an arrival with this part of an ordinary opening's chance. Returns
// whether it is admitted.
auto admit_arrival(admission_class &it, float fraction, float weight) -> bool {
    ++it.arrivals;
    it.spare += fraction * (1 - weight);
    if (it.rate > 0)
        it.spare -= fraction;
    it.credit += fraction * weight;
    if (it.credit < 1)
        return false;
    it.credit -= 1;
    return true;
}

auto room_for(const admission_class &it, float fraction, milliseconds wait)
    -> queue_room {
    const auto expected = it.spare + expected_admissions(it, fraction, wait);
    const auto room =
        static_cast<std::size_t>(std::max(0.0F, std::floor(expected)));
    return {.same_class = room,
            .same_caller =
                std::max<std::size_t>(1, room / caller_share_divisor)};
}

auto spread_delay(const flow_endpoints &endpoints, milliseconds wait)
    -> milliseconds {
    const auto range =
        static_cast<std::uint64_t>(wait.count()) / spread_divisor + 1;
    return milliseconds{flow_endpoints_hash{}(endpoints) % range};
}

auto record_rejection(admission_state &it, const queued_opening &opening,
                      admission_outcome outcome, time_point now) -> void {
    count(it, outcome, opening.priority);
    record_caller_rejection(it.callers, opening.header.endpoints.caller.address,
                            now);
}

auto make_queued(const opening_request &request, bool returning, time_point now)
    -> queued_opening {
    const auto wait = queue_time(request.target_latency);
    const auto delay = returning ? spread_delay(request.header.endpoints, wait)
                                 : milliseconds{0};
    return {.header = request.header,
            .service = request.service,
            .priority = priority_index(request.priority),
            .arrived = now,
            .not_before = now + delay,
            .deadline = now + wait,
            .due = attempt_start(request.header.retransmission, now) +
                   request.target_latency,
            .bytes = {}};
}

auto queue_or_reject(admission_state &it, queued_opening opening,
                     const queue_room &room, time_point now)
    -> admission_decision {
    const auto rejected = opening;
    auto result = queue_opening(it.queue, std::move(opening), room, now);
    const auto outcome = result.caller_cap ? admission_outcome::caller_cap
                         : result.queued   ? admission_outcome::displaced
                                           : admission_outcome::no_room;
    if (result.displaced) {
        record_rejection(it, *result.displaced, outcome, now);
        it.displaced.push_back(std::move(*result.displaced));
    }
    if (result.queued)
        return admission_decision::queue;
    record_rejection(it, rejected, outcome, now);
    return admission_decision::reject;
}

auto is_queued(const opening_queue &queue, const flow_endpoints &endpoints)
    -> bool {
    return std::any_of(queue.all.begin(), queue.all.end(),
                       [&](const queued_opening &it) {
                           return it.header.endpoints == endpoints;
                       });
}

// Removes the copy of an opening that is admitted on its retransmission, so
// that it is not placed twice.
auto remove_queued(opening_queue &queue, const flow_endpoints &endpoints)
    -> void {
    std::erase_if(queue.all, [&](const queued_opening &it) {
        return it.header.endpoints == endpoints;
    });
}

// Takes an admission that is left in the class of the opening or in one of less
// urgent priority.
auto take_spare(service_admission &it, std::size_t priority) -> bool {
    for (auto i = priority; i < priority_count; ++i) {
        if (it.classes[i].spare < 1)
            continue;
        it.classes[i].spare -= 1;
        return true;
    }
    return false;
}

auto advance_services(admission_state &it, const load_plan_state &plans,
                      time_point now) -> void {
    for (auto &[service, state] : it.services) {
        const auto *plan = plan_for(plans, service, now);
        for (std::size_t i = 0; i < priority_count; ++i)
            advance(state.classes[i], admit_fraction(plan, i), now);
    }
}

// Decides about a queued opening. Returns nothing if it goes on waiting.
auto decide_queued(admission_state &it, const queued_opening &opening,
                   float fraction, time_point now)
    -> std::optional<admission_outcome> {
    if (now >= opening.deadline)
        return admission_outcome::expired;
    if (fraction <= 0)
        return admission_outcome::no_room;
    if (fraction >= 1)
        return admission_outcome::admitted_from_queue;
    if (now < opening.not_before ||
        !take_spare(limited_service(it, opening.service, now),
                    opening.priority))
        return std::nullopt;
    return admission_outcome::admitted_from_queue;
}

} // namespace

auto to_string(admission_outcome outcome) -> std::string_view {
    static constexpr std::array names{"admitted",   "admitted_from_queue",
                                      "no_room",    "displaced",
                                      "caller_cap", "expired"};
    return names[static_cast<std::size_t>(outcome)];
}

auto admission_phase(std::uint32_t address) -> float {
    constexpr std::uint64_t steps = 1'024;
    return static_cast<float>(hash_pair(address, 0) % steps) /
           static_cast<float>(steps);
}

auto admit_fraction(const service_plan *plan, std::size_t priority) -> float {
    if (plan == nullptr || std::isnan(plan->admit[priority]))
        return 1;
    return std::clamp(plan->admit[priority], 0.0F, 1.0F);
}

auto is_limited(const service_plan *plan) -> bool {
    return plan != nullptr &&
           std::any_of(plan->admit.begin(), plan->admit.end(),
                       [](float fraction) { return fraction < 1; });
}

auto decide_opening(admission_state &it, const opening_request &request,
                    const service_plan *plan, time_point now)
    -> admission_decision {
    const auto priority = priority_index(request.priority);
    const auto fraction = admit_fraction(plan, priority);
    if (fraction >= 1) {
        remove_queued(it.queue, request.header.endpoints);
        return admission_decision::admit;
    }
    if (is_queued(it.queue, request.header.endpoints))
        return admission_decision::queue;
    auto &own = limited_service(it, request.service, now).classes[priority];
    advance(own, fraction, now);
    const auto caller = record_caller_opening(
        it.callers, request.header.endpoints.caller.address, now);
    if (admit_arrival(own, fraction, caller.returning ? 0 : caller.weight)) {
        count(it, admission_outcome::admitted, priority);
        return admission_decision::admit;
    }
    const auto wait = queue_time(request.target_latency);
    return queue_or_reject(it, make_queued(request, caller.returning, now),
                           room_for(own, fraction, wait), now);
}

auto take_due_openings(admission_state &it, const load_plan_state &plans,
                       time_point now) -> due_openings {
    due_openings due;
    due.rejected = std::exchange(it.displaced, {});
    if (it.queue.all.empty())
        return due;
    advance_services(it, plans, now);
    const auto decide = [&](queued_opening &one) {
        const auto fraction =
            admit_fraction(plan_for(plans, one.service, now), one.priority);
        const auto outcome = decide_queued(it, one, fraction, now);
        if (!outcome)
            return false;
        const auto admitted =
            *outcome == admission_outcome::admitted_from_queue;
        if (admitted)
            count(it, *outcome, one.priority);
        else
            record_rejection(it, one, *outcome, now);
        (admitted ? due.admitted : due.rejected).push_back(std::move(one));
        return true;
    };
    serve_queue(it.queue, decide, now);
    return due;
}

auto forget_unlimited(admission_state &it, const load_plan_state &plans,
                      time_point now) -> void {
    boost::unordered::erase_if(it.services, [&](auto &entry) {
        auto &[service, state] = entry;
        if (is_limited(plan_for(plans, service, now)))
            state.last_limited = now;
        if (now - state.last_limited < limit_memory)
            return false;
        it.changes.push_back({.service = service, .limited = false});
        return true;
    });
}

auto has_openings(const admission_state &it) -> bool {
    return !it.queue.all.empty() || !it.displaced.empty();
}

} // namespace dogwoodtrack::carried
