#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Takes note of a peer's heartbeat.
auto on_heartbeat(blackboard &board, const wire::Envelope &message,
                  time_point now, control_actions &actions) -> void;

/// Any message is a sign of life of its sender.
auto note_heard(blackboard &board, std::uint32_t from, time_point now) -> void;

/// Notices a pause of this process. After one, this instance owns nothing
/// until it has copied what changed. Call before reading any message.
auto notice_pause(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Sends due heartbeats and judges silence.
auto tick_membership(blackboard &board, time_point now,
                     control_actions &actions) -> void;

/// Takes its own records for outdated since then: this instance owns nothing
/// until it has copied what changed.
auto distrust_records(blackboard &board, time_point since,
                      control_actions &actions) -> void;

/// Renews the lease if a majority of the failure domain is heard. The
/// majority counts every member that was not seen to leave and that the
/// platform still lists; an even half needs the lowest identifier. When the
/// lease is lost the records are no longer trusted.
auto renew_lease(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Takes the platform's list of balancers into account.
auto on_balancers_listed(blackboard &board, time_point now) -> void;

/// Announces a change of this instance's own state to its neighbours.
auto announce_self(blackboard &board, time_point now, control_actions &actions)
    -> void;

/// Brings the index of peers by failure domain up to date.
auto index_peers(blackboard &board) -> void;

/// Peers that get this instance's heartbeats: the next ones on the ring of
/// the failure domain.
auto neighbours_of(blackboard &board) -> std::vector<const peer_state *>;

/// One member of each other failure domain that may be up, in rotation.
auto domain_contacts(blackboard &board) -> std::vector<const peer_state *>;

/// Digest of all documents held, the same on instances that hold the same.
auto documents_digest(const blackboard &board) -> std::uint32_t;

} // namespace dogwoodtrack
