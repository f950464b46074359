#include "carried/admission/caller_history.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

/// Openings are counted per window of this length, long enough to tell callers
/// apart at some tens of openings per second.
constexpr milliseconds window{500};
/// An opening within this time after a rejection counts as returning. Callers
/// retry at once or after a retransmission delay.
constexpr milliseconds return_time{500};
/// A caller with more than this multiple of the mean openings is restrained.
constexpr float greedy_factor = 2;
/// Callers with fewer openings per window are never restrained, since small
/// counts vary by chance.
constexpr std::uint32_t min_greedy_openings = 8;

// Ends the current window. Counts that are older than one window are dropped.
auto start_window(caller_history &callers, time_point now) -> void {
    const auto recent = now - callers.window_began < 2 * window;
    callers.window_began = now;
    callers.previous_total = 0;
    callers.previous_callers = 0;
    boost::unordered::erase_if(callers.all, [&](auto &entry) {
        auto &it = entry.second;
        it.previous_openings = recent ? it.openings : 0;
        it.openings = 0;
        callers.previous_total += it.previous_openings;
        callers.previous_callers += it.previous_openings > 0 ? 1 : 0;
        return it.previous_openings == 0 &&
               now - it.last_rejected >= return_time;
    });
}

auto find_or_add(caller_history &callers, std::uint32_t address)
    -> caller_record * {
    const auto found = callers.all.find(address);
    if (found != callers.all.end())
        return &found->second;
    return callers.all.size() < callers.limit ? &callers.all[address] : nullptr;
}

auto weight_of(const caller_history &callers, const caller_record &it)
    -> float {
    if (it.previous_openings < min_greedy_openings)
        return 1;
    const auto mean = static_cast<float>(callers.previous_total) /
                      static_cast<float>(callers.previous_callers);
    return std::min(1.0F, greedy_factor * mean /
                              static_cast<float>(it.previous_openings));
}

} // namespace

auto record_caller_opening(caller_history &callers, std::uint32_t address,
                           time_point now) -> caller_standing {
    if (now - callers.window_began >= window)
        start_window(callers, now);
    auto *it = find_or_add(callers, address);
    if (it == nullptr)
        return {};
    ++it->openings;
    if (now - it->last_rejected >= return_time)
        it->unreturned = 0;
    const auto returning = it->unreturned > 0;
    if (returning)
        --it->unreturned;
    return {.returning = returning, .weight = weight_of(callers, *it)};
}

auto record_caller_rejection(caller_history &callers, std::uint32_t address,
                             time_point now) -> void {
    auto *it = find_or_add(callers, address);
    if (it == nullptr)
        return;
    if (now - it->last_rejected >= return_time)
        it->unreturned = 0;
    ++it->unreturned;
    it->last_rejected = now;
}

} // namespace dogwoodtrack::carried
