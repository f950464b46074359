#pragma once

#include "blackboard.hpp"

namespace dogwoodtrack::carried {

/// The fabric sends packets to the balancers in rotation. If fewer than half of
/// a failure domain are in rotation, it sends to all balancers of the domain,
/// dead ones included, and most packets are lost. If none are, it sends to
/// those of the nearest domains. The balancers that remain in a domain that
/// lost most of its own therefore withdraw, provided that another domain has at
/// least half of its balancers in rotation and is reachable from here. In a
/// domain that is cut off nobody withdraws, since its callers reach no other
/// domain.

/// Runs a probe round if one is due: decides whether to be in rotation, and
/// sends the probes whose answers the next round needs.
auto update_rotation(blackboard &board, time_point now,
                     std::vector<outgoing_message> &out) -> void;

/// Records a probe, and answers it if an answer is wanted.
auto handle_probe(blackboard &board, std::uint32_t from,
                  const probe_message &message, time_point now,
                  std::vector<outgoing_message> &out) -> void;

/// Whether the fabric may send packets to this balancer.
auto is_in_rotation(const blackboard &board) -> bool;

} // namespace dogwoodtrack::carried
