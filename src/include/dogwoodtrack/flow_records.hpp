#pragma once

#include <vector>

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// State of one flow as it is copied between balancers.
struct flow_record {
    flow_key key;
    endpoint upstream;
    bool closed = false; ///< the flow has ended
    /// Whether the flow was forwarded to another failure domain, whose
    /// identifier `upstream.address` then holds.
    bool forwarded = false;
};

/// Examines the next `slots` slots of the table and removes the flows whose
/// idle timeout, or timeout for an opening without an answer, has passed. TCP
/// flows that expire because no upstream has answered their opening are
/// appended to `state.expired`, unless they were forwarded to another failure
/// domain. Preconditions: `state.view` is set, and the caller is the thread
/// that owns `state`.
auto expire_flows(packet_state &state, std::size_t slots, time_point now)
    -> void;

/// Adds a record copied from another balancer to the table, or closes the
/// flow if the record says that the flow has ended. The record is ignored if
/// the table has an authoritative entry that was bound to another upstream
/// within the last few seconds: the record may have been copied before the
/// entry was bound. Returns false when the table is full. Precondition: the
/// caller is the thread that owns `state`.
auto import_record(packet_state &state, const flow_record &record,
                   time_point now) -> bool;

/// Appends to `out` the authoritative records of those flows of `service` that
/// were opened or closed within the last `age`. Visits at most `slots` slots,
/// starting at slot `cursor`, and stops early once there are enough records for
/// one message. Returns the cursor for the next call, or 0 if no slots are
/// left. Precondition: the caller is the thread that owns `state`.
auto export_records(packet_state &state, const endpoint &service,
                    transport protocol, milliseconds age, std::size_t cursor,
                    std::size_t slots, time_point now,
                    std::vector<flow_record> &out) -> std::size_t;

/// Removes flows that this instance placed and that no upstream has answered:
/// a new owner may have placed them on other upstreams. Precondition: the
/// caller is the thread that owns `state`.
auto erase_unconfirmed(packet_state &state) -> void;

/// Removes all authoritative records of a service, before a full sync copies
/// the owner's records. Precondition: the caller is the thread that owns
/// `state`.
auto erase_service_records(packet_state &state, const endpoint &service,
                           transport protocol) -> void;

} // namespace dogwoodtrack
