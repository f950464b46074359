#pragma once

#include "carried/feeds/store.hpp"

namespace dogwoodtrack::carried {

struct blackboard;

/// How far this balancer is behind the latest content of a feed that it has
/// heard of, and whether it has told the operators that it is late.
struct feed_progress {
    store_revision heard; ///< latest content that any peer reported
    /// When content later than the own one was first heard of; default value:
    /// none is known.
    time_point behind_since{};
    std::uint32_t asked_peer = 0; ///< address of the peer that was asked last
    unsigned repeats_left = 0;    ///< of the request to `asked_peer`
    bool late = false;            ///< see `update_lateness`
    /// Times that the feed became late.
    std::uint64_t times_late = 0;
};

/// Notes that a peer has content of this revision.
auto note_reported_content(blackboard &board, feed what,
                           const store_revision &content, time_point now)
    -> void;

/// Whether the feed is not complete here, or a peer has later content of it.
auto lacks_content(const blackboard &board, feed what) -> bool;

/// Time since this balancer first heard of content that it still lacks; 0 if it
/// lacks none that it knows of.
auto behind_for(const blackboard &board, feed what, time_point now)
    -> milliseconds;

/// Updates `feed_progress::late`: whether the store has not confirmed the feed
/// for longer than its time bound, so that a change may be in force too late.
/// Returns whether it changed. Feeds that were never complete are not late.
auto update_lateness(blackboard &board, feed what, time_point now) -> bool;

} // namespace dogwoodtrack::carried
