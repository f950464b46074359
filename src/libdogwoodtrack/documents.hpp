#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Prefix of the names of contract documents.
inline constexpr const char *contract_prefix = "contract/";
/// Prefix of the names of instance lists.
inline constexpr const char *live_prefix = "live/";
/// Name of the list of balancers.
inline constexpr const char *balancer_list = "live/dogwoodtrack";

/// Takes a document if its generation is higher than any seen of that name,
/// and offers it to the peers. Returns whether it was taken. A contract that
/// fails its checks is not taken and recorded as an event.
auto accept_document(blackboard &board, const std::string &name,
                     const document &value, time_point now,
                     control_actions &actions) -> bool;

/// Answers a peer's list of versions: pulls newer ones, sends older ones.
auto on_digest(blackboard &board, const wire::Envelope &message,
               control_actions &actions) -> void;

/// Sends the documents that a peer asks for.
auto on_pull(blackboard &board, const wire::Envelope &message,
             control_actions &actions) -> void;

/// Takes a document that a peer sent.
auto on_document(blackboard &board, const wire::Envelope &message,
                 time_point now, control_actions &actions) -> void;

/// Starts anti-entropy with a peer whose documents differ.
auto offer_versions(const blackboard &board, const peer_state &peer,
                    control_actions &actions) -> void;

/// Whether this instance is one of the two of its failure domain that watch
/// the platform.
auto is_watcher(const blackboard &board) -> bool;

} // namespace dogwoodtrack
