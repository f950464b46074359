#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// The fabric, the network that spreads callers' packets over the balancers,
/// sends packets to the balancers in rotation. If fewer than half of the
/// balancers of a failure domain are in rotation, the fabric sends to all
/// balancers of the domain, dead ones included, and most packets are lost. If
/// none are in rotation, the fabric sends to the balancers that are in rotation
/// in the nearest domains. Therefore, if a domain has lost most of its
/// balancers, the remaining ones withdraw from rotation, provided that they
/// reach another domain in which no probed balancer has withdrawn and at least
/// half of the probed balancers serve. In a domain that is cut off no balancer
/// withdraws, since the callers of that domain reach no other domain.

/// Runs a probe round if one is due: decides whether to be in rotation, and
/// sends the probes whose answers the next round needs.
auto update_rotation(blackboard &board, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Handles a probe, or an answer to one, from the balancer `from`: records what
/// it reports if the sender is a known member, and answers a probe.
auto handle_probe(blackboard &board, std::uint32_t from,
                  const probe_message &message, time_point now,
                  std::vector<outgoing_message> &out) -> void;

/// Whether the fabric may send packets to this balancer.
auto is_in_rotation(const blackboard &board) -> bool;

} // namespace dogwoodtrack::carried
