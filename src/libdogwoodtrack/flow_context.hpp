#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// Effect of a packet on the state of its flow.
enum class packet_event { opening, ending, data };

/// A packet that is being processed, with its flow and its service.
struct flow_context {
    packet_state &state;
    inner_packet &inner;
    const service_route &service;
    const upstream_route *from_upstream; ///< null for a caller's packet
    flow_key key;
    std::uint64_t hash; ///< `hash_flow` of `key`
    flow_entry *entry;  ///< null for an unknown flow
    packet_event event;
    std::uint8_t hops;
    std::uint32_t requester; ///< balancer that relayed first, 0: this one
    time_point now;
};

/// Forwards a caller's packet to `upstream`, or an upstream's packet to the
/// caller.
auto forward_packet(flow_context &it, const endpoint &upstream) -> void;

/// Relays the packet to the balancer `to`. Drops it when that balancer is not
/// reachable or the packet has made `hop_limit` relays.
auto relay_packet(flow_context &it, std::uint32_t to, relay_header header)
    -> void;

/// Relays the packet to the owner of `domain`, or handles it here if this
/// instance is the owner. Drops it when the domain has no owner.
auto route_to_owner(flow_context &it, relay_kind kind,
                    const domain_route &domain) -> void;

/// Failure domain whose owner keeps the record of this flow: that of its
/// entry or, for an unknown flow, the first reachable one in the flow's
/// order. Null when there is none.
auto home_domain(const flow_context &it) -> const domain_route *;

/// Next reachable failure domain after `current` in the flow's order, the
/// first reachable one if `current` is 0, or null.
auto next_domain(const flow_context &it, std::uint32_t current)
    -> const domain_route *;

/// Failure domain of the service by identifier, or null.
auto find_domain(const service_route &service, std::uint32_t id)
    -> const domain_route *;

/// Handles a packet as the owner of the service in `domain`. `hint` is the
/// upstream that the sender of a refresh has on record. Precondition: this
/// instance is the owner.
auto handle_as_owner(flow_context &it, relay_kind kind,
                     const domain_route &domain, const endpoint &hint) -> void;

/// Handles a packet on its way through the replication chain: records the
/// owner's decision and passes the packet on.
auto handle_as_replica(flow_context &it, const relay_header &header) -> void;

/// Selects an upstream of `domain` that is below its limit and adds the flow
/// to its open-flow count; null when all are at their limits. `by_default` is
/// set to whether it is the one that the flow's hash prefers. Thread safe.
auto choose_upstream(const routing_view &view, const service_route &service,
                     const domain_route &domain, std::uint64_t hash,
                     bool &by_default) -> const upstream_route *;

/// Largest number of open flows of an upstream under the service's overload
/// policy.
auto effective_limit(const service_route &service,
                     const upstream_route &upstream) -> std::uint32_t;

/// Binds the flow to `upstream` and updates the open-flow counts. `counted`
/// tells that the flow has already been added to the count of `upstream`.
/// Returns null when the table is full; the count is then taken back.
auto bind_flow(packet_state &state, const flow_key &key,
               const endpoint &upstream, bool counted, time_point now)
    -> flow_entry *;

/// Marks the flow as closed and takes it out of the open-flow count.
auto close_flow(packet_state &state, flow_entry &entry) -> void;

/// Records a FIN or RST; closes the flow after a RST or the second FIN.
auto record_fin_or_rst(packet_state &state, flow_entry &entry, bool from_caller,
                       bool reset) -> void;

/// Updates the time of the last packet of the flow.
auto touch_flow(packet_state &state, flow_entry &entry, time_point now) -> void;

/// Records that the upstream has answered the flow; an opening flow becomes
/// established.
auto confirm_flow(packet_state &state, flow_entry &entry, time_point now)
    -> void;

} // namespace dogwoodtrack
