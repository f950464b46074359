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

/// Whether a balancer may be given work, as its peers see it.
enum class member_status : std::uint8_t { live, leaving, dead };

/// One balancer as this one knows it.
struct member {
    std::uint32_t id = 0; ///< `hash_name` of its name
    std::string name;
    std::uint32_t failure_domain = 0; ///< `hash_name` of the domain
    endpoint link;
    endpoint control;
    member_status status = member_status::live;
    /// Services of its failure domain whose flows it has records of.
    std::vector<std::uint32_t> synced;
};

/// Open flows and own observations of one upstream. Written by packet
/// workers, read by the controllers.
struct upstream_load {
    std::atomic<std::uint32_t> open{0};
    std::atomic<std::uint32_t> placed{0};
    std::atomic<std::uint32_t> retried{0}; ///< opening packets seen again
    std::atomic<std::uint32_t> reset{0};   ///< refused by the upstream
    std::atomic<std::uint32_t> answered{0};
    std::atomic<std::uint32_t> answer_us{0}; ///< smoothed opening time
    /// Share of its contract capacity the upstream is given, in 1/256.
    std::atomic<std::uint32_t> weight{full_weight};

    static constexpr std::uint32_t full_weight = 256;
};

/// One upstream in a routing view.
struct upstream_route {
    std::string name;
    endpoint address;
    std::uint32_t id = 0; ///< hash of address
    std::uint32_t service = 0;
    std::uint32_t failure_domain = 0;
    double capacity = 1.0;
    std::uint32_t limit = 0;
    bool in_service = true; ///< may receive new flows
    std::shared_ptr<upstream_load> load;
};

/// Open flows per unit of capacity of one service in one failure domain,
/// as its owner last reported it. Written by the controllers.
struct domain_load {
    std::atomic<std::uint32_t> open{0};
    std::atomic<bool> known{false};
};

/// The balancers that decide for one service in one failure domain.
struct domain_route {
    std::uint32_t failure_domain = 0;
    double capacity = 0;    ///< of upstreams in service
    bool reachable = false; ///< some balancer there answers
    time_point owned_since; ///< when the owner last changed
    std::shared_ptr<domain_load> load;
    std::vector<std::uint32_t> upstreams;
    std::uint32_t owner = 0; ///< member id, 0 if none is reachable
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

/// Key of the address indexes: address, port and protocol in one number.
auto route_key(const endpoint &address, transport protocol) -> std::uint64_t;

/// Everything a packet worker reads, made anew by the controllers on each
/// change and never written afterwards.
struct routing_view {
    std::uint32_t self = 0;
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
    /// Link of a balancer, null when it is not reachable.
    auto find_link(std::uint32_t id) const -> const endpoint *;
};

/// Failure domains of one service that a flow may be ranked over.
inline constexpr std::size_t domain_limit = 32;
using domain_order =
    boost::container::static_vector<const domain_route *, domain_limit>;

/// Service identifier, the same on every instance.
auto service_id(const std::string &customer, const std::string &name)
    -> std::uint32_t;

/// Balancers of one failure domain in the order in which they own `service`.
/// Dead and leaving ones are left out. Thread safe.
auto rank_members(const std::vector<member> &members,
                  std::uint32_t failure_domain, std::uint32_t service)
    -> std::vector<const member *>;

/// Chooses owner and replicas of `service` in `route.failure_domain`: the
/// first synced member owns; replicas are the next synced ones and, so that
/// they catch up, unsynced ones ranked high enough to become a replica. With
/// no synced member the owner is 0.
auto assign_owner(const std::vector<member> &members,
                  const service_route &service, domain_route &route) -> void;

/// Failure domains of a service in the order in which they take a flow:
/// weighted rendezvous by capacity, the same on every balancer. Domains past
/// `domain_limit` are left out.
auto rank_domains(const service_route &service, std::uint64_t flow_hash)
    -> domain_order;

} // namespace dogwoodtrack
