#include "carried/blackboard.hpp"

#include <algorithm>
#include <array>

namespace dogwoodtrack::carried {

auto to_string(store_outcome outcome) -> std::string_view {
    static constexpr std::array names{"listed",    "changed", "history_gone",
                                      "too_large", "refused", "failed"};
    return names[static_cast<std::size_t>(outcome)];
}

auto set_era(store_answer &answer, std::uint64_t era) -> void {
    answer.as_of.era = era;
    for (auto &record : answer.records)
        record.revision.era = record.changed_at.era = era;
    for (auto &entry : answer.evacuations)
        entry.changed_at.era = era;
    if (answer.latest_configuration)
        answer.latest_configuration->revision.era = era;
}

auto version_of(blackboard &board, feed what) -> feed_version & {
    return board.versions[static_cast<std::size_t>(what)];
}

auto version_of(const blackboard &board, feed what) -> const feed_version & {
    return board.versions[static_cast<std::size_t>(what)];
}

auto is_enabled(const blackboard &board, feed what) -> bool {
    return what != feed::evacuations || board.evacuate_within > milliseconds{0};
}

auto time_bound(const blackboard &board, feed what) -> milliseconds {
    return what == feed::evacuations ? board.evacuate_within
                                     : board.apply_within;
}

auto can_serve(const blackboard &board) -> bool {
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (is_enabled(board, static_cast<feed>(i)) &&
            !board.versions[i].complete)
            return false;
    }
    return true;
}

auto earliest_arrival(const blackboard &board, time_point now) -> time_point {
    return board.unread_since == time_point{}
               ? now
               : std::min(now, board.unread_since);
}

auto refresh_steering(blackboard &board, time_point now) -> void {
    const auto &version = version_of(board, feed::configuration);
    board.steering.configuration_confirmed =
        version.complete ? version.confirmed : time_point{};
    const auto own = rank_in_domain(board.members, board.started, now);
    board.steering.position.rank = own.rank;
    board.steering.position.count = own.count;
    auto &cold = board.steering.upstreams.cold;
    if (cold.bounds.overage > 0)
        update_quota_members(cold.members, board.members, board.started, now);
}

auto age_ms(time_point since, time_point now) -> std::int64_t {
    constexpr std::int64_t unknown = -1;
    if (since == time_point{})
        return unknown;
    return std::chrono::duration_cast<milliseconds>(now - since).count();
}

} // namespace dogwoodtrack::carried
