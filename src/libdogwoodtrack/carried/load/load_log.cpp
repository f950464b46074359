#include "carried/load/load_log.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "dogwoodtrack/event_log.hpp"

namespace dogwoodtrack::carried {

namespace {

auto address_text(std::uint32_t address) -> std::string {
    return to_string(endpoint{.address = address});
}

auto log_coordinator(blackboard &board, time_point now) -> void {
    const auto &load = board.load;
    auto &logged = board.load.logged;
    if (load.choice.elected == logged.coordinator &&
        load.coordinates == logged.coordinates)
        return;
    const auto is_skipped = load.choice.skipped.contains(logged.coordinator);
    log_event(severity::info, "load_coordinator_changed",
              {{"elected", address_text(load.choice.elected)},
               {"before", address_text(logged.coordinator)},
               {"before_silent", is_skipped},
               {"coordinates", load.coordinates},
               {"reporters", std::uint64_t{load.reports.latest.size()}},
               {"plan_age_ms", age_ms(board.steering.plans.received, now)}});
    logged.coordinator = load.choice.elected;
    logged.coordinates = load.coordinates;
}

auto log_limit(const service_plan &plan, bool binds, std::int64_t age) -> void {
    log_event(severity::info, binds ? "load_limit_binds" : "load_limit_ended",
              {{"service", fmt::format("{:016x}", plan.service)},
               {"admit", fmt::format("{:.3f}", fmt::join(plan.admit, " "))},
               {"limit", double{plan.limit}},
               {"demand", double{plan.demand}},
               {"in_flight", double{plan.in_flight}},
               {"plan_age_ms", age}});
}

auto log_expiry(const service_plan &plan, bool expired, std::int64_t age)
    -> void {
    log_event(severity::info, expired ? "load_plan_expired" : "load_plan_back",
              {{"service", fmt::format("{:016x}", plan.service)},
               {"limit", double{plan.limit}},
               {"plan_age_ms", age}});
}

// Whether `value` has to be logged: it is in `list` but not in effect, or the
// reverse. Updates the list.
template <typename Value>
auto changes(std::vector<Value> &list, Value value, bool in_effect) -> bool {
    const auto found = std::find(list.begin(), list.end(), value);
    if ((found != list.end()) == in_effect)
        return false;
    if (in_effect)
        list.push_back(value);
    else
        list.erase(found);
    return true;
}

auto admits_part(const service_plan &plan) -> bool {
    return std::any_of(plan.admit.begin(), plan.admit.end(),
                       [](float part) { return part < 1; });
}

auto log_plans(blackboard &board, time_point now) -> void {
    auto &plans = board.steering.plans;
    auto &logged = board.load.logged;
    for (const auto &known : plans.services) {
        const auto service = known.plan.service;
        const auto age = age_ms(known.received, now);
        const auto expired = !is_coordinated(plans, service, now);
        if (changes(logged.expired, service, expired))
            log_expiry(known.plan, expired, age);
        const auto &plan = expired ? known.own_share : known.plan;
        const auto binds = admits_part(plan);
        if (changes(logged.limited, service, binds))
            log_limit(plan, binds, age);
    }
}

// Plans that were forgotten, see `update_own_shares`, limit nothing any more.
auto log_forgotten(blackboard &board, time_point now) -> void {
    const auto &plans = board.steering.plans;
    auto &logged = board.load.logged;
    const auto is_known = [&](service_key service) {
        return std::any_of(
            plans.services.begin(), plans.services.end(),
            [&](const auto &known) { return known.plan.service == service; });
    };
    std::erase_if(logged.expired,
                  [&](service_key service) { return !is_known(service); });
    std::erase_if(logged.limited, [&](service_key service) {
        if (is_known(service))
            return false;
        log_limit({.service = service, .spill = {}, .upstreams = {}}, false,
                  age_ms(plans.received, now));
        return true;
    });
}

auto log_domains(blackboard &board, time_point now) -> void {
    for (const auto &[domain, known] : board.load.domains.domains) {
        const auto is_known = now - known.received < domain_load_lifetime;
        if (!changes(board.load.logged.known_domains, domain, is_known))
            continue;
        log_event(severity::info,
                  is_known ? "domain_load_known" : "domain_load_lost",
                  {{"failure_domain", fmt::format("{:08x}", domain)},
                   {"coordinator", address_text(known.coordinator)},
                   {"round_trip_ms", double{known.round_trip_ms}},
                   {"age_ms", age_ms(known.received, now)}});
    }
}

} // namespace

auto log_load_changes(blackboard &board, time_point now) -> void {
    if (!board.steering.plans.enabled)
        return;
    log_coordinator(board, now);
    log_plans(board, now);
    log_forgotten(board, now);
    log_domains(board, now);
}

} // namespace dogwoodtrack::carried
