#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <vector>

#include "dogwoodtrack/flow_table.hpp"
#include "dogwoodtrack/routing.hpp"

namespace dogwoodtrack {

/// What a packet worker counts, besides drops by kind.
enum class packet_counter : std::uint8_t {
    received,
    forwarded,
    answered,
    relayed_open,
    relayed_lookup,
    relayed_close,
    relayed_refresh,
    relayed_chain,
    relayed_answer,
    relayed_found,
    placed,
    placed_by_default,
    forwarded_to_domain,
    refused,
    learned,
    adopted,
    count
};

/// Counter name, for example `relayed_open`. Thread safe.
auto to_string(packet_counter counter) -> std::string_view;

/// Counters of one worker. Written by the worker, read by any thread.
struct packet_counters {
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(packet_counter::count)>
        values{};
    std::array<std::atomic<std::uint64_t>,
               static_cast<std::size_t>(drop_kind::count)>
        drops{};
    std::atomic<std::uint64_t> flows{0};
};

/// How new flows are spread over upstreams.
enum class placement_mode {
    owner, ///< one owner a service and failure domain
    hash   ///< plain rendezvous hash without records, for comparison
};

/// The right to place flows, renewed while a majority of the failure domain
/// is heard. Written by the controllers, checked at each placement.
struct placement_lease {
    std::atomic<time_point::rep> valid_until{0};

    /// Whether the lease holds at `now`. Thread safe.
    auto holds(time_point now) const -> bool {
        return now.time_since_epoch().count() <
               valid_until.load(std::memory_order_acquire);
    }
};

/// Settings of a packet worker.
struct forwarding_options {
    mac_key key{};
    endpoint fabric;
    std::size_t flow_capacity = 500'000;
    milliseconds refresh_interval{60'000};
    placement_mode placement = placement_mode::owner;
};

/// One packet to send.
struct outgoing_packet {
    endpoint to;
    std::span<const std::uint8_t> outer;
};

/// A flow whose record peers should remove, because its opening was never
/// answered.
struct expired_flow {
    flow_key key;
    endpoint upstream;
};

/// Everything one packet worker reads and writes. One thread uses it.
struct packet_state {
    packet_state(forwarding_options options, time_point started,
                 const placement_lease &lease, packet_counters &counters);

    forwarding_options options;
    time_point started;
    const placement_lease &lease;
    packet_counters &counters;
    std::shared_ptr<const routing_view> view;
    flow_table flows;
    std::vector<outgoing_packet> out;
    std::vector<expired_flow> expired;
    std::vector<packet_buffer> scratch;
    std::size_t scratch_used = 0;

    /// `now` in ticks of the flow table.
    auto tick(time_point now) const -> std::uint32_t;
};

/// Decides about one outer packet and appends what to send to `state.out`.
/// The bytes are rewritten in place and must stay valid until sent.
/// Precondition: `state.view` is set.
auto handle_packet(packet_state &state, std::span<std::uint8_t> bytes,
                   time_point now) -> void;

/// Decides about a packet that `parse_packet` accepted.
auto handle_parsed(packet_state &state, outer_packet &packet, time_point now)
    -> void;

/// Hash that assigns a packet to a worker, the same for both directions of a
/// flow.
auto worker_hash(const routing_view &view, const inner_packet &inner)
    -> std::uint64_t;

/// Counts a packet that is not forwarded.
auto drop_packet(packet_state &state, drop_kind kind) -> void;

/// Adds one to a counter.
auto count(packet_state &state, packet_counter counter) -> void;

} // namespace dogwoodtrack
