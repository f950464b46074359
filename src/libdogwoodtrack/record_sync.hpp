#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// Requests records of the services that this instance has to sync from their
/// owners, and continues exports to peers within the bandwidth limit. If a
/// service has no owner, the member ranked first starts with the records that
/// it has. Call every 50 ms, the interval that the bandwidth limit assumes.
auto tick_record_sync(blackboard &board, time_point now,
                      control_actions &actions) -> void;

/// Handles a peer's request for the records of services. Services for which
/// this instance is not synced and requests already queued are skipped.
auto on_sync_request(blackboard &board, const wire::Envelope &message,
                     control_actions &actions) -> void;

/// Handles a batch of records: passes them to the workers and marks the
/// service as synced after the last batch of a requested sync.
auto on_sync_batch(blackboard &board, const wire::Envelope &message,
                   time_point now, control_actions &actions) -> void;

/// Sends the records that a worker exported for the pending sync job. `next`
/// is the worker's next cursor, 0 when it has no more records; `workers` is
/// the number of packet workers.
auto on_records_exported(blackboard &board,
                         const std::vector<flow_record> &records,
                         std::size_t next, std::size_t workers,
                         control_actions &actions) -> void;

/// Tells the replicas to close flows whose opening was never answered.
auto announce_expired(blackboard &board, const std::vector<expired_flow> &flows,
                      control_actions &actions) -> void;

/// Announces to the peers the services for which this instance has completed
/// the sync. Announcements are batched, as ownership may move with each of
/// them and the packets that a peer with the older view sends through the
/// chain are dropped as fenced.
auto announce_synced(blackboard &board, time_point now,
                     control_actions &actions) -> void;

/// Whether this instance can leave without losing records: each service that
/// it owns has another synced balancer, or there is no other live balancer in
/// the failure domain.
auto may_leave(const blackboard &board) -> bool;

/// Serializes records for a sync batch, 13 bytes each. The service is not
/// included, as it is a field of the batch.
auto pack_records(const std::vector<flow_record> &records) -> std::string;

/// Deserializes records of `service` and appends them to `out`. Returns false
/// when the size is not a multiple of the record size.
auto unpack_records(const std::string &bytes, const endpoint &service,
                    transport protocol, std::vector<flow_record> &out) -> bool;

} // namespace dogwoodtrack
