#pragma once

#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::carried {

/// Identifies a service: `hash_label` of its name.
using service_key = std::uint64_t;

/// What may be done again with the requests of a route.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, download };

/// One service that a route sends new flows to, and its share of them.
struct weighted_service {
    service_key service = 0;
    std::uint32_t weight = 1;
};

/// One address that callers open flows to.
struct route_spec {
    endpoint address;
    request_kind kind = request_kind::idempotent;
    std::uint8_t priority = 0;      ///< 0 is the most urgent
    milliseconds target_latency{0}; ///< latency that callers expect
    milliseconds timeout{0};
    std::vector<weighted_service> services;
};

/// The configuration in force, whole. Never changed once made.
struct configuration {
    std::uint64_t version = 0;  ///< the operator's number
    std::uint64_t revision = 0; ///< the store's revision of the object
    milliseconds idle_timeout{15'000};
    std::vector<route_spec> routes; ///< sorted by address
};

/// Sorts the routes, so that `find_route` may be used.
auto sort_routes(configuration &it) -> void;

/// Route with this address, or null. Precondition: `sort_routes` was
/// called. Thread safe.
auto find_route(const configuration &it, const endpoint &address)
    -> const route_spec *;

/// Service that a new flow goes to: all packets that open the flow get the
/// same one. Returns 0 if the route names no service.
auto choose_service(const route_spec &route, std::uint64_t flow_hash)
    -> service_key;

} // namespace dogwoodtrack::carried
