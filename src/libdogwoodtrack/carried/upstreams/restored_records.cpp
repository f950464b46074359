#include "carried/upstreams/restored_records.hpp"

namespace dogwoodtrack::carried {

namespace {

// Whether the record has all fields of an entry. That of a removed entry has
// none but identifier, state and revisions.
auto has_entry(const upstream_record &it) -> bool {
    return it.address.port != 0;
}

auto has_left(const upstream_record &it) -> bool {
    return it.state == upstream_state::draining ||
           it.state == upstream_state::gone;
}

// The known state of an upstream that has left, after a record that is not
// known to be written in its era. An entry that vanished while the upstream was
// draining is gone.
auto kept_state(const upstream_record &record, const upstream_record &known)
    -> upstream_state {
    return record.state >= upstream_state::lapsed ? upstream_state::gone
                                                  : known.state;
}

auto merge_later_era(upstream_record record, const upstream_record &known)
    -> std::optional<upstream_record> {
    if (record.written_in_era || !has_entry(record))
        return record;
    if (record.born == known.born && has_left(known))
        record.state = kept_state(record, known);
    return record;
}

auto merge_earlier_era(const upstream_record &record,
                       const upstream_record &known)
    -> std::optional<upstream_record> {
    if (known.written_in_era || record.born != known.born ||
        !has_left(record) || record.state <= known.state ||
        record.revision.number < known.revision.number)
        return std::nullopt;
    auto merged = known;
    merged.state = record.state;
    return merged;
}

} // namespace

auto merge_record(const upstream_record &record, const upstream_record &known)
    -> std::optional<upstream_record> {
    if (is_earlier_incarnation(record, known))
        return std::nullopt;
    if (record.changed_at.era > known.changed_at.era)
        return merge_later_era(record, known);
    if (record.changed_at.era < known.changed_at.era)
        return merge_earlier_era(record, known);
    if (record.revision != known.revision)
        return record.revision > known.revision ? std::optional(record)
                                                : std::nullopt;
    if (record.written_in_era != known.written_in_era)
        return record.written_in_era ? std::optional(record) : std::nullopt;
    return record.state > known.state ? std::optional(record) : std::nullopt;
}

auto is_earlier_incarnation(const upstream_record &record,
                            const upstream_record &known) -> bool {
    return record.revision.era > known.revision.era && !record.written_in_era &&
           has_entry(record) && record.born < known.born;
}

auto is_gone_despite_entry(const upstream_record &it) -> bool {
    return it.state == upstream_state::gone && it.revision.era > 0 &&
           it.revision.era == it.changed_at.era && !it.written_in_era;
}

} // namespace dogwoodtrack::carried
