#include "flow_context.hpp"

namespace dogwoodtrack {

namespace {

constexpr std::uint32_t microseconds_per_tick = 1000;

auto from_caller(const flow_context &it) -> bool {
    return it.from_upstream == nullptr;
}

// The replicas record the decision before the packet leaves the last of
// them, so no upstream ever sees a flow that only the owner knows.
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

// The last step of a chain: onward to the upstream or caller, or to the
// owner of the failure domain that takes the flow instead.
auto leave_chain(flow_context &it, relay_kind event, const endpoint &upstream)
    -> void {
    if (upstream.port != 0)
        return send_onward(it, upstream);
    const auto *domain = find_domain(it.service, upstream.address);
    if (domain == nullptr || !domain->reachable)
        return drop_packet(it.state, drop_kind::no_owner);
    ask_owner(it, event, *domain);
}

auto replicate(flow_context &it, relay_kind event, const domain_route &domain,
               const endpoint &upstream) -> void {
    if (domain.replica_count > 0)
        return send_through_replicas(it, event, domain, upstream);
    leave_chain(it, event, upstream);
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

// Whether another domain has room left by its owner's last report.
auto has_room(const flow_context &it, const domain_route &domain) -> bool {
    std::uint64_t room = 0;
    for (const auto index : domain.upstreams) {
        const auto &upstream = it.state.view->upstreams[index];
        room += upstream.in_service ? upstream.limit : 0;
    }
    return domain.load->open.load(std::memory_order_relaxed) < room;
}

// Where the flow goes when this domain is full, or so much fuller than the
// others that the contract's tolerance asks for it.
auto better_domain(const flow_context &it, const domain_route &domain)
    -> const domain_route * {
    double open = 0;
    double capacity = 0;
    const domain_route *lightest = nullptr;
    double lightest_load = 0;
    for (const auto &other : it.service.domains) {
        if (!other.reachable || other.owner == 0 || other.capacity <= 0 ||
            !other.load->known.load(std::memory_order_relaxed) ||
            (&other != &domain && !has_room(it, other)))
            continue;
        const double count = other.load->open.load(std::memory_order_relaxed);
        open += count;
        capacity += other.capacity;
        if (lightest == nullptr || count / other.capacity < lightest_load) {
            lightest = &other;
            lightest_load = count / other.capacity;
        }
    }
    if (lightest == nullptr || lightest == &domain || capacity <= 0)
        return nullptr;
    const double own = domain.load->open.load(std::memory_order_relaxed);
    const auto mean = open / capacity;
    // One flow is the least that can be moved; below it nothing is gained.
    const auto bound = mean * (1 + it.service.imbalance_tolerance / 4);
    if ((own - 1) / domain.capacity <= bound)
        return nullptr;
    return lightest;
}

auto pass_on(flow_context &it, const domain_route &domain,
             const domain_route &target) -> void {
    count(it.state, packet_counter::forwarded_to_domain);
    // Counted at once, so that the next flows see it before the other owner
    // reports again.
    target.load->open.fetch_add(1, std::memory_order_relaxed);
    bind_and_replicate(it, domain,
                       {.address = target.failure_domain, .port = 0}, true);
}

auto place_new(flow_context &it, const domain_route &domain) -> void {
    // Only the flow's first domain weighs the others: two owners that pass
    // one flow to each other would never place it.
    if (next_domain(it, 0) == &domain) {
        if (const auto *target = better_domain(it, domain))
            return pass_on(it, domain, *target);
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
        return pass_on(it, domain, *next);
    refuse(it);
}

auto reuse_or_wait(flow_context &it, const domain_route &domain) -> void {
    const auto *upstream =
        it.state.view->find_upstream(it.entry->upstream, it.key.protocol);
    // Other balancers may still hold the old record of this caller's port,
    // so until those have expired the new flow may only go the same way.
    if (upstream == nullptr || !upstream->in_service)
        return drop_packet(it.state, drop_kind::not_placing);
    const auto before = upstream->load->open.fetch_add(1);
    if (before >= effective_limit(it.service, *upstream)) {
        upstream->load->open.fetch_sub(1);
        return drop_packet(it.state, drop_kind::not_placing);
    }
    count(it.state, packet_counter::placed);
    bind_and_replicate(it, domain, upstream->address, true);
}

// The flow was seen in an answer but has no record here: this instance has
// just become the owner.
auto open_learned(flow_context &it, const domain_route &domain) -> void {
    if (it.inner.protocol == transport::tcp)
        return reuse_or_wait(it, domain);
    count(it.state, packet_counter::adopted);
    bind_and_replicate(it, domain, it.entry->upstream, false);
}

auto open_flow(flow_context &it, const domain_route &domain) -> void {
    if (!it.state.lease.holds(it.now))
        return drop_packet(it.state, drop_kind::not_placing);
    if (it.entry == nullptr)
        return place_new(it, domain);
    if (it.entry->phase == flow_phase::closed)
        return reuse_or_wait(it, domain);
    if (it.entry->role == flow_role::learned)
        return open_learned(it, domain);
    const auto *upstream =
        it.state.view->find_upstream(it.entry->upstream, it.key.protocol);
    if (upstream != nullptr && it.entry->phase == flow_phase::opening)
        upstream->load->retried.fetch_add(1, std::memory_order_relaxed);
    touch_flow(it.state, *it.entry, it.now);
    replicate(it, relay_kind::open, domain, it.entry->upstream);
}

auto pass_lookup(flow_context &it, const domain_route &domain, relay_kind kind)
    -> void {
    const auto *next = next_domain(it, domain.failure_domain);
    if (next == nullptr)
        return drop_packet(it.state, drop_kind::unknown_flow);
    ask_owner(it, kind, *next);
}

auto end_flow(flow_context &it, relay_kind event, const domain_route &domain)
    -> void {
    const auto reset = (it.inner.tcp_flags & tcp_rst) != 0;
    const auto upstream = it.entry->upstream;
    if (!from_caller(it) && reset && it.entry->phase == flow_phase::opening)
        it.from_upstream->load->reset.fetch_add(1);
    note_ending(it.state, *it.entry, from_caller(it), reset);
    touch_flow(it.state, *it.entry, it.now);
    replicate(it, event, domain, upstream);
}

auto judge_answer(flow_context &it) -> void {
    if (it.from_upstream == nullptr)
        return drop_packet(it.state, drop_kind::bad_relay);
    if (it.entry != nullptr &&
        it.entry->upstream != it.from_upstream->address &&
        it.entry->forwarded_domain() == 0)
        return drop_packet(it.state, drop_kind::stale_answer);
    if (it.entry != nullptr && it.entry->phase == flow_phase::opening) {
        const auto waited = it.state.tick(it.now) - it.entry->opened;
        auto &load = *it.from_upstream->load;
        const auto us = waited * microseconds_per_tick;
        const auto old = load.answer_us.load(std::memory_order_relaxed);
        load.answer_us.store(old - old / 8 + us / 8, std::memory_order_relaxed);
        load.answered.fetch_add(1, std::memory_order_relaxed);
    }
    if (it.entry != nullptr)
        confirm_flow(it.state, *it.entry, it.now);
    send_onward(it, it.from_upstream->address);
}

auto look_up(flow_context &it, relay_kind kind, const domain_route &domain)
    -> void {
    if (it.entry == nullptr)
        return pass_lookup(it, domain, kind);
    // Without an answer and a lease a successor may know better.
    if (!it.entry->confirmed && !it.state.lease.holds(it.now))
        return drop_packet(it.state, drop_kind::not_placing);
    confirm_flow(it.state, *it.entry, it.now);
    const auto upstream = it.entry->upstream;
    const auto asked = kind == relay_kind::lookup && it.asker != 0 &&
                       it.asker != it.state.view->self && upstream.port != 0;
    if (!asked)
        return leave_chain(it, kind, upstream);
    relay_packet(it, it.asker,
                 {.kind = relay_kind::found,
                  .event = relay_kind::found,
                  .failure_domain = domain.failure_domain,
                  .owner = it.state.view->self,
                  .upstream = upstream});
}

// A refresh brings the binding along, so that a new owner that lacks the
// record takes it over from the balancer that knows it.
auto refresh_flow(flow_context &it, const domain_route &domain,
                  const endpoint &hint) -> void {
    const auto *upstream = it.state.view->find_upstream(hint, it.key.protocol);
    const auto doubtful = it.entry != nullptr && !it.entry->confirmed &&
                          it.entry->upstream != hint;
    const auto lacking =
        it.entry == nullptr || doubtful || it.entry->role == flow_role::learned;
    if (lacking) {
        if (upstream == nullptr ||
            &it.state.view->services[upstream->service] != &it.service)
            return look_up(it, relay_kind::lookup, domain);
        count(it.state, packet_counter::adopted);
        it.entry = bind_flow(it.state, it.key, hint, false, it.now);
        if (it.entry == nullptr)
            return drop_packet(it.state, drop_kind::table_full);
    }
    confirm_flow(it.state, *it.entry, it.now);
    it.entry->last_refresh = it.state.tick(it.now);
    if (it.entry->forwarded_domain() != 0)
        return look_up(it, relay_kind::lookup, domain);
    replicate(it, relay_kind::refresh, domain, it.entry->upstream);
}

// The domain whose owner keeps the flow, when that may be another one than
// the domain that was asked. Null leaves the question here.
auto home_of_record(const flow_context &it, relay_kind kind)
    -> const domain_route * {
    const auto asks_owner = kind == relay_kind::open ||
                            kind == relay_kind::close ||
                            kind == relay_kind::refresh;
    return asks_owner && it.entry != nullptr ? home_domain(it) : nullptr;
}

// A decision that no upstream has answered may be replaced: had it reached
// one, the new owner would have been in its chain and would know it.
auto follow_opening(flow_context &it, const relay_header &header) -> bool {
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

auto follow_event(flow_context &it, const relay_header &header) -> bool {
    switch (header.event) {
    case relay_kind::open:
        return follow_opening(it, header);
    case relay_kind::close:
    case relay_kind::gone:
        if (it.entry == nullptr) {
            // Not copied yet: the end of an unknown flow needs no record.
            return true;
        }
        note_ending(it.state, *it.entry, from_caller(it),
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

auto decide_as_owner(flow_context &it, relay_kind kind,
                     const domain_route &domain, const endpoint &hint) -> void {
    const auto *home = home_of_record(it, kind);
    if (home != nullptr && home != &domain && home->reachable)
        return ask_owner(it, kind, *home);
    switch (kind) {
    case relay_kind::open:
        return open_flow(it, domain);
    case relay_kind::close:
        if (it.entry == nullptr)
            return pass_lookup(it, domain, kind);
        return end_flow(it, kind, domain);
    case relay_kind::gone:
        if (it.from_upstream == nullptr)
            return drop_packet(it.state, drop_kind::bad_relay);
        if (it.entry == nullptr ||
            it.entry->upstream != it.from_upstream->address)
            return send_onward(it, it.from_upstream->address);
        return end_flow(it, kind, domain);
    case relay_kind::answer:
        return judge_answer(it);
    case relay_kind::refresh:
        return refresh_flow(it, domain, hint);
    case relay_kind::lookup:
        return look_up(it, kind, domain);
    case relay_kind::chain:
    case relay_kind::found:
        break;
    }
    drop_packet(it.state, drop_kind::bad_relay);
}

auto follow_owner(flow_context &it, const relay_header &header) -> void {
    const auto &view = *it.state.view;
    const auto *domain = find_domain(it.service, header.failure_domain);
    // Only the owner that this replica knows may decide: a decision of an
    // instance that has been replaced stops here.
    if (domain == nullptr || header.failure_domain != view.failure_domain ||
        domain->owner != header.owner)
        return drop_packet(it.state, drop_kind::fenced);
    if (!follow_event(it, header))
        return drop_packet(it.state, drop_kind::fenced);
    if (header.chain_size == 0)
        return leave_chain(it, header.event, header.upstream);
    auto rest = header;
    rest.chain_size = static_cast<std::uint8_t>(header.chain_size - 1);
    for (std::size_t i = 0; i + 1 < chain_limit; ++i)
        rest.chain[i] = header.chain[i + 1];
    relay_packet(it, header.chain[0], rest);
}

} // namespace dogwoodtrack
