#pragma once

#include "board.hpp"

namespace dogwoodtrack::carried {

/// One balancer of each failure domain judges the upstreams of a service for
/// that domain: it sums up what all of them met there, so that an upstream
/// that fails part of its requests is found after a few failures in the
/// domain, not after a few at each balancer. One judge sees all upstreams of
/// the service, and so tells ill ones from a crowd. Domains judge by
/// themselves, since a cut between two of them makes upstreams look ill from
/// one side only.

/// Address of the balancer that judges the upstreams of a service.
auto judge_of(const fleet &it, service_key service, time_point now)
    -> std::uint32_t;

/// Tells judges what the flows of this instance met at upstreams that failed
/// some requests, and tells the failure domain which upstreams this instance,
/// as their judge, has ejected or trusts again.
auto share_outcomes(board &it, time_point now,
                    std::vector<outgoing_message> &out) -> void;

/// Takes what another balancer met at upstreams that this one judges.
auto take_told_outcomes(board &it, const outcomes_message &message,
                        time_point now) -> void;

/// Takes what another balancer, as their judge, says of upstreams.
auto take_told_judgements(board &it, const judgements_message &message,
                          time_point now) -> void;

} // namespace dogwoodtrack::carried
