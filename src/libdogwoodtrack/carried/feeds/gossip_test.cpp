#include <algorithm>

#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/feeds/route_encoding.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto apply_answer(blackboard &it, const store_answer &answer, time_point now)
    -> std::vector<outgoing_message> {
    std::vector<outgoing_message> out;
    on_store_answer(it, answer, now, out);
    schedule_next_call(it, answer, now);
    return out;
}

// Delivers messages, and those sent in response, until none are left. Returns
// the number of messages delivered.
auto deliver(const std::vector<blackboard *> &all, std::uint32_t from,
             const std::vector<outgoing_message> &messages, time_point now)
    -> std::size_t {
    std::size_t n = 0;
    for (const auto &one : messages) {
        for (auto *it : all) {
            if (it->members.self.address != one.to)
                continue;
            const auto buf = encode(one.message);
            const auto message = decode_peer_message({buf.data(), buf.size()});
            REQUIRE(message);
            std::vector<outgoing_message> out;
            on_peer_message(*it, from, *message, now, out);
            n += 1 + deliver(all, one.to, out, now);
        }
    }
    return n;
}

// Makes all balancers known to each other.
auto introduce(const std::vector<blackboard *> &all) -> void {
    for (auto *a : all) {
        for (auto *b : all)
            update_member(a->members, b->members.self);
    }
}

// Number of upstreams that may get new flows.
auto count_placeable(const blackboard &it) -> std::size_t {
    const auto found = it.steering.upstreams.placeable.find(bookings);
    return found == it.steering.upstreams.placeable.end()
               ? 0
               : found->second.size();
}

auto make_deletion(const std::string &id, std::uint64_t revision)
    -> upstream_record {
    return {.id = id,
            .state = upstream_state::gone,
            .revision = make_revision(revision),
            .changed_at = make_revision(revision)};
}

auto make_draining(const std::string &id, std::uint64_t revision)
    -> upstream_record {
    auto it = make_record(id, revision);
    it.state = upstream_state::draining;
    return it;
}

// Digest with the versions of the feeds that `it` has, as `it` would send it.
auto make_digest_of(blackboard &it) -> digest_message {
    std::vector<outgoing_message> out;
    send_digests(it, start, out);
    REQUIRE_FALSE(out.empty());
    return std::get<digest_message>(out.front().message);
}

auto make_changes(std::vector<upstream_record> records, std::uint64_t as_of)
    -> store_answer {
    return {.what = feed::upstreams,
            .outcome = store_outcome::changed,
            .as_of = make_revision(as_of),
            .records = std::move(records)};
}

auto make_large_configuration(std::uint64_t revision, std::uint16_t routes)
    -> std::shared_ptr<configuration> {
    auto it = make_configuration(revision);
    for (std::uint16_t i = 1; i < routes; ++i)
        it->routes.push_back(
            {.address = {.address = 0xc6120002, .port = i},
             .services = {{.service = bookings, .weight = 3}}});
    sort_routes(*it);
    return it;
}

auto digests_of(blackboard &it, time_point now)
    -> std::vector<outgoing_message> {
    std::vector<outgoing_message> out;
    send_digests(it, now, out);
    return out;
}

struct board_pair {
    blackboard a = make_blackboard(1);
    blackboard b = make_blackboard(2);

    board_pair() {
        introduce({&a, &b});
        for (auto *it : {&a, &b}) {
            apply_answer(*it, make_configuration_list(3, 10), start);
            apply_answer(
                *it,
                make_upstream_list(
                    {make_record("i-1", 5), make_record("i-2", 6)}, 10),
                start);
        }
    }
};

} // namespace

TEST_CASE("a starting balancer receives the complete state from a peer") {
    auto a = make_blackboard(1);
    auto b = make_blackboard(2);
    introduce({&a, &b});
    apply_answer(a, make_configuration_list(3, 10), start);
    apply_answer(a, make_upstream_list({make_record("i-1", 5)}, 10), start);
    std::vector<outgoing_message> out;
    send_digests(b, start, out);
    deliver({&a, &b}, 2, out, start);
    CHECK(can_serve(b));
    CHECK(count_placeable(b) == 1);
    CHECK(b.steering.in_force->version == 3);
}

