#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Handles a heartbeat: merges the member states in it, and replies if the
/// sender asks for a reply, its latest state is not known here, it counts as
/// dead here, or, at a limited rate, if its digest of all members differs. A
/// sender whose state is still unknown after the merge gets no reply.
auto on_heartbeat(blackboard &board, const wire::Envelope &message,
                  time_point now, control_actions &actions) -> void;

/// Records that a message arrived from member `from`. A message of any kind
/// shows that the member is alive.
auto update_last_heard(blackboard &board, std::uint32_t from, time_point now)
    -> void;

/// Detects that this process was suspended for at least the lease time. If
/// so, drops the lease, marks the flow records as stale (`mark_records_stale`)
/// and has received messages ignored for a short time, as these may be from
/// before the pause. Precondition: called in each iteration of the control
/// loop, before messages are read.
auto detect_pause(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Sends the heartbeats that are due and detects peers and failure domains
/// that have timed out.
auto tick_membership(blackboard &board, time_point now,
                     control_actions &actions) -> void;

/// Marks the flow records of all services for which this instance is synced as
/// possibly out of date from `since` on. This instance owns none of these
/// services until it has copied the changes. Flows that it placed and that no
/// upstream has answered are erased.
auto mark_records_stale(blackboard &board, time_point since,
                        control_actions &actions) -> void;

/// Renews the lease while messages arrive from a majority of the failure
/// domain. All members are counted except those that are leaving or left
/// gracefully and, once the platform's list is known, dead ones that it does
/// not list as ready. In a domain with more peers than
/// `control_options::neighbours`, live peers are counted only if this instance
/// monitors them. Of two equal halves, the one that contains the lowest
/// identifier is the majority. When the lease is lost, the flow records are
/// marked as stale (`mark_records_stale`).
auto renew_lease(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Updates `blackboard::listed_in_domain`, and adds to the peers those
/// balancers that the platform lists as ready and that are not among the peers
/// yet. The added peers count as dead until their state has been received.
auto on_balancers_listed(blackboard &board, time_point now) -> void;

/// Sends this instance's own state to its neighbours and to one member of
/// each other failure domain. Call after a change of that state.
auto announce_self(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Rebuilds `blackboard::peers_by_domain` if it is out of date.
auto index_peers(blackboard &board) -> void;

/// Returns the peers that receive this instance's heartbeats: its successors
/// on the ring of the failure domain.
auto neighbours_of(blackboard &board) -> std::vector<const peer_state *>;

/// Returns, for each other failure domain, one member that is not known to be
/// dead. The member changes with `blackboard::domain_rotation`.
auto domain_contacts(blackboard &board) -> std::vector<const peer_state *>;

/// Returns a digest of the versions of all documents. It is equal on
/// instances that hold the same versions.
auto documents_digest(const blackboard &board) -> std::uint32_t;

} // namespace dogwoodtrack
