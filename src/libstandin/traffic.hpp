#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// Outcomes at callers and upstreams, counted from numbered requests and
/// answers.
struct traffic_report {
    std::uint64_t flows_opened = 0;
    std::uint64_t flows_established = 0;
    std::uint64_t flows_finished = 0;
    std::uint64_t flows_broken = 0;
    /// Broken flows that had received at least three answers.
    std::uint64_t flows_broken_settled = 0;
    std::uint64_t flows_unanswered = 0; ///< timed out during opening
    std::uint64_t flows_refused = 0;    ///< reset or rejected during opening
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    std::uint64_t packets_sent = 0;
    std::uint64_t packets_misdelivered = 0;
    /// Answers of another flow or service, or of a second upstream.
    std::uint64_t answers_mixed = 0;
    /// Requests of one flow that reached a second upstream.
    std::uint64_t payloads_duplicated = 0;
    std::uint64_t refused_but_run = 0; ///< refused after an upstream accepted
    std::uint64_t refused_midflow = 0; ///< reset after opening
    std::uint64_t new_flows_to_leaving_after_limit = 0;
    std::uint64_t capacity_exceeded = 0; ///< connections over the limit
    std::uint64_t bad_checksums = 0;
    std::uint64_t midflow_packets = 0; ///< of flows older than a second
    std::uint64_t midflow_relayed = 0;
    /// Load of the busiest upstream divided by the mean load, where load is
    /// open flows per unit of capacity: mean and peak of the samples.
    double imbalance_mean = 0;
    double imbalance_peak = 0;
    std::uint64_t open_flows = 0;
};

/// Properties of a simulated upstream.
struct upstream_profile {
    std::string name;
    endpoint address;
    std::string customer;
    std::size_t service = 0;
    double capacity = 1.0;
    std::uint32_t limit = 0;      ///< open connections
    milliseconds service_time{1}; ///< per request at capacity 1
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
    std::size_t service = 0;
    double rate = 10;                ///< new flows per second
    std::uint64_t count = 0;         ///< flows to open in all; 0: no limit
    milliseconds life{1000};         ///< after which a flow closes
    milliseconds gap{100};           ///< between an answer and the next request
    std::uint32_t answer_size = 800; ///< bytes
    std::uint32_t request_size = 200; ///< bytes
    milliseconds patience{20'000};    ///< timeout of opening and of a request
    bool reuse_ports = false;         ///< reuse the ports of closed flows
    std::string side; ///< failure domain of the balancers; empty: any
};

/// A balancer as a target of the fabric.
struct balancer_target {
    std::string name;
    std::string failure_domain;
    endpoint link;
    double weight = 1.0;
    bool receives = true;
};

/// Faults that the fabric injects.
struct fabric_faults {
    double loss = 0;         ///< probability
    double duplicate = 0;    ///< probability
    milliseconds reorder{0}; ///< upper bound of a random extra delay
};

/// Simulates the fabric, callers and upstreams in one thread over one socket.
/// Every packet goes to a balancer chosen at random. All methods are thread
/// safe.
class traffic {
public:
    /// Opens the fabric's socket. Fails with `error_kind::socket_failed`.
    static auto open(const endpoint &fabric, std::uint64_t seed)
        -> result<std::unique_ptr<traffic>>;
    ~traffic();

    /// Adds a service and returns its index.
    auto add_service(const service_profile &service) -> std::size_t;
    /// Adds an upstream, or updates the one at the same address. Its service
    /// must have been added.
    auto set_upstream(const upstream_profile &upstream) -> void;
    /// Adds a balancer, or replaces the one of the same name.
    auto set_balancer(const balancer_target &balancer) -> void;
    auto set_faults(const fabric_faults &faults) -> void;
    auto add_flows(const flow_profile &flows) -> void;
    /// Stops opening flows. Open flows run until the end of their lifetime.
    auto stop_opening() -> void;
    /// Marks an upstream as leaving: new flows later than `limit` from now are
    /// counted in `new_flows_to_leaving_after_limit`.
    auto mark_leaving(const std::string &upstream, milliseconds limit) -> void;
    auto unmark_leaving(const std::string &upstream) -> void;
    /// Starts a new measurement window of the imbalance of `service`.
    auto measure_imbalance(std::size_t service) -> void;
    auto stop_measuring() -> void;
    auto report() const -> traffic_report;
    /// Number of open flows at an upstream, 0 if it is unknown.
    auto open_at(const std::string &upstream) const -> std::uint32_t;
    /// Resets `midflow_packets` and `midflow_relayed`.
    auto reset_relay_counts() -> void;

private:
    struct state;
    explicit traffic(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
