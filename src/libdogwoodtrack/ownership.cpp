#include "flow_context.hpp"

namespace dogwoodtrack {

namespace {

constexpr std::uint32_t microseconds_per_tick = 1000;

auto from_caller(const flow_context &it) -> bool {
    return it.from_upstream == nullptr;
}

// Chain replication: the packet passes through all replicas, each of which
// records the owner's decision, before the last one forwards it. So no upstream
// receives a packet of a flow that only the owner knows.
auto send_through_replicas(flow_context &it, relay_kind event,
                           const domain_route &domain, const endpoint &upstream)
    -> void {
    relay_header header{.kind = relay_kind::chain,
                        .event = event,
                        .chain_size = 0,
                        .failure_domain = domain.failure_domain,
                        .owner = it.state.view->self,
                        .upstream = upstream};
    for (std::uint8_t i = 1; i < domain.replica_count; ++i)
        header.chain[header.chain_size++] = domain.replicas[i];
    relay_packet(it, domain.replicas[0], header);
}

// Forwards the packet to the upstream or caller, or relays it to the owner of
// the failure domain that the flow was forwarded to. Called on the last replica
// of the chain or, if there are no replicas or the replicas have nothing to
// record, on the owner.
auto finish_chain(flow_context &it, relay_kind event, const endpoint &upstream)
    -> void {
    if (upstream.port != 0)
        return forward_packet(it, upstream);
    const auto *domain = find_domain(it.service, upstream.address);
    if (domain == nullptr || !domain->reachable)
        return drop_packet(it.state, drop_kind::no_owner);
    route_to_owner(it, event, *domain);
}

auto replicate(flow_context &it, relay_kind event, const domain_route &domain,
               const endpoint &upstream) -> void {
    if (domain.replica_count > 0)
        return send_through_replicas(it, event, domain, upstream);
    finish_chain(it, event, upstream);
}

auto refuse(flow_context &it) -> void {
    auto &state = it.state;
    if (state.scratch_used == state.scratch.size())
        return drop_packet(state, drop_kind::queue_full);
    count(state, packet_counter::refused);
    auto &buf = state.scratch[state.scratch_used++];
    state.out.push_back({state.options.fabric, build_refusal(buf, it.inner)});
}

auto bind_and_replicate(flow_context &it, const domain_route &domain,
                        const endpoint &upstream, bool counted) -> void {
    auto *entry = bind_flow(it.state, it.key, upstream, counted, it.now);
    if (entry == nullptr) {
        drop_packet(it.state, drop_kind::table_full);
        return;
    }
    entry->initial_sequence = it.inner.tcp_sequence;
    entry->placed_here = true;
    it.entry = entry;
    replicate(it, relay_kind::open, domain, upstream);
}

// Whether another failure domain, `domain`, can take more flows: the number of
// open flows in its owner's last report is below the sum of the limits of the
// domain's upstreams in service.
auto has_spare_capacity(const flow_context &it, const domain_route &domain)
    -> bool {
    std::uint64_t total_limit = 0;
    for (const auto index : domain.upstreams) {
        const auto &upstream = it.state.view->upstreams[index];
        total_limit += upstream.in_service ? upstream.limit : 0;
    }
    return domain.load->open.load(std::memory_order_relaxed) < total_limit;
}

// Failure domain with the lowest load (open flows per capacity) among those
// that could take the flow. Null when the flow is to stay in `domain`: because
// no other of these domains has a lower load, or because the load of `domain`
// does not exceed the mean by more than a quarter of the contract's imbalance
// tolerance.
auto less_loaded_domain(const flow_context &it, const domain_route &domain)
    -> const domain_route * {
    double total_open = 0;
    double total_capacity = 0;
    const domain_route *least_loaded = nullptr;
    double least_load = 0;
    for (const auto &other : it.service.domains) {
        if (!other.reachable || other.owner == 0 || other.capacity <= 0 ||
            !other.load->known.load(std::memory_order_relaxed) ||
            (&other != &domain && !has_spare_capacity(it, other)))
            continue;
        const double domain_open =
            other.load->open.load(std::memory_order_relaxed);
        total_open += domain_open;
        total_capacity += other.capacity;
        if (least_loaded == nullptr ||
            domain_open / other.capacity < least_load) {
            least_loaded = &other;
            least_load = domain_open / other.capacity;
        }
    }
    if (least_loaded == nullptr || least_loaded == &domain ||
        total_capacity <= 0)
        return nullptr;
    const double own_open = domain.load->open.load(std::memory_order_relaxed);
    const auto mean = total_open / total_capacity;
    // The load has to exceed the bound by more than one flow, the least that
    // can be moved: otherwise moving a flow would gain nothing.
    const auto bound = mean * (1 + it.service.imbalance_tolerance / 4);
    if ((own_open - 1) / domain.capacity <= bound)
        return nullptr;
    return least_loaded;
}

auto forward_to_domain(flow_context &it, const domain_route &domain,
                       const domain_route &target) -> void {
    count(it.state, packet_counter::forwarded_to_domain);
    // Adds the flow to the target domain's open flows without waiting for that
    // domain's next load report: further flows are placed before it arrives.
    target.load->open.fetch_add(1, std::memory_order_relaxed);
    bind_and_replicate(it, domain,
                       {.address = target.failure_domain, .port = 0}, true);
}

auto place_flow(flow_context &it, const domain_route &domain) -> void {
    // Only the owner in the reachable domain ranked first for the flow compares
    // loads: otherwise two owners could forward a flow to each other without
    // ever placing it.
    if (next_domain(it, 0) == &domain) {
        if (const auto *target = less_loaded_domain(it, domain))
            return forward_to_domain(it, domain, *target);
    }
    bool by_default = false;
    const auto *chosen = choose_upstream(*it.state.view, it.service, domain,
                                         it.hash, by_default);
    if (chosen != nullptr) {
        count(it.state, packet_counter::placed);
        if (by_default)
            count(it.state, packet_counter::placed_by_default);
        chosen->load->placed.fetch_add(1, std::memory_order_relaxed);
        return bind_and_replicate(it, domain, chosen->address, true);
    }
    const auto *next = next_domain(it, domain.failure_domain);
    if (next != nullptr && next->owner != 0)
        return forward_to_domain(it, domain, *next);
    refuse(it);
}

auto reopen_flow(flow_context &it, const domain_route &domain) -> void {
    const auto *upstream =
        it.state.view->find_upstream(it.entry->upstream, it.key.protocol);
    // Other balancers may still have records of the previous flow from this
    // caller port. Until these records expire, the new flow may only go to the
    // upstream of the previous flow.
    if (upstream == nullptr || !upstream->in_service)
        return drop_packet(it.state, drop_kind::not_placing);
    const auto open_before = upstream->load->open.fetch_add(1);
    if (open_before >= effective_limit(it.service, *upstream)) {
        upstream->load->open.fetch_sub(1);
        return drop_packet(it.state, drop_kind::not_placing);
    }
    count(it.state, packet_counter::placed);
    bind_and_replicate(it, domain, upstream->address, true);
}

// Handles the opening of a flow for which this instance, now the owner, has no
// authoritative record but only a learned entry. A TCP flow is placed anew, on
// the learned upstream only; a UDP flow keeps its binding to that upstream.
auto open_learned_flow(flow_context &it, const domain_route &domain) -> void {
    if (it.inner.protocol == transport::tcp)
        return reopen_flow(it, domain);
    count(it.state, packet_counter::adopted);
    bind_and_replicate(it, domain, it.entry->upstream, false);
}

auto handle_open(flow_context &it, const domain_route &domain) -> void {
    if (!it.state.lease.holds(it.now))
        return drop_packet(it.state, drop_kind::not_placing);
    if (it.entry == nullptr)
        return place_flow(it, domain);
    if (it.entry->phase == flow_phase::closed)
        return reopen_flow(it, domain);
    if (it.entry->role == flow_role::learned)
        return open_learned_flow(it, domain);
    const auto *upstream =
        it.state.view->find_upstream(it.entry->upstream, it.key.protocol);
    if (upstream != nullptr && it.entry->phase == flow_phase::opening)
        upstream->load->retransmitted.fetch_add(1, std::memory_order_relaxed);
    touch_flow(it.state, *it.entry, it.now);
    replicate(it, relay_kind::open, domain, it.entry->upstream);
}

auto route_to_next_domain(flow_context &it, const domain_route &domain,
                          relay_kind kind) -> void {
    const auto *next = next_domain(it, domain.failure_domain);
    if (next == nullptr)
        return drop_packet(it.state, drop_kind::unknown_flow);
    route_to_owner(it, kind, *next);
}

auto handle_close(flow_context &it, relay_kind event,
                  const domain_route &domain) -> void {
    const auto reset = (it.inner.tcp_flags & tcp_rst) != 0;
    const auto upstream = it.entry->upstream;
    if (!from_caller(it) && reset && it.entry->phase == flow_phase::opening)
        it.from_upstream->load->reset.fetch_add(1);
    record_fin_or_rst(it.state, *it.entry, from_caller(it), reset);
    touch_flow(it.state, *it.entry, it.now);
    replicate(it, event, domain, upstream);
}

auto handle_answer(flow_context &it) -> void {
    if (it.from_upstream == nullptr)
        return drop_packet(it.state, drop_kind::bad_relay);
    if (it.entry != nullptr &&
        it.entry->upstream != it.from_upstream->address &&
        it.entry->forwarded_domain() == 0)
        return drop_packet(it.state, drop_kind::stale_answer);
    if (it.entry != nullptr && it.entry->phase == flow_phase::opening) {
        const auto answer_ticks = it.state.tick(it.now) - it.entry->opened;
        auto &load = *it.from_upstream->load;
        const auto answer_us_sample = answer_ticks * microseconds_per_tick;
        const auto smoothed = load.answer_us.load(std::memory_order_relaxed);
        load.answer_us.store(smoothed - smoothed / 8 + answer_us_sample / 8,
                             std::memory_order_relaxed);
        load.answered.fetch_add(1, std::memory_order_relaxed);
    }
    if (it.entry != nullptr)
        confirm_flow(it.state, *it.entry, it.now);
    forward_packet(it, it.from_upstream->address);
}

auto handle_lookup(flow_context &it, relay_kind kind,
                   const domain_route &domain) -> void {
    if (it.entry == nullptr)
        return route_to_next_domain(it, domain, kind);
    // While this instance holds no lease, another one may have become the
    // owner. If no upstream has answered the flow yet, that owner may have
    // placed it on another upstream.
    if (!it.entry->confirmed && !it.state.lease.holds(it.now))
        return drop_packet(it.state, drop_kind::not_placing);
    confirm_flow(it.state, *it.entry, it.now);
    const auto upstream = it.entry->upstream;
    const auto asked_by_peer =
        kind == relay_kind::lookup && it.requester != 0 &&
        it.requester != it.state.view->self && upstream.port != 0;
    if (!asked_by_peer)
        return finish_chain(it, kind, upstream);
    relay_packet(it, it.requester,
                 {.kind = relay_kind::found,
                  .event = relay_kind::found,
                  .failure_domain = domain.failure_domain,
                  .owner = it.state.view->self,
                  .upstream = upstream});
}

// Handles a packet whose sender knows the flow and reports that the flow is
// still in use. `recorded_upstream` is the upstream that the sender has on
// record: a new owner without a record of the flow adopts this binding.
auto handle_refresh(flow_context &it, const domain_route &domain,
                    const endpoint &recorded_upstream) -> void {
    const auto *upstream =
        it.state.view->find_upstream(recorded_upstream, it.key.protocol);
    const auto contradicts_unconfirmed =
        it.entry != nullptr && !it.entry->confirmed &&
        it.entry->upstream != recorded_upstream;
    const auto needs_binding = it.entry == nullptr || contradicts_unconfirmed ||
                               it.entry->role == flow_role::learned;
    if (needs_binding) {
        if (upstream == nullptr ||
            &it.state.view->services[upstream->service] != &it.service)
            return handle_lookup(it, relay_kind::lookup, domain);
        count(it.state, packet_counter::adopted);
        it.entry =
            bind_flow(it.state, it.key, recorded_upstream, false, it.now);
        if (it.entry == nullptr)
            return drop_packet(it.state, drop_kind::table_full);
    }
    confirm_flow(it.state, *it.entry, it.now);
    it.entry->last_refresh = it.state.tick(it.now);
    if (it.entry->forwarded_domain() != 0)
        return handle_lookup(it, relay_kind::lookup, domain);
    replicate(it, relay_kind::refresh, domain, it.entry->upstream);
}

// Failure domain whose owner keeps the record of the flow, for requests that
// only that owner may handle. Null for other requests, and for requests about
// unknown flows: this instance handles both.
auto home_domain_for(const flow_context &it, relay_kind kind)
    -> const domain_route * {
    const auto needs_record_owner = kind == relay_kind::open ||
                                    kind == relay_kind::close ||
                                    kind == relay_kind::refresh;
    return needs_record_owner && it.entry != nullptr ? home_domain(it)
                                                     : nullptr;
}

// As a replica, records the owner's placement of a flow. This may replace the
// record of an earlier placement that no upstream has answered, as the earlier
// upstream cannot have received the opening packet: an opening packet reaches
// an upstream only after all replicas have recorded the placement. The present
// owner was one of the replicas at that time. It placed the flow again, so it
// had no record of the earlier placement. Returns false when the table is full,
// or when a TCP flow with the same initial sequence number is confirmed on
// another upstream.
auto apply_opening(flow_context &it, const relay_header &header) -> bool {
    const auto conflicting =
        it.entry != nullptr && it.entry->upstream != header.upstream &&
        it.entry->role == flow_role::authoritative && it.entry->confirmed &&
        it.entry->phase != flow_phase::closed;
    if (conflicting && it.inner.protocol == transport::tcp &&
        it.entry->initial_sequence == it.inner.tcp_sequence)
        return false;
    it.entry = bind_flow(it.state, it.key, header.upstream, false, it.now);
    if (it.entry == nullptr)
        return false;
    it.entry->initial_sequence = it.inner.tcp_sequence;
    return true;
}

auto apply_event(flow_context &it, const relay_header &header) -> bool {
    switch (header.event) {
    case relay_kind::open:
        return apply_opening(it, header);
    case relay_kind::close:
    case relay_kind::gone:
        if (it.entry == nullptr) {
            // The flow's record has not been copied to this replica yet. The
            // replica does not need the record of a flow that ends.
            return true;
        }
        record_fin_or_rst(it.state, *it.entry, from_caller(it),
                          (it.inner.tcp_flags & tcp_rst) != 0);
        break;
    case relay_kind::refresh:
        if (it.entry == nullptr || it.entry->role == flow_role::learned)
            it.entry =
                bind_flow(it.state, it.key, header.upstream, false, it.now);
        break;
    default:
        return false;
    }
    if (it.entry != nullptr)
        confirm_flow(it.state, *it.entry, it.now);
    return true;
}

} // namespace

auto handle_as_owner(flow_context &it, relay_kind kind,
                     const domain_route &domain,
                     const endpoint &recorded_upstream) -> void {
    const auto *home = home_domain_for(it, kind);
    if (home != nullptr && home != &domain && home->reachable)
        return route_to_owner(it, kind, *home);
    switch (kind) {
    case relay_kind::open:
        return handle_open(it, domain);
    case relay_kind::close:
        if (it.entry == nullptr)
            return route_to_next_domain(it, domain, kind);
        return handle_close(it, kind, domain);
    case relay_kind::gone:
        if (it.from_upstream == nullptr)
            return drop_packet(it.state, drop_kind::bad_relay);
        if (it.entry == nullptr ||
            it.entry->upstream != it.from_upstream->address)
            return forward_packet(it, it.from_upstream->address);
        return handle_close(it, kind, domain);
    case relay_kind::answer:
        return handle_answer(it);
    case relay_kind::refresh:
        return handle_refresh(it, domain, recorded_upstream);
    case relay_kind::lookup:
        return handle_lookup(it, kind, domain);
    case relay_kind::chain:
    case relay_kind::found:
        break;
    }
    drop_packet(it.state, drop_kind::bad_relay);
}

auto handle_as_replica(flow_context &it, const relay_header &header) -> void {
    const auto &view = *it.state.view;
    const auto *domain = find_domain(it.service, header.failure_domain);
    // Accepts decisions only from the instance that is the owner according to
    // this replica's view, so that previous owners are fenced off.
    if (domain == nullptr || header.failure_domain != view.failure_domain ||
        domain->owner != header.owner)
        return drop_packet(it.state, drop_kind::fenced);
    if (!apply_event(it, header))
        return drop_packet(it.state, drop_kind::fenced);
    if (header.chain_size == 0)
        return finish_chain(it, header.event, header.upstream);
    auto rest = header;
    rest.chain_size = static_cast<std::uint8_t>(header.chain_size - 1);
    for (std::size_t i = 0; i + 1 < chain_limit; ++i)
        rest.chain[i] = header.chain[i + 1];
    relay_packet(it, header.chain[0], rest);
}

} // namespace dogwoodtrack
