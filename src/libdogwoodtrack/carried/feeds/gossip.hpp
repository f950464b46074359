#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Sends a digest, a summary of this balancer's state, to a few random peers.
/// The digest also serves as the heartbeat of this balancer, and asks for what
/// the peers know better.
auto send_digests(blackboard &board, time_point now,
                  std::vector<outgoing_message> &out) -> void;

/// Handles a message from a peer. If a digest shows that the peer has newer
/// state, this state is requested from the peer. If both have the same state,
/// what the store confirmed to the peer counts as confirmed here, too, provided
/// that the message answers a question of this balancer: its age is then taken
/// off the time of the question. State that is new to this balancer is
/// forwarded to a few peers.
auto on_peer_message(blackboard &board, std::uint32_t from,
                     const peer_message &message, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Repeats requests to peers that were not answered in time. To be called every
/// `block_timeout` or more often.
auto repeat_requests(blackboard &board, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Sends a digest without members to a few peers other than `except`. They
/// request the state that is new to them and ask for the store's confirmation
/// of state that they have.
auto advertise(blackboard &board, std::uint32_t except, time_point now,
               std::vector<outgoing_message> &out) -> void;

/// Pushes the upstream records that changed after `since` to a few peers other
/// than `except`, which forward them. If there are many, the peers are sent a
/// digest instead.
auto forward_records(blackboard &board, const store_revision &since,
                     std::uint32_t except, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Sends upstream records that a message from `from` lacked, or that the usual
/// forwarding leaves out (see `add_correction`), to `from` and to a few other
/// peers.
auto send_corrections(blackboard &board, std::uint32_t from,
                      const std::vector<upstream_record> &corrections,
                      time_point now, std::vector<outgoing_message> &out)
    -> void;

/// Puts a configuration in force if it supersedes the one in force, see
/// `supersedes`. Returns whether it was put in force. Else the one in force
/// takes its revision, if that is later: it stays in its place.
auto activate_configuration(blackboard &board,
                            std::shared_ptr<configuration> next) -> bool;

/// Time between two digests.
inline constexpr milliseconds digest_interval{500};

} // namespace dogwoodtrack::carried
