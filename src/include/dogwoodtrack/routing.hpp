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

/// State of a balancer as its peers see it. Only live ones become owner or
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
    /// Services of its failure domain for which it has all flow records.
    std::vector<std::uint32_t> synced;
};

/// Open-flow count of one upstream and what this instance observed of it.
/// Written by packet workers, read by the controllers, except for `weight`,
/// which the controllers write.
struct upstream_load {
    std::atomic<std::uint32_t> open{0};
    std::atomic<std::uint32_t> placed{0};
    std::atomic<std::uint32_t> retried{0}; ///< retransmitted openings
    std::atomic<std::uint32_t> reset{0};   ///< openings it answered with RST
    std::atomic<std::uint32_t> answered{0};
    /// Moving average of the time from opening to answer, in microseconds.
    std::atomic<std::uint32_t> answer_us{0};
    /// Share of its contract capacity that placement counts on, in units of
    /// 1/`full_weight`. 0 while the upstream is ejected.
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
    double capacity = 1.0;
    std::uint32_t limit = 0; ///< maximum number of open flows
    bool in_service = true;  ///< may receive new flows
    std::shared_ptr<upstream_load> load;
};

/// Open flows of one service in one failure domain as its owner last reported
/// them. Written by the controllers; packet workers add the flows that they
/// forward there until the next report.
struct domain_load {
    std::atomic<std::uint32_t> open{0};
    std::atomic<bool> known{false};
};

/// Owner, replicas and upstreams of one service in one failure domain.
struct domain_route {
    std::uint32_t failure_domain = 0;
    double capacity = 0;    ///< sum over the upstreams not `leaving`
    bool reachable = false; ///< at least one balancer there responds
    time_point owned_since; ///< time of the last change of owner
    std::shared_ptr<domain_load> load;
    std::vector<std::uint32_t> upstreams; ///< indexes into the routing view
    std::uint32_t owner = 0;              ///< member id, 0 if none is synced
    std::uint8_t replica_count = 0;
    std::array<std::uint32_t, chain_limit> replicas{};
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
    std::uint32_t replicas = 2;
    seconds idle_timeout{0};
    std::vector<domain_route> domains;
};

/// Packs address, port and protocol into the key of the address indexes.
/// Thread safe.
auto route_key(const endpoint &address, transport protocol) -> std::uint64_t;

/// Immutable snapshot of the routing data for packet workers. The controllers
/// build a new one on each change. Thread safe, as it is only read.
struct routing_view {
    std::uint32_t self = 0; ///< member id of this instance
    std::uint32_t failure_domain = 0;
    std::vector<service_route> services;
    std::vector<upstream_route> upstreams;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> by_service;
    boost::unordered_flat_map<std::uint64_t, std::uint32_t> by_upstream;
    boost::unordered_flat_map<std::uint32_t, endpoint> links;

    auto find_service(const endpoint &address, transport protocol) const
        -> const service_route *;
    auto find_upstream(const endpoint &address, transport protocol) const
        -> const upstream_route *;
    /// Link address of a balancer, or null when it is not reachable.
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

/// Sets owner and replicas of `service` in `route.failure_domain`. The first
/// synced member in the order of `rank_members` becomes the owner. Replicas
/// are the next synced members and also unsynced members whose rank makes
/// them a replica, so that they receive new records while they sync. Without
/// a synced member the owner is 0 and there are no replicas.
auto assign_owner(const std::vector<member> &members,
                  const service_route &service, domain_route &route) -> void;

/// Failure domains of a service in order of preference for a flow: rendezvous
/// hash weighted by capacity, the same on every balancer. Domains beyond
/// `domain_limit` are left out. The pointers point into `service`. Thread
/// safe.
auto rank_domains(const service_route &service, std::uint64_t flow_hash)
    -> domain_order;

} // namespace dogwoodtrack
