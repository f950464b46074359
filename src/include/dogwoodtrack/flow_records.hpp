#pragma once

#include <vector>

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// One flow as balancers copy it to each other.
struct flow_record {
    flow_key key;
    endpoint upstream;
    bool closed = false;
    bool forwarded = false; ///< `upstream.address` names a failure domain
};

/// Removes entries that are past their time, looking at `slots` slots.
/// Openings that were never answered are listed in `state.expired`.
auto expire_flows(packet_state &state, std::size_t slots, time_point now)
    -> void;

/// Takes over a copied record. Returns false when the table is full.
auto import_record(packet_state &state, const flow_record &record,
                   time_point now) -> bool;

/// Appends records of flows of `service` that changed within `age`, from
/// slot `cursor` on over at most `slots` slots. Returns the next cursor, or
/// 0 after the last slot.
auto export_records(packet_state &state, const endpoint &service,
                    transport protocol, milliseconds age, std::size_t cursor,
                    std::size_t slots, time_point now,
                    std::vector<flow_record> &out) -> std::size_t;

/// Forgets flows that this instance placed and no upstream has answered: a
/// successor may have placed them elsewhere meanwhile.
auto erase_unconfirmed(packet_state &state) -> void;

/// Forgets all records of a service, before they are copied anew.
auto erase_service_records(packet_state &state, const endpoint &service,
                           transport protocol) -> void;

} // namespace dogwoodtrack
