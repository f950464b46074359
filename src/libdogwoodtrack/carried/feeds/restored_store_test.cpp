#include <algorithm>

#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/feeds/restored_store.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto make_draining(const std::string &id, std::uint64_t revision)
    -> upstream_record {
    auto it = make_record(id, revision);
    it.state = upstream_state::draining;
    return it;
}

/// Three balancers that know each other. Messages between them are delivered at
/// once, encoded, unless their receiver is in `cut_off`.
struct small_fleet {
    std::vector<blackboard> all;
    std::vector<std::uint32_t> cut_off;
    time_point now = start + seconds{5};

    small_fleet() {
        for (std::uint32_t i = 1; i <= 3; ++i)
            all.push_back(make_blackboard(i));
        for (auto &it : all)
            it.members.self.last_heard = now;
        for (auto &it : all) {
            for (const auto &other : all)
                update_member(it.members, other.members.self);
            answer(it, make_configuration_list(30, 90));
            answer(it, make_upstream_list({make_record("i-1", 5),
                                           make_draining("i-2", 80),
                                           make_record("i-3", 85)},
                                          90));
        }
    }

    auto deliver(std::uint32_t from,
                 const std::vector<outgoing_message> &messages) -> void {
        for (const auto &one : messages) {
            if (std::find(cut_off.begin(), cut_off.end(), one.to) !=
                cut_off.end())
                continue;
            const auto buf = encode(one.message);
            const auto message = decode_peer_message({buf.data(), buf.size()});
            REQUIRE(message);
            std::vector<outgoing_message> out;
            on_peer_message(all[one.to - 1], from, *message, now, out);
            deliver(one.to, out);
        }
    }

    auto answer(blackboard &it, const store_answer &one) -> void {
        std::vector<outgoing_message> out;
        on_store_answer(it, one, now, out);
        schedule_next_call(it, one, now);
        if (all.size() == 3)
            deliver(it.members.self.address, out);
    }

    // Sends digests until all that is missing has been pulled.
    auto gossip() -> void {
        for (int round = 0; round < 10; ++round) {
            now += digest_interval;
            for (auto &it : all) {
                std::vector<outgoing_message> out;
                send_digests(it, now, out);
                deliver(it.members.self.address, out);
            }
        }
    }

    auto next_call(blackboard &it, feed what) -> store_call {
        for (int i = 0; i < 200; ++i) {
            now += milliseconds{10};
            if (const auto call = next_store_call(it, what, now))
                return *call;
        }
        FAIL("no call");
        return {};
    }
};

auto in_era(store_answer it, std::uint64_t era) -> store_answer {
    set_era(it, era);
    return it;
}

// The list of a store that was restored at revision 60: `i-2` is not draining
// yet, `i-3` is missing.
auto make_restored_list(std::uint64_t era = 1) -> store_answer {
    return in_era(
        make_upstream_list({make_record("i-1", 5), make_record("i-2", 55)}, 60),
        era);
}

auto state_of(const blackboard &it, const std::string &id) -> upstream_state {
    const auto &table = it.steering.upstreams;
    return table.all[table.by_id.at(id)].record.state;
}

// Whether all upstreams have the states of the time before the restore, those
// whose entries are missing at most lapsed.
auto keeps_states(const blackboard &it) -> bool {
    return state_of(it, "i-1") == upstream_state::ready &&
           state_of(it, "i-2") == upstream_state::draining &&
           state_of(it, "i-3") == upstream_state::lapsed;
}

} // namespace

// Guards against the loop of 16,000 calls in 18 s: watches from a revision that
// the store does not have.
TEST_CASE("a watch whose answer has a new era is followed by one list, and "
          "then by a watch from the new era") {
    for (const auto gone : {false, true}) {
        small_fleet it;
        auto &a = it.all[0];
        CHECK(it.next_call(a, feed::upstreams).since == make_revision(90));
        it.answer(a, in_era({.what = feed::upstreams,
                             .outcome = gone ? store_outcome::history_gone
                                             : store_outcome::changed,
                             .as_of = make_revision(95),
                             .records = {make_record("i-2", 95)}},
                            1));
        CHECK(state_of(a, "i-2") == upstream_state::draining);
        CHECK(it.next_call(a, feed::upstreams).list);
        it.answer(a, make_restored_list());
        const auto watch = it.next_call(a, feed::upstreams);
        CHECK_FALSE(watch.list);
        CHECK(watch.since == make_revision(60, 1));
        // The other feed needs no answer to a watch that is of no use.
        CHECK(it.next_call(a, feed::configuration).list);
    }
}

// Guards against flows on upstreams that have left, and against upstreams that
// stay out of service although they have written their entries again.
TEST_CASE("the whole fleet keeps the states of before the restore, and has "
          "what is written anew") {
    small_fleet it;
    it.answer(it.all[0], make_restored_list());
    it.gossip();
    for (const auto &one : it.all) {
        CHECK(keeps_states(one));
        CHECK(version_of(one, feed::upstreams).as_of == make_revision(60, 1));
        CHECK(one.store_era.era == 1);
    }
    it.next_call(it.all[0], feed::upstreams);
    it.answer(it.all[0], in_era({.what = feed::upstreams,
                                 .outcome = store_outcome::changed,
                                 .as_of = make_revision(62),
                                 .records = {make_record("i-2", 61),
                                             make_record("i-3", 62)}},
                                1));
    it.gossip();
    for (const auto &one : it.all) {
        CHECK(state_of(one, "i-2") == upstream_state::ready);
        CHECK(state_of(one, "i-3") == upstream_state::ready);
    }
}

