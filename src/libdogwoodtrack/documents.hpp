#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Prefix of the names of contract documents.
inline constexpr const char *contract_prefix = "contract/";
/// Prefix of the names of instance lists.
inline constexpr const char *live_prefix = "live/";
/// Name of the list of balancers.
inline constexpr const char *balancer_list = "live/dogwoodtrack";

/// Accepts a document from the platform or a peer if its generation is higher
/// than that of the document held under the same name, and offers it to the
/// peers. Returns whether it was accepted. A contract that is invalid or uses
/// an address of another customer is rejected, which is recorded as an event.
auto accept_document(blackboard &board, const std::string &name,
                     const document &value, time_point now,
                     control_actions &actions) -> bool;

/// Handles a peer's list of documents and their generations: requests the
/// documents of which the peer has a newer generation than this instance, and
/// sends those of which it has an older one.
auto on_digest(blackboard &board, const wire::Envelope &message,
               control_actions &actions) -> void;

/// Sends the documents that a peer requests.
auto on_pull(blackboard &board, const wire::Envelope &message,
             control_actions &actions) -> void;

/// Accepts a document from a peer, as `accept_document` does.
auto on_document(blackboard &board, const wire::Envelope &message,
                 time_point now, control_actions &actions) -> void;

/// Starts the exchange of missing documents with a peer whose digest of the
/// documents differs: sends the names and generations of all documents.
auto offer_versions(const blackboard &board, const peer_state &peer,
                    control_actions &actions) -> void;

/// Returns whether this instance is one of the two balancers of its failure
/// domain that watch the platform for changes. The others receive the documents
/// from them.
auto is_watcher(const blackboard &board) -> bool;

} // namespace dogwoodtrack
