#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Digest of this balancer's state, with at most `member_limit` members, for a
/// peer that asked at `asked_at` by its own clock, see
/// `reported_version::asked_at`.
auto make_digest(blackboard &board, std::size_t member_limit,
                 time_point asked_at, time_point now) -> digest_message;

/// Sends a feed to the peer `to`: of the upstreams, the records that changed
/// after `since`, or all of them if a removal after `since` may be unknown
/// here. Sends nothing if the feed is not complete here. `asked_at` is as in
/// `make_digest`.
auto send_state(blackboard &board, std::uint32_t to, feed what,
                const store_revision &since, time_point asked_at,
                time_point now, std::vector<outgoing_message> &out) -> void;

} // namespace dogwoodtrack::carried
