#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack::bench {

/// Returns a routing view with one service that has `upstreams` upstreams in
/// one failure domain. This instance is its owner, without replicas.
auto make_view(std::size_t upstreams) -> std::shared_ptr<routing_view>;

/// Measures the throughput of the packet path, and for comparison that of
/// sending the same packets on unchanged, on one core. Takes about
/// `run_seconds` for each and prints JSON. Returns the exit code of the
/// process.
auto compare_packet_path(double run_seconds) -> int;

} // namespace dogwoodtrack::bench
