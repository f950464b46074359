#include <algorithm>

#include <doctest/doctest.h>

#include "carried/feeds/evacuations.hpp"
#include "carried/feeds/gossip.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

using names = std::vector<std::string>;

constexpr milliseconds bound{5'000};

auto entry_of(const std::string &name, std::uint64_t changed_at,
              bool removed = false) -> evacuation_entry {
    return {.domain = {.name = name, .domain = hash_name(name)},
            .removed = removed,
            .changed_at = {.number = changed_at}};
}

auto make_answer(store_outcome outcome, std::vector<evacuation_entry> entries,
                 std::uint64_t as_of) -> store_answer {
    return {.what = feed::evacuations,
            .outcome = outcome,
            .as_of = {.number = as_of},
            .evacuations = std::move(entries)};
}

auto list_of(std::vector<evacuation_entry> entries, std::uint64_t as_of)
    -> store_answer {
    return make_answer(store_outcome::listed, std::move(entries), as_of);
}

auto changes_of(std::vector<evacuation_entry> entries, std::uint64_t as_of)
    -> store_answer {
    return make_answer(store_outcome::changed, std::move(entries), as_of);
}

auto apply(blackboard &it, const store_answer &answer, time_point now = start)
    -> std::vector<outgoing_message> {
    std::vector<outgoing_message> out;
    on_store_answer(it, answer, now, out);
    schedule_next_call(it, answer, now);
    return out;
}

auto evacuated_names(const blackboard &it) -> names {
    names all;
    for (const auto &one : it.evacuations.domains)
        all.push_back(one.name);
    return all;
}

// Delivers messages and those sent in response; returns the number of pulls.
auto deliver(const std::vector<blackboard *> &all, std::uint32_t from,
             const std::vector<outgoing_message> &messages, time_point now)
    -> int {
    int pulls = 0;
    for (const auto &one : messages) {
        pulls += std::holds_alternative<pull_message>(one.message) ? 1 : 0;
        for (auto *it : all) {
            if (it->members.self.address != one.to)
                continue;
            const auto buf = encode(one.message);
            const auto message = decode_peer_message({buf.data(), buf.size()});
            REQUIRE(message);
            std::vector<outgoing_message> out;
            on_peer_message(*it, from, *message, now, out);
            pulls += deliver(all, one.to, out, now);
        }
    }
    return pulls;
}

auto digest_all(const std::vector<blackboard *> &all, time_point now) -> int {
    int pulls = 0;
    for (auto *it : all) {
        std::vector<outgoing_message> out;
        send_digests(*it, now, out);
        pulls += deliver(all, it->members.self.address, out, now);
    }
    return pulls;
}

// A balancer that knows the configuration and an upstream `i-<name>` in each of
// the failure domains `east` and `west`, but not the evacuations.
auto make_balancer(std::uint32_t address) -> blackboard {
    auto it = make_blackboard(address);
    set_evacuate_within(it, bound);
    apply(it, make_configuration_list(3, 10));
    apply(it, make_upstream_list({make_record("i-east", 5, hash_name("east")),
                                  make_record("i-west", 6, hash_name("west"))},
                                 10));
    return it;
}

struct three_balancers {
    blackboard a = make_balancer(1);
    blackboard b = make_balancer(2);
    blackboard c = make_balancer(3);
    std::vector<blackboard *> all{&a, &b, &c};

    three_balancers() {
        for (auto *it : all) {
            for (auto *other : all)
                update_member(it->members, other->members.self);
            apply(*it, list_of({}, 10));
        }
    }
};

auto place(blackboard &it, std::uint16_t port, std::uint32_t copy = 0,
           time_point now = start) -> std::string {
    const auto decision = steer(it.steering, opening_packet(port, copy), now);
    if (decision.kind == verdict_kind::forward)
        return it.steering.upstreams.all[decision.to].record.id;
    const auto kind =
        decision.kind == verdict_kind::reject ? "reject " : "hold ";
    return kind + std::string(to_string(decision.why));
}

} // namespace

