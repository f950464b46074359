#pragma once

#include "board.hpp"

namespace dogwoodtrack::carried {

/// The fabric gives packets to the balancers in rotation. Where these are
/// fewer than half of a failure domain it uses all of the domain, dead ones
/// too, and most of the packets are lost; where none is in rotation it uses
/// those of the nearest domains. So the balancers that are left of a domain
/// that lost most of its own withdraw, as long as another domain has at least
/// half of its balancers in rotation and can be reached from here. In a domain
/// that is cut off nobody withdraws: its callers reach it alone.

/// Takes a turn of probes when it is due, decides whether to be in rotation,
/// and asks those whose answers the next turn needs.
auto update_rotation(board &it, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Takes a probe and answers it where that is wanted.
auto take_probe(board &it, std::uint32_t from, const probe_message &message,
                time_point now, std::vector<outgoing_message> &out) -> void;

/// Whether this balancer may be given packets by the fabric.
auto is_in_rotation(const board &it) -> bool;

} // namespace dogwoodtrack::carried
