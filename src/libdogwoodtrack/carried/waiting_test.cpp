#include <doctest/doctest.h>

#include "test_support.hpp"
#include "waiting.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

TEST_CASE("after an outage the caller with the longest time left goes first") {
    waiting_room room;
    for (std::uint16_t port = 1; port <= 3; ++port)
        add_waiting(room, {.head = opening(port),
                           .bytes = {},
                           .began = start + milliseconds{port}});
    add_waiting(room, {.head = later(9, 5), .bytes = {}, .began = start});
    REQUIRE(room.all.size() == 4);
    CHECK_FALSE(room.all[0].head.opens);
    CHECK(room.all[1].head.ends.caller.port == 3);
    CHECK(room.all[3].head.ends.caller.port == 1);
}

TEST_CASE("a copy of a waiting opening packet does not wait, too") {
    waiting_room room;
    add_waiting(room, {.head = opening(1), .bytes = {}, .began = start});
    add_waiting(room, {.head = opening(1, 1), .bytes = {}, .began = start});
    CHECK(room.all.size() == 1);
    CHECK(attempt_began(2, start) == start - milliseconds{600});
}

TEST_CASE("who cannot be answered in time is taken out, and the room is "
          "bounded") {
    waiting_room room;
    room.limit = 2;
    for (std::uint16_t port = 1; port <= 4; ++port)
        add_waiting(room, {.head = opening(port),
                           .bytes = {},
                           .began = start + milliseconds{port * 100}});
    CHECK(room.all.size() == 2);
    CHECK(room.overflowed == 2);
    const auto now = start + milliseconds{300} + attempt_longest - opening_time;
    CHECK(take_hopeless(room, now).size() == 1);
    CHECK(room.all.size() == 1);
}
