#include "carried/load/load_coordinator.hpp"

#include <algorithm>

#include "carried/load/sequence.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Limits of the interval that a report states. A shorter one would turn few
/// flows into a high rate.
constexpr milliseconds min_interval{50};
constexpr milliseconds max_interval{10'000};
/// Largest number of services, and of upstreams, kept for one balancer.
constexpr std::size_t max_report_items = 1'024;

// Adds the counts that are not taken from the latest report alone.
auto add_arrived(report_table &it, const load_report_message &message) -> void {
    for (const auto &one : message.report.upstreams) {
        if (one.answers == 0 && one.rejections == 0)
            continue;
        auto &sum = it.arrived[one.code];
        sum.code = one.code;
        sum.answers += one.answers;
        sum.rejections += one.rejections;
        sum.service_ms += one.service_ms * static_cast<float>(one.answers);
    }
    for (const auto &one : message.unanswered)
        it.unanswered[one.code] += one.count;
}

template <typename Item>
auto append(std::vector<Item> &to, const std::vector<Item> &items) -> void {
    const auto room = max_report_items - std::min(max_report_items, to.size());
    const auto count = std::min(room, items.size());
    to.insert(to.end(), items.begin(),
              items.begin() + static_cast<std::ptrdiff_t>(count));
}

auto add_services(summed_load &sum, const load_report &report) -> void {
    const auto interval = static_cast<float>(
        std::clamp(report.interval, min_interval, max_interval).count());
    for (const auto &one : report.services) {
        auto &to = sum.services[one.service];
        for (std::size_t i = 0; i < priority_count; ++i) {
            to.openings[i] +=
                static_cast<float>(one.priorities[i].openings) / interval;
            to.requests[i] +=
                static_cast<float>(one.priorities[i].requests) / interval;
        }
        to.in_flight += static_cast<float>(one.in_flight);
    }
}

} // namespace

auto add_report(report_table &it, std::uint32_t from,
                const load_report_message &message, time_point now) -> bool {
    expire_reports(it, now);
    const auto known = it.latest.find(from);
    if (known == it.latest.end() && it.latest.size() >= max_reporters)
        return false;
    auto &latest = it.latest[from];
    const auto &report = message.report;
    const auto part = std::uint64_t{1} << message.part;
    const auto is_new =
        latest.parts == 0 || report.sequence != latest.report.sequence;
    // Expired reports have been removed above.
    if (is_outdated(report.sequence, latest.report.sequence, false) ||
        (!is_new && (latest.parts & part) != 0))
        return false;
    if (is_new)
        latest = {.report = {.sequence = report.sequence,
                             .interval = report.interval},
                  .received = now};
    latest.parts |= part;
    append(latest.report.services, report.services);
    append(latest.report.upstreams, report.upstreams);
    add_arrived(it, message);
    return true;
}

auto expire_reports(report_table &it, time_point now) -> void {
    boost::unordered::erase_if(it.latest, [&](const auto &entry) {
        return now - entry.second.received >= report_lifetime;
    });
}

auto sum_reports(report_table &it, time_point now) -> summed_load {
    expire_reports(it, now);
    summed_load sum;
    sum.upstreams = std::exchange(it.arrived, {});
    sum.unanswered = std::exchange(it.unanswered, {});
    it.arrived.reserve(sum.upstreams.size());
    for (auto &[code, one] : sum.upstreams) {
        if (one.answers > 0)
            one.service_ms /= static_cast<float>(one.answers);
    }
    for (const auto &[address, latest] : it.latest) {
        add_services(sum, latest.report);
        for (const auto &one : latest.report.upstreams) {
            auto &to = sum.upstreams[one.code];
            to.code = one.code;
            to.in_flight += one.in_flight;
        }
    }
    return sum;
}

} // namespace dogwoodtrack::carried
