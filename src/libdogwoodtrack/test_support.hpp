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
    /// Packets sent to the fabric, oldest first.
    std::vector<std::pair<endpoint, packet_buffer>> to_fabric;
    service_spec spec;
    time_point now{std::chrono::hours{1}};
    std::size_t relays = 0; ///< packets delivered from balancer to balancer

    /// Gives every balancer a new routing view, in which the balancers that are
    /// not `up` are dead.
    auto publish() -> void;
    /// Passes a packet to the balancer at `index`. Then delivers all packets
    /// that the balancers send to each other as a result.
    auto deliver(std::size_t index, const packet_fields &fields) -> void;
    /// Destination of the last packet sent to the fabric.
    auto last_destination() const -> endpoint;
    /// Balancer with this member id.
    auto by_id(std::uint32_t id) -> balancer *;
    /// Index of the balancer with this member id.
    auto index_of(std::uint32_t id) const -> std::size_t;
    /// Failure domain of an upstream.
    auto domain_of(const endpoint &upstream) const -> std::uint32_t;
    /// Member id of the service's owner in `domain`, as seen by the first
    /// balancer that is `up`.
    auto owner_in(std::uint32_t domain) const -> std::uint32_t;
    /// Number of packets that all balancers have dropped for this reason.
    auto drops(drop_kind kind) const -> std::uint64_t;
    auto counter_sum(packet_counter counter) const -> std::uint64_t;
    /// Number of open flows at `upstream`, as counted by the balancer at index
    /// `balancer`.
    auto open_at(std::size_t balancer, const endpoint &upstream) const
        -> std::uint32_t;

private:
    /// Delivers the packets that the balancer at index `from` has queued, and
    /// those that the receivers send as a result.
    auto process_output(std::size_t from) -> void;
};

/// Returns the endpoint of the caller with this number.
auto caller(std::uint32_t number) -> endpoint;

} // namespace dogwoodtrack::test
