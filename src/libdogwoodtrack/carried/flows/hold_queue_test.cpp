#include <doctest/doctest.h>

#include "carried/flows/hold_queue.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

TEST_CASE(
    "held packets of established flows come first, then the latest openings") {
    hold_queue queue;
    for (std::uint16_t port = 1; port <= 3; ++port)
        hold_packet(queue, {.header = opening_packet(port),
                            .bytes = {},
                            .attempt_started = start + milliseconds{port}});
    hold_packet(
        queue,
        {.header = later_packet(9, 5), .bytes = {}, .attempt_started = start});
    REQUIRE(queue.all.size() == 4);
    CHECK_FALSE(queue.all[0].header.opens);
    CHECK(queue.all[1].header.endpoints.caller.port == 3);
    CHECK(queue.all[3].header.endpoints.caller.port == 1);
}

TEST_CASE("retransmission of a held opening packet is ignored") {
    hold_queue queue;
    hold_packet(
        queue,
        {.header = opening_packet(1), .bytes = {}, .attempt_started = start});
    hold_packet(queue, {.header = opening_packet(1, 1),
                        .bytes = {},
                        .attempt_started = start});
    CHECK(queue.all.size() == 1);
    CHECK(attempt_start(2, start) == start - milliseconds{600});
}

TEST_CASE(
    "hold queue drops packets beyond its limit and returns expired openings") {
    hold_queue queue;
    queue.limit = 2;
    for (std::uint16_t port = 1; port <= 4; ++port)
        hold_packet(queue,
                    {.header = opening_packet(port),
                     .bytes = {},
                     .attempt_started = start + milliseconds{port * 100}});
    CHECK(queue.all.size() == 2);
    CHECK(queue.overflowed == 2);
    const auto now =
        start + milliseconds{300} + connect_timeout - handshake_allowance;
    CHECK(take_expired(queue, now).size() == 1);
    CHECK(queue.all.size() == 1);
}
