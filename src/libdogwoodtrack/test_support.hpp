#pragma once

#include "blackboard.hpp"
#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack::test {

/// A cluster for unit tests: one service, and three failure domains with
/// three balancers each. Balancers exchange packets by function calls instead
/// of a network.
struct cluster {
    explicit cluster(std::uint32_t limit = 100, double tolerance = 0.02,
                     std::uint32_t replicas = 2);

    struct balancer {
        member info;
        placement_lease lease;
        packet_counters counters;
        std::unique_ptr<packet_state> state;
        bool up = true;
    };

    std::vector<std::unique_ptr<balancer>> balancers;
    std::vector<std::pair<endpoint, packet_buffer>> to_fabric;
    service_spec spec;
    time_point now{std::chrono::hours{1}};
    std::size_t relays = 0;

    /// Gives every balancer a new view, in which those that are down are dead.
    auto publish() -> void;
    /// Passes a packet to a balancer and then relays between balancers until
    /// none is left.
    auto deliver(std::size_t index, const packet_fields &fields) -> void;
    /// Destination of the last packet sent to the fabric.
    auto last_destination() const -> endpoint;
    auto by_id(std::uint32_t id) -> balancer *;
    auto index_of(std::uint32_t id) const -> std::size_t;
    auto domain_of(const endpoint &upstream) const -> std::uint32_t;
    auto owner_in(std::uint32_t domain) const -> std::uint32_t;
    auto drops(drop_kind kind) const -> std::uint64_t;
    auto counter_sum(packet_counter counter) const -> std::uint64_t;
    auto open_at(std::size_t balancer, const endpoint &upstream) const
        -> std::uint32_t;

private:
    auto process_output(std::size_t from) -> void;
};

/// Returns the endpoint of the caller with this number.
auto caller(std::uint32_t number) -> endpoint;

} // namespace dogwoodtrack::test
