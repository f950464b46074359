#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Handles a heartbeat: merges the member states in it, and replies if the
/// sender asks for it or its view differs.
auto on_heartbeat(blackboard &board, const wire::Envelope &message,
                  time_point now, control_actions &actions) -> void;

/// Records that a message arrived from member `from`. Any message counts as
/// a sign of life.
auto update_last_heard(blackboard &board, std::uint32_t from, time_point now)
    -> void;

/// Detects that this process was suspended for at least the lease time. If
/// so, drops the lease and marks the records as stale. Precondition: called
/// before any message is read.
auto detect_pause(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Sends the heartbeats that are due and detects peers and failure domains
/// that have timed out.
auto tick_membership(blackboard &board, time_point now,
                     control_actions &actions) -> void;

/// Marks the records of all services as stale since `since`. This instance
/// owns no service until it has copied the changes.
auto mark_records_stale(blackboard &board, time_point since,
                        control_actions &actions) -> void;

/// Renews the lease while a majority of the failure domain is in contact.
/// The majority is of all members except those that left gracefully and dead
/// ones that the platform no longer lists as ready. Of two equal halves, the
/// one with the lowest identifier is the majority. When the lease is lost,
/// the records are marked as stale.
auto renew_lease(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Adds the balancers that the platform lists as ready to the peers.
auto on_balancers_listed(blackboard &board, time_point now) -> void;

/// Sends this instance's own state to its neighbours and to one member of
/// each other failure domain. Call after a change of that state.
auto announce_self(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Rebuilds the index of peers by failure domain if peers were added.
auto index_peers(blackboard &board) -> void;

/// Returns the peers that receive this instance's heartbeats: its successors
/// on the ring of the failure domain.
auto neighbours_of(blackboard &board) -> std::vector<const peer_state *>;

/// Returns one member of each other failure domain that is not known to be
/// dead, in rotation.
auto domain_contacts(blackboard &board) -> std::vector<const peer_state *>;

/// Returns a digest of the versions of all documents. It is equal on
/// instances that hold the same versions.
auto documents_digest(const blackboard &board) -> std::uint32_t;

} // namespace dogwoodtrack
