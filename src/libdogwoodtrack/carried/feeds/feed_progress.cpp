#include "carried/feeds/feed_progress.hpp"

#include <algorithm>

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

namespace {

auto progress_of(blackboard &board, feed what) -> feed_progress & {
    return board.progress[static_cast<std::size_t>(what)];
}

} // namespace

auto note_reported_content(blackboard &board, feed what,
                           const store_revision &content, time_point now)
    -> void {
    auto &it = progress_of(board, what);
    const auto &own = version_of(board, what).content;
    if (content <= own)
        return;
    if (it.heard <= own)
        it.behind_since = now;
    it.heard = std::max(it.heard, content);
}

auto lacks_content(const blackboard &board, feed what) -> bool {
    const auto &own = version_of(board, what);
    return !own.complete ||
           board.progress[static_cast<std::size_t>(what)].heard > own.content;
}

auto behind_for(const blackboard &board, feed what, time_point now)
    -> milliseconds {
    const auto &it = board.progress[static_cast<std::size_t>(what)];
    if (it.heard <= version_of(board, what).content)
        return milliseconds{0};
    return std::chrono::duration_cast<milliseconds>(now - it.behind_since);
}

auto update_lateness(blackboard &board, feed what, time_point now) -> bool {
    auto &it = progress_of(board, what);
    const auto &version = version_of(board, what);
    const auto known_since = std::max(version.confirmed, board.started);
    const auto late = is_enabled(board, what) && version.complete &&
                      now - known_since > time_bound(board, what);
    if (late == it.late)
        return false;
    it.late = late;
    it.times_late += late ? 1 : 0;
    return true;
}

} // namespace dogwoodtrack::carried
