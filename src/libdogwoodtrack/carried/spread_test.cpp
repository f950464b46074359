#include <algorithm>

#include <doctest/doctest.h>

#include "spread.hpp"
#include "test_support.hpp"
#include "watch_duty.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto take(board &it, const store_answer &answer, time_point now)
    -> std::vector<outgoing_message> {
    std::vector<outgoing_message> out;
    on_store_answer(it, answer, now, out);
    plan_next_call(it, answer, now);
    return out;
}

// Delivers messages, and what they cause, until nothing is left.
auto deliver(const std::vector<board *> &all, std::uint32_t from,
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

auto know_each_other(const std::vector<board *> &all) -> void {
    for (auto *a : all) {
        for (auto *b : all)
            note_member(a->members, b->members.self);
    }
}

auto in_service(const board &it) -> std::size_t {
    const auto found = it.steering.upstreams.placeable.find(bookings);
    return found == it.steering.upstreams.placeable.end()
               ? 0
               : found->second.size();
}

auto deletion(const std::string &id, std::uint64_t revision)
    -> upstream_record {
    return {.id = id,
            .state = upstream_state::gone,
            .revision = revision,
            .changed_at = revision};
}

auto changes(std::vector<upstream_record> records, std::uint64_t as_of)
    -> store_answer {
    return {.what = feed::upstreams,
            .outcome = store_outcome::changed,
            .as_of = as_of,
            .records = std::move(records)};
}

struct pair_of_boards {
    board a = make_board(1);
    board b = make_board(2);

    pair_of_boards() {
        know_each_other({&a, &b});
        for (auto *it : {&a, &b}) {
            take(*it, list_of_configuration(3, 10), start);
            take(*it,
                 list_of_upstreams(
                     {make_record("i-1", 5), make_record("i-2", 6)}, 10),
                 start);
        }
    }
};

} // namespace

TEST_CASE("start: a balancer gets its whole state from a peer") {
    auto a = make_board(1);
    auto b = make_board(2);
    know_each_other({&a, &b});
    take(a, list_of_configuration(3, 10), start);
    take(a, list_of_upstreams({make_record("i-1", 5)}, 10), start);
    std::vector<outgoing_message> out;
    send_digests(b, start, out);
    deliver({&a, &b}, 2, out, start);
    CHECK(can_serve(b));
    CHECK(in_service(b) == 1);
    CHECK(b.steering.in_force->version == 3);
}

