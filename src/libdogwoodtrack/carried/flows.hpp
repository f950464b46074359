#pragma once

#include <deque>

#include <boost/container_hash/hash.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include "answers.hpp"

namespace dogwoodtrack::carried {

/// The two ends of a flow as its caller's packets name them.
struct flow_ends {
    endpoint caller;
    endpoint service;

    auto operator==(const flow_ends &) const -> bool = default;
};

/// What a balancer reads of a caller's packet.
struct packet_head {
    flow_ends ends;
    bool opens = false;
    bool finishes = false;
    bool aborts = false;
    std::uint32_t copy = 0;         ///< of an opening packet, from 0
    std::uint32_t binding = 0;      ///< last one that the caller received
    std::uint32_t acknowledged = 0; ///< of the upstream's bytes
    std::uint16_t payload = 0;
};

/// After this time without an answer a caller's attempt to open a flow ends.
inline constexpr milliseconds attempt_longest{1'400};

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
    bool counted = false; ///< counts as open at its upstream
    bool hung = false;    ///< was reported as hanging
    bool silent = false;  ///< counts as silent at its upstream
    std::uint8_t tries = 0;
    std::uint32_t acknowledged = 0; ///< when the request was sent
    std::uint32_t latest_acknowledged = 0;
    float answer_ms = 0; ///< from the request to its first answer
    time_point sent{};   ///< last opening packet forwarded
    time_point asked{};  ///< first byte of the request seen
    time_point last{};   ///< last packet seen
};

struct flow_ends_hash {
    auto operator()(const flow_ends &it) const -> std::size_t;
};

/// Flows seen by this instance, bounded. One thread at a time.
struct flow_table {
    boost::unordered_flat_map<flow_ends, flow, flow_ends_hash> all;
    /// Flows in the order in which the sweep looks at them.
    std::deque<flow_ends> sweep_order;
    /// What answers usually look like, by address.
    boost::unordered_flat_map<endpoint, answer_profile, endpoint_hash> usual;
    /// Packets from the middle of a flow began to arrive here: the fabric deals
    /// flows anew, and others have left for other balancers.
    time_point moved{};
    std::size_t limit = 50'000;
    std::uint64_t overflowed = 0;  ///< flows that found no room
    std::vector<float> answers_ms; ///< not yet in the metrics, bounded
};

/// The flow with these ends, or null.
auto find_flow(flow_table &flows, const flow_ends &ends) -> flow *;

/// Adds a flow; null when the table is full. Precondition: it is not there.
auto add_flow(flow_table &flows, const flow_ends &ends, time_point now)
    -> flow *;

/// Counts the flow at its upstream, once.
auto count_flow(upstream_table &upstreams, flow &it) -> void;

/// Takes the flow out of its upstream's count.
auto uncount_flow(upstream_table &upstreams, flow &it) -> void;

/// Binds the flow to an upstream and counts it there.
auto bind_flow(upstream_table &upstreams, flow &it, upstream_index to) -> void;

/// Takes note of a packet of the established flow `it`: handshake, request,
/// answer and end are told from the caller's side.
auto note_packet(flow_table &flows, upstream_table &upstreams, flow &it,
                 const packet_head &head, time_point now) -> void;

/// A flow to be reset, and what its caller last acknowledged.
struct flow_to_reset {
    flow_ends ends;
    std::uint32_t acknowledged = 0;
};

/// Whether the handshake is done and neither end has closed the flow.
auto is_established(const flow &it) -> bool;

/// Ends the flow here: late packets of it are still expected.
auto close_flow(upstream_table &upstreams, flow &it) -> void;

/// Looks at up to `most` flows: drops ended ones and those without packets,
/// and reports requests without an answer to their upstream.
auto sweep_flows(flow_table &flows, upstream_table &upstreams, std::size_t most,
                 time_point now) -> void;

} // namespace dogwoodtrack::carried