TEST_CASE("a large state is not pushed to a starting balancer; the balancer "
          "requests it") {
    auto a = make_blackboard(1);
    auto b = make_blackboard(2);
    introduce({&a, &b});
    apply_answer(a, make_configuration_list(3, 10), start);
    std::vector<upstream_record> many;
    many.reserve(3'000);
    for (int i = 0; i < 3'000; ++i)
        many.push_back(make_record("i-" + std::to_string(i), 5));
    apply_answer(a, make_upstream_list(many, 10), start);
    std::vector<outgoing_message> out;
    send_digests(b, start, out);
    CHECK(deliver({&a, &b}, 2, out, start) <= 3);
    out.clear();
    const auto asked = start + seconds{1};
    send_digests(b, asked, out);
    CHECK(deliver({&a, &b}, 2, out, asked) > 100);
    CHECK(count_placeable(b) == 3'000);
}

TEST_CASE("a starting balancer requests the complete state from its own "
          "failure domain first") {
    board_pair peers;
    auto remote = make_blackboard(3);
    remote.members.self.failure_domain = 2;
    for (const auto &feed_answer :
         {make_configuration_list(3, 10),
          make_upstream_list({make_record("i-1", 5)}, 10)})
        apply_answer(remote, feed_answer, start);
    auto starting = make_blackboard(4);
    starting.started = start;
    introduce({&peers.a, &remote, &starting});
    const auto pulls_after_digest = [&](blackboard &from, time_point now) {
        update_member(from.members, starting.members.self);
        std::vector<outgoing_message> digests;
        std::vector<outgoing_message> out;
        send_digests(from, now, digests);
        for (const auto &one : digests) {
            if (one.to == starting.members.self.address)
                on_peer_message(starting, from.members.self.address,
                                one.message, now, out);
        }
        return std::count_if(
            out.begin(), out.end(), [](const outgoing_message &it) {
                return std::holds_alternative<pull_message>(it.message);
            });
    };
    CHECK(pulls_after_digest(remote, start + milliseconds{400}) == 0);
    CHECK(pulls_after_digest(peers.a, start + milliseconds{600}) == 2);
    // No peer of the own domain sent the state in time: the state is requested
    // from other domains, too.
    CHECK(pulls_after_digest(remote, start + milliseconds{1'600}) == 2);
}

TEST_CASE("a change is pushed to the peers immediately, and they count it as "
          "confirmed by the store") {
    board_pair two;
    auto draining = make_record("i-1", 12);
    draining.state = upstream_state::draining;
    const auto now = start + seconds{1};
    deliver({&two.a, &two.b}, 1,
            apply_answer(two.a, make_changes({draining}, 12), now), now);
    CHECK(count_placeable(two.b) == 1);
    CHECK(version_of(two.b, feed::upstreams).as_of == make_revision(12));
    CHECK(version_of(two.b, feed::upstreams).confirmed >=
          now - milliseconds{2});
}

TEST_CASE("a configuration is never replaced by an older one") {
    board_pair two;
    apply_answer(two.a, make_configuration_list(2, 20), start + seconds{1});
    CHECK(two.a.steering.in_force->version == 3);
    const routes_message old{.whole = *make_configuration(1),
                             .version = {.complete = true}};
    std::vector<outgoing_message> out;
    on_peer_message(two.a, 2, old, start + seconds{1}, out);
    const auto outdated = make_block_tree(make_large_configuration(1, 900));
    on_peer_message(two.a, 2,
                    outline_message{.outline = outdated.outline,
                                    .version = {.complete = true}},
                    start + seconds{1}, out);
    CHECK(out.empty());
    CHECK(two.a.steering.in_force->version == 3);
}

TEST_CASE("upstreams whose entries are removed as the store recovers become "
          "lapsed at both watchers, and gone after `lapse_grace`") {
    board_pair two;
    const auto now = start + seconds{5};
    // A call of `a` to the store failed. `b` made no call in the meantime and
    // can tell the outage only from the time for which the feed was
    // unconfirmed.
    apply_answer(two.a, make_failed_answer(feed::upstreams), now - seconds{1});
    const auto removals =
        make_changes({make_deletion("i-1", 20), make_deletion("i-2", 21)}, 21);
    deliver({&two.a, &two.b}, 1, apply_answer(two.a, removals, now), now);
    apply_answer(two.b, removals, now + milliseconds{10});
    CHECK(count_placeable(two.a) == 2);
    CHECK(count_placeable(two.b) == 2);
    expire_upstreams(two.b.steering.upstreams, seconds{60},
                     now + lapse_grace + milliseconds{20});
    CHECK(count_placeable(two.b) == 0);
}

TEST_CASE("a balancer without failed calls detects an outage of the store from "
          "the time for which a feed was unconfirmed") {
    board_pair two;
    const auto now = start + seconds{4};
    apply_answer(two.b, make_changes({make_deletion("i-1", 20)}, 21), now);
    CHECK(count_placeable(two.b) == 2);
}

TEST_CASE("while the store is reachable, an upstream whose entry is removed "
          "becomes gone immediately") {
    board_pair two;
    for (int i = 1; i <= 4; ++i)
        apply_answer(two.a, make_changes({}, 10 + i), start + seconds{i});
    apply_answer(two.a, make_changes({make_deletion("i-1", 20)}, 21),
                 start + seconds{5});
    CHECK(count_placeable(two.a) == 1);
}

TEST_CASE("a draining upstream whose entry is removed after a store outage "
          "becomes gone immediately, not lapsed") {
    board_pair two;
    auto draining = make_record("i-1", 12);
    draining.state = upstream_state::draining;
    apply_answer(two.a, make_changes({draining}, 12), start + seconds{1});
    apply_answer(two.a, make_failed_answer(feed::upstreams),
                 start + seconds{3});
    apply_answer(two.a, make_changes({make_deletion("i-1", 20)}, 21),
                 start + seconds{5});
    CHECK(count_placeable(two.a) == 1);
}

TEST_CASE("upstream records that follow a gap in the revisions do not "
          "advance the version, and the missing records are requested") {
    board_pair two;
    records_message late{
        .from = make_revision(50),
        .version = {.content = make_revision(60), .as_of = make_revision(60)},
        .records = {make_record("i-3", 60)}};
    std::vector<outgoing_message> out;
    on_peer_message(two.a, 2, late, start + seconds{1}, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<pull_message>(out[0].message).since == make_revision(10));
    CHECK(version_of(two.a, feed::upstreams).as_of == make_revision(10));
}

TEST_CASE("a large configuration is received in blocks, in whatever order "
          "they arrive and although some are lost") {
    auto whole = make_large_configuration(4, 900);
    auto a = make_blackboard(1);
    auto b = make_blackboard(2);
    introduce({&a, &b});
    auto answer = make_configuration_list(4, 10);
    answer.latest_configuration = whole;
    apply_answer(a, answer, start);
    auto now = start + seconds{1};
    std::vector<outgoing_message> waiting;
    for (int i = 0; !b.steering.in_force && i < 1'000; ++i) {
        if (waiting.empty())
            waiting = digests_of(a, now);
        // The last message is the next to arrive, and one in five is lost.
        const auto one = waiting.back();
        waiting.pop_back();
        if (i % 5 != 4) {
            const auto buf = encode(one.message);
            CHECK(buf.size() <= 1'400);
            on_peer_message(one.to == 1 ? a : b, one.to == 1 ? 2 : 1,
                            *decode_peer_message({buf.data(), buf.size()}), now,
                            waiting);
        }
        now += milliseconds{1};
        repeat_requests(b, now, waiting);
    }
    REQUIRE(b.steering.in_force);
    CHECK(b.steering.in_force->routes.size() == 900);
    CHECK(blocks_in_force(a.served, a.steering.in_force).outline.names ==
          blocks_in_force(b.served, b.steering.in_force).outline.names);
}

TEST_CASE("malformed messages are rejected") {
    const auto buf = encode(digest_message{});
    for (std::size_t n = 1; n < buf.size(); ++n)
        decode_peer_message({buf.data(), n});
    CHECK_FALSE(decode_peer_message({"\xff\xff\xff", 3}));
    // Found by fuzzing: a field of an unexpected wire type, and a flag whose
    // value is missing at the end.
    CHECK_FALSE(decode_peer_message({"\x88\x00\x01\x25", 4}));
    CHECK_FALSE(decode_peer_message({"\x0a\x01\x20", 3}));
    records_message invalid;
    invalid.part = 3;
    invalid.parts = 2;
    const auto bad = encode(invalid);
    CHECK_FALSE(decode_peer_message({bad.data(), bad.size()}));
}

TEST_CASE("after a restart, an upstream that a peer reports as gone gets no "
          "new flows, even if a stale list contains it") {
    auto it = make_blackboard(1);
    std::vector<outgoing_message> out;
    // The first list that a restarted balancer reads may be several seconds
    // old.
    auto stale = make_upstream_list(
        {make_record("i-left", 5), make_record("i-stays", 6)}, 10);
    stale.may_be_stale = true;
    on_store_answer(it, stale, start, out);
    auto &table = it.steering.upstreams;
    REQUIRE(table.all[table.by_id.at("i-left")].placeable);
    auto left = make_record("i-left", 12);
    left.state = upstream_state::gone;
    const records_message reported{.from = make_revision(10),
                                   .version = {.content = make_revision(12),
                                               .as_of = make_revision(12),
                                               .age = milliseconds{0},
                                               .complete = true},
                                   .records = {left}};
    on_peer_message(it, 2, reported, start + milliseconds{50}, out);
    CHECK_FALSE(table.all[table.by_id.at("i-left")].placeable);
    // An older list does not make it placeable again.
    on_store_answer(it, stale, start + milliseconds{60}, out);
    CHECK_FALSE(table.all[table.by_id.at("i-left")].placeable);
    CHECK(table.all[table.by_id.at("i-stays")].placeable);
}

// Guards against a starting balancer that takes draining upstreams for ready:
// it counted a record pushed by a peer as the content of an older list, so that
// a digest with this content seemed to confirm the list.
TEST_CASE("a record pushed before the first list arrives does not hide the "
          "changes that the list lacks") {
    auto a = make_blackboard(1);
    auto b = make_blackboard(2);
    introduce({&a, &b});
    const std::vector<upstream_record> ready{
        make_record("i-1", 5), make_record("i-2", 6), make_record("i-3", 7)};
    apply_answer(a, make_configuration_list(3, 10), start);
    apply_answer(a, make_upstream_list(ready, 10), start);
    apply_answer(a, make_changes({make_draining("i-1", 12)}, 12), start);
    // `b` starts now: its call to the store is under way.
    const auto pushed =
        apply_answer(a, make_changes({make_draining("i-2", 14)}, 14), start);
    deliver({&a, &b}, 1, pushed, start);
    apply_answer(b, make_configuration_list(3, 10), start);
    auto stale = make_upstream_list(ready, 10);
    stale.may_be_stale = true;
    apply_answer(b, stale, start);
    CHECK(version_of(b, feed::upstreams).content <= make_revision(10));
    const auto now = start + seconds{1};
    deliver({&a, &b}, 1, {{.to = 2, .message = make_digest_of(a)}}, now);
    CHECK(count_placeable(b) == 1);
    CHECK(version_of(b, feed::upstreams).as_of == make_revision(14));
    CHECK(version_of(b, feed::upstreams).content == make_revision(14));
}

// Guards against the same fault without a push: pages of one list are read one
// after the other.
TEST_CASE("a change on a later page of a list does not hide a change missed on "
          "an earlier page") {
    auto a = make_blackboard(1);
    auto b = make_blackboard(2);
    introduce({&a, &b});
    const std::vector<upstream_record> ready{make_record("i-1", 5),
                                             make_record("i-2", 6)};
    for (auto *it : {&a, &b})
        apply_answer(*it, make_configuration_list(3, 10), start);
    apply_answer(a, make_upstream_list(ready, 10), start);
    apply_answer(
        a,
        make_changes({make_draining("i-1", 12), make_draining("i-2", 14)}, 14),
        start);
    // The first page was read at revision 10, the second one at 14.
    apply_answer(b,
                 make_upstream_list(
                     {make_record("i-1", 5), make_draining("i-2", 14)}, 10),
                 start);
    const auto now = start + seconds{1};
    deliver({&a, &b}, 1, {{.to = 2, .message = make_digest_of(a)}}, now);
    CHECK(count_placeable(b) == 0);
    CHECK(version_of(b, feed::upstreams).as_of == make_revision(14));
}

// Guards against upstreams that have left and are in use again after a restart:
// no peer had a record of their removal.
TEST_CASE("an upstream that only an old list shows becomes gone, although the "
          "peers started after its removal") {
    for (const auto peer_knows_more : {true, false}) {
        auto a = make_blackboard(1);
        auto b = make_blackboard(2);
        introduce({&a, &b});
        for (auto *it : {&a, &b})
            apply_answer(*it, make_configuration_list(3, 10), start);
        apply_answer(a,
                     make_upstream_list(
                         {make_record("i-1", peer_knows_more ? 18 : 5)}, 20),
                     start);
        auto stale = make_upstream_list(
            {make_record("i-1", 5), make_record("i-left", 6)}, 10);
        stale.may_be_stale = true;
        apply_answer(b, stale, start);
        for (int i = 1; i <= 4; ++i) {
            const auto now = start + milliseconds{500} * i;
            deliver({&a, &b}, 2, {{.to = 1, .message = make_digest_of(b)}},
                    now);
            deliver({&a, &b}, 1, {{.to = 2, .message = make_digest_of(a)}},
                    now);
        }
        CHECK(count_placeable(b) == 1);
        CHECK(count_placeable(a) == 1);
        CHECK(version_of(b, feed::upstreams).as_of == make_revision(20));
    }
}

// Guards against the same in another order: the list was under way while a peer
// sent its complete set.
TEST_CASE("an old list that arrives after a peer's later state is ignored") {
    auto a = make_blackboard(1);
    auto b = make_blackboard(2);
    introduce({&a, &b});
    apply_answer(a, make_configuration_list(3, 20), start);
    apply_answer(a, make_upstream_list({make_record("i-1", 5)}, 20), start);
    deliver({&a, &b}, 2, {{.to = 1, .message = make_digest_of(b)}}, start);
    REQUIRE(can_serve(b));
    auto stale = make_upstream_list(
        {make_record("i-1", 5), make_record("i-left", 6)}, 10);
    stale.may_be_stale = true;
    apply_answer(b, stale, start + milliseconds{200});
    CHECK(count_placeable(b) == 1);
    CHECK(version_of(b, feed::upstreams).as_of == make_revision(20));
    CHECK(version_of(b, feed::upstreams).removals_since == make_revision(20));
}

// Guards against the same after a network partition that lasts longer than
// removed upstreams are remembered.
TEST_CASE("an upstream that was removed and forgotten during a partition "
          "becomes gone after it") {
    board_pair two;
    const auto removed_at = start + seconds{3};
    apply_answer(two.a, make_changes({}, 11), start + seconds{2});
    apply_answer(two.a, make_changes({make_deletion("i-1", 12)}, 12),
                 removed_at);
    const auto healed = removed_at + seconds{120};
    // The entry lapses first, since `a` had no answer for a while.
    for (const auto now : {removed_at + seconds{5}, healed})
        expire_upstreams(two.a.steering.upstreams, seconds{65}, now);
    REQUIRE_FALSE(two.a.steering.upstreams.by_id.contains("i-1"));
    apply_answer(two.a, make_changes({make_record("i-2", 30)}, 30), healed);
    deliver({&two.a, &two.b}, 1, {{.to = 2, .message = make_digest_of(two.a)}},
            healed);
    CHECK(count_placeable(two.b) == 1);
    CHECK(version_of(two.b, feed::upstreams).as_of == make_revision(30));
}

TEST_CASE("a set of records is complete only if all its parts start at the "
          "same revision") {
    records_message first{
        .from = make_revision(0),
        .version = {.content = make_revision(9), .as_of = make_revision(9)},
        .parts = 2,
        .records = {make_record("i-1", 5)}};
    auto second = first;
    second.part = 1;
    second.from = make_revision(7);
    partial_records partial;
    CHECK_FALSE(add_records_part(partial, 1, first));
    CHECK_FALSE(add_records_part(partial, 1, second));
}

TEST_CASE("a probe message that ends between the tag and the value of a bool "
          "field is rejected") {
    // Field 7 (probe) with a length of one byte: the tag of field 1
    // (wants_answer) without a value.
    const std::string cut{0x3a, 0x01, 0x08};
    CHECK_FALSE(decode_peer_message(cut));
    // Found by fuzzing.
    const std::string found{"\x3a\x0e\x08\xd0\xd0\xd0\xd0\xd0\xd0\x08\x25"
                            "\x04\x00\xd0\xd0\x08",
                            16};
    CHECK_FALSE(decode_peer_message(found));
}

// Guards against a fleet in which nobody takes over watching the store: a
// balancer that had stood still took the age in a message for that of the time
// at which it read the message, and passed this on.
TEST_CASE("a digest that lay unread does not confirm a feed as of a later time "
          "than the store did") {
    board_pair two;
    const auto sent_at = start + seconds{1};
    std::vector<outgoing_message> out;
    send_digests(two.a, sent_at, out);
    const auto read_at = start + seconds{4};
    deliver({&two.a, &two.b}, 1, out, read_at);
    for (const auto what : {feed::configuration, feed::upstreams})
        CHECK(version_of(two.b, what).confirmed <= start);
}

TEST_CASE("a peer's confirmation that is asked for confirms a feed as of when "
          "the store did, at the latest") {
    board_pair two;
    const auto confirmed_at = start + milliseconds{500};
    apply_answer(two.a, make_changes({}, 11), confirmed_at);
    const auto asked_at = start + seconds{1};
    std::vector<outgoing_message> out;
    send_digests(two.b, asked_at, out);
    deliver({&two.a, &two.b}, 2, out, asked_at);
    const auto &confirmed = version_of(two.b, feed::upstreams).confirmed;
    CHECK(confirmed <= confirmed_at);
    CHECK(confirmed > start);
}

// Guards against balancers that died but count as live, as another one took the
// ages in messages that had lain unread for current ones.
TEST_CASE("a digest that lay unread does not make members seem more recently "
          "heard of than they were") {
    board_pair two;
    const auto sent_at = start + seconds{1};
    auto digest = make_digest_of(two.a);
    digest.members = {{.member = {.address = 9, .failure_domain = 1},
                       .age = milliseconds{800}}};
    two.b.unread_since = sent_at;
    std::vector<outgoing_message> out;
    on_peer_message(two.b, 1, digest, start + seconds{4}, out);
    CHECK(two.b.members.others.at(1).last_heard <= sent_at);
    CHECK(two.b.members.others.at(9).last_heard <= sent_at - milliseconds{800});
}

// Guards against a faulty peer that keeps a balancer walking through blocks.
TEST_CASE("blocks that name each other without end are not followed") {
    auto it = make_blackboard(1);
    configuration_block block{.kind = block_kind::routes,
                              .content = encode_route({.services = {}})};
    std::vector<configuration_block> blocks{block};
    for (int level = 0; level < 12; ++level) {
        const std::vector<block_name> names(max_block_names, name_of(block));
        block = {.kind = block_kind::names, .content = encode_names(names)};
        blocks.push_back(block);
    }
    std::vector<outgoing_message> out;
    const outline_message outline{
        .outline = {.head = {.version = 1, .revision = make_revision(1)},
                    .names = {name_of(block)}},
        .version = {.content = make_revision(1), .complete = true}};
    for (int i = 0; i < 3; ++i) {
        on_peer_message(it, 2, outline, start, out);
        for (const auto &one : blocks)
            on_peer_message(it, 2, block_message{.block = one}, start, out);
        std::reverse(blocks.begin(), blocks.end());
    }
    CHECK_FALSE(it.steering.in_force);
}

// Guards against a balancer that was cut off for so long that it and the others
// take each other for dead, and so never send each other a digest again.
TEST_CASE("a balancer that hears of no live member sends digests to those that "
          "it knew") {
    board_pair two;
    const auto healed = start + member_timeout(two.a.members) + seconds{1};
    std::vector<outgoing_message> out;
    send_digests(two.b, healed, out);
    CHECK(deliver({&two.a, &two.b}, 2, out, healed) > 0);
    CHECK(is_live(two.a.members, two.a.members.others.at(2), healed));
}
