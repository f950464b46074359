#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Prefix of the names of contract documents.
inline constexpr const char *contract_prefix = "contract/";
/// Prefix of the names of instance lists.
inline constexpr const char *live_prefix = "live/";
/// Name of the list of balancers.
inline constexpr const char *balancer_list = "live/dogwoodtrack";

/// Accepts a document if its generation is higher than that of the one held
/// under the same name, and offers it to the peers. Returns whether it was
/// accepted. A contract that fails validation is rejected and recorded as an
/// event.
auto accept_document(blackboard &board, const std::string &name,
                     const document &value, time_point now,
                     control_actions &actions) -> bool;

/// Handles a peer's list of versions: requests the documents that are newer
/// there and sends those that are newer here.
auto on_digest(blackboard &board, const wire::Envelope &message,
               control_actions &actions) -> void;

/// Sends the documents that a peer requests.
auto on_pull(blackboard &board, const wire::Envelope &message,
             control_actions &actions) -> void;

/// Accepts a document from a peer, as `accept_document` does.
auto on_document(blackboard &board, const wire::Envelope &message,
                 time_point now, control_actions &actions) -> void;

/// Starts anti-entropy with a peer whose documents differ: sends the versions
/// of all documents.
auto offer_versions(const blackboard &board, const peer_state &peer,
                    control_actions &actions) -> void;

/// Returns whether this instance is one of the two of its failure domain that
/// watch the platform.
auto is_watcher(const blackboard &board) -> bool;

} // namespace dogwoodtrack
