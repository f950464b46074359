#pragma once

#include "carried/blackboard.hpp"

namespace dogwoodtrack::carried {

/// Outlier detection across the balancers of a failure domain. In each domain
/// one balancer is the outlier detector of a service: it adds up its own
/// request outcomes and those that the other balancers of the domain report, so
/// that an upstream that fails part of its requests is detected after a few
/// failures in the domain, not after a few at each balancer. Since the detector
/// knows the failures of all upstreams of the service, it can tell single
/// outliers from a general overload. Each domain decides independently, because
/// during a network partition between two domains the upstreams of each appear
/// to fail only to the balancers of the other.

/// Address of the balancer that is the outlier detector of a service in the own
/// failure domain.
auto detector_of(const fleet &members, service_key service, time_point now)
    -> std::uint32_t;

/// Reports to the outlier detector of each service the request outcomes of
/// those upstreams that failed requests of this instance. Announces to the
/// other balancers of the failure domain which upstreams this instance, as the
/// detector, has ejected, and for which it has ended the probation. Appends the
/// messages to `out`.
auto share_outcomes(blackboard &board, time_point now,
                    std::vector<outgoing_message> &out) -> void;

/// Applies outcomes that another balancer reports to this one as the detector.
/// Unknown upstreams are ignored.
auto apply_reported_outcomes(blackboard &board, const outcomes_message &message,
                             time_point now) -> void;

/// Applies the ejection statuses that another balancer announces as the
/// detector. Unknown upstreams are ignored.
auto apply_ejection_statuses(blackboard &board,
                             const judgements_message &message, time_point now)
    -> void;

} // namespace dogwoodtrack::carried
