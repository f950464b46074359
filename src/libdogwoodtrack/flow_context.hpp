#pragma once

#include "dogwoodtrack/forwarding.hpp"

namespace dogwoodtrack {

/// Effect of a packet on the state of its flow. `opening` is a SYN or, for UDP,
/// a caller's packet of a flow whose upstream is unknown here; `ending` is a
/// FIN or RST.
enum class packet_event { opening, ending, data };

/// A packet that is being processed, with its flow and its service.
struct flow_context {
    packet_state &state;
    inner_packet &inner;
    const service_route &service;
    /// Upstream that sent the packet; null for a caller's packet.
    const upstream_route *from_upstream;
    flow_key key;
    std::uint64_t hash; ///< `hash_flow` of `key`
    flow_entry *entry;  ///< null for an unknown flow
    packet_event event;
    std::uint8_t hops; ///< number of times the packet has been relayed
    /// Member id in `relay_header::owner`, or 0 if the packet was not relayed.
    /// The reply to a lookup is sent to the balancer with this id.
    std::uint32_t requester;
    time_point now;
};

/// Forwards a caller's packet to `upstream`, or an upstream's packet to the
/// caller.
auto forward_packet(flow_context &it, const endpoint &upstream) -> void;

/// Relays the packet to the balancer with member id `to`. Drops it when that
/// balancer is not reachable or the packet has already been relayed `hop_limit`
/// times.
auto relay_packet(flow_context &it, std::uint32_t to, relay_header header)
    -> void;

/// Relays the packet to the owner of the service in `domain`, or handles it
/// here if this instance is that owner. Drops it when there is no owner.
auto route_to_owner(flow_context &it, relay_kind kind,
                    const domain_route &domain) -> void;

/// Failure domain whose owner keeps the record of this flow. If the flow has an
/// entry, this is the domain that the flow was forwarded to or, if it was not
/// forwarded, the domain of its upstream. If the flow has no entry, or the
/// upstream is not in the routing view, this is the first reachable domain in
/// the order of `rank_domains`. Null when there is no such domain.
auto home_domain(const flow_context &it) -> const domain_route *;

/// First reachable failure domain that follows `current` in the order of
/// `rank_domains` for this flow or, if `current` is 0, the first reachable one
/// in that order. Null when there is no such domain.
auto next_domain(const flow_context &it, std::uint32_t current)
    -> const domain_route *;

/// Route of the service in the failure domain `id`, or null if there is none.
auto find_domain(const service_route &service, std::uint32_t id)
    -> const domain_route *;

/// Handles a packet as the owner of the service in `domain`.
/// `recorded_upstream` is the upstream that the sender of a refresh has on
/// record. Precondition: this instance is that owner.
auto handle_as_owner(flow_context &it, relay_kind kind,
                     const domain_route &domain,
                     const endpoint &recorded_upstream) -> void;

/// Handles a packet that an owner sends through its replicas: records the
/// owner's decision and relays the packet to the next replica. The last replica
/// forwards it or, if the flow was forwarded to another failure domain, relays
/// it to the owner there. Drops the packet (`drop_kind::fenced`) if the
/// balancer that made the decision is not the owner in this instance's view, or
/// if the decision cannot be recorded.
auto handle_as_replica(flow_context &it, const relay_header &header) -> void;

/// Selects an upstream of `domain` that is below its limit and adds the flow
/// to the upstream's open-flow count. Returns null when each upstream is at its
/// limit, ejected or not in service. `by_default` is set to whether the
/// selected upstream is the one that the flow's hash prefers. Thread safe.
auto choose_upstream(const routing_view &view, const service_route &service,
                     const domain_route &domain, std::uint64_t hash,
                     bool &by_default) -> const upstream_route *;

/// Maximum number of open flows of an upstream: the limit of the contract or,
/// under `overload_policy::refuse`, that limit scaled by the upstream's weight,
/// but at least 1.
auto effective_limit(const service_route &service,
                     const upstream_route &upstream) -> std::uint32_t;

/// Binds the flow to `upstream` and updates the open-flow counts. `counted`
/// tells whether the caller of this function has already added the flow to the
/// open-flow count of `upstream`. When the table is full, undoes that addition
/// and returns null.
auto bind_flow(packet_state &state, const flow_key &key,
               const endpoint &upstream, bool counted, time_point now)
    -> flow_entry *;

/// Marks the flow as closed and subtracts it from the upstream's open-flow
/// count.
auto close_flow(packet_state &state, flow_entry &entry) -> void;

/// Records a FIN or RST; closes the flow on a RST, or once both sides have sent
/// a FIN.
auto record_fin_or_rst(packet_state &state, flow_entry &entry, bool from_caller,
                       bool reset) -> void;

/// Sets the time of the flow's last packet to `now`.
auto touch_flow(packet_state &state, flow_entry &entry, time_point now) -> void;

/// Records that the upstream has answered the flow and sets the time of the
/// flow's last packet to `now`. An opening flow becomes established.
auto confirm_flow(packet_state &state, flow_entry &entry, time_point now)
    -> void;

} // namespace dogwoodtrack
