#include "carried/upstreams/upstreams.hpp"

#include <algorithm>
#include <utility>

#include "carried/upstreams/restored_records.hpp"

namespace dogwoodtrack::carried {

namespace {

auto may_get_flows(const upstream_record &it) -> bool {
    return it.state == upstream_state::ready ||
           it.state == upstream_state::lapsed;
}

auto id_of(const upstream_table &table, upstream_index index)
    -> const std::string & {
    return table.all[index].record.id;
}

auto add_placeable(upstream_table &table, upstream_index index) -> void {
    auto &list = table.placeable[table.all[index].record.service];
    const auto at =
        std::lower_bound(list.begin(), list.end(), index,
                         [&](upstream_index a, upstream_index b) {
                             return id_of(table, a) < id_of(table, b);
                         });
    list.insert(at, index);
}

auto remove_placeable(upstream_table &table, upstream_index index) -> void {
    const auto found = table.placeable.find(table.all[index].record.service);
    if (found != table.placeable.end())
        std::erase(found->second, index);
}

auto set_placeable(upstream_table &table, upstream_index index, bool placeable,
                   bool withheld) -> void {
    auto &it = table.all[index];
    if (withheld != it.withheld) {
        it.withheld = withheld;
        auto &count = table.withheld[it.record.service];
        count = withheld ? count + 1 : count - 1;
    }
    if (placeable == it.placeable)
        return;
    it.placeable = placeable;
    if (placeable)
        add_placeable(table, index);
    else
        remove_placeable(table, index);
}

auto update_placeable(upstream_table &table, upstream_index index) -> void {
    const auto &it = table.all[index];
    const auto owns_code = index_by_code(table, it.code) == index;
    const auto eligible = owns_code && may_get_flows(it.record);
    const auto evacuated = is_evacuated(table, it.record.failure_domain);
    set_placeable(table, index, eligible && !evacuated, eligible && evacuated);
}

auto is_older(const upstream &a, const upstream &b) -> bool {
    if (a.record.born != b.record.born)
        return a.record.born < b.record.born;
    return a.record.id < b.record.id;
}

// If two upstreams have the same code, the older one gets it on every balancer.
// The younger one gets no new flows, so that no code is ever ambiguous.
auto claim_code(upstream_table &table, upstream_index index) -> void {
    const auto code = table.all[index].code;
    const auto [at, added] = table.by_code.try_emplace(code, index);
    if (added || at->second == index)
        return;
    const auto holder = at->second;
    if (!is_older(table.all[index], table.all[holder]))
        return;
    at->second = index;
    update_placeable(table, holder);
}

// Registers an upstream at its address, unless one that started later is known
// there. The time of the start decides, not the revision: the last write of the
// previous holder may be carried out after the new holder's first one.
auto claim_address(upstream_table &table, upstream_index index) -> void {
    const auto &it = table.all[index];
    const auto [at, added] =
        table.by_address.try_emplace(it.record.address, index);
    if (!added && is_older(table.all[at->second], it))
        at->second = index;
}

auto release_address(upstream_table &table, upstream_index index) -> void {
    const auto found = table.by_address.find(table.all[index].record.address);
    if (found != table.by_address.end() && found->second == index)
        table.by_address.erase(found);
}

auto allocate_index(upstream_table &table) -> upstream_index {
    if (table.free.empty()) {
        table.all.emplace_back();
        return static_cast<upstream_index>(table.all.size() - 1);
    }
    const auto index = table.free.back();
    table.free.pop_back();
    table.all[index] = {};
    return index;
}

auto add_upstream(upstream_table &table, const upstream_record &record,
                  time_point now) -> void {
    const auto index = allocate_index(table);
    auto &it = table.all[index];
    it.record = record;
    it.code = binding_code(record);
    it.state_since = now;
    it.cold.known_since = now;
    it.warm_at = now + record.cold_remaining;
    table.by_id[record.id] = index;
    claim_code(table, index);
    claim_address(table, index);
    update_placeable(table, index);
}

auto set_state(upstream_table &table, upstream_index index,
               upstream_state state, time_point now) -> void {
    auto &it = table.all[index];
    if (it.record.state != state)
        it.state_since = now;
    it.record.state = state;
    update_placeable(table, index);
}

auto replace_record(upstream_table &table, upstream_index index,
                    const upstream_record &record, time_point now) -> void {
    auto &it = table.all[index];
    set_placeable(table, index, false, false);
    const auto changed = it.record.state != record.state;
    if (record.address != it.record.address)
        release_address(table, index);
    it.record = record;
    claim_address(table, index);
    if (changed)
        it.state_since = now;
    // Its entry is there again.
    if (changed && it.death == upstream_death::superseded)
        it.death = upstream_death::none;
    it.warm_at = now + record.cold_remaining;
    update_placeable(table, index);
}

// Index of the incarnation that `record` shows, or `no_upstream`.
auto find_incarnation(const upstream_table &table,
                      const upstream_record &record) -> upstream_index {
    const auto index = index_by_code(table, binding_code(record));
    if (index == no_upstream)
        return no_upstream;
    const auto &known = table.all[index].record;
    return known.id == record.id && known.born == record.born ? index
                                                              : no_upstream;
}

// Puts a record in the place of the known one of the same incarnation. What a
// restored store says of the time until the upstream is warm may be old.
auto update_record(upstream_table &table, upstream_index index,
                   const upstream_record &record, time_point now) -> void {
    auto &it = table.all[index];
    const auto warm_at = it.warm_at;
    const auto may_be_old = record.revision.era != it.record.revision.era;
    replace_record(table, index, record, now);
    if (may_be_old)
        it.warm_at = std::min(it.warm_at, warm_at);
}

// Whether the records differ only in whether they are known to be written in
// their era.
auto same_change(const upstream_record &a, const upstream_record &b) -> bool {
    return a.revision == b.revision && a.state == b.state;
}

// Applies a record that is to replace that of the upstream `index`.
auto apply_merged(upstream_table &table, upstream_index index,
                  const upstream_record &record, time_point now) -> void {
    const auto &known = table.all[index].record;
    // The record of a removed entry has no valid fields except the identifier,
    // the state and the revisions. The other fields keep their known values, so
    // that packets of existing flows are still forwarded.
    if (record.state >= upstream_state::lapsed) {
        auto merged = known;
        merged.state = record.state;
        merged.revision = record.revision;
        merged.changed_at = record.changed_at;
        merged.written_in_era = record.written_in_era;
        return update_record(table, index, merged, now);
    }
    if (record.born == known.born)
        return update_record(table, index, record, now);
    set_state(table, index, upstream_state::gone, now);
    const auto previous = find_incarnation(table, record);
    if (previous == no_upstream)
        return add_upstream(table, record, now);
    table.by_id[record.id] = previous;
    replace_record(table, previous, record, now);
}

auto erase_upstream(upstream_table &table, upstream_index index) -> void {
    auto &it = table.all[index];
    table.forgotten = std::max(table.forgotten, it.record.changed_at);
    const auto named = table.by_id.find(it.record.id);
    if (named != table.by_id.end() && named->second == index)
        table.by_id.erase(named);
    const auto coded = table.by_code.find(it.code);
    if (coded != table.by_code.end() && coded->second == index)
        table.by_code.erase(coded);
    release_address(table, index);
    it = {};
    table.free.push_back(index);
}

} // namespace

auto endpoint_hash::operator()(const endpoint &it) const -> std::size_t {
    return hash_pair(it.address, it.port);
}

auto binding_code(const upstream_record &record) -> std::uint32_t {
    const auto mixed = hash_pair(hash_name64(record.id), record.born);
    const auto code = static_cast<std::uint32_t>(mixed >> 32);
    return code == 0 ? 1 : code;
}

auto apply_record(upstream_table &table, const upstream_record &record,
                  time_point now) -> bool {
    const auto found = table.by_id.find(record.id);
    if (found == table.by_id.end()) {
        if (record.address.port == 0)
            return false;
        add_upstream(table, record, now);
        return true;
    }
    auto &known = table.all[found->second].record;
    const auto merged = merge_record(record, known);
    if (!merged)
        return false;
    if (same_change(*merged, known)) {
        known.written_in_era = merged->written_in_era;
        return false;
    }
    apply_merged(table, found->second, *merged, now);
    return true;
}

auto sorted_ids(const std::vector<upstream_record> &records)
    -> std::vector<std::string> {
    std::vector<std::string> ids;
    ids.reserve(records.size());
    for (const auto &record : records)
        ids.push_back(record.id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto retire_missing(upstream_table &table,
                    const std::vector<std::string> &present,
                    const store_revision &as_of, upstream_state state,
                    time_point now) -> bool {
    auto changed = false;
    for (const auto &[id, index] : table.by_id) {
        auto &it = table.all[index];
        // A `lapsed` upstream keeps this state until `lapse_grace` has passed.
        if (it.record.state >= upstream_state::lapsed ||
            it.record.revision > as_of ||
            std::binary_search(present.begin(), present.end(), id))
            continue;
        it.record.changed_at = as_of;
        it.record.written_in_era =
            as_of.era > 0 && it.record.revision.era == as_of.era;
        set_state(table, index,
                  it.record.state == upstream_state::draining
                      ? upstream_state::gone
                      : state,
                  now);
        changed = true;
    }
    return changed;
}

auto expire_upstreams(upstream_table &table, milliseconds retention,
                      time_point now) -> void {
    for (upstream_index i = 0; i < table.all.size(); ++i) {
        auto &it = table.all[i];
        if (it.record.state == upstream_state::lapsed &&
            now - it.state_since >= lapse_grace)
            set_state(table, i, upstream_state::gone, now);
        if (it.record.state == upstream_state::gone &&
            now - it.state_since >= retention && !it.record.id.empty() &&
            !is_gone_despite_entry(it.record))
            erase_upstream(table, i);
    }
}

auto set_evacuated_domains(upstream_table &table,
                           std::vector<std::uint32_t> domains) -> void {
    std::sort(domains.begin(), domains.end());
    table.evacuated_domains = std::move(domains);
    for (upstream_index i = 0; i < table.all.size(); ++i)
        update_placeable(table, i);
}

auto is_evacuated(const upstream_table &table, std::uint32_t domain) -> bool {
    return std::binary_search(table.evacuated_domains.begin(),
                              table.evacuated_domains.end(), domain);
}

auto has_withheld_upstreams(const upstream_table &table, service_key service)
    -> bool {
    const auto found = table.withheld.find(service);
    return found != table.withheld.end() && found->second > 0;
}

auto is_overloaded(const upstream_table &table, service_key service,
                   time_point now) -> bool {
    const auto found = table.overloaded_until.find(service);
    return found != table.overloaded_until.end() && now < found->second;
}

auto has_successor(const upstream_table &table, upstream_index index,
                   const configuration &in_force) -> bool {
    const auto &it = table.all[index];
    const auto has_its_place = [&](const auto &holders, const auto &key) {
        const auto found = holders.find(key);
        if (found == holders.end() || found->second == index)
            return false;
        const auto &other = table.all[found->second];
        return other.record.born > it.record.born &&
               names_service(in_force, other.record.service);
    };
    return has_its_place(table.by_id, it.record.id) ||
           has_its_place(table.by_address, it.record.address);
}

auto index_by_code(const upstream_table &table, std::uint32_t code)
    -> upstream_index {
    const auto found = table.by_code.find(code);
    return found == table.by_code.end() ? no_upstream : found->second;
}

auto find_by_code(upstream_table &table, std::uint32_t code) -> upstream * {
    const auto index = index_by_code(table, code);
    return index == no_upstream ? nullptr : &table.all[index];
}

} // namespace dogwoodtrack::carried
