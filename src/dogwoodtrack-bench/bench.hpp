#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack::bench {

/// Returns a routing view with one service that has `upstreams` upstreams in
/// one failure domain. The instance that uses the view owns the service, and
/// flow records have no replicas.
auto make_view(std::size_t upstreams) -> std::shared_ptr<routing_view>;

/// Measures how many packets per second one core forwards with the packet path
/// and, for comparison, how many it receives and sends on unchanged. Each of
/// the two measurements takes about `run_seconds`. Prints the results as JSON
/// and returns the exit code of the process.
auto compare_packet_path(double run_seconds) -> int;

} // namespace dogwoodtrack::bench