// Guards against a way to place flows that does not respect evacuations, and
// against open flows that an evacuation breaks.
TEST_CASE("upstreams of an evacuated domain get no openings, copies, second "
          "openings or trial flows; open flows continue") {
    auto it = make_balancer(1);
    apply(it, list_of({}, 10));
    const auto open = steer(it.steering, opening_packet(1), start);
    steer(it.steering, later_packet(1, open.code, 100), start);
    const auto first = steer(it.steering, opening_packet(2), start);
    const auto &to = it.steering.upstreams.all[first.to];
    const auto leaving = to.record.id.substr(2);
    const auto other = leaving == "east" ? "i-west" : "i-east";
    apply(it, changes_of({entry_of(leaving, 11)}, 11));
    CHECK(place(it, 2, 1, start + milliseconds{200}) == other);
    for (std::uint16_t port = 10; port < 40; ++port) {
        CHECK(place(it, port) == other);
        CHECK(steer_retry(it.steering, opening_packet(port).endpoints,
                          start + opening_retry_delay)
                  .kind == verdict_kind::drop);
    }
    // The only upstream left is avoided, which makes trial flows due elsewhere.
    for (auto &one : it.steering.upstreams.all)
        one.stats.avoid_until = start + seconds{9};
    CHECK(place(it, 50, 0, start + seconds{2}) == other);
    const auto later = steer(it.steering, later_packet(1, open.code), start);
    CHECK(later.kind == verdict_kind::forward);
    CHECK(later.to == open.to);
}

// Guards against callers that wait in vain while no domain may serve them, and
// against upstreams whose state is wrong after changes during an evacuation.
TEST_CASE("several domains are evacuated; if all are, openings are rejected at "
          "once, and resume as soon as one is withdrawn") {
    auto it = make_balancer(1);
    apply(it, list_of({entry_of("east", 7)}, 10));
    CHECK(place(it, 1) == "i-west");
    apply(it, changes_of({entry_of("west", 11), entry_of("south", 12)}, 12));
    CHECK(place(it, 2) == "reject evacuated");
    CHECK(place(it, 1, 1) == "reject evacuated");
    apply(it, changes_of({entry_of("east", 13, true)}, 13));
    CHECK(place(it, 3) == "i-east");
    CHECK(evacuated_names(it) == names{"south", "west"});
    // An upstream that starts during the evacuation, one that moves out of it.
    apply(it, {.what = feed::upstreams,
               .outcome = store_outcome::changed,
               .as_of = {.number = 15},
               .records = {make_record("i-new", 14, hash_name("west")),
                           make_record("i-west", 15, hash_name("east"))}});
    const auto &placeable = it.steering.upstreams.placeable[bookings];
    CHECK(placeable.size() == 2);
    CHECK(it.steering.upstreams.withheld[bookings] == 1);
}

// Guards against a reason for refusals that makes the operator withdraw an
// evacuation in vain.
TEST_CASE("a service without upstreams is not said to be evacuated") {
    auto it = make_blackboard(1);
    set_evacuate_within(it, bound);
    apply(it, make_configuration_list(3, 10));
    apply(it, make_upstream_list({}, 10));
    apply(it, list_of({entry_of("east", 7)}, 10));
    CHECK(place(it, 1) == "reject no_upstream");
}

// Guards against flows that a new balancer places on an evacuated domain before
// it knows of the evacuation.
TEST_CASE("a balancer that starts during an evacuation, turned away by the "
          "store, learns the set from a peer before it places a flow") {
    three_balancers fleet;
    apply(fleet.a, changes_of({entry_of("east", 11)}, 11));
    auto fresh = make_balancer(4);
    apply(fresh, make_failed_answer(feed::evacuations));
    CHECK_FALSE(can_serve(fresh));
    CHECK(place(fresh, 1) == "hold no_configuration");
    update_member(fresh.members, fleet.a.members.self);
    digest_all({&fleet.a, &fresh}, start + milliseconds{400});
    CHECK(can_serve(fresh));
    CHECK(place(fresh, 1) == "i-west");
}

// Guards against an acknowledged evacuation that is lost because only one
// balancer has read it when the store fails.
TEST_CASE("an evacuation reaches a balancer that is cut off from the watcher "
          "although the store fails right after its acknowledgement") {
    three_balancers fleet;
    const auto out =
        apply(fleet.a, changes_of({entry_of("east", 11)}, 11), start);
    for (auto *it : fleet.all)
        apply(*it, make_failed_answer(feed::evacuations), start);
    // `a` reaches only `b`, and `b` reaches `c`.
    deliver({&fleet.a, &fleet.b}, 1, out, start + milliseconds{10});
    digest_all({&fleet.b, &fleet.c}, start + milliseconds{500});
    CHECK(place(fleet.b, 1) == "i-west");
    CHECK(place(fleet.c, 1) == "i-west");
    CHECK(version_of(fleet.c, feed::evacuations).content.number == 11);
}

