#pragma once

#include <deque>
#include <queue>
#include <random>

#include <boost/unordered/unordered_flat_map.hpp>

#include "dogwoodtrack/link.hpp"
#include "traffic.hpp"

namespace dogwoodtrack::standin {

using clock_point = std::chrono::steady_clock::time_point;

/// Header of every request and answer payload.
struct payload_header {
    std::uint32_t magic = 0;
    std::uint32_t request = 0;
    std::uint64_t flow = 0;
    std::uint16_t part = 0;
    std::uint16_t parts = 0;
    std::uint16_t service = 0;
    std::uint16_t upstream = 0;
};

inline constexpr std::uint32_t request_magic = 0x52455131;
inline constexpr std::uint32_t answer_magic = 0x414e5331;

enum class flow_state : std::uint8_t { opening, asking, resting, ending, over };

/// One flow as its caller sees it.
struct caller_flow {
    std::uint64_t id = 0;
    std::size_t profile = 0;
    endpoint caller;
    flow_state state = flow_state::opening;
    std::uint32_t sequence = 0;
    std::uint32_t request = 0;
    std::uint32_t answers = 0;
    std::uint64_t parts_seen = 0;
    std::uint32_t tries = 0;
    std::uint16_t answered_by = 0;
    bool reached_upstream = false;
    bool payload_moved = false;
    std::uint16_t request_at = 0; ///< 1 + upstream that got the request
    clock_point opened;
    clock_point established;
    clock_point asked;
    clock_point due;
};

/// One connection as an upstream sees it.
struct upstream_connection {
    std::uint64_t flow = 0;
    std::uint32_t sequence = 0;
    std::uint32_t last_request = 0;
    bool open = true;
};

/// One upstream with its connections.
struct upstream_state {
    upstream_profile profile;
    boost::unordered_flat_map<std::uint64_t, upstream_connection> connections;
    std::uint32_t open = 0;
    bool leaving = false;
    clock_point leaving_since;
    clock_point busy_until;
};

/// Flows of one profile.
struct flow_source {
    flow_profile profile;
    std::uint64_t opened = 0;
    clock_point next;
    bool active = true;
};

/// A moment at which something has to be looked at.
struct timer {
    clock_point when;
    std::uint64_t flow = 0;
    auto operator>(const timer &other) const -> bool {
        return when > other.when;
    }
};

/// An inner packet that waits for its time.
struct delayed_packet {
    clock_point when;
    std::vector<std::uint8_t> outer;
    std::string side;
    auto operator>(const delayed_packet &other) const -> bool {
        return when > other.when;
    }
};

template <typename T>
using time_queue = std::priority_queue<T, std::vector<T>, std::greater<T>>;

/// Everything the traffic thread works on.
struct endpoints {
    endpoints(link opened, std::uint64_t seed)
        : socket(std::move(opened)), random(seed) {}

    link socket;
    std::mt19937_64 random;
    std::vector<service_profile> services;
    std::vector<upstream_state> upstreams;
    boost::unordered_flat_map<std::uint64_t, std::size_t> upstream_index;
    std::vector<balancer_target> balancers;
    std::vector<flow_source> sources;
    boost::unordered_flat_map<std::uint64_t, caller_flow> flows;
    boost::unordered_flat_map<std::uint64_t, std::uint64_t> by_caller;
    std::deque<std::uint64_t> free_callers;
    time_queue<timer> timers;
    time_queue<delayed_packet> delayed;
    fabric_faults faults;
    traffic_report report;
    std::uint64_t next_flow = 1;
    std::uint64_t next_caller = 0;
    bool measuring = false;
    std::size_t measured_service = 0;
    clock_point next_sample;
    double imbalance_sum = 0;
    std::uint64_t imbalance_samples = 0;
    std::vector<endpoint> targets; ///< scratch of the spray
};

/// A packet to build and spray.
struct outgoing {
    transport protocol = transport::tcp;
    endpoint source;
    endpoint destination;
    std::uint8_t flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::span<const std::uint8_t> payload;
    std::string side;
    clock_point when; ///< not before
};

/// Hands one packet to a balancer chosen at random; `side` limits the choice
/// to one failure domain.
auto spray(endpoints &it, const outgoing &packet) -> void;

/// Number of an endpoint as a map key.
auto number_of(const endpoint &value) -> std::uint64_t;

/// Opens due flows, repeats unanswered packets, ends old flows.
auto drive_callers(endpoints &it, clock_point now) -> void;

/// A packet for a caller.
auto caller_receives(endpoints &it, const inner_packet &packet, clock_point now)
    -> void;

/// A packet for the upstream with this index.
auto upstream_receives(endpoints &it, std::size_t index,
                       const inner_packet &packet, const endpoint &from,
                       clock_point now) -> void;

/// Counts a packet between opening and closing of a flow older than a
/// second. Every relay takes one off the time to live.
auto note_relaying(endpoints &it, const caller_flow &flow,
                   const inner_packet &packet, clock_point now) -> void;

/// Takes a sample of the imbalance if one is due.
auto sample_imbalance(endpoints &it, clock_point now) -> void;

/// Reads a payload header; false if there is none.
auto read_header(std::span<const std::uint8_t> payload, payload_header &header)
    -> bool;

} // namespace dogwoodtrack::standin
