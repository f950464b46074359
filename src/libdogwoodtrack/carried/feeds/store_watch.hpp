#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Returns the store call for a feed that is due now, if any, and records it as
/// in flight. The first `store_watcher_count` balancers by `watch_rank` watch
/// the store all the time. Any other balancer starts to watch the store, that
/// is, takes over, once the store has not confirmed the feed for too long;
/// those with a smaller `watch_rank` do so sooner. For a while after its start,
/// a balancer gets the changes since its first list from its peers; during that
/// time it watches the store itself only if it is a seed and the whole system
/// starts for the first time.
auto next_store_call(blackboard &board, feed what, time_point now)
    -> std::optional<store_call>;

/// Sets the earliest time of the next call for the feed of `answer`, depending
/// on the outcome that `answer` reports. Precondition: `on_store_answer` was
/// called with `answer`.
auto schedule_next_call(blackboard &board, const store_answer &answer,
                        time_point now) -> void;

/// Number of balancers that watch the store all the time.
inline constexpr std::size_t store_watcher_count = 2;

} // namespace dogwoodtrack::carried
