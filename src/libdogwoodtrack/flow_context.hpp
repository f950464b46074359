#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// What one packet means for its flow.
enum class packet_event { opening, ending, data };

/// A packet together with what is known of its flow.
struct flow_context {
    packet_state &state;
    inner_packet &inner;
    const service_route &service;
    const upstream_route *from_upstream; ///< null for a caller's packet
    flow_key key;
    std::uint64_t hash;
    flow_entry *entry;
    packet_event event;
    std::uint8_t hops;
    std::uint32_t asker; ///< balancer that relayed first, 0 if this one
    time_point now;
};

/// Sends the packet on: a caller's to `upstream`, an upstream's to the
/// caller.
auto send_onward(flow_context &it, const endpoint &upstream) -> void;

/// Relays the packet to the balancer `to`; drops it past `hop_limit`.
auto relay_packet(flow_context &it, std::uint32_t to, relay_header header)
    -> void;

/// Takes the packet to the owner of `domain`, which may be this instance.
/// Without an owner there the packet is dropped.
auto ask_owner(flow_context &it, relay_kind kind, const domain_route &domain)
    -> void;

/// Failure domain that a packet of this flow has to be taken to, null when
/// none is reachable.
auto home_domain(const flow_context &it) -> const domain_route *;

/// Next reachable failure domain after `current` in the flow's order.
auto next_domain(const flow_context &it, std::uint32_t current)
    -> const domain_route *;

/// Domain of the service by identifier, or null.
auto find_domain(const service_route &service, std::uint32_t id)
    -> const domain_route *;

/// Decides as the owner of `domain`. Precondition: this instance owns it.
auto decide_as_owner(flow_context &it, relay_kind kind,
                     const domain_route &domain, const endpoint &hint) -> void;

/// Handles a decision of the owner that this instance replicates.
auto follow_owner(flow_context &it, const relay_header &header) -> void;

/// An upstream with room for the flow, its place already counted; null when
/// every one of the domain's is full. `by_default` tells whether it is the
/// flow's hash default.
auto choose_upstream(const routing_view &view, const service_route &service,
                     const domain_route &domain, std::uint64_t hash,
                     bool &by_default) -> const upstream_route *;

/// Limit of an upstream under the service's overload policy.
auto effective_limit(const service_route &service,
                     const upstream_route &upstream) -> std::uint32_t;

/// Records `upstream` for the flow and keeps the counts of open flows true.
/// With `counted` the place was already taken. Returns null when the table
/// is full.
auto bind_flow(packet_state &state, const flow_key &key,
               const endpoint &upstream, bool counted, time_point now)
    -> flow_entry *;

/// Marks the flow as ended and gives its place back.
auto close_flow(packet_state &state, flow_entry &entry) -> void;

/// Notes a FIN or RST.
auto note_ending(packet_state &state, flow_entry &entry, bool from_caller,
                 bool reset) -> void;

/// Notes a packet of the flow.
auto touch_flow(packet_state &state, flow_entry &entry, time_point now) -> void;

/// Notes a packet that shows that the upstream has answered the flow.
auto confirm_flow(packet_state &state, flow_entry &entry, time_point now)
    -> void;

} // namespace dogwoodtrack
