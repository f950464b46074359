#include "carried/load/coordinator_choice.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// A coordinator is silent only if it was sent at least this many reports: as
/// many as are sent within `coordinator_silence`.
constexpr std::uint32_t silent_reports = 4;

} // namespace

auto is_coordinator_silent(const coordinator_choice &it, time_point now)
    -> bool {
    return it.unanswered_reports >= silent_reports &&
           now - it.waiting_since >= coordinator_silence + it.plan_interval;
}

auto elect_coordinator(coordinator_choice &it, const fleet &members,
                       time_point now) -> std::uint32_t {
    boost::unordered::erase_if(
        it.skipped, [&](const auto &entry) { return entry.second <= now; });
    if (is_coordinator_silent(it, now))
        it.skipped[it.elected] = now + coordinator_skip_time;
    std::vector<std::uint32_t> skipped;
    for (const auto &[address, until] : it.skipped)
        skipped.push_back(address);
    const auto elected =
        elect_in_own_domain(members, load_purpose, skipped, now);
    if (elected != it.elected)
        it = {.elected = elected, .skipped = std::move(it.skipped)};
    return elected;
}

auto record_report_sent(coordinator_choice &it, time_point now) -> void {
    if (it.waiting_since == time_point{})
        it.waiting_since = now;
    ++it.unanswered_reports;
}

auto record_plan(coordinator_choice &it, milliseconds interval, time_point now)
    -> void {
    it.unanswered_reports = 0;
    it.waiting_since = now;
    it.plan_interval = interval;
}

} // namespace dogwoodtrack::carried
