#pragma once

#include "carried/flows/flows.hpp"
#include "carried/load/spill.hpp"
#include "carried/upstreams/upstream_speeds.hpp"

namespace dogwoodtrack::carried {

/// Mean size in KiB of the answers to requests for this service, from the
/// profiles of the routes that name it; 0 while none is known. Requests are
/// small compared with their answers, and are not counted. Thread safe.
auto mean_request_kib(const flow_table &flows, const configuration &in_force,
                      service_key service) -> float;

/// Share of all new flows that each failure domain receives: the mean over the
/// services, weighted by demand; ordered by failure domain. Precondition: no
/// element is null. Thread safe.
auto mean_shares(const std::vector<const service_plan *> &plans)
    -> std::vector<spill_share>;

/// Writes one line `spill_changed` for each failure domain whose share began,
/// ended or changed notably since `logged`, and sets `logged` to `now` for it.
/// The coordinator keeps one `logged` for each service.
auto log_spill_changes(const spill_input &input,
                       std::vector<spill_share> &logged,
                       const std::vector<spill_share> &now) -> void;

/// Writes one line `upstream_slow` or `upstream_recovered` for each element of
/// `table.changes`, and empties that list.
auto log_speed_changes(speed_table &table, const upstream_table &upstreams)
    -> void;

} // namespace dogwoodtrack::carried