// Guards against flows on a domain whose evacuation is acknowledged but missing
// from a stale list, which no peer can correct.
TEST_CASE("after a restart of all balancers the list of evacuations is never "
          "a stale one") {
    auto it = make_blackboard(1);
    set_evacuate_within(it, bound);
    const auto call = next_store_call(it, feed::evacuations, start);
    REQUIRE(call);
    CHECK(call->list);
    CHECK_FALSE(call->may_be_stale);
    CHECK(next_store_call(it, feed::upstreams, start)->may_be_stale);
}

// Guards against an evacuation that ends, or comes back, because messages
// arrive out of order.
TEST_CASE("the set never goes back: late answers and old sets of peers change "
          "nothing") {
    three_balancers fleet;
    auto old = fleet.b;
    apply(old, changes_of({entry_of("west", 11)}, 11));
    apply(fleet.a, changes_of({entry_of("west", 11)}, 11));
    apply(fleet.a, changes_of({entry_of("west", 12, true)}, 12));
    apply(fleet.a, changes_of({entry_of("east", 13)}, 13));
    const names east{"east"};
    for (const auto &late :
         {changes_of({entry_of("west", 11)}, 11), list_of({}, 10),
          list_of({entry_of("west", 11)}, 11), changes_of({}, 12)}) {
        apply(fleet.a, late);
        CHECK(evacuated_names(fleet.a) == east);
    }
    digest_all({&fleet.a, &old}, start + seconds{1});
    CHECK(evacuated_names(fleet.a) == east);
    CHECK(evacuated_names(old) == east);
    const auto set = split_evacuations(
        {entry_of("west", 11).domain},
        {.content = {.number = 11}, .as_of = {.number = 99}, .complete = true});
    std::vector<outgoing_message> out;
    on_peer_message(fleet.a, 2, set.front(), start, out);
    CHECK(evacuated_names(fleet.a) == east);
}

// Guards against a removal that the lists of some balancers no longer show, and
// against needless pulls.
TEST_CASE("sets that were read at different revisions are compared by the "
          "store's history, not by their last entries") {
    auto before = make_balancer(1);
    auto after = make_balancer(2);
    update_member(before.members, after.members.self);
    update_member(after.members, before.members.self);
    // `west`, written at 9, is removed at 11.
    apply(before, list_of({entry_of("east", 5), entry_of("west", 9)}, 10));
    apply(after, list_of({entry_of("east", 5)}, 12));
    CHECK(digest_all({&before, &after}, start + seconds{1}) == 1);
    CHECK(evacuated_names(before) == names{"east"});
    CHECK(evacuated_names(after) == names{"east"});
    apply(before, changes_of({}, 20), start + seconds{2});
    CHECK(digest_all({&before, &after}, start + seconds{2}) == 0);
    CHECK(version_of(after, feed::evacuations).as_of.number == 20);
    CHECK(version_of(after, feed::evacuations).confirmed >=
          start + seconds{2} - milliseconds{1});
    // The same set, listed later, but not later than what the others know.
    auto restarted = make_balancer(3);
    auto peer = before.members.self;
    peer.last_heard = start + seconds{3};
    update_member(restarted.members, peer);
    apply(restarted, list_of({entry_of("east", 5)}, 15));
    CHECK(digest_all({&before, &restarted}, start + seconds{3}) == 0);
    CHECK(version_of(restarted, feed::evacuations).as_of.number == 20);
}

// Guards against domains that get flows because a part of the set is lost.
TEST_CASE("a set that exceeds a datagram is put in force only as a whole") {
    three_balancers fleet;
    std::vector<evacuation_entry> many;
    for (std::uint64_t i = 0; i < 300; ++i)
        many.push_back(entry_of("domain-" + std::to_string(i), 11));
    apply(fleet.a, changes_of(many, 11));
    const auto parts = split_evacuations(
        fleet.a.evacuations.domains,
        {.content = {.number = 11}, .as_of = {.number = 11}, .complete = true});
    REQUIRE(parts.size() > 2);
    std::vector<outgoing_message> out;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        CHECK(encode(parts[i]).size() <= max_peer_datagram_size);
        on_peer_message(fleet.b, 1, parts[i], start, out);
        CHECK(fleet.b.evacuations.domains.size() ==
              (i + 1 < parts.size() ? 0 : 300));
    }
}

