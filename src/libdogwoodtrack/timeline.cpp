#include "dogwoodtrack/timeline.hpp"

#include <array>
#include <chrono>
#include <cstdio>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dogwoodtrack {

namespace {

// Number of lower bits of a stamp that hold a counter; the upper bits are Unix
// time in milliseconds.
constexpr int counter_bits = 16;

auto unix_milliseconds() -> std::uint64_t {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

auto level_of(event_kind kind) -> log_level {
    switch (kind) {
    case event_kind::member_dead:
    case event_kind::domain_cut:
    case event_kind::lease_lost:
    case event_kind::pause_noticed:
    case event_kind::contract_rejected:
    case event_kind::condition_set:
    case event_kind::platform_lost:
    case event_kind::stop_deadline_missed:
        return log_level::warning;
    default:
        return log_level::info;
    }
}

} // namespace

auto to_string(event_kind kind) -> std::string {
    static const std::array<const char *,
                            static_cast<std::size_t>(event_kind::count)>
        names{"started",           "stopping",          "stopped",
              "member_joined",     "member_leaving",    "member_dead",
              "member_gone",       "domain_cut",        "domain_healed",
              "owner_changed",     "lease_lost",        "lease_held",
              "pause_noticed",     "sync_started",      "sync_done",
              "contract_accepted", "contract_rejected", "upstream_ejected",
              "upstream_returned", "condition_set",     "condition_cleared",
              "platform_lost",     "platform_back",     "stop_deadline_missed"};
    return names[static_cast<std::size_t>(kind)];
}

auto hybrid_clock::next() -> std::uint64_t {
    const auto wall = unix_milliseconds() << counter_bits;
    auto last = last_.load();
    std::uint64_t stamp = 0;
    do {
        stamp = std::max(wall, last + 1);
    } while (!last_.compare_exchange_weak(last, stamp));
    return stamp;
}

auto hybrid_clock::observe(std::uint64_t stamp) -> void {
    auto last = last_.load();
    while (last < stamp && !last_.compare_exchange_weak(last, stamp)) {
    }
}

timeline::timeline(std::string instance, std::size_t capacity)
    : instance_(std::move(instance)), capacity_(capacity) {}

auto timeline::record(event_kind kind, const std::string &subject,
                      std::uint64_t generation, const std::string &detail)
    -> void {
    timeline_event event{.stamp = clock_.next(),
                         .kind = kind,
                         .instance = instance_,
                         .subject = subject,
                         .generation = generation,
                         .detail = detail};
    write_log(level_of(kind), instance_, to_string(kind), subject, detail);
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    if (events_.size() > capacity_)
        events_.pop_front();
}

auto timeline::since(std::uint64_t after) const -> std::vector<timeline_event> {
    const std::lock_guard lock(mutex_);
    std::vector<timeline_event> later;
    for (const auto &it : events_) {
        if (it.stamp > after)
            later.push_back(it);
    }
    return later;
}

auto timeline::clock() -> hybrid_clock & {
    return clock_;
}

auto write_log(log_level level, const std::string &instance,
               const std::string &event, const std::string &subject,
               const std::string &detail) -> void {
    static constexpr std::array names{"info", "warning", "error"};
    nlohmann::ordered_json line{
        {"ms", unix_milliseconds()},
        {"level", names[static_cast<std::size_t>(level)]},
        {"instance", instance},
        {"event", event}};
    if (!subject.empty())
        line["subject"] = subject;
    if (!detail.empty())
        line["detail"] = detail;
    fmt::print(stderr, "{}\n", line.dump());
}

} // namespace dogwoodtrack
