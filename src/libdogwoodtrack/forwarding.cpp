#include "dogwoodtrack/forwarding.hpp"

#include "flow_context.hpp"

namespace dogwoodtrack {

namespace {

auto event_of(const inner_packet &inner, bool from_caller,
              const flow_entry *entry) -> packet_event {
    if (inner.protocol == transport::udp) {
        const auto opening =
            from_caller && (entry == nullptr || entry->forwarded_domain() != 0);
        return opening ? packet_event::opening : packet_event::data;
    }
    if ((inner.tcp_flags & (tcp_fin | tcp_rst)) != 0)
        return packet_event::ending;
    if ((inner.tcp_flags & tcp_syn) != 0)
        return packet_event::opening;
    return packet_event::data;
}

auto key_of(const inner_packet &inner, const endpoint &service,
            bool from_caller) -> flow_key {
    return {.caller = from_caller ? inner.source : inner.destination,
            .service = service,
            .protocol = inner.protocol};
}

struct packet_match {
    const service_route *service = nullptr;
    const upstream_route *upstream = nullptr;
};

auto match_packet(const routing_view &view, const inner_packet &inner)
    -> packet_match {
    if (const auto *service =
            view.find_service(inner.destination, inner.protocol))
        return {.service = service};
    if (const auto *upstream = view.find_upstream(inner.source, inner.protocol))
        return {.service = &view.services[upstream->service],
                .upstream = upstream};
    return {};
}

auto relay_counter(relay_kind kind) -> packet_counter {
    switch (kind) {
    case relay_kind::open:
        return packet_counter::relayed_open;
    case relay_kind::lookup:
        return packet_counter::relayed_lookup;
    case relay_kind::close:
    case relay_kind::gone:
        return packet_counter::relayed_close;
    case relay_kind::refresh:
        return packet_counter::relayed_refresh;
    case relay_kind::chain:
        return packet_counter::relayed_chain;
    case relay_kind::found:
        return packet_counter::relayed_found;
    case relay_kind::answer:
        break;
    }
    return packet_counter::relayed_answer;
}

// A refresh is due if the last one is at least one interval old or was sent
// before the owner changed.
auto refresh_due(const flow_context &it, const domain_route &domain) -> bool {
    const auto &state = it.state;
    const auto last = it.entry->last_refresh;
    if (state.tick(it.now) - last >=
        static_cast<std::uint32_t>(state.options.refresh_interval / flow_tick))
        return true;
    return last < state.tick(domain.owned_since);
}

auto upstream_by_hash(const routing_view &view, const service_route &service,
                      std::uint64_t hash) -> const upstream_route * {
    const upstream_route *best = nullptr;
    double best_score = -1;
    for (const auto &domain : service.domains) {
        for (const auto index : domain.upstreams) {
            const auto &it = view.upstreams[index];
            const auto score = rendezvous_score(hash, it.id, it.capacity);
            if (it.in_service && score > best_score) {
                best = &it;
                best_score = score;
            }
        }
    }
    return best;
}

// Handles a packet under `placement_mode::hash`, the baseline for comparison:
// stateless hashing, without records or relays.
auto handle_by_hash(flow_context &it) -> void {
    if (it.from_upstream != nullptr)
        return forward_packet(it, it.from_upstream->address);
    const auto *upstream =
        upstream_by_hash(*it.state.view, it.service, it.hash);
    if (upstream == nullptr)
        return drop_packet(it.state, drop_kind::no_owner);
    forward_packet(it, upstream->address);
}

// Whether the packet may be forwarded to the upstream in this instance's record
// of the flow without asking the owner. This requires that the record names an
// upstream, and that the record is learned or the upstream has answered: until
// an upstream has answered, the owner may place the flow on another one.
auto may_use_record(const flow_context &it) -> bool {
    return it.entry != nullptr && it.entry->forwarded_domain() == 0 &&
           (it.entry->role == flow_role::learned || it.entry->confirmed);
}

auto handle_caller_data(flow_context &it) -> void {
    const auto *domain = home_domain(it);
    const auto usable = may_use_record(it);
    if (usable) {
        const auto refresh = domain != nullptr && domain->owner != 0 &&
                             domain->owner != it.state.view->self &&
                             refresh_due(it, *domain);
        confirm_flow(it.state, *it.entry, it.now);
        if (!refresh)
            return forward_packet(it, it.entry->upstream);
        it.entry->last_refresh = it.state.tick(it.now);
        return route_to_owner(it, relay_kind::refresh, *domain);
    }
    if (domain == nullptr)
        return drop_packet(it.state, drop_kind::no_owner);
    route_to_owner(it, relay_kind::lookup, *domain);
}

auto handle_caller(flow_context &it) -> void {
    if (it.event == packet_event::data)
        return handle_caller_data(it);
    const auto *domain = home_domain(it);
    if (domain == nullptr)
        return drop_packet(it.state, drop_kind::no_owner);
    route_to_owner(it,
                   it.event == packet_event::opening ? relay_kind::open
                                                     : relay_kind::close,
                   *domain);
}

auto learn_flow(flow_context &it, const endpoint &upstream) -> void {
    auto *entry = it.entry;
    if (entry == nullptr) {
        entry = it.state.flows.insert(it.key);
        if (entry == nullptr)
            return;
        count(it.state, packet_counter::learned);
    }
    entry->upstream = upstream;
    entry->role = flow_role::learned;
    entry->phase = flow_phase::established;
    entry->opened = it.state.tick(it.now);
    entry->last_refresh = it.state.tick(it.now);
    confirm_flow(it.state, *entry, it.now);
    it.entry = entry;
}

// Records that the flow is bound to `upstream`, as an answer or the reply to a
// lookup shows. An authoritative record stays authoritative. It also keeps its
// upstream, unless the flow was forwarded to another failure domain: then the
// record takes the upstream that was selected there.
auto learn_upstream(flow_context &it, const endpoint &upstream) -> void {
    if (it.entry == nullptr || it.entry->role == flow_role::learned)
        return learn_flow(it, upstream);
    if (it.entry->forwarded_domain() != 0)
        it.entry->upstream = upstream;
    confirm_flow(it.state, *it.entry, it.now);
}

// Handles the owner's reply to a lookup, which carries the caller's packet and
// the upstream of its flow: records the binding and forwards the packet.
auto handle_found(flow_context &it, const relay_header &header) -> void {
    const auto *upstream =
        it.state.view->find_upstream(header.upstream, it.key.protocol);
    if (it.from_upstream != nullptr || upstream == nullptr ||
        &it.state.view->services[upstream->service] != &it.service)
        return drop_packet(it.state, drop_kind::bad_relay);
    learn_upstream(it, header.upstream);
    forward_packet(it, header.upstream);
}

auto route_answer_to_owner(flow_context &it, relay_kind kind) -> void {
    const auto *domain =
        find_domain(it.service, it.from_upstream->failure_domain);
    if (domain == nullptr || domain->owner == 0 || !domain->reachable)
        return forward_packet(it, it.from_upstream->address);
    route_to_owner(it, kind, *domain);
}

auto handle_upstream(flow_context &it) -> void {
    const auto opening = it.event == packet_event::opening;
    const auto &from = it.from_upstream->address;
    const auto learned_or_unknown =
        it.entry == nullptr || it.entry->role == flow_role::learned;
    const auto from_other_upstream = it.entry != nullptr &&
                                     it.entry->forwarded_domain() == 0 &&
                                     it.entry->upstream != from;
    if (it.event == packet_event::ending) {
        if (it.entry != nullptr && learned_or_unknown && !from_other_upstream)
            it.entry->phase = flow_phase::closing;
        return route_answer_to_owner(it, relay_kind::gone);
    }
    if (!from_other_upstream || (learned_or_unknown && opening))
        learn_upstream(it, from);
    if (opening || (learned_or_unknown && from_other_upstream))
        return route_answer_to_owner(it, relay_kind::answer);
    if (from_other_upstream)
        return drop_packet(it.state, drop_kind::stale_answer);
    forward_packet(it, from);
}

// Handles a relayed packet. Every kind but `chain` and `found` is for the owner
// in the failure domain of the header. If, in this instance's view, another
// balancer is that owner, the packet is relayed further to that balancer.
auto handle_relayed(flow_context &it, const relay_header &header) -> void {
    if (header.kind == relay_kind::chain)
        return handle_as_replica(it, header);
    if (header.kind == relay_kind::found)
        return handle_found(it, header);
    const auto *domain = find_domain(it.service, header.failure_domain);
    if (domain == nullptr)
        return drop_packet(it.state, drop_kind::bad_relay);
    if (domain->owner == it.state.view->self)
        return handle_as_owner(it, header.kind, *domain, header.upstream);
    route_to_owner(it, header.kind, *domain);
}

} // namespace

auto to_string(packet_counter counter) -> std::string_view {
    static constexpr std::array<std::string_view,
                                static_cast<std::size_t>(packet_counter::count)>
        names{"received",
              "forwarded",
              "answered",
              "relayed_open",
              "relayed_lookup",
              "relayed_close",
              "relayed_refresh",
              "relayed_chain",
              "relayed_answer",
              "relayed_found",
              "placed",
              "placed_by_default",
              "forwarded_to_domain",
              "refused",
              "learned",
              "adopted"};
    return names[static_cast<std::size_t>(counter)];
}

packet_state::packet_state(forwarding_options initial_options, time_point start,
                           const placement_lease &worker_lease,
                           packet_counters &worker_counters)
    : options(initial_options), started(start), lease(worker_lease),
      counters(worker_counters), flows(initial_options.flow_capacity),
      scratch(64) {
    out.reserve(256);
}

auto packet_state::tick(time_point now) const -> std::uint32_t {
    if (now <= started)
        return 0;
    return static_cast<std::uint32_t>((now - started) / flow_tick);
}

auto count(packet_state &state, packet_counter counter) -> void {
    state.counters.values[static_cast<std::size_t>(counter)].fetch_add(
        1, std::memory_order_relaxed);
}

auto drop_packet(packet_state &state, drop_kind kind) -> void {
    state.counters.drops[static_cast<std::size_t>(kind)].fetch_add(
        1, std::memory_order_relaxed);
}

auto forward_packet(flow_context &it, const endpoint &upstream) -> void {
    if (it.from_upstream != nullptr) {
        rewrite_source(it.inner, it.service.address);
        count(it.state, packet_counter::answered);
    } else {
        rewrite_destination(it.inner, upstream);
        count(it.state, packet_counter::forwarded);
    }
    it.state.out.push_back({it.state.options.fabric, wrap_plain(it.inner)});
}

auto relay_packet(flow_context &it, std::uint32_t to, relay_header header)
    -> void {
    const auto *link = it.state.view->find_link(to);
    if (link == nullptr)
        return drop_packet(it.state, drop_kind::no_owner);
    if (it.hops >= hop_limit)
        return drop_packet(it.state, drop_kind::too_many_hops);
    header.hops = static_cast<std::uint8_t>(it.hops + 1);
    decrement_time_to_live(it.inner);
    count(it.state, relay_counter(header.kind));
    it.state.out.push_back(
        {*link, wrap_relay(it.inner, header, it.state.options.key)});
}

auto route_to_owner(flow_context &it, relay_kind kind,
                    const domain_route &domain) -> void {
    endpoint recorded_upstream;
    if (kind == relay_kind::refresh && it.entry != nullptr)
        recorded_upstream = it.entry->upstream;
    if (domain.owner == 0)
        return drop_packet(it.state, drop_kind::no_owner);
    if (domain.owner == it.state.view->self)
        return handle_as_owner(it, kind, domain, recorded_upstream);
    relay_packet(
        it, domain.owner,
        {.kind = kind,
         .event = kind,
         .failure_domain = domain.failure_domain,
         .owner = it.requester != 0 ? it.requester : it.state.view->self,
         .upstream = recorded_upstream});
}

auto find_domain(const service_route &service, std::uint32_t id)
    -> const domain_route * {
    for (const auto &it : service.domains) {
        if (it.failure_domain == id)
            return &it;
    }
    return nullptr;
}

auto home_domain(const flow_context &it) -> const domain_route * {
    if (it.entry != nullptr) {
        if (const auto id = it.entry->forwarded_domain(); id != 0)
            return find_domain(it.service, id);
        const auto *upstream =
            it.state.view->find_upstream(it.entry->upstream, it.key.protocol);
        if (upstream != nullptr)
            return find_domain(it.service, upstream->failure_domain);
    }
    return next_domain(it, 0);
}

auto next_domain(const flow_context &it, std::uint32_t current)
    -> const domain_route * {
    auto past_current = current == 0;
    for (const auto *domain : rank_domains(it.service, it.hash)) {
        if (past_current && domain->reachable)
            return domain;
        past_current = past_current || domain->failure_domain == current;
    }
    return nullptr;
}

auto worker_hash(const routing_view &view, const inner_packet &inner)
    -> std::uint64_t {
    const auto match = match_packet(view, inner);
    if (match.service == nullptr)
        return 0;
    return hash_flow(
        key_of(inner, match.service->address, match.upstream == nullptr));
}

auto handle_parsed_packet(packet_state &state, outer_packet &packet,
                          time_point now) -> void {
    const auto match = match_packet(*state.view, packet.inner);
    if (match.service == nullptr)
        return drop_packet(state, drop_kind::unknown_destination);
    const auto from_caller = match.upstream == nullptr;
    const auto key = key_of(packet.inner, match.service->address, from_caller);
    const auto by_hash = state.options.placement == placement_mode::hash;
    auto *entry = by_hash ? nullptr : state.flows.find(key);
    flow_context it{.state = state,
                    .inner = packet.inner,
                    .service = *match.service,
                    .from_upstream = match.upstream,
                    .key = key,
                    .hash = hash_flow(key),
                    .entry = entry,
                    .event = event_of(packet.inner, from_caller, entry),
                    .hops = packet.relay ? packet.relay->hops : std::uint8_t{0},
                    .requester = packet.relay ? packet.relay->owner : 0,
                    .now = now};
    if (by_hash)
        return handle_by_hash(it);
    if (packet.relay)
        return handle_relayed(it, *packet.relay);
    if (from_caller)
        return handle_caller(it);
    handle_upstream(it);
}

auto handle_packet(packet_state &state, std::span<std::uint8_t> bytes,
                   time_point now) -> void {
    count(state, packet_counter::received);
    auto outcome = parse_packet(bytes, state.options.key);
    if (!outcome.packet)
        return drop_packet(state, outcome.reason);
    handle_parsed_packet(state, *outcome.packet, now);
}

} // namespace dogwoodtrack
