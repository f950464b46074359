#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack::carried {

/// Sends a digest, a summary of this balancer's state, to a few random peers.
/// The digest also serves as the heartbeat of this balancer.
auto send_digests(blackboard &board, time_point now,
                  std::vector<outgoing_message> &out) -> void;

/// Handles a message from a peer. If a digest shows that the peer has newer
/// state, this state is requested from the peer; if both have the same state,
/// what the store confirmed to the peer counts as confirmed here, too. State
/// that is new to this balancer is forwarded to a few peers.
auto on_peer_message(blackboard &board, std::uint32_t from,
                     const peer_message &message, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Applies an answer of the store and forwards state that is new to this
/// balancer to a few peers.
auto on_store_answer(blackboard &board, const store_answer &answer,
                     time_point now, std::vector<outgoing_message> &out)
    -> void;

/// Time between two digests.
inline constexpr milliseconds digest_interval{500};

} // namespace dogwoodtrack::carried
