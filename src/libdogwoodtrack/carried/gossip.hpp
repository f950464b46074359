#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack::carried {

/// Sends a digest of this balancer's state to a few random peers. It serves as
/// a heartbeat, too.
auto send_digests(blackboard &board, time_point now,
                  std::vector<outgoing_message> &out) -> void;

/// Handles a message from a peer. For a digest, state that is newer at the peer
/// is pulled, and state that the peer confirms counts as confirmed. New state
/// is forwarded to a few peers.
auto on_peer_message(blackboard &board, std::uint32_t from,
                     const peer_message &message, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Applies an answer of the store and forwards what is new to a few peers.
auto on_store_answer(blackboard &board, const store_answer &answer,
                     time_point now, std::vector<outgoing_message> &out)
    -> void;

/// Time between two digests.
inline constexpr milliseconds digest_interval{500};

} // namespace dogwoodtrack::carried
