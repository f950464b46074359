#include "dogwoodtrack/flow_records.hpp"

#include "flow_context.hpp"

namespace dogwoodtrack {

namespace {

// Closed entries must outlive the learned entries of the same flow on other
// balancers: see docs/DESIGN.md, "Reuse of a caller's port".
constexpr milliseconds learned_idle_timeout{30'000};
constexpr milliseconds closed_retention{60'000};
constexpr milliseconds opening_timeout{75'000};
constexpr milliseconds forwarded_idle_timeout{75'000};
// Longest time from copying a record at its owner to importing it here.
constexpr milliseconds max_copy_delay{5000};
constexpr std::size_t export_batch_records = 100;
constexpr std::size_t export_step_slots = 64;
constexpr std::uint8_t fin_caller = 1;
constexpr std::uint8_t fin_upstream = 2;
constexpr std::uint8_t fin_both = fin_caller | fin_upstream;

auto to_ticks(milliseconds value) -> std::uint32_t {
    return static_cast<std::uint32_t>(value / flow_tick);
}

auto counts_as_open(const flow_entry &entry) -> bool {
    return entry.role == flow_role::authoritative &&
           entry.phase != flow_phase::closed && entry.forwarded_domain() == 0 &&
           entry.upstream.port != 0;
}

// Load whose open-flow count includes the flow. Null if the flow's upstream is
// not in the routing view, or is in another failure domain: the owner in that
// domain then counts the flow.
auto counted_load(const packet_state &state, const flow_entry &entry)
    -> upstream_load * {
    if (!state.view)
        return nullptr;
    const auto *upstream =
        state.view->find_upstream(entry.upstream, entry.key.protocol);
    const auto counted = upstream != nullptr &&
                         upstream->failure_domain == state.view->failure_domain;
    return counted ? upstream->load.get() : nullptr;
}

auto decrement_open_count(const packet_state &state, const flow_entry &entry)
    -> void {
    if (!counts_as_open(entry))
        return;
    if (auto *load = counted_load(state, entry))
        load->open.fetch_sub(1, std::memory_order_acq_rel);
}

auto idle_timeout_ticks(const packet_state &state, const flow_entry &entry)
    -> std::uint32_t {
    if (entry.role == flow_role::learned)
        return to_ticks(learned_idle_timeout);
    if (entry.phase == flow_phase::closed)
        return to_ticks(closed_retention);
    const auto *service =
        state.view->find_service(entry.key.service, entry.key.protocol);
    if (service == nullptr || entry.forwarded_domain() != 0)
        return to_ticks(forwarded_idle_timeout);
    return to_ticks(service->idle_timeout);
}

auto is_unanswered(const flow_entry &entry) -> bool {
    return entry.role == flow_role::authoritative &&
           entry.phase == flow_phase::opening && !entry.confirmed &&
           entry.key.protocol == transport::tcp;
}

// Whether this instance may expire the flow before its idle timeout because no
// upstream has answered. Only the owner may: replicas do not see the answers.
// Flows of a removed service expire on every balancer.
auto may_expire_opening(const packet_state &state, const flow_entry &entry)
    -> bool {
    const auto *service =
        state.view->find_service(entry.key.service, entry.key.protocol);
    if (service == nullptr)
        return true;
    const auto *domain = find_domain(*service, state.view->failure_domain);
    return domain != nullptr && domain->owner == state.view->self;
}

// Returns whether a timeout of the flow has passed. Also appends the flow to
// `state.expired` if it is a TCP flow that expires because no upstream has
// answered its opening, unless it was forwarded to another failure domain.
auto check_expiry(packet_state &state, const flow_entry &entry,
                  std::uint32_t now) -> bool {
    const auto idle = now - entry.last_seen;
    if (is_unanswered(entry) && may_expire_opening(state, entry) &&
        idle > to_ticks(opening_timeout)) {
        if (entry.forwarded_domain() == 0)
            state.expired.push_back(
                {.key = entry.key, .upstream = entry.upstream});
        return true;
    }
    return idle > idle_timeout_ticks(state, entry);
}

} // namespace

auto touch_flow(packet_state &state, flow_entry &entry, time_point now)
    -> void {
    entry.last_seen = state.tick(now);
}

auto confirm_flow(packet_state &state, flow_entry &entry, time_point now)
    -> void {
    entry.last_seen = state.tick(now);
    entry.confirmed = true;
    if (entry.phase == flow_phase::opening)
        entry.phase = flow_phase::established;
}

auto bind_flow(packet_state &state, const flow_key &key,
               const endpoint &upstream, bool counted, time_point now)
    -> flow_entry * {
    auto *entry = state.flows.insert(key);
    const flow_entry new_entry{.key = key,
                               .upstream = upstream,
                               .role = flow_role::authoritative,
                               .phase = flow_phase::opening,
                               .last_seen = state.tick(now),
                               .opened = state.tick(now),
                               .last_refresh = state.tick(now)};
    if (entry == nullptr) {
        if (auto *load = counted_load(state, new_entry);
            counted && load != nullptr)
            load->open.fetch_sub(1, std::memory_order_acq_rel);
        return nullptr;
    }
    const auto already_open =
        counts_as_open(*entry) && entry->upstream == upstream;
    if (!already_open)
        decrement_open_count(state, *entry);
    const auto confirmed = already_open && entry->confirmed;
    *entry = new_entry;
    if (confirmed)
        confirm_flow(state, *entry, now);
    auto *load = counted_load(state, *entry);
    if (load == nullptr || !counts_as_open(*entry))
        return entry;
    if (already_open && counted)
        load->open.fetch_sub(1, std::memory_order_acq_rel);
    if (!already_open && !counted)
        load->open.fetch_add(1, std::memory_order_acq_rel);
    return entry;
}

auto close_flow(packet_state &state, flow_entry &entry) -> void {
    decrement_open_count(state, entry);
    entry.phase = flow_phase::closed;
}

auto record_fin_or_rst(packet_state &state, flow_entry &entry, bool from_caller,
                       bool reset) -> void {
    entry.fin_seen |= from_caller ? fin_caller : fin_upstream;
    if (reset || entry.fin_seen == fin_both)
        return close_flow(state, entry);
    if (entry.phase != flow_phase::closed)
        entry.phase = flow_phase::closing;
}

auto expire_flows(packet_state &state, std::size_t slots, time_point now)
    -> void {
    const auto tick = state.tick(now);
    state.flows.sweep(slots, [&](flow_entry &entry) {
        if (!check_expiry(state, entry, tick))
            return false;
        decrement_open_count(state, entry);
        return true;
    });
    state.counters.flows.store(state.flows.size(), std::memory_order_relaxed);
}

auto import_record(packet_state &state, const flow_record &record,
                   time_point now) -> bool {
    auto *existing = state.flows.find(record.key);
    if (record.closed) {
        if (existing != nullptr && existing->upstream == record.upstream)
            close_flow(state, *existing);
        return true;
    }
    // Keeps an authoritative entry that already has this upstream. Also keeps
    // one that was bound so recently that the copy may be older than the
    // binding.
    if (existing != nullptr && existing->role == flow_role::authoritative &&
        (existing->upstream == record.upstream ||
         state.tick(now) - existing->opened < to_ticks(max_copy_delay)))
        return true;
    auto *entry = bind_flow(state, record.key, record.upstream, false, now);
    if (entry == nullptr)
        return false;
    confirm_flow(state, *entry, now);
    return true;
}

auto export_records(packet_state &state, const endpoint &service,
                    transport protocol, milliseconds age, std::size_t cursor,
                    std::size_t slots, time_point now,
                    std::vector<flow_record> &out) -> std::size_t {
    const auto since =
        state.tick(now) - std::min(state.tick(now), to_ticks(age));
    const auto end = std::min(state.flows.slots(), cursor + slots);
    const auto visit = [&](const flow_entry &entry) {
        if (entry.role != flow_role::authoritative ||
            entry.key.service != service || entry.key.protocol != protocol)
            return;
        const auto closed = entry.phase == flow_phase::closed;
        if (entry.opened < since && !(closed && entry.last_seen >= since))
            return;
        out.push_back({.key = entry.key,
                       .upstream = entry.upstream,
                       .closed = closed,
                       .forwarded = entry.forwarded_domain() != 0});
    };
    // Stops as soon as there are enough records for one batch: if most slots
    // are occupied, the records of the whole range would not fit into one
    // message.
    while (cursor < end && out.size() < export_batch_records)
        cursor = state.flows.visit_from(
            cursor, std::min(export_step_slots, end - cursor), visit);
    return cursor >= state.flows.slots() ? 0 : cursor;
}

auto erase_unconfirmed(packet_state &state) -> void {
    state.flows.erase_if([&](const flow_entry &entry) {
        const auto unconfirmed = entry.role == flow_role::authoritative &&
                                 entry.placed_here && !entry.confirmed &&
                                 entry.phase != flow_phase::closed;
        if (unconfirmed)
            decrement_open_count(state, entry);
        return unconfirmed;
    });
}

auto erase_service_records(packet_state &state, const endpoint &service,
                           transport protocol) -> void {
    state.flows.erase_if([&](const flow_entry &entry) {
        const auto matches = entry.role == flow_role::authoritative &&
                             entry.key.service == service &&
                             entry.key.protocol == protocol;
        if (matches)
            decrement_open_count(state, entry);
        return matches;
    });
}

} // namespace dogwoodtrack
