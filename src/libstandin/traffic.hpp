#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack::standin {

/// What callers and upstreams saw, counted from sequence-numbered requests
/// and answers.
struct traffic_report {
    std::uint64_t flows_opened = 0;
    std::uint64_t flows_established = 0;
    std::uint64_t flows_finished = 0;
    std::uint64_t flows_broken = 0;
    /// Broken flows that had had at least three answers.
    std::uint64_t flows_broken_settled = 0;
    std::uint64_t flows_unanswered = 0; ///< opening given up by the caller
    std::uint64_t flows_refused = 0;
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    std::uint64_t packets_sent = 0;
    std::uint64_t packets_misdelivered = 0;
    std::uint64_t answers_mixed = 0;
    std::uint64_t payloads_duplicated = 0;
    std::uint64_t refused_but_run = 0;
    std::uint64_t refused_midflow = 0;
    std::uint64_t new_flows_to_leaving_after_limit = 0;
    std::uint64_t capacity_exceeded = 0;
    std::uint64_t bad_checksums = 0;
    std::uint64_t midflow_packets = 0; ///< of flows older than a second
    std::uint64_t midflow_relayed = 0;
    double imbalance_mean = 0;
    double imbalance_peak = 0;
    std::uint64_t open_flows = 0;
};

/// One upstream as the stand-in plays it.
struct upstream_profile {
    std::string name;
    endpoint address;
    std::string customer;
    std::size_t service = 0;
    double capacity = 1.0;
    std::uint32_t limit = 0;
    milliseconds service_time{1}; ///< of one request at capacity 1
    bool down = false;            ///< answers nothing
    bool shedding = false;        ///< resets new connections
};

/// One service as the stand-in knows it.
struct service_profile {
    std::string customer;
    std::string name;
    endpoint address;
    transport protocol = transport::tcp;
};

/// Flows that callers keep opening.
struct flow_profile {
    std::size_t service = 0;
    double rate = 10;        ///< new flows a second
    std::uint64_t count = 0; ///< stop after this many; 0: no end
    milliseconds life{1000};
    milliseconds gap{100};           ///< between an answer and a request
    std::uint32_t answer_size = 800; ///< bytes
    std::uint32_t request_size = 200;
    milliseconds patience{20'000}; ///< before a caller gives a flow up
    bool reuse_ports = false;      ///< take a closed flow's port again
    std::string side; ///< only through balancers of this failure domain
};

/// One balancer as the fabric knows it.
struct balancer_target {
    std::string name;
    std::string failure_domain;
    endpoint link;
    double weight = 1.0;
    bool receives = true;
};

/// How the fabric treats packets.
struct fabric_faults {
    double loss = 0;
    double duplicate = 0;
    milliseconds reorder{0}; ///< largest extra delay of a packet
};

/// The fabric, the callers and the upstreams in one thread over one socket.
/// Every packet goes to a balancer chosen at random. All methods are thread
/// safe.
class traffic {
public:
    /// Opens the fabric's socket. Fails with `error_kind::socket_failed`.
    static auto open(const endpoint &fabric, std::uint64_t seed)
        -> result<std::unique_ptr<traffic>>;
    ~traffic();

    auto add_service(const service_profile &service) -> std::size_t;
    auto set_upstream(const upstream_profile &upstream) -> void;
    auto set_balancer(const balancer_target &balancer) -> void;
    auto set_faults(const fabric_faults &faults) -> void;
    auto add_flows(const flow_profile &flows) -> void;
    /// Stops opening flows; open ones end by themselves.
    auto stop_opening() -> void;
    /// The upstream should get no new flow from `limit` from now on.
    auto mark_leaving(const std::string &upstream, milliseconds limit) -> void;
    auto unmark_leaving(const std::string &upstream) -> void;
    /// Starts a new window of the imbalance of `service`.
    auto measure_imbalance(std::size_t service) -> void;
    auto stop_measuring() -> void;
    auto report() const -> traffic_report;
    /// Open flows at each upstream, by name.
    auto open_at(const std::string &upstream) const -> std::uint32_t;
    /// Starts the counting of relayed packets anew.
    auto reset_relay_counts() -> void;

private:
    struct state;
    explicit traffic(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack::standin
