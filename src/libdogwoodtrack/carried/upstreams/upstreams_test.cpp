#include <doctest/doctest.h>

#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto find(upstream_table &table, const std::string &id) -> upstream & {
    return table.all[table.by_id.at(id)];
}

// Record of an entry that was removed from the store.
auto make_deletion(const std::string &id, std::uint64_t revision,
                   upstream_state state) -> upstream_record {
    return {.id = id,
            .state = state,
            .revision = make_revision(revision),
            .changed_at = make_revision(revision + 1)};
}

} // namespace

TEST_CASE(
    "upstream keeps its address, service and code when its entry is removed") {
    upstream_table table;
    const auto record = make_record("i-1", 5);
    apply_record(table, record, start);
    for (const auto state : {upstream_state::lapsed, upstream_state::gone}) {
        apply_record(table, make_deletion("i-1", 6, state), start);
        auto &it = find(table, "i-1");
        CHECK(it.record.address == record.address);
        CHECK(it.record.delivery_id == record.delivery_id);
        CHECK(it.record.service == bookings);
        CHECK(find_by_code(table, it.code) == &it);
        CHECK(it.placeable == (state == upstream_state::lapsed));
    }
}

TEST_CASE("record with an earlier revision is ignored") {
    upstream_table table;
    auto record = make_record("i-1", 9);
    record.state = upstream_state::draining;
    apply_record(table, record, start);
    CHECK_FALSE(apply_record(table, make_record("i-1", 8), start));
    CHECK_FALSE(find(table, "i-1").placeable);
}

TEST_CASE(
    "new incarnation gets its own code and the old code stays resolvable") {
    upstream_table table;
    apply_record(table, make_record("i-1", 5), start);
    const auto old_code = find(table, "i-1").code;
    auto restarted = make_record("i-1", 7);
    restarted.born = 2'000;
    apply_record(table, restarted, start);
    CHECK(find(table, "i-1").code != old_code);
    REQUIRE(find_by_code(table, old_code) != nullptr);
    CHECK_FALSE(find_by_code(table, old_code)->placeable);
    CHECK(table.placeable.at(bookings).size() == 1);
}

TEST_CASE(
    "of two upstreams with the same code the older one gets it, whichever is "
    "added first") {
    for (const auto older_first : {true, false}) {
        upstream_table table;
        const auto older = make_record("i-1", 5);
        auto younger = make_record("i-2", 6);
        younger.born = older.born + 1;
        apply_record(table, older_first ? older : younger, start);
        auto &first = table.all[0];
        // Simulates a collision of two 32-bit codes.
        table.by_code.erase(first.code);
        table.by_code[binding_code(older_first ? younger : older)] = 0;
        first.code = binding_code(older_first ? younger : older);
        apply_record(table, older_first ? younger : older, start);
        CHECK(find(table, "i-1").placeable);
        CHECK_FALSE(find(table, "i-2").placeable);
    }
}

TEST_CASE("lapsed upstream becomes gone after `lapse_grace` but is still found "
          "by code") {
    upstream_table table;
    apply_record(table, make_record("i-1", 5), start);
    retire_missing(table, {}, make_revision(8), upstream_state::lapsed, start);
    const auto code = find(table, "i-1").code;
    expire_upstreams(table, seconds{60}, start + lapse_grace / 2);
    CHECK(find(table, "i-1").placeable);
    expire_upstreams(table, seconds{60}, start + lapse_grace);
    CHECK_FALSE(find(table, "i-1").placeable);
    CHECK(find_by_code(table, code) != nullptr);
    expire_upstreams(table, seconds{60}, start + lapse_grace + seconds{60});
    CHECK(find_by_code(table, code) == nullptr);
}

TEST_CASE(
    "upstream missing from a list becomes gone immediately only if it was "
    "draining") {
    upstream_table table;
    auto draining = make_record("i-1", 5);
    draining.state = upstream_state::draining;
    apply_record(table, draining, start);
    apply_record(table, make_record("i-2", 6), start);
    retire_missing(table, {}, make_revision(8), upstream_state::lapsed, start);
    CHECK(find(table, "i-1").record.state == upstream_state::gone);
    retire_missing(table, {}, make_revision(9), upstream_state::gone, start);
    CHECK(find(table, "i-2").record.state == upstream_state::lapsed);
}
