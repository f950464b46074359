#pragma once

#include "board.hpp"

namespace dogwoodtrack::carried {

/// This balancer's sign of life and what it knows, for a few random peers.
auto send_digests(board &it, time_point now, std::vector<outgoing_message> &out)
    -> void;

/// Takes a peer's message. Digests are compared: what the peer knows better
/// is pulled, what it confirms counts as confirmed. State that is new is
/// passed on to a few peers.
auto on_peer_message(board &it, std::uint32_t from, const peer_message &message,
                     time_point now, std::vector<outgoing_message> &out)
    -> void;

/// Takes an answer of the store and passes what is new on to a few peers.
auto on_store_answer(board &it, const store_answer &answer, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Time between two digests.
inline constexpr milliseconds digest_interval{500};

} // namespace dogwoodtrack::carried