// Guards against an entry with a typing error that is dropped, or that fills
// the log.
TEST_CASE("a domain without upstreams and balancers is kept and reported "
          "once") {
    auto it = make_balancer(1);
    apply(it, list_of({entry_of("east", 5), entry_of("mars", 6)}, 10));
    CHECK(take_unknown_evacuations(it, start).empty());
    const auto now = start + membership_warm_up;
    CHECK(take_unknown_evacuations(it, now) == names{"mars"});
    apply(it, changes_of({entry_of("west", 11)}, 11));
    CHECK(take_unknown_evacuations(it, now).empty());
    CHECK(evacuated_names(it) == names{"east", "mars", "west"});
}

// Guards against a balancer that waits for a feed that nobody reads, and
// against digests that grow without use.
TEST_CASE("with the feature off the feed is not read, sent or required") {
    three_balancers fleet;
    apply(fleet.a, changes_of({entry_of("east", 11)}, 11));
    auto off = make_balancer(4);
    set_evacuate_within(off, milliseconds{0});
    CHECK(can_serve(off));
    CHECK_FALSE(next_store_call(off, feed::evacuations, start));
    update_member(off.members, fleet.a.members.self);
    digest_all({&fleet.a, &off}, start + seconds{1});
    CHECK(evacuated_names(off).empty());
    CHECK(digest_all({&fleet.a, &off}, start + seconds{2}) == 0);
    const auto size_of_digest = [](blackboard &it) {
        std::vector<outgoing_message> out;
        send_digests(it, start, out);
        auto digest = std::get<digest_message>(out.front().message);
        digest.members.clear();
        digest.versions = {};
        for (std::size_t i = 0; i < feed_count; ++i)
            digest.versions[i].complete = it.versions[i].complete;
        return encode(digest).size();
    };
    CHECK(size_of_digest(off) < size_of_digest(fleet.a));
    // Switched on and off again by a reload of the settings.
    set_evacuate_within(off, bound);
    CHECK(place(off, 1) == "hold no_configuration");
    apply(off, list_of({entry_of("east", 11)}, 12));
    CHECK(place(off, 1) == "i-west");
    set_evacuate_within(off, milliseconds{0});
    CHECK(off.steering.upstreams.placeable[bookings].size() == 2);
}

// Guards against flows to an evacuated domain while the store that has lost the
// entry waits for the operator to write it again.
TEST_CASE("an evacuation that a restored store has lost stays until its entry "
          "is written or removed") {
    const auto with_era = [](store_answer answer) {
        set_era(answer, 1);
        return answer;
    };
    auto it = make_blackboard(1);
    set_evacuate_within(it, bound);
    apply(it, list_of({entry_of("a", 10), entry_of("b", 20)}, 20));
    apply(it, with_era(list_of({entry_of("a", 10)}, 12)));
    CHECK(evacuated_names(it) == names{"a", "b"});
    SUBCASE("a further list without the entry") {
        apply(it, with_era(list_of({}, 13)));
        CHECK(evacuated_names(it) == names{"b"});
    }
    SUBCASE("the entry is written and removed") {
        it.calls[static_cast<std::size_t>(feed::evacuations)].since = {
            .era = 1, .number = 12};
        apply(it, with_era(changes_of({entry_of("b", 13)}, 13)));
        apply(it, with_era(changes_of({entry_of("b", 14, true)}, 14)));
        CHECK(evacuated_names(it) == names{"a"});
    }
    SUBCASE("a balancer learns the set of the copy from a peer") {
        auto peer = make_blackboard(2);
        set_evacuate_within(peer, bound);
        apply(peer, list_of({entry_of("b", 20)}, 20));
        CHECK(adopt_evacuations(peer, {entry_of("a", 10).domain},
                                {.content = {.era = 1, .number = 12},
                                 .as_of = {.era = 1, .number = 12},
                                 .complete = true}));
        CHECK(evacuated_names(peer) == names{"a", "b"});
    }
}
