#include "carried/evacuation_log.hpp"

#include <algorithm>

#include "carried/feeds/evacuations.hpp"
#include "dogwoodtrack/event_log.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Longest part of a list of names, or of one name, that is logged, in bytes: a
/// longer line would be dropped.
constexpr std::size_t max_logged_names = 1'000;
constexpr std::size_t max_logged_name = 100;
/// Largest number of lines about unknown failure domains for one change.
constexpr std::size_t max_unknown_lines = 5;

auto names_of(const evacuation_state &state) -> std::string {
    std::string names;
    for (const auto &it : state.domains) {
        if (names.size() >= max_logged_names)
            return names + ",...";
        names += names.empty() ? "" : ",";
        names += it.name.substr(0, max_logged_name);
    }
    return names;
}

auto count_withheld(const upstream_table &table) -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::count_if(table.all.begin(), table.all.end(),
                      [](const upstream &it) { return it.withheld; }));
}

auto count_placeable(const upstream_table &table) -> std::uint64_t {
    return static_cast<std::uint64_t>(
        std::count_if(table.all.begin(), table.all.end(),
                      [](const upstream &it) { return it.placeable; }));
}

} // namespace

auto log_evacuation_change(const blackboard &board, std::uint64_t before,
                           std::string_view cause, std::uint32_t from,
                           time_point now) -> void {
    if (board.evacuations.changes == before)
        return;
    const auto &version = version_of(board, feed::evacuations);
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - version.confirmed);
    log_event(severity::info, "evacuation_changed",
              {{"domains", names_of(board.evacuations)},
               {"count", std::uint64_t{board.evacuations.domains.size()}},
               {"version", version.content.number},
               {"era", version.content.era},
               {"as_of", version.as_of.number},
               {"source", from == 0 ? std::string("store")
                                    : to_string(endpoint{.address = from})},
               {"cause", std::string(cause)},
               {"age_ms", std::int64_t{age.count()}},
               {"withheld", count_withheld(board.steering.upstreams)},
               {"placeable", count_placeable(board.steering.upstreams)}});
}

auto log_unknown_evacuations(blackboard &board, time_point now) -> void {
    const auto unknown = take_unknown_evacuations(board, now);
    for (std::size_t i = 0; i < std::min(unknown.size(), max_unknown_lines);
         ++i)
        log_event(severity::warning, "evacuation_unknown",
                  {{"domain", unknown[i].substr(0, max_logged_name)},
                   {"unknown", std::uint64_t{unknown.size()}}});
}

auto log_evacuation_refusal(blackboard &board, const endpoint &service)
    -> void {
    auto &state = board.evacuations;
    if (state.refusal_logged == state.changes)
        return;
    state.refusal_logged = state.changes;
    log_event(
        severity::warning, "all_upstreams_evacuated",
        {{"service", to_string(service)},
         {"domains", names_of(state)},
         {"version", version_of(board, feed::evacuations).content.number}});
}

} // namespace dogwoodtrack::carried
