#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Decides which services this instance needs records of and asks their
/// owners. Without any owner, the first in rank starts with what it has.
auto tick_record_sync(blackboard &board, time_point now,
                      control_actions &actions) -> void;

/// A peer asks for records of services this instance owns.
auto on_sync_request(blackboard &board, const wire::Envelope &message,
                     control_actions &actions) -> void;

/// Records arrive from an owner.
auto on_sync_batch(blackboard &board, const wire::Envelope &message,
                   time_point now, control_actions &actions) -> void;

/// Records that a worker collected for the first job that waits for it.
/// `next` is the worker's next cursor, 0 when it has no more.
auto on_records_exported(blackboard &board,
                         const std::vector<flow_record> &records,
                         std::size_t next, std::size_t workers,
                         control_actions &actions) -> void;

/// Tells the replicas of flows whose opening was never answered.
auto announce_expired(blackboard &board, const std::vector<expired_flow> &flows,
                      control_actions &actions) -> void;

/// Takes up the services whose records have become complete and tells the
/// peers, several together: a peer that does not know yet would be fenced.
auto announce_synced(blackboard &board, time_point now,
                     control_actions &actions) -> void;

/// Whether every service this instance owns has another synced balancer,
/// so that it can leave without losing records.
auto may_leave(const blackboard &board) -> bool;

/// Packs records, 13 bytes each. The service is the batch's.
auto pack_records(const std::vector<flow_record> &records) -> std::string;

/// Unpacks records; false when the bytes are no whole number of records.
auto unpack_records(const std::string &bytes, const endpoint &service,
                    transport protocol, std::vector<flow_record> &out) -> bool;

} // namespace dogwoodtrack
