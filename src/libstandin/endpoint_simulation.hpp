#pragma once

#include <deque>
#include <queue>
#include <random>

#include <boost/unordered/unordered_flat_map.hpp>

#include "dogwoodtrack/link.hpp"
#include "traffic.hpp"

namespace dogwoodtrack::standin {

using clock_point = std::chrono::steady_clock::time_point;

/// Header of the payload of every request and of every part of an answer, in
/// host byte order.
struct payload_header {
    std::uint32_t magic = 0;
    std::uint32_t request = 0; ///< number of the request in its flow
    std::uint64_t flow = 0;
    /// Index of this part of an answer; in a request, the number of parts that
    /// the answer must have.
    std::uint16_t part = 0;
    std::uint16_t parts = 0;   ///< number of parts of an answer; 0 in a request
    std::uint16_t service = 0; ///< index of the service
    std::uint16_t upstream = 0; ///< index of the upstream that answers
};

inline constexpr std::uint32_t request_magic = 0x52455131;
inline constexpr std::uint32_t answer_magic = 0x414e5331;

enum class flow_state : std::uint8_t {
    opening,
    waiting_for_answer,
    idle,
    closing,
    closed
};

/// State of one flow at its caller.
struct caller_flow {
    std::uint64_t id = 0;
    std::size_t profile = 0; ///< index in `endpoint_simulation::sources`
    endpoint caller;
    flow_state state = flow_state::opening;
    std::uint32_t sequence = 0;
    std::uint32_t request = 0; ///< number of the current request
    std::uint32_t answers = 0; ///< complete answers received
    /// Parts received of the current answer, one bit for each part.
    std::uint64_t parts_received = 0;
    /// Retransmissions of the SYN, request or FIN that awaits an answer.
    std::uint32_t retries = 0;
    /// 1 + index of the upstream that answered first; 0: no answer yet.
    std::uint16_t answered_by = 0;
    bool reached_upstream = false; ///< whether an upstream accepted the SYN
    bool payload_moved = false;
    /// 1 + index of the upstream that last received the current request; 0:
    /// none received it yet.
    std::uint16_t requested_upstream = 0;
    clock_point opened;
    clock_point established;
    /// When the SYN, request or FIN that awaits an answer was first sent.
    clock_point step_started;
    /// When the flow's current timer expires. Timers of the flow that are
    /// queued for other times are ignored.
    clock_point timer_due;
};

/// State of one connection at its upstream.
struct upstream_connection {
    std::uint64_t flow = 0;
    std::uint32_t sequence = 0;
    std::uint32_t last_request = 0;
    bool open = true;
};

/// State of one upstream and its connections.
struct upstream_state {
    upstream_profile profile;
    boost::unordered_flat_map<std::uint64_t, upstream_connection> connections;
    std::uint32_t open = 0; ///< number of open connections
    bool leaving = false;   ///< see `traffic::mark_leaving`
    /// Connections opened later than this are counted in
    /// `new_flows_to_leaving_after_limit`.
    clock_point leaving_deadline;
    clock_point busy_until;
};

/// A load profile and the progress of opening its flows.
struct flow_source {
    flow_profile profile;
    std::uint64_t opened = 0; ///< flows opened so far
    clock_point next;         ///< when the next flow opens
    bool active = true;       ///< false: opens no more flows
};

/// Expiry of a retransmission, idle or closing timer of a flow.
struct timer {
    clock_point when;
    std::uint64_t flow = 0;
    auto operator>(const timer &other) const -> bool {
        return when > other.when;
    }
};

/// An encapsulated packet to be sent at `when` to a balancer of the failure
/// domain `side`, or to a balancer of any domain if `side` is empty.
struct delayed_packet {
    clock_point when;
    std::vector<std::uint8_t> outer;
    std::string side;
    auto operator>(const delayed_packet &other) const -> bool {
        return when > other.when;
    }
};

/// A queue that yields the earliest element first.
template <typename T>
using time_queue = std::priority_queue<T, std::vector<T>, std::greater<T>>;

/// State of the simulated fabric, callers and upstreams. Not thread safe:
/// `traffic` protects it with a mutex.
struct endpoint_simulation {
    endpoint_simulation(link opened, std::uint64_t seed)
        : socket(std::move(opened)), random(seed) {}

    link socket;
    std::mt19937_64 random;
    std::vector<service_profile> services;
    std::vector<upstream_state> upstreams;
    /// Index of each upstream by `endpoint_key` of its address.
    boost::unordered_flat_map<std::uint64_t, std::size_t> upstream_index;
    std::vector<balancer_target> balancers;
    std::vector<flow_source> sources;
    boost::unordered_flat_map<std::uint64_t, caller_flow> flows; ///< by id
    /// Id of each flow by `endpoint_key` of its caller.
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> flow_by_caller;
    /// `endpoint_key` of callers whose flow is closed and whose port may be
    /// used by a new flow.
    std::deque<std::uint64_t> reusable_callers;
    time_queue<timer> timers;
    time_queue<delayed_packet> delayed;
    fabric_faults faults;
    traffic_report report;
    std::uint64_t next_flow = 1;
    std::uint64_t next_caller = 0;
    bool measuring_imbalance = false;
    std::size_t measured_service = 0;
    clock_point next_sample;
    double imbalance_sum = 0;
    std::uint64_t imbalance_samples = 0;
    std::vector<endpoint> targets;
};

/// A packet to build and send through the fabric.
struct outgoing_packet {
    transport protocol = transport::tcp;
    endpoint source;
    endpoint destination;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::span<const std::uint8_t> payload;
    std::string side; ///< failure domain of the balancer; empty: any
    clock_point when; ///< earliest time of sending; default: no delay
};

/// Sends a packet to a balancer chosen at random by weight, applying the
/// faults of the fabric. `packet.side` limits the choice to one failure domain.
auto spray(endpoint_simulation &sim, const outgoing_packet &packet) -> void;

/// Map key of an endpoint: its address and port.
auto endpoint_key(const endpoint &value) -> std::uint64_t;

/// Opens the flows that are due, sends the next requests of open flows,
/// retransmits unanswered packets and closes flows at the end of their
/// lifetime.
auto advance_callers(endpoint_simulation &sim, clock_point now) -> void;

/// Handles a packet that a caller received.
auto on_caller_packet(endpoint_simulation &sim, const inner_packet &packet,
                      clock_point now) -> void;

/// Handles a packet that upstream `index` received from balancer `from`.
auto on_upstream_packet(endpoint_simulation &sim, std::size_t index,
                        const inner_packet &packet, const endpoint &from,
                        clock_point now) -> void;

/// Counts a packet in `midflow_packets` if its flow was opened at least 1 s
/// ago, and also in `midflow_relayed` if one balancer relayed it to another. A
/// relayed packet is recognised by its time to live, which each relay
/// decrements.
auto count_midflow_packet(endpoint_simulation &sim, const caller_flow &flow,
                          const inner_packet &packet, clock_point now) -> void;

/// Takes a sample of the imbalance of the measured service if a sample is due.
auto sample_imbalance(endpoint_simulation &sim, clock_point now) -> void;

/// Reads a payload header. Returns false if the payload has none.
auto read_payload_header(std::span<const std::uint8_t> payload,
                         payload_header &header) -> bool;

} // namespace dogwoodtrack::standin
