#pragma once

#include "board.hpp"

namespace dogwoodtrack::carried {

/// Decides whether this balancer calls the store for a feed now. The first
/// `watchers` in the fleet's order watch it all the time; another one takes
/// over when what it knows was not confirmed for too long, the next ones in
/// the order first. A balancer that has just started asks its peers first.
auto next_store_call(blackboard &it, feed what, time_point now)
    -> std::optional<store_call>;

/// Sets the time of the next call by how the last one ended. Call after
/// `on_store_answer`.
auto schedule_next_call(blackboard &it, const store_answer &answer,
                        time_point now) -> void;

/// Balancers that watch the store at any time.
inline constexpr std::size_t store_watcher_count = 2;

} // namespace dogwoodtrack::carried
