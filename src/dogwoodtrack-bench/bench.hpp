#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack::bench {

/// A view with one service over `upstreams` upstreams that this instance
/// owns alone.
auto make_view(std::size_t upstreams) -> std::shared_ptr<routing_view>;

/// Compares the packet path with a bare echo of the same packets on the same
/// core and prints JSON.
auto compare_packet_path(double run_seconds) -> int;

} // namespace dogwoodtrack::bench
