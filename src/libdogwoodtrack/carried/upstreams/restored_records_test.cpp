#include <doctest/doctest.h>

#include "carried/test_support.hpp"
#include "carried/upstreams/restored_records.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

// Record of the upstream `i-1` with this state, at a revision of an era.
auto make_state(upstream_state state, std::uint64_t number, std::uint64_t era,
                bool written_in_era = false) -> upstream_record {
    auto it = make_record("i-1", number);
    it.state = state;
    it.revision = it.changed_at = make_revision(number, era);
    it.written_in_era = written_in_era;
    return it;
}

auto state_after(const upstream_record &known, const upstream_record &record)
    -> upstream_state {
    upstream_table table;
    apply_record(table, known, start);
    apply_record(table, record, start + seconds{1});
    return table.all[table.by_id.at("i-1")].record.state;
}

constexpr auto ready = upstream_state::ready;
constexpr auto draining = upstream_state::draining;
constexpr auto lapsed = upstream_state::lapsed;
constexpr auto gone = upstream_state::gone;

} // namespace

// Guards against flows on upstreams that have left, because the copy shows them
// as they were before.
TEST_CASE("the return of the store does not take an upstream from draining or "
          "gone back to ready") {
    CHECK(state_after(make_state(draining, 90, 0), make_state(ready, 50, 1)) ==
          draining);
    CHECK(state_after(make_state(gone, 90, 0), make_state(ready, 50, 1)) ==
          gone);
    CHECK(state_after(make_state(gone, 90, 0), make_state(draining, 60, 1)) ==
          gone);
    CHECK(state_after(make_state(draining, 90, 0), make_state(lapsed, 50, 1)) ==
          gone);
    // A second copy, older than the first, from another line of revisions.
    CHECK(state_after(make_state(draining, 75, 1, true),
                      make_state(ready, 80, 2)) == draining);
}

// Guards against upstreams that stay out of service, or in it, against what
// they have written since the return.
TEST_CASE("an entry written anew after the return counts, also against the "
          "same entry that was only listed") {
    CHECK(state_after(make_state(gone, 90, 0),
                      make_state(ready, 75, 1, true)) == ready);
    CHECK(state_after(make_state(draining, 75, 1),
                      make_state(ready, 75, 1, true)) == ready);
    CHECK(state_after(make_state(ready, 75, 1, true),
                      make_state(draining, 75, 1)) == ready);
    CHECK(state_after(make_state(ready, 75, 1, true),
                      make_state(draining, 80, 1, true)) == draining);
}

// Guards against flows that a balancer places on upstreams that have left
// because it knows only the copy.
TEST_CASE("a balancer that read the restored store first takes over that an "
          "upstream has left, but nothing that was overwritten since") {
    CHECK(state_after(make_state(ready, 50, 1), make_state(draining, 90, 0)) ==
          draining);
    CHECK(state_after(make_state(ready, 50, 1), make_state(draining, 40, 0)) ==
          ready);
    CHECK(state_after(make_state(ready, 95, 1, true),
                      make_state(draining, 96, 0)) == ready);
    CHECK(state_after(make_state(draining, 50, 1), make_state(ready, 90, 0)) ==
          draining);
}

// Guards against an upstream that is used again once it was forgotten.
TEST_CASE("an upstream that is gone is remembered while the restored store has "
          "its entry") {
    upstream_table table;
    apply_record(table, make_state(gone, 90, 0), start);
    apply_record(table, make_state(ready, 50, 1), start);
    expire_upstreams(table, seconds{60}, start + seconds{600});
    CHECK_FALSE(apply_record(table, make_state(ready, 50, 1), start));
    CHECK(table.by_id.contains("i-1"));
    upstream_record removal{.id = "i-1",
                            .state = gone,
                            .revision = make_revision(50, 1),
                            .changed_at = make_revision(70, 1),
                            .written_in_era = true};
    apply_record(table, removal, start);
    expire_upstreams(table, seconds{60}, start + seconds{600});
    CHECK_FALSE(table.by_id.contains("i-1"));
}

// Guards against an upstream that is used again for 2 s, because another
// balancer, which had not learned of its removal, found its entry missing.
TEST_CASE("an entry that is missing from the copy does not take an upstream "
          "from gone back to lapsed, on either side") {
    auto missing = make_state(lapsed, 90, 0);
    missing.changed_at = make_revision(60, 1);
    CHECK(state_after(make_state(gone, 90, 0), missing) == gone);
    CHECK(state_after(missing, make_state(gone, 90, 0)) == gone);
    CHECK(state_after(make_state(ready, 90, 0), missing) == lapsed);
    CHECK(state_after(missing, make_state(ready, 90, 0)) == lapsed);
    CHECK(state_after(missing, make_state(ready, 61, 1, true)) == ready);
}

// Guards against packets that are sent to a host's previous run, because the
// copy still shows it.
TEST_CASE("an earlier incarnation in the copy does not replace the known one") {
    upstream_table table;
    auto restarted = make_state(ready, 90, 0);
    restarted.born += 1'000;
    apply_record(table, restarted, start);
    CHECK_FALSE(apply_record(table, make_state(ready, 50, 1), start));
    CHECK(table.all[table.by_id.at("i-1")].record.born == restarted.born);
}

// Guards against a warm upstream that gets little work because of an old entry.
TEST_CASE("an entry from the copy does not make a warm upstream cold again") {
    upstream_table table;
    auto record = make_state(ready, 50, 0);
    record.cold_remaining = seconds{10};
    apply_record(table, record, start);
    record.revision.era = record.changed_at.era = 1;
    apply_record(table, record, start + seconds{20});
    CHECK(table.all[0].warm_at == start + seconds{10});
}

// Guards against routes that go back, and against an operator whose repeated
// configuration is ignored.
TEST_CASE("a configuration of the copy is not put in force, that of the "
          "operator is once it is written again") {
    auto current = *make_configuration(90);
    auto restored = *make_configuration(50);
    restored.revision.era = 1;
    CHECK_FALSE(supersedes(restored, current));
    restored.version = current.version;
    CHECK(supersedes(restored, current));
    CHECK_FALSE(supersedes(current, restored));
    auto later = current;
    later.version = 91;
    CHECK(supersedes(later, restored));
}