TEST_CASE("start: a large state is not sent unasked, nor twice in a row") {
    auto a = make_board(1);
    auto b = make_board(2);
    know_each_other({&a, &b});
    take(a, list_of_configuration(3, 10), start);
    std::vector<upstream_record> many;
    many.reserve(3'000);
    for (int i = 0; i < 3'000; ++i)
        many.push_back(make_record("i-" + std::to_string(i), 5));
    take(a, list_of_upstreams(many, 10), start);
    std::vector<outgoing_message> out;
    send_digests(b, start, out);
    CHECK(deliver({&a, &b}, 2, out, start) <= 3);
    out.clear();
    const auto asked = start + seconds{1};
    send_digests(b, asked, out);
    CHECK(deliver({&a, &b}, 2, out, asked) > 100);
    CHECK(in_service(b) == 3'000);
}

TEST_CASE("start of many: a whole state is asked of the own domain first") {
    pair_of_boards peers;
    auto far = make_board(3);
    far.members.self.failure_domain = 2;
    for (const auto &feed_answer :
         {list_of_configuration(3, 10),
          list_of_upstreams({make_record("i-1", 5)}, 10)})
        take(far, feed_answer, start);
    auto starting = make_board(4);
    starting.started = start;
    know_each_other({&peers.a, &far, &starting});
    const auto pulls_after_digest = [&](board &from, time_point now) {
        note_member(from.members, starting.members.self);
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
    CHECK(pulls_after_digest(far, start + milliseconds{400}) == 0);
    CHECK(pulls_after_digest(peers.a, start + milliseconds{600}) == 2);
    // Nobody near answered: any peer will do.
    CHECK(pulls_after_digest(far, start + milliseconds{1'600}) == 2);
}

TEST_CASE("a change reaches the peers at once and is confirmed there") {
    pair_of_boards two;
    auto drained = make_record("i-1", 12);
    drained.state = upstream_state::draining;
    const auto now = start + seconds{1};
    deliver({&two.a, &two.b}, 1, take(two.a, changes({drained}, 12), now), now);
    CHECK(in_service(two.b) == 1);
    CHECK(version_of(two.b, feed::upstreams).as_of == 12);
    CHECK(version_of(two.b, feed::upstreams).confirmed >=
          now - milliseconds{2});
}

TEST_CASE("a configuration never goes back") {
    pair_of_boards two;
    take(two.a, list_of_configuration(2, 20), start + seconds{1});
    CHECK(two.a.steering.in_force->version == 3);
    const auto old = split_routes(*make_configuration(1), {.complete = true});
    std::vector<outgoing_message> out;
    on_peer_message(two.a, 2, old.front(), start + seconds{1}, out);
    CHECK(two.a.steering.in_force->version == 3);
}

TEST_CASE("store returns: vanished entries stay, also with a second watcher") {
    pair_of_boards two;
    const auto now = start + seconds{5};
    // `a` saw the store fail; `b` only notices that nobody was answered.
    take(two.a, failed(feed::upstreams), now - seconds{1});
    const auto vanished =
        changes({deletion("i-1", 20), deletion("i-2", 21)}, 21);
    deliver({&two.a, &two.b}, 1, take(two.a, vanished, now), now);
    take(two.b, vanished, now + milliseconds{10});
    CHECK(in_service(two.a) == 2);
    CHECK(in_service(two.b) == 2);
    expire_upstreams(two.b.steering.upstreams, seconds{60},
                     now + lapse_grace + milliseconds{20});
    CHECK(in_service(two.b) == 0);
}

TEST_CASE("store returns: a balancer that did not fail itself knows it, too") {
    pair_of_boards two;
    const auto now = start + seconds{4};
    take(two.b, changes({deletion("i-1", 20)}, 21), now);
    CHECK(in_service(two.b) == 2);
}

TEST_CASE("calm store: a vanished entry is gone at once") {
    pair_of_boards two;
    for (int i = 1; i <= 4; ++i)
        take(two.a, changes({}, 10 + i), start + seconds{i});
    take(two.a, changes({deletion("i-1", 20)}, 21), start + seconds{5});
    CHECK(in_service(two.a) == 1);
}

TEST_CASE("a leaving upstream that vanishes while the store is away is gone") {
    pair_of_boards two;
    auto drained = make_record("i-1", 12);
    drained.state = upstream_state::draining;
    take(two.a, changes({drained}, 12), start + seconds{1});
    take(two.a, failed(feed::upstreams), start + seconds{3});
    take(two.a, changes({deletion("i-1", 20)}, 21), start + seconds{5});
    CHECK(in_service(two.a) == 1);
}

TEST_CASE("records that arrive with a gap are asked for again") {
    pair_of_boards two;
    records_message late{.from = 50,
                         .version = {.content = 60, .as_of = 60},
                         .records = {make_record("i-3", 60)}};
    std::vector<outgoing_message> out;
    on_peer_message(two.a, 2, late, start + seconds{1}, out);
    REQUIRE(out.size() == 1);
    CHECK(std::get<pull_message>(out[0].message).since == 10);
    CHECK(version_of(two.a, feed::upstreams).as_of == 10);
}

TEST_CASE("large fleets of records and routes survive being split") {
    configuration whole = *make_configuration(4);
    for (std::uint16_t i = 1; i < 900; ++i)
        whole.routes.push_back(
            {.address = {.address = 0xc6120002, .port = i},
             .services = {{.service = bookings, .weight = 3}}});
    const auto parts = split_routes(whole, {.content = 4, .complete = true});
    CHECK(parts.size() > 10);
    auto it = make_board(1);
    std::vector<outgoing_message> out;
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const auto buf = encode(*part);
        CHECK(buf.size() <= 1'400);
        on_peer_message(it, 2, *decode_peer_message({buf.data(), buf.size()}),
                        start, out);
    }
    REQUIRE(it.steering.in_force);
    CHECK(it.steering.in_force->routes.size() == 900);
}

TEST_CASE("damaged messages are refused") {
    const auto buf = encode(digest_message{});
    for (std::size_t n = 1; n < buf.size(); ++n)
        decode_peer_message({buf.data(), n});
    CHECK_FALSE(decode_peer_message({"\xff\xff\xff", 3}));
    // Found by fuzzing: a field of another wire type, and a flag without its
    // value at the end.
    CHECK_FALSE(decode_peer_message({"\x88\x00\x01\x25", 4}));
    CHECK_FALSE(decode_peer_message({"\x0a\x01\x20", 3}));
    records_message wrong;
    wrong.part = 3;
    wrong.parts = 2;
    const auto bad = encode(wrong);
    CHECK_FALSE(decode_peer_message({bad.data(), bad.size()}));
}

TEST_CASE(
    "restart: an upstream that left is used no more once a peer says so") {
    auto it = make_board(1);
    std::vector<outgoing_message> out;
    // The first list may be seconds old.
    auto stale = list_of_upstreams(
        {make_record("i-left", 5), make_record("i-stays", 6)}, 10);
    stale.may_be_stale = true;
    on_store_answer(it, stale, start, out);
    auto &table = it.steering.upstreams;
    REQUIRE(table.all[table.by_id.at("i-left")].placeable);
    auto left = make_record("i-left", 12);
    left.state = upstream_state::gone;
    const records_message told{.from = 10,
                               .version = {.content = 12,
                                           .as_of = 12,
                                           .age = milliseconds{0},
                                           .complete = true},
                               .records = {left}};
    on_peer_message(it, 2, told, start + milliseconds{50}, out);
    CHECK_FALSE(table.all[table.by_id.at("i-left")].placeable);
    // Neither an older list nor an older record brings it back.
    on_store_answer(it, stale, start + milliseconds{60}, out);
    CHECK_FALSE(table.all[table.by_id.at("i-left")].placeable);
    CHECK(table.all[table.by_id.at("i-stays")].placeable);
}

TEST_CASE("a probe that ends with the tag of a flag is refused") {
    // Field 7, one byte long: field 1 (wants_answer) without its value.
    const std::string cut{0x3a, 0x01, 0x08};
    CHECK_FALSE(decode_peer_message(cut));
    // Found by fuzzing.
    const std::string found{"\x3a\x0e\x08\xd0\xd0\xd0\xd0\xd0\xd0\x08\x25"
                            "\x04\x00\xd0\xd0\x08",
                            16};
    CHECK_FALSE(decode_peer_message(found));
}
