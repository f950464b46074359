#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack::carried {

/// The fabric, the network that spreads callers' packets over the balancers,
/// sends packets to the balancers in rotation. If fewer than half of the
/// balancers of a failure domain are in rotation, the fabric sends to all
/// balancers of the domain, dead ones included, and most packets are lost. If
/// none are in rotation, the fabric sends to the balancers in rotation of the
/// nearest domains. Therefore the remaining balancers of a domain that has lost
/// most of its balancers withdraw from rotation, provided that another domain
/// is reachable from here and has at least half of its balancers in rotation.
/// In a domain that is cut off no balancer withdraws, since its callers reach
/// no other domain.

/// Runs a probe round if one is due: decides whether to be in rotation, and
/// sends the probes whose answers the next round needs.
auto update_rotation(blackboard &board, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Records a probe or an answer to one, and answers a probe.
auto handle_probe(blackboard &board, std::uint32_t from,
                  const probe_message &message, time_point now,
                  std::vector<outgoing_message> &out) -> void;

/// Whether the fabric may send packets to this balancer.
auto is_in_rotation(const blackboard &board) -> bool;

} // namespace dogwoodtrack::carried
