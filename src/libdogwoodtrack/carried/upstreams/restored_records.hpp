#pragma once

#include <optional>

#include "carried/upstreams/upstreams.hpp"

namespace dogwoodtrack::carried {

/// The store can come back from an older copy, see `store_revision`. An entry
/// that it then lists may have been written before or after the return, which
/// its revision does not tell. The state of an upstream must not go back from
/// draining or gone because of the return alone, but an entry written anew
/// counts.

/// Decides what to apply of a record of an upstream of which another record is
/// known, and returns the record to put in its place; nothing if the known one
/// stays. The era of a record is that of `changed_at`. Within one era the later
/// revision is applied; of two records with the same revision one known to be
/// written in its era (`written_in_era`), then the one with the higher state.
/// Between eras:
/// - A record of a later era is applied. If it need not have been written in
///   that era and shows the incarnation that is known to be draining or gone,
///   the known state is kept; if it shows an earlier incarnation than the known
///   one, it is ignored.
/// - Of a record of an earlier era, a later state draining or gone is applied
///   to a known record that need not have been written in its era. Thus a
///   balancer that read the restored store first learns what the others know.
/// Thread safe.
auto merge_record(const upstream_record &record, const upstream_record &known)
    -> std::optional<upstream_record>;

/// Whether the entry `record`, listed by the store, shows an incarnation that
/// an older copy of the store has brought back: the known incarnation is a
/// later one and has lost its entry. Thread safe.
auto is_earlier_incarnation(const upstream_record &record,
                            const upstream_record &known) -> bool;

/// Whether a record is `gone` although its entry may be in the store: the state
/// was kept against an entry of the copy. As long as this is so the record must
/// not be forgotten, as another list would show the upstream as ready.
/// Thread safe.
auto is_gone_despite_entry(const upstream_record &it) -> bool;

} // namespace dogwoodtrack::carried
