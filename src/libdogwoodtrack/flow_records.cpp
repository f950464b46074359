#include "dogwoodtrack/flow_records.hpp"

#include "flow_context.hpp"

namespace dogwoodtrack {

namespace {

// Learned records must expire before closed ones do: see DESIGN, "Reuse of
// a caller's port".
constexpr milliseconds learned_idle{30'000};
constexpr milliseconds closed_hold{60'000};
constexpr milliseconds opening_hold{75'000};
constexpr milliseconds forwarded_idle{75'000};
// Longest time a copy may have waited between its two ends.
constexpr milliseconds copy_delay{5000};
constexpr std::size_t export_batch = 100;
constexpr std::size_t export_step = 64;
constexpr std::uint8_t fin_caller = 1;
constexpr std::uint8_t fin_upstream = 2;
constexpr std::uint8_t fin_both = fin_caller | fin_upstream;

auto ticks(milliseconds value) -> std::uint32_t {
    return static_cast<std::uint32_t>(value / flow_tick);
}

auto holds_place(const flow_entry &entry) -> bool {
    return entry.role == flow_role::authoritative &&
           entry.phase != flow_phase::closed && entry.forwarded_domain() == 0 &&
           entry.upstream.port != 0;
}

// Only flows of this failure domain's upstreams use places counted here:
// the owner of another domain counts its own.
auto load_of(const packet_state &state, const flow_entry &entry)
    -> upstream_load * {
    if (!state.view)
        return nullptr;
    const auto *upstream =
        state.view->find_upstream(entry.upstream, entry.key.protocol);
    const auto counted = upstream != nullptr &&
                         upstream->failure_domain == state.view->failure_domain;
    return counted ? upstream->load.get() : nullptr;
}

auto give_place_back(const packet_state &state, const flow_entry &entry)
    -> void {
    if (!holds_place(entry))
        return;
    if (auto *load = load_of(state, entry))
        load->open.fetch_sub(1, std::memory_order_acq_rel);
}

auto idle_limit(const packet_state &state, const flow_entry &entry)
    -> std::uint32_t {
    if (entry.role == flow_role::learned)
        return ticks(learned_idle);
    if (entry.phase == flow_phase::closed)
        return ticks(closed_hold);
    const auto *service =
        state.view->find_service(entry.key.service, entry.key.protocol);
    if (service == nullptr || entry.forwarded_domain() != 0)
        return ticks(forwarded_idle);
    return ticks(service->idle_timeout);
}

auto unanswered(const flow_entry &entry) -> bool {
    return entry.role == flow_role::authoritative &&
           entry.phase == flow_phase::opening && !entry.confirmed &&
           entry.key.protocol == transport::tcp;
}

// Only the owner judges that an opening got no answer: replicas do not see
// the answers.
auto judges(const packet_state &state, const flow_entry &entry) -> bool {
    const auto *service =
        state.view->find_service(entry.key.service, entry.key.protocol);
    if (service == nullptr)
        return true;
    const auto *domain = find_domain(*service, state.view->failure_domain);
    return domain != nullptr && domain->owner == state.view->self;
}

auto is_expired(packet_state &state, const flow_entry &entry, std::uint32_t now)
    -> bool {
    const auto idle = now - entry.last_seen;
    if (unanswered(entry) && judges(state, entry) &&
        idle > ticks(opening_hold)) {
        if (entry.forwarded_domain() == 0)
            state.expired.push_back(
                {.key = entry.key, .upstream = entry.upstream});
        return true;
    }
    return idle > idle_limit(state, entry);
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
    const flow_entry placed{.key = key,
                            .upstream = upstream,
                            .role = flow_role::authoritative,
                            .phase = flow_phase::opening,
                            .last_seen = state.tick(now),
                            .opened = state.tick(now),
                            .last_refresh = state.tick(now)};
    if (entry == nullptr) {
        if (auto *load = load_of(state, placed); counted && load != nullptr)
            load->open.fetch_sub(1, std::memory_order_acq_rel);
        return nullptr;
    }
    const auto held = holds_place(*entry) && entry->upstream == upstream;
    if (!held)
        give_place_back(state, *entry);
    const auto confirmed = held && entry->confirmed;
    *entry = placed;
    if (confirmed)
        confirm_flow(state, *entry, now);
    auto *load = load_of(state, *entry);
    if (load == nullptr || !holds_place(*entry))
        return entry;
    if (held && counted)
        load->open.fetch_sub(1, std::memory_order_acq_rel);
    if (!held && !counted)
        load->open.fetch_add(1, std::memory_order_acq_rel);
    return entry;
}

auto close_flow(packet_state &state, flow_entry &entry) -> void {
    give_place_back(state, entry);
    entry.phase = flow_phase::closed;
}

auto note_ending(packet_state &state, flow_entry &entry, bool from_caller,
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
        if (!is_expired(state, entry, tick))
            return false;
        give_place_back(state, entry);
        return true;
    });
    state.counters.flows.store(state.flows.size(), std::memory_order_relaxed);
}

auto import_record(packet_state &state, const flow_record &record,
                   time_point now) -> bool {
    auto *known = state.flows.find(record.key);
    if (record.closed) {
        if (known != nullptr && known->upstream == record.upstream)
            close_flow(state, *known);
        return true;
    }
    // What arrived with a packet of late is newer than a copy.
    if (known != nullptr && known->role == flow_role::authoritative &&
        (known->upstream == record.upstream ||
         state.tick(now) - known->opened < ticks(copy_delay)))
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
    const auto since = state.tick(now) - std::min(state.tick(now), ticks(age));
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
    // A message holds one batch, however full this part of the table is.
    while (cursor < end && out.size() < export_batch)
        cursor = state.flows.visit_from(
            cursor, std::min(export_step, end - cursor), visit);
    return cursor >= state.flows.slots() ? 0 : cursor;
}

auto erase_unconfirmed(packet_state &state) -> void {
    state.flows.erase_if([&](const flow_entry &entry) {
        const auto doubtful = entry.role == flow_role::authoritative &&
                              entry.placed_here && !entry.confirmed &&
                              entry.phase != flow_phase::closed;
        if (doubtful)
            give_place_back(state, entry);
        return doubtful;
    });
}

auto erase_service_records(packet_state &state, const endpoint &service,
                           transport protocol) -> void {
    state.flows.erase_if([&](const flow_entry &entry) {
        const auto stale = entry.role == flow_role::authoritative &&
                           entry.key.service == service &&
                           entry.key.protocol == protocol;
        if (stale)
            give_place_back(state, entry);
        return stale;
    });
}

} // namespace dogwoodtrack
