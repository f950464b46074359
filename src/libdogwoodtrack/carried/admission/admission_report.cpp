#include "carried/admission/admission_report.hpp"

#include <iterator>
#include <utility>

#include "dogwoodtrack/event_log.hpp"

namespace dogwoodtrack::carried {

namespace {

auto write_limit(fmt::memory_buffer &out, const service_plan &plan) -> void {
    const auto write = [&](const char *name, float value) {
        fmt::format_to(std::back_inserter(out),
                       "dogwoodtrack_load_{}{{service=\"{:016x}\"}} {:.1f}\n",
                       name, plan.service, value);
    };
    write("limit", plan.limit);
    write("in_flight", plan.in_flight);
    write("demand", plan.demand);
}

auto write_fractions(fmt::memory_buffer &out, const service_plan &plan)
    -> void {
    for (std::size_t i = 0; i < priority_count; ++i)
        fmt::format_to(std::back_inserter(out),
                       "dogwoodtrack_admit_fraction{{service=\"{:016x}\","
                       "priority=\"{}\"}} {:.3f}\n",
                       plan.service, i, plan.admit[i]);
}

auto write_outcomes(fmt::memory_buffer &out, const admission_counters &counters)
    -> void {
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_admission_total counter\n");
    for (std::size_t i = 0; i < counters.size(); ++i) {
        for (std::size_t p = 0; p < priority_count; ++p)
            fmt::format_to(std::back_inserter(out),
                           "dogwoodtrack_admission_total{{outcome=\"{}\","
                           "priority=\"{}\"}} {}\n",
                           to_string(static_cast<admission_outcome>(i)), p,
                           counters[i][p]);
    }
}

auto format_fractions(const service_plan *plan) -> std::string {
    std::string text;
    for (std::size_t i = 0; i < priority_count; ++i)
        text +=
            fmt::format("{}{:.3f}", i == 0 ? "" : " ", admit_fraction(plan, i));
    return text;
}

} // namespace

auto write_admission(fmt::memory_buffer &out, const steering_state &state,
                     time_point now) -> void {
    for (const auto service : services_in_force(state.in_force.get())) {
        const auto *plan = plan_for(state.plans, service, now);
        if (plan == nullptr)
            continue;
        if (state.admission.enabled)
            write_limit(out, *plan);
        write_fractions(out, *plan);
    }
    if (!state.admission.enabled)
        return;
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_queued_openings gauge\n"
                   "dogwoodtrack_queued_openings {}\n",
                   state.admission.queue.all.size());
    write_outcomes(out, state.admission.counters);
}

auto log_admission_changes(steering_state &state, time_point now) -> void {
    for (const auto &it : std::exchange(state.admission.changes, {})) {
        const auto *plan = plan_for(state.plans, it.service, now);
        const service_plan known = plan == nullptr ? service_plan{} : *plan;
        log_event(severity::info, "admission_changed",
                  {{"service", fmt::format("{:016x}", it.service)},
                   {"limited", it.limited},
                   {"has_plan", plan != nullptr},
                   {"limit", static_cast<double>(known.limit)},
                   {"in_flight", static_cast<double>(known.in_flight)},
                   {"demand", static_cast<double>(known.demand)},
                   {"admit", format_fractions(plan)}});
    }
}

} // namespace dogwoodtrack::carried
