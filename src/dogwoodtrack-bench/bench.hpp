#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack::bench {

/// Returns a routing view with one service that has `upstreams` upstreams in
/// one failure domain. This instance owns the service, without replicas.
auto make_view(std::size_t upstreams) -> std::shared_ptr<routing_view>;

/// Measures on one core the packets per second that the packet path forwards,
/// and for comparison those that can be received and sent again unchanged. Each
/// of the two takes about `run_seconds`. Prints the results as JSON and returns
/// the exit code of the process.
auto compare_packet_path(double run_seconds) -> int;

} // namespace dogwoodtrack::bench
