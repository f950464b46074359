#pragma once

#include "carried/flows/flows.hpp"

namespace dogwoodtrack::carried {

/// Counts the opening of the flow towards the quota of its upstream, if that is
/// cold and has a limit. From then on the flow stands for one request there.
/// Precondition: the flow is bound, and does not count yet.
auto count_cold_opening(upstream_table &upstreams, flow &it, time_point now)
    -> void;

/// Counts a request that an established flow sends now. The first request
/// takes the place of the flow's opening. Precondition: `it.request_seen` is
/// the time of the previous request.
auto count_cold_request(upstream_table &upstreams, flow &it, time_point now)
    -> void;

/// Counts a packet that opens a flow or carries a request, of a flow that is
/// missing from the table because the table is full.
auto count_untracked_request(upstream_table &upstreams, upstream_index to,
                             time_point now) -> void;

/// The flow no longer stands for a request at its upstream, because it ends or
/// goes to another upstream. Its last request counts until `cold_window` is
/// over.
auto release_cold_flow(upstream_table &upstreams, flow &it) -> void;

} // namespace dogwoodtrack::carried
