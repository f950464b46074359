#pragma once

#include <deque>

#include <boost/container_hash/hash.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include "answers.hpp"

namespace dogwoodtrack::carried {

/// The two ends of a flow as its caller's packets name them.
struct flow_endpoints {
    endpoint caller;
    endpoint service;

    auto operator==(const flow_endpoints &) const -> bool = default;
};

/// What a balancer reads of a caller's packet.
struct packet_header {
    flow_endpoints endpoints;
    bool opens = false;
    bool finishes = false;
    bool aborts = false;
    std::uint32_t retransmission = 0; ///< of an opening packet, from 0
    std::uint32_t binding = 0;        ///< last one that the caller received
    std::uint32_t acknowledged = 0;   ///< of the upstream's bytes
    std::uint16_t payload = 0;
};

/// After this time without an answer a caller's attempt to open a flow ends.
inline constexpr milliseconds connect_timeout{1'400};

/// How far a flow has come, as seen from the caller's packets.
enum class flow_stage : std::uint8_t {
    opening,   ///< no answer seen
    open,      ///< handshake done, nothing asked
    requested, ///< bytes sent, no answer acknowledged
    answered,  ///< part of an answer acknowledged
    closed     ///< kept for late packets only
};

/// One flow, for counting and for copies of its opening packet. The way of
/// its packets stands in the packets themselves.
struct flow {
    upstream_index to = no_upstream;
    std::uint32_t code = 0;
    flow_stage stage = flow_stage::opening;
    bool counted = false;   ///< counts as open at its upstream
    bool timed_out = false; ///< was reported as hanging
    bool silent = false;    ///< counts as silent at its upstream
    std::uint8_t attempts = 0;
    std::uint32_t acknowledged_at_request = 0;
    std::uint32_t latest_acknowledged = 0;
    float response_ms = 0;     ///< from the request to its first answer
    time_point opening_sent{}; ///< last opening packet forwarded
    time_point request_seen{}; ///< first byte of the request seen
    time_point last_packet{};  ///< last packet seen
};

struct flow_endpoints_hash {
    auto operator()(const flow_endpoints &it) const -> std::size_t;
};

/// Flows seen by this instance, bounded. One thread at a time.
struct flow_table {
    boost::unordered_flat_map<flow_endpoints, flow, flow_endpoints_hash> all;
    /// Flows in the order in which the sweep looks at them.
    std::deque<flow_endpoints> sweep_order;
    /// What answers usually look like, by address.
    boost::unordered_flat_map<endpoint, response_profile, endpoint_hash>
        profiles;
    /// Packets from the middle of a flow began to arrive here: the fabric deals
    /// flows anew, and others have left for other balancers.
    time_point last_rehash{};
    std::size_t limit = 50'000;
    std::uint64_t overflowed = 0;         ///< flows that found no room
    std::vector<float> response_times_ms; ///< not yet in the metrics, bounded
};

/// The flow with these ends, or null.
auto find_flow(flow_table &flows, const flow_endpoints &endpoints) -> flow *;

/// Adds a flow; null when the table is full. Precondition: it is not there.
auto add_flow(flow_table &flows, const flow_endpoints &endpoints,
              time_point now) -> flow *;

/// Counts the flow at its upstream, once.
auto count_flow(upstream_table &upstreams, flow &it) -> void;

/// Takes the flow out of its upstream's count.
auto uncount_flow(upstream_table &upstreams, flow &it) -> void;

/// Binds the flow to an upstream and counts it there.
auto bind_flow(upstream_table &upstreams, flow &it, upstream_index to) -> void;

/// Takes note of a packet of the established flow `it`: handshake, request,
/// answer and end are told from the caller's side.
auto track_packet(flow_table &flows, upstream_table &upstreams, flow &it,
                  const packet_header &header, time_point now) -> void;

/// A flow to be reset, and what its caller last acknowledged.
struct flow_to_reset {
    flow_endpoints endpoints;
    std::uint32_t acknowledged = 0;
};

/// Whether the handshake is done and neither end has closed the flow.
auto is_established(const flow &it) -> bool;

/// Ends the flow here: late packets of it are still expected.
auto close_flow(upstream_table &upstreams, flow &it) -> void;

/// Looks at up to `most` flows: drops ended ones and those without packets,
/// and reports requests without an answer to their upstream.
auto sweep_flows(flow_table &flows, upstream_table &upstreams,
                 std::size_t max_flows, time_point now) -> void;

} // namespace dogwoodtrack::carried
