#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack {

/// For each service that this instance has to sync, requests the flow records
/// from the owner in this failure domain. If there is no owner and this
/// instance is ranked first for the service, it becomes synced for the service
/// with the records that it already has. Also continues exports to peers within
/// the bandwidth limit. Precondition: called every 50 ms, the interval that the
/// bandwidth limit assumes.
auto tick_record_sync(blackboard &board, time_point now,
                      control_actions &actions) -> void;

/// Handles a peer's request for flow records: queues one sync job for each of
/// the requested services. Skips services for which this instance is not
/// synced, or for which a job for the same peer is already queued.
auto on_sync_request(blackboard &board, const wire::Envelope &message,
                     control_actions &actions) -> void;

/// Handles a batch of a service's flow records: passes them to the workers.
/// Marks the service as synced if the batch is the last one of a sync that this
/// instance requested.
auto on_sync_batch(blackboard &board, const wire::Envelope &message,
                   time_point now, control_actions &actions) -> void;

/// Handles the answer of a worker to an `export_records` request: sends the
/// records to the peer that requested them. `next_cursor` is the cursor at
/// which the worker continues the export, or 0 if it has exported its whole
/// flow table; `workers` is the number of packet workers.
auto on_records_exported(blackboard &board,
                         const std::vector<flow_record> &records,
                         std::size_t next_cursor, std::size_t workers,
                         control_actions &actions) -> void;

/// Tells the replicas to close flows that expired because no upstream has
/// answered their opening.
auto announce_expired(blackboard &board, const std::vector<expired_flow> &flows,
                      control_actions &actions) -> void;

/// Announces to the peers the services for which this instance has completed
/// the sync. The announcements are batched, as each may change the owners of
/// services: until all peers know a new owner, replicas drop packets of a
/// balancer that is not the owner in their own view (`drop_kind::fenced`).
auto announce_synced(blackboard &board, time_point now,
                     control_actions &actions) -> void;

/// Whether this instance can leave without losing records: for each service
/// that it owns, another live balancer of the failure domain is synced for that
/// service, or the domain has no other live balancer.
auto may_leave(const blackboard &board) -> bool;

/// Serializes records for a sync batch, 13 bytes each. The service is not
/// included, as it is a field of the batch.
auto pack_records(const std::vector<flow_record> &records) -> std::string;

/// Deserializes records of `service` and appends them to `out`. Returns false
/// and appends nothing when the size of `bytes` is not a multiple of 13.
auto unpack_records(const std::string &bytes, const endpoint &service,
                    transport protocol, std::vector<flow_record> &out) -> bool;

} // namespace dogwoodtrack
