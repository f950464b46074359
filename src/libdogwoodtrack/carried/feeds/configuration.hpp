#pragma once

#include <vector>

#include "carried/feeds/store_revision.hpp"
#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// Identifies a service: `hash_name64` of its name.
using service_key = std::uint64_t;

/// Kind of the requests on a route. Callers may repeat idempotent requests and
/// downloads, but not non-idempotent requests.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, download };

/// A service that receives new flows of a route in proportion to `weight`.
struct weighted_service {
    service_key service = 0;
    std::uint32_t weight = 1; ///< relative to the route's other services
    /// Time for which an upstream of the service is cold after its start.
    milliseconds cold_start{0};
    /// Requests per second that a cold upstream can handle; 0: no limit.
    double cold_per_s = 0;
};

/// An address that callers open flows to, and how to serve these flows.
struct route_spec {
    endpoint address;
    request_kind kind = request_kind::idempotent;
    std::uint8_t priority = 0;      ///< 0 is the most urgent
    milliseconds target_latency{0}; ///< latency that callers expect
    milliseconds timeout{0};
    std::vector<weighted_service> services;
};

/// A complete configuration. Immutable once it is in force.
struct configuration {
    std::uint64_t version = 0;         ///< assigned by the operator
    store_revision revision;           ///< of the configuration object
    milliseconds idle_timeout{15'000}; ///< of flows
    std::vector<route_spec> routes;    ///< sorted by address
};

/// Largest valid `weighted_service::cold_per_s`, in requests per second.
inline constexpr double max_cold_per_s = 1e6;

/// Whether `next` is to be put in force in place of `current`. In one era of
/// the store the later revision is; of two with the same revision, that with
/// the higher `version`. A configuration of a later era may come from an older
/// copy of the store: it is put in force unless its `version`, which rises with
/// each configuration, is lower. One of an earlier era is put in force only if
/// its `version` is higher. Thread safe.
auto supersedes(const configuration &next, const configuration &current)
    -> bool;

/// Sorts the routes by address, as `find_route` requires.
auto sort_routes(configuration &it) -> void;

/// Route with this address, or null. Precondition: `it.routes` is sorted, see
/// `sort_routes`. Thread safe.
auto find_route(const configuration &it, const endpoint &address)
    -> const route_spec *;

/// Whether a route names this service. Thread safe.
auto names_service(const configuration &it, service_key service) -> bool;

/// Services that the routes of a configuration name, sorted and without
/// repetition; none if `in_force` is null. Thread safe.
auto services_in_force(const configuration *in_force)
    -> std::vector<service_key>;

/// Chooses the service that receives a new flow, by the weights of the route's
/// services. Retransmissions of an opening packet have the same `flow_hash` and
/// thus get the same service. If all weights are 0, returns the first service,
/// or 0 if the route names none.
auto choose_service(const route_spec &route, std::uint64_t flow_hash)
    -> service_key;

} // namespace dogwoodtrack::carried
