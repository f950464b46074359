#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Results of the traffic, counted by the simulated callers and upstreams. Each
/// request and each answer contains the number of the flow and the number of
/// the request, so that answers to another flow and duplicated requests are
/// detected.
struct traffic_report {
    std::uint64_t flows_opened = 0;
    std::uint64_t flows_established = 0;
    std::uint64_t flows_finished = 0;
    /// Established flows that were reset or timed out before they were closing.
    std::uint64_t flows_broken = 0;
    /// Broken flows that had received at least three answers.
    std::uint64_t flows_broken_settled = 0;
    std::uint64_t flows_unanswered = 0; ///< timed out during opening
    /// Flows reset during opening, and ICMP messages that reject a datagram.
    std::uint64_t flows_refused = 0;
    std::uint64_t requests = 0;     ///< without retransmissions
    std::uint64_t answers = 0;      ///< received completely
    std::uint64_t packets_sent = 0; ///< from the fabric to balancers
    /// Packets received by a caller or upstream of another service.
    std::uint64_t packets_misdelivered = 0;
    /// Answers to another flow or service, or from a second upstream.
    std::uint64_t answers_mixed = 0;
    /// Requests received by an upstream after another upstream had received the
    /// same request or answered an earlier request of the flow.
    std::uint64_t payloads_duplicated = 0;
    /// Flows refused after an upstream had accepted the SYN.
    std::uint64_t refused_but_run = 0;
    std::uint64_t refused_midflow = 0; ///< flows broken by a reset
    /// See `traffic::mark_leaving`.
    std::uint64_t new_flows_to_leaving_after_limit = 0;
    /// Connections opened beyond the limit of their upstream.
    std::uint64_t capacity_exceeded = 0;
    std::uint64_t bad_checksums = 0;
    /// Requests and answers received on flows opened at least 1 s earlier.
    std::uint64_t midflow_packets = 0;
    /// `midflow_packets` that one balancer relayed to another.
    std::uint64_t midflow_relayed = 0;
    /// The imbalance is the load of the busiest upstream of the measured
    /// service divided by the mean load, where load is open flows per unit of
    /// capacity. Upstreams that are leaving or down are not included. Mean and
    /// peak are those of the samples taken since `traffic::measure_imbalance`.
    double imbalance_mean = 0;
    double imbalance_peak = 0;
    std::uint64_t open_flows = 0; ///< flows that are not closed yet
};

/// Properties of a simulated upstream.
struct upstream_profile {
    std::string name;
    endpoint address;
    std::string customer;
    std::size_t service = 0; ///< index of the service
    double capacity = 1.0;
    std::uint32_t limit = 0;      ///< largest number of open connections
    milliseconds service_time{1}; ///< per request, at capacity 1
    bool down = false;            ///< drops every packet
    bool shedding = false;        ///< resets new connections
};

/// Properties of a simulated service.
struct service_profile {
    std::string customer;
    std::string name;
    endpoint address;
    transport protocol = transport::tcp;
};

/// Load profile of flows that callers open.
struct flow_profile {
    std::size_t service = 0; ///< index of the service
    double rate = 10;        ///< new flows per second
    std::uint64_t count = 0; ///< flows to open in total; 0: no limit
    /// Age from which a flow closes instead of sending its next request.
    milliseconds life{1000};
    milliseconds gap{100};           ///< between an answer and the next request
    std::uint32_t answer_size = 800; ///< approximate number of bytes
    std::uint32_t request_size = 200; ///< bytes
    /// Timeout of opening the flow, and of each request.
    milliseconds patience{20'000};
    bool reuse_ports = false; ///< reuse the ports of closed flows
    /// Failure domain whose balancers the flows use; empty: any.
    std::string side;
};

/// A balancer as a target of the fabric.
struct balancer_target {
    std::string name;
    std::string failure_domain;
    endpoint link;
    double weight = 1.0;  ///< relative to the other balancers
    bool receives = true; ///< whether the fabric sends packets to the balancer
};

/// Faults injected into the simulated fabric.
struct fabric_faults {
    double loss = 0;         ///< probability that a packet is lost
    double duplicate = 0;    ///< probability that a packet is sent twice
    milliseconds reorder{0}; ///< upper bound of a packet's random extra delay
};

/// Simulates the fabric, callers and upstreams in one thread over one socket.
/// The fabric sends every packet to a balancer chosen at random by weight. All
/// methods are thread safe.
class traffic {
public:
    /// Opens the socket of the fabric at the address `fabric`. Fails with
    /// `error_kind::socket_failed`.
    static auto open(const endpoint &fabric, std::uint64_t seed)
        -> result<std::unique_ptr<traffic>>;
    ~traffic();

    /// Adds a service and returns its index.
    auto add_service(const service_profile &service) -> std::size_t;
    /// Adds an upstream, or updates the one at the same address. The service of
    /// the upstream must have been added before.
    auto set_upstream(const upstream_profile &upstream) -> void;
    /// Adds a balancer, or replaces the one of the same name.
    auto set_balancer(const balancer_target &balancer) -> void;
    /// Replaces the faults of the fabric.
    auto set_faults(const fabric_faults &faults) -> void;
    /// Starts opening flows of a profile.
    auto add_flows(const flow_profile &flows) -> void;
    /// Stops opening flows of all profiles. Flows that are already open run
    /// until the end of their lifetime.
    auto stop_opening() -> void;
    /// Marks an upstream as leaving: new flows that it receives later than
    /// `limit` from now are counted in `new_flows_to_leaving_after_limit`.
    auto mark_leaving(const std::string &upstream, milliseconds limit) -> void;
    auto unmark_leaving(const std::string &upstream) -> void;
    /// Starts a new measurement of the imbalance of `service`.
    auto measure_imbalance(std::size_t service) -> void;
    /// Ends the measurement of the imbalance.
    auto stop_measuring() -> void;
    auto report() const -> traffic_report;
    /// Number of open flows at an upstream, 0 if there is no such upstream.
    auto open_at(const std::string &upstream) const -> std::uint32_t;
    /// Resets `midflow_packets` and `midflow_relayed`.
    auto reset_relay_counts() -> void;

private:
    struct state;
    explicit traffic(std::unique_ptr<state> new_state);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