// Guards against restored states that spread from balancers without a past.
TEST_CASE("a balancer that started during the drill does not spread the states "
          "of the copy") {
    small_fleet it;
    auto &fresh = it.all[2];
    const auto members = fresh.members;
    fresh = make_blackboard(3);
    fresh.members = members;
    it.cut_off = {1, 2, 3};
    it.answer(fresh, make_restored_list());
    CHECK(state_of(fresh, "i-2") == upstream_state::ready);
    it.cut_off.clear();
    it.gossip();
    for (const auto &one : it.all)
        CHECK(state_of(one, "i-2") == upstream_state::draining);
}

// Guards against an answer from before the restore that undoes what the
// restored store says.
TEST_CASE("a late answer of an earlier era changes nothing") {
    small_fleet it;
    auto &a = it.all[0];
    it.answer(a, make_restored_list());
    const auto before = a.versions;
    it.answer(a, make_upstream_list({make_record("i-2", 99)}, 99));
    CHECK(state_of(a, "i-2") == upstream_state::draining);
    CHECK(version_of(a, feed::upstreams).as_of ==
          before[static_cast<std::size_t>(feed::upstreams)].as_of);
    CHECK(a.store_era.era == 1);
}

// Guards against routes that go back to an older configuration, and against
// balancers that never agree on the version of the feed.
TEST_CASE("a configuration of the copy is not put in force at any balancer, "
          "and no balancer pulls it again and again") {
    small_fleet it;
    it.answer(it.all[0], in_era(make_configuration_list(20, 60), 1));
    it.gossip();
    for (const auto &one : it.all) {
        CHECK(one.steering.in_force->version == 30);
        CHECK(version_of(one, feed::configuration).content ==
              make_revision(20, 1));
    }
    auto rewritten = make_configuration_list(61, 61);
    rewritten.latest_configuration->version = 30;
    it.answer(it.all[0], in_era(rewritten, 1));
    it.gossip();
    for (const auto &one : it.all)
        CHECK(one.steering.in_force->revision == make_revision(61, 1));
}

// Guards against flows on upstreams whose entries are lost for good, and
// against upstreams that are gone before they could write again.
TEST_CASE("entries missing from the copy lapse and are then gone, at balancers "
          "that learn it from peers, too") {
    small_fleet it;
    it.answer(it.all[0], make_restored_list());
    it.gossip();
    for (auto &one : it.all) {
        expire_upstreams(one.steering.upstreams, seconds{60},
                         it.now + lapse_grace);
        CHECK(state_of(one, "i-3") == upstream_state::gone);
    }
}

// Guards against a forged or damaged era that makes the fleet ignore the store.
TEST_CASE("a store that keeps answering with a lower era is believed again, "
          "and its states replace those of the false era") {
    small_fleet it;
    auto &a = it.all[0];
    it.answer(a, make_restored_list(9));
    CHECK(a.store_era.era == 9);
    const auto list =
        make_upstream_list({make_record("i-1", 5), make_draining("i-2", 80),
                            make_record("i-3", 96)},
                           97);
    for (int i = 0; i < 5; ++i)
        it.answer(a, list);
    CHECK(a.store_era.era == 0);
    CHECK(version_of(a, feed::upstreams).as_of == make_revision(97));
    CHECK(state_of(a, "i-3") == upstream_state::ready);
    it.gossip();
    CHECK(a.store_era.era == 0);
}

// Guards against a damaged or forged message after which the store's own
// answers count as old.
TEST_CASE("messages with an implausible era are ignored") {
    small_fleet it;
    auto &a = it.all[0];
    auto record = make_record("i-2", 1);
    record.revision.era = record.changed_at.era = 1'000;
    std::vector<outgoing_message> out;
    on_peer_message(a, 2,
                    records_message{.version = {.content = make_revision(1, 1),
                                                .as_of = make_revision(1, 1),
                                                .complete = true},
                                    .records = {record}},
                    it.now, out);
    auto forged = *make_configuration(99);
    forged.revision.era = 1'000;
    on_peer_message(
        a, 2, routes_message{.whole = forged, .version = {.complete = true}},
        it.now, out);
    CHECK(state_of(a, "i-2") == upstream_state::draining);
    CHECK(a.steering.in_force->version == 30);
    CHECK(a.store_era.era == 0);
}

// Guards against the same loop with an older store, which has no header.
TEST_CASE("a store that goes back without a new era is listed once, and "
          "watched from where it is") {
    small_fleet it;
    auto &a = it.all[0];
    it.next_call(a, feed::upstreams);
    it.answer(
        a, {.what = feed::upstreams, .outcome = store_outcome::history_gone});
    CHECK(it.next_call(a, feed::upstreams).list);
    it.answer(a, make_restored_list(0));
    CHECK(state_of(a, "i-2") == upstream_state::draining);
    CHECK(it.next_call(a, feed::upstreams).since == make_revision(60));
    it.answer(a, {.what = feed::upstreams,
                  .outcome = store_outcome::changed,
                  .as_of = make_revision(91),
                  .records = {make_draining("i-1", 91)}});
    it.gossip();
    CHECK(state_of(it.all[1], "i-1") == upstream_state::draining);
    CHECK(it.next_call(a, feed::upstreams).since == make_revision(91));
}

// Guards against a store that is ignored because a proxy damages its header.
TEST_CASE("an answer with an unreadable era is applied in the era in force") {
    small_fleet it;
    auto &a = it.all[0];
    it.answer(a, make_restored_list());
    it.next_call(a, feed::upstreams);
    store_answer damaged{.what = feed::upstreams,
                         .outcome = store_outcome::changed,
                         .era_unreadable = true,
                         .as_of = make_revision(70),
                         .records = {make_draining("i-1", 70)}};
    it.answer(a, damaged);
    CHECK(state_of(a, "i-1") == upstream_state::draining);
    CHECK(version_of(a, feed::upstreams).as_of == make_revision(70, 1));
}
