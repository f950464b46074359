#pragma once

#include <bitset>

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// How balancers tell each other as of when the store confirmed a feed. Only an
/// answer to a question counts: the question states the asker's time, the
/// answer repeats it, and the age in the answer is taken off that time. However
/// long either message was under way or lay unread, the result is not later
/// than the store's confirmation. Not thread safe.

/// Adopts `as_of`, the era and the time of the store's confirmation from a
/// peer, each if it is later than the own one. Precondition: this balancer has
/// all that the peer has of the feed.
auto adopt_confirmation(blackboard &board, feed what,
                        const reported_version &reported, time_point now)
    -> void;

/// Records that this balancer has all that a peer has of a feed, and adopts the
/// store's confirmation.
auto adopt_version(blackboard &board, feed what,
                   const reported_version &reported, time_point now) -> void;

/// Tells a peer that asked of content or confirmations that are later than its
/// own.
auto answer_question(blackboard &board, std::uint32_t from,
                     const digest_message &message, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Asks a peer about its versions if it seems to know a later confirmation of a
/// feed than this balancer.
auto ask_for_confirmation(blackboard &board, std::uint32_t from, feed what,
                          const reported_version &reported, time_point now,
                          std::vector<outgoing_message> &out) -> void;

/// Feeds whose last confirmation is so old that others may lack a later one,
/// too.
auto feeds_to_forward(const blackboard &board, time_point now)
    -> std::bitset<feed_count>;

} // namespace dogwoodtrack::carried
