#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <boost/container/static_vector.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include "dogwoodtrack/contract.hpp"
#include "dogwoodtrack/packet.hpp"

namespace dogwoodtrack {

/// State of a balancer as its peers see it. Only live balancers become owner or
/// replica.
enum class member_status : std::uint8_t { live, leaving, dead };

/// One balancer as known to this instance.
struct member {
    std::uint32_t id = 0; ///< `hash_name` of its name
    std::string name;
    std::uint32_t failure_domain = 0; ///< `hash_name` of the domain
    endpoint link;
    endpoint control;
    member_status status = member_status::live;
    /// Ids of the services for which the balancer has all flow records of its
    /// failure domain.
    std::vector<std::uint32_t> synced;
};

/// Open-flow count of one upstream, and what this instance has observed of the
/// upstream. Except for `open`, `answer_us` and `weight`, the members count
/// events since the start. Written by packet workers and read by the
/// controllers, except for `weight`, which the controllers write.
struct upstream_load {
    std::atomic<std::uint32_t> open{0};   ///< flows open now
    std::atomic<std::uint32_t> placed{0}; ///< flows placed on the upstream
    std::atomic<std::uint32_t> retransmitted{0}; ///< retransmitted openings
    std::atomic<std::uint32_t> reset{0};         ///< openings answered with RST
    std::atomic<std::uint32_t> answered{0}; ///< openings answered otherwise
    /// Moving average of the time from opening to answer, in microseconds.
    std::atomic<std::uint32_t> answer_us{0};
    /// Factor, in units of 1/`full_weight`, by which placement scales the
    /// upstream's capacity. 0 while the upstream is ejected.
    std::atomic<std::uint32_t> weight{full_weight};

    static constexpr std::uint32_t full_weight = 256;
};

/// One upstream in a routing view.
struct upstream_route {
    std::string name;
    endpoint address;
    std::uint32_t id = 0;      ///< hash of the address
    std::uint32_t service = 0; ///< index into `routing_view::services`
    std::uint32_t failure_domain = 0;
    double capacity = 1.0;   ///< by the contract, relative to other upstreams
    std::uint32_t limit = 0; ///< maximum number of open flows
    bool in_service = true;  ///< may receive new flows
    std::shared_ptr<upstream_load> load;
};

/// Number of open flows of one service in one failure domain: counted by this
/// instance for its own domain, and as last reported by the owner for another
/// domain. Written by the controllers. Between two writes, packet workers add
/// the flows that they forward to the domain.
struct domain_load {
    std::atomic<std::uint32_t> open{0};
    /// Whether `open` is valid: reported by the owner or, for this instance's
    /// domain, counted while this instance is synced.
    std::atomic<bool> known{false};
};

/// Owner, replicas and upstreams of one service in one failure domain.
struct domain_route {
    std::uint32_t failure_domain = 0;
    double capacity = 0; ///< sum over its upstreams that are not `leaving`
    /// Whether the domain is not cut off and has a balancer that is not dead.
    /// Shortly after the start, a domain that is not cut off counts as
    /// reachable even if none of its balancers is known to be alive.
    bool reachable = false;
    time_point owned_since; ///< time of the last change of owner
    std::shared_ptr<domain_load> load;
    /// Indexes into `routing_view::upstreams`.
    std::vector<std::uint32_t> upstreams;
    std::uint32_t owner = 0; ///< member id, 0 if no live member is synced
    std::uint8_t replica_count = 0;
    std::array<std::uint32_t, chain_limit> replicas{}; ///< member ids
};

/// One service in a routing view.
struct service_route {
    std::uint32_t id = 0; ///< hash of customer and name
    std::string customer;
    std::string name;
    endpoint address;
    transport protocol = transport::tcp;
    overload_policy overload = overload_policy::place;
    bool idempotent = false;
    double imbalance_tolerance = 0.05;
    std::uint32_t replicas = 2; ///< copies of each record besides the owner's
    seconds idle_timeout{0};    ///< after the last packet of a flow
    std::vector<domain_route> domains;
};

/// Packs address, port and protocol into the key of `routing_view::by_service`
/// and `routing_view::by_upstream`. Thread safe.
auto route_key(const endpoint &address, transport protocol) -> std::uint64_t;

/// Immutable snapshot of the routing data for packet workers. The controllers
/// build a new one on each change. Thread safe, as it is only read.
struct routing_view {
    std::uint32_t self = 0; ///< member id of this instance
    std::uint32_t failure_domain = 0;
    std::vector<service_route> services;
    std::vector<upstream_route> upstreams;
    /// Index into `services` by `route_key` of the service.
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> by_service;
    /// Index into `upstreams` by `route_key` of the upstream.
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> by_upstream;
    /// Link endpoint of each reachable balancer by member id.
    boost::unordered_flat_map<std::uint32_t, endpoint> links;

    auto find_service(const endpoint &address, transport protocol) const
        -> const service_route *;
    auto find_upstream(const endpoint &address, transport protocol) const
        -> const upstream_route *;
    /// Link endpoint of a balancer, or null when it is not reachable.
    auto find_link(std::uint32_t id) const -> const endpoint *;
};

/// Largest number of failure domains of one service that are ranked for a
/// flow.
inline constexpr std::size_t domain_limit = 32;
using domain_order =
    boost::container::static_vector<const domain_route *, domain_limit>;

/// Identifier of a service, the same on every instance. Thread safe.
auto service_id(const std::string &customer, const std::string &name)
    -> std::uint32_t;

/// Live balancers of one failure domain in order of preference for owning
/// `service` (rendezvous hash), the same on every instance. The pointers point
/// into `members`. Thread safe.
auto rank_members(const std::vector<member> &members,
                  std::uint32_t failure_domain, std::uint32_t service)
    -> std::vector<const member *>;

/// Sets owner and replicas of `service` in `route.failure_domain`. A member is
/// synced when it has all flow records of the service. The first synced member
/// in the order of `rank_members` becomes the owner. Replicas are the next
/// `service.replicas` synced members. Unsynced members that rank among the
/// first `service.replicas` + 1 become replicas as well, so that they receive
/// new records while they sync. There are at most `chain_limit` replicas.
/// Without a synced member the owner is 0 and there are no replicas.
auto assign_owner(const std::vector<member> &members,
                  const service_route &service, domain_route &route) -> void;

/// Failure domains of a service in order of preference for a flow: rendezvous
/// hash weighted by capacity, the same on every balancer. Domains beyond
/// `domain_limit` are left out. The pointers point into `service`. Thread
/// safe.
auto rank_domains(const service_route &service, std::uint64_t flow_hash)
    -> domain_order;

} // namespace dogwoodtrack
