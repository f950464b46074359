#pragma once

#include <deque>

#include <boost/container_hash/hash.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/load/load_tracker.hpp"
#include "carried/upstreams/outlier_ejection.hpp"

namespace dogwoodtrack::carried {

/// Endpoints of a flow as given in its caller's packets.
struct flow_endpoints {
    endpoint caller;
    endpoint service;

    auto operator==(const flow_endpoints &) const -> bool = default;
};

/// Header fields of a caller's packet that a balancer evaluates.
struct packet_header {
    flow_endpoints endpoints;
    bool opens = false;    ///< opening packet
    bool finishes = false; ///< the caller closes the flow
    bool aborts = false;   ///< the caller resets the flow
    /// Number of times that this opening packet was sent before.
    std::uint32_t retransmission = 0;
    std::uint32_t binding = 0; ///< binding code that the caller last received
    std::uint32_t acknowledged = 0; ///< acknowledgement number
    std::uint16_t payload = 0;      ///< size in bytes
};

/// Binding code in packets of callers that have not received any.
inline constexpr std::uint32_t no_binding = 0;

/// A caller's attempt to open a flow times out after this time.
inline constexpr milliseconds connect_timeout{1'400};

/// Stage of a flow, as inferred from the caller's packets.
enum class flow_stage : std::uint8_t {
    opening,   ///< handshake not completed
    open,      ///< handshake completed, no request sent
    requested, ///< request sent, no response acknowledged
    answered,  ///< part of a response acknowledged
    closed     ///< kept only to recognise late packets
};

/// State of one flow, for routing, load counting, response statistics and
/// retransmissions of the opening packet. If this state is lost, an established
/// flow continues: its packets are then routed by the binding code that they
/// carry.
struct flow {
    upstream_index to = no_upstream;
    std::uint32_t code = 0; ///< binding code of the upstream `to`
    flow_stage stage = flow_stage::opening;
    bool counted = false;   ///< included in `upstream_stats::open`
    bool timed_out = false; ///< the current request has timed out
    /// Was added to `upstream_stats::silent_flows` for the current request.
    bool silent = false;
    /// Stands for a request in `cold_usage::held` of the upstream `to`.
    bool holds_quota = false;
    std::uint8_t attempts = 0; ///< number of times that an upstream was chosen
    std::uint8_t priority = 0; ///< of the flow's route, see `priority_index`
    bool under_way = false;    ///< its request is counted by the load tracker
    /// Acknowledgement number when the current request was sent.
    std::uint32_t acknowledged_at_request = 0;
    std::uint32_t latest_acknowledged = 0; ///< latest acknowledgement number
    float response_ms = 0;     ///< from the request to its first response bytes
    time_point opening_sent{}; ///< when the last opening packet was forwarded
    time_point request_seen{}; ///< when the request's first packet arrived
    time_point last_packet{};  ///< when the last packet arrived
};

struct flow_endpoints_hash {
    auto operator()(const flow_endpoints &it) const -> std::size_t;
};

/// Flows handled by this instance, at most `limit`. Not thread safe.
struct flow_table {
    boost::unordered_flat_map<flow_endpoints, flow, flow_endpoints_hash> all;
    /// Flows in the order in which `sweep_flows` checks them.
    std::deque<flow_endpoints> sweep_order;
    /// Baseline of response time and size by service address.
    boost::unordered_flat_map<endpoint, response_profile, endpoint_hash>
        profiles;
    /// Arrival of the last packet without payload that belongs to an
    /// established flow missing from the table. Such a packet is taken as a
    /// sign that the fabric has rehashed flows, so flows of this instance may
    /// have moved to other instances.
    time_point last_rehash{};
    std::size_t limit = 50'000;   ///< maximum number of flows in `all`
    std::uint64_t overflowed = 0; ///< flows not added because of `limit`
    /// Response times that the metrics have not yet taken, at most 1,024.
    std::vector<float> response_times_ms;
    load_tracker load; ///< load seen in the flows' packets
};

/// The flow with these endpoints, or null.
auto find_flow(flow_table &flows, const flow_endpoints &endpoints) -> flow *;

/// Adds a flow, or returns null if the table is full. Precondition: the flow is
/// not in the table.
auto add_flow(flow_table &flows, const flow_endpoints &endpoints,
              time_point now) -> flow *;

/// Counts the flow as open at its upstream unless it is already counted.
auto count_flow(upstream_table &upstreams, flow &it) -> void;

/// Removes the flow from its upstream's count of open flows if it is counted.
auto uncount_flow(upstream_table &upstreams, flow &it) -> void;

/// Binds the flow to an upstream and counts it there as open.
auto bind_flow(upstream_table &upstreams, flow &it, upstream_index to) -> void;

/// Updates the flow `it` with a packet of its caller that is not an opening
/// packet. Handshake, request, response and end are inferred from the caller's
/// packets alone.
auto track_packet(flow_table &flows, upstream_table &upstreams, flow &it,
                  const packet_header &header, time_point now) -> void;

/// A flow to be reset, and the latest acknowledgement number of its caller.
struct flow_to_reset {
    flow_endpoints endpoints;
    std::uint32_t acknowledged = 0;
};

/// Whether the handshake is completed and the flow is not closed.
auto is_established(const flow &it) -> bool;

/// Ends the flow's request for the load tracker if it is under way.
auto end_tracked_request(flow_table &flows, flow &it) -> void;

/// Marks the flow as closed. Its entry is kept for a while for late packets.
auto close_flow(flow_table &flows, upstream_table &upstreams, flow &it) -> void;

/// Checks up to `max_flows` flows, continuing where the last call stopped:
/// removes those that were closed or idle for long enough, and records
/// unanswered requests in the statistics of the upstreams.
auto sweep_flows(flow_table &flows, upstream_table &upstreams,
                 std::size_t max_flows, time_point now) -> void;

} // namespace dogwoodtrack::carried
