#include "carried/load/load_metrics.hpp"

#include <array>
#include <iterator>

#include <fmt/format.h>

namespace dogwoodtrack::carried {

namespace {

using buffer = fmt::memory_buffer;

auto write(buffer &out, const char *name, const char *type, std::int64_t value)
    -> void {
    fmt::format_to(std::back_inserter(out),
                   "# TYPE dogwoodtrack_{0} {1}\ndogwoodtrack_{0} {2}\n", name,
                   type, value);
}

auto write_counters(buffer &out, const load_exchange_counters &counters)
    -> void {
    const std::array<std::pair<const char *, std::uint64_t>, 4> all{
        {{"load_reports_sent_total", counters.reports_sent},
         {"load_plans_sent_total", counters.plans_sent},
         {"domain_loads_sent_total", counters.domain_loads_sent},
         {"load_messages_ignored_total", counters.ignored}}};
    for (const auto &[name, value] : all)
        write(out, name, "counter", static_cast<std::int64_t>(value));
}

} // namespace

auto load_metrics_text(const blackboard &it, time_point now) -> std::string {
    buffer out;
    if (!it.steering.plans.enabled)
        return {};
    write_counters(out, it.load.counters);
    write(out, "load_coordinator", "gauge", it.load.coordinates ? 1 : 0);
    write(out, "load_reporters", "gauge",
          static_cast<std::int64_t>(it.load.reports.latest.size()));
    write(out, "load_plan_age_ms", "gauge",
          age_ms(it.steering.plans.received, now));
    write(out, "load_domains_known", "gauge",
          static_cast<std::int64_t>(it.load.logged.known_domains.size()));
    return fmt::to_string(out);
}

} // namespace dogwoodtrack::carried
