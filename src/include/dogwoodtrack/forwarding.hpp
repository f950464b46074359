#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <vector>

#include "dogwoodtrack/flow_table.hpp"
#include "dogwoodtrack/routing.hpp"

namespace dogwoodtrack {

/// Counters of a packet worker, besides those of dropped packets.
enum class packet_counter : std::uint8_t {
    received,
    forwarded,    ///< packets sent to an upstream
    answered,     ///< packets sent to a caller
    relayed_open, ///< packets relayed with `relay_kind::open`
    relayed_lookup,
    relayed_close, ///< relayed with `relay_kind::close` or `relay_kind::gone`
    relayed_refresh,
    relayed_chain,
    relayed_answer,
    relayed_found,
    placed, ///< flows for which this instance selected an upstream
    /// Those of `placed` that went to the upstream preferred by their hash.
    placed_by_default,
    forwarded_to_domain, ///< flows forwarded to another failure domain
    refused,             ///< flows refused with a reset or an ICMP message
    /// Flows learned from an upstream's answer or a lookup.
    learned,
    /// Flows whose binding a new owner took over from a learned entry or a
    /// refresh.
    adopted,
    count
};

/// Counter name, for example `relayed_open`. Thread safe.
auto to_string(packet_counter counter) -> std::string_view;

/// Values of the counters of one packet worker. Written by the worker, read by
/// any thread.
struct packet_counters {
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(packet_counter::count)>
        values{};
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(drop_kind::count)>
        drops{};
    std::atomic<std::uint64_t> flows{0}; ///< entries in the flow table
};

/// How new flows are assigned to upstreams.
enum class placement_mode {
    owner, ///< by one owner for each service and failure domain
    hash   ///< stateless rendezvous hash, as a baseline for comparison
};

/// Lease that permits this instance to place flows, renewed while it receives
/// messages from a majority of its failure domain. Written by the controllers,
/// checked at each placement.
struct placement_lease {
    /// End of the lease in `time_point` ticks, 0 when there is none.
    std::atomic<time_point::rep> valid_until{0};

    /// Whether the lease is valid at `now`. Thread safe.
    auto holds(time_point now) const -> bool {
        return now.time_since_epoch().count() <
               valid_until.load(std::memory_order_acquire);
    }
};

/// Settings of a packet worker.
struct forwarding_options {
    mac_key key{};   ///< authenticates relayed packets
    endpoint fabric; ///< where packets to callers and upstreams are sent
    /// Maximum number of flows in the table of this worker.
    std::size_t flow_capacity = 500'000;
    /// Interval at which this instance, while it forwards the packets of a flow
    /// owned by another instance, tells the owner that the flow is in use.
    milliseconds refresh_interval{60'000};
    placement_mode placement = placement_mode::owner;
};

/// One packet to send.
struct outgoing_packet {
    endpoint to;
    std::span<const std::uint8_t> outer; ///< with its Geneve header
};

/// A flow that was removed because no upstream has answered its opening. This
/// instance tells the replicas to close the flow.
struct expired_flow {
    flow_key key;
    endpoint upstream;
};

/// State of one packet worker. Not thread safe, except for `lease` and
/// `counters`.
struct packet_state {
    packet_state(forwarding_options options, time_point started,
                 const placement_lease &lease, packet_counters &counters);

    forwarding_options options;
    time_point started;
    const placement_lease &lease;
    packet_counters &counters;
    std::shared_ptr<const routing_view> view;
    flow_table flows;
    std::vector<outgoing_packet> out;   ///< packets to send
    std::vector<expired_flow> expired;  ///< to be reported to the controllers
    std::vector<packet_buffer> scratch; ///< buffers for refusals
    std::size_t scratch_used = 0; ///< buffers of `scratch` that `out` refers to

    /// Converts `now` to ticks of the flow table.
    auto tick(time_point now) const -> std::uint32_t;
};

/// Parses one outer packet, decides where it goes and appends the packets to
/// send to `state.out`. The bytes are rewritten in place and must stay valid
/// until those packets are sent. Preconditions: `state.view` is set, `bytes`
/// has `packet_headroom` free bytes in front of it, and the caller is the
/// thread that owns `state`.
auto handle_packet(packet_state &state, std::span<std::uint8_t> bytes,
                   time_point now) -> void;

/// As `handle_packet` for a packet that `parse_packet` accepted; does not
/// count it as received.
auto handle_parsed_packet(packet_state &state, outer_packet &packet,
                          time_point now) -> void;

/// Hash by which a packet is assigned to a packet worker, equal for both
/// directions of a flow; 0 if the packet belongs to no service. Thread safe.
auto worker_hash(const routing_view &view, const inner_packet &inner)
    -> std::uint64_t;

/// Counts a packet as dropped for the reason `kind`.
auto drop_packet(packet_state &state, drop_kind kind) -> void;

/// Increments a counter.
auto count(packet_state &state, packet_counter counter) -> void;

} // namespace dogwoodtrack
