#pragma once

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/feeds/load_messages.hpp"
#include "carried/members/fleet.hpp"

namespace dogwoodtrack::carried {

/// Time between two messages to the load coordinator of another domain.
inline constexpr milliseconds domain_loads_interval{500};
/// The load of another domain counts for this time after its arrival.
inline constexpr milliseconds domain_load_lifetime{2'000};

/// Load of a service at another domain's upstreams, or placed by that domain.
struct received_domain_load {
    domain_load load;
    time_point received{};
};

/// What is known of another failure domain from its load coordinator.
struct neighbour_domain {
    std::uint32_t coordinator = 0; ///< address of the latest sender
    std::uint32_t sequence = 0;    ///< of its latest message
    std::uint64_t sent_us = 0;     ///< `sent_us` of its latest message
    time_point received{};         ///< arrival of its latest message
    /// Between the two coordinators; 0 while unknown.
    float round_trip_ms = 0;
    std::vector<received_domain_load> loads; ///< of the other domain
    /// What the other domain has under way at upstreams of the own domain.
    std::vector<received_domain_load> placed;
};

/// The other failure domains, by `hash_name`. Not thread safe.
struct domain_exchange {
    boost::unordered_flat_map<std::uint32_t, neighbour_domain> domains;
    std::uint32_t sequence = 0;
    time_point last_sent{};
};

/// Adds a message of the balancer `sender`. Ignores messages older than the
/// sender's latest, messages from the own domain, and loads of third domains.
/// `now_us` is the present time, in microseconds, of the clock that this
/// balancer takes `domain_loads_message::sent_us` from. Returns whether the
/// message was added.
auto add_domain_loads(domain_exchange &it, const fleet_member &sender,
                      std::uint32_t own_domain,
                      const domain_loads_message &message, std::uint64_t now_us,
                      time_point now) -> bool;

/// Removes the loads that have expired.
auto expire_domain_loads(domain_exchange &it, time_point now) -> void;

/// Requests of a service that all other domains have under way at upstreams of
/// the own one.
auto placed_by_others(const domain_exchange &it, service_key service) -> float;

/// The balancer to which the load of the own domain is sent: the one that sent
/// its domain's load lately, else the elected one.
auto coordinator_of(const domain_exchange &it, const elected_member &elected,
                    time_point now) -> std::uint32_t;

} // namespace dogwoodtrack::carried
