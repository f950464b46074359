#include <doctest/doctest.h>

#include "carried/admission/opening_queue.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto make_opening(std::uint16_t port, std::size_t priority, milliseconds after,
                  milliseconds slack = milliseconds{500},
                  std::uint32_t caller = 7) -> queued_opening {
    queued_opening it{.header = opening_packet(port),
                      .service = bookings,
                      .priority = priority,
                      .arrived = start + after,
                      .deadline = start + after + milliseconds{125},
                      .due = start + after + slack,
                      .bytes = {}};
    it.header.endpoints.caller.address = caller;
    return it;
}

constexpr queue_room plenty{.same_class = 100, .same_caller = 100};

auto serve_all(opening_queue &queue, time_point now)
    -> std::vector<std::uint16_t> {
    std::vector<std::uint16_t> ports;
    serve_queue(
        queue,
        [&](queued_opening &it) {
            ports.push_back(it.header.endpoints.caller.port);
            return true;
        },
        now);
    return ports;
}

} // namespace

// Guards against an opening that still waits when its caller sends it again, or
// when too little of the target latency is left.
TEST_CASE("the time in the queue is bounded by the target latency and by the "
          "callers' retransmission") {
    CHECK(queue_time(milliseconds{500}) == milliseconds{125});
    CHECK(queue_time(milliseconds{1'500}) < milliseconds{200});
    CHECK(queue_time(milliseconds{0}) < milliseconds{200});
}

// Guards against a queue under overload that serves only openings whose callers
// have nearly given up.
TEST_CASE("sudden crowd: order is priority, then slack, and last in first out "
          "once the queue stays busy") {
    for (const auto overloaded : {false, true}) {
        opening_queue queue;
        const auto add = [&](const queued_opening &it) {
            CHECK(queue_opening(queue, it, plenty, it.arrived).queued);
        };
        add(make_opening(1, 2, milliseconds{0}));
        add(make_opening(2, 2, milliseconds{10}, milliseconds{100}));
        add(make_opening(3, 1, milliseconds{20}));
        add(make_opening(4, 2, milliseconds{30}));
        const auto now = start + milliseconds{overloaded ? 110 : 40};
        CHECK(serve_all(queue, now) ==
              (overloaded ? std::vector<std::uint16_t>{3, 4, 2, 1}
                          : std::vector<std::uint16_t>{3, 2, 1, 4}));
        CHECK(queue.all.empty());
    }
}

// Guards against an opening that is placed twice.
TEST_CASE("a retransmission of a queued opening is not queued twice") {
    opening_queue queue;
    auto opening = make_opening(1, 1, milliseconds{0});
    CHECK(queue_opening(queue, opening, plenty, start).queued);
    opening.header.retransmission = 1;
    CHECK(queue_opening(queue, opening, plenty, start).queued);
    CHECK(queue.all.size() == 1);
}

// Guards against a caller whose retries displace those of all others.
TEST_CASE("one greedy caller displaces only its own openings") {
    opening_queue queue;
    const queue_room room{.same_class = 4, .same_caller = 2};
    // Fills the queue before any other caller arrives.
    for (std::uint16_t i = 0; i < 4; ++i)
        CHECK(queue_opening(queue, make_opening(i, 1, milliseconds{0}), room,
                            start)
                  .queued);
    for (std::uint16_t i = 0; i < 2; ++i)
        CHECK(queue_opening(queue,
                            make_opening(100 + i, 1, milliseconds{9},
                                         milliseconds{500}, 100 + i),
                            room, start)
                  .queued);
    for (std::uint16_t i = 0; i < 50; ++i) {
        const auto result = queue_opening(
            queue, make_opening(1'000 + i, 1, milliseconds{i}), room, start);
        CHECK(result.caller_cap);
        if (result.displaced)
            CHECK(result.displaced->header.endpoints.caller.address == 7);
    }
    CHECK(queue.all.size() == 4);
}

// Guards against urgent openings that are rejected because less urgent ones
// came first.
TEST_CASE("a full queue displaces the least urgent opening") {
    opening_queue queue{.limit = 2};
    queue_opening(queue, make_opening(1, 2, milliseconds{0}), plenty, start);
    queue_opening(queue, make_opening(2, 1, milliseconds{0}), plenty, start);
    const auto first = queue_opening(queue, make_opening(3, 1, milliseconds{1}),
                                     plenty, start);
    REQUIRE(first.displaced);
    CHECK(first.displaced->priority == 2);
    const auto second = queue_opening(
        queue, make_opening(4, 3, milliseconds{2}), plenty, start);
    CHECK_FALSE(second.queued);
    CHECK_FALSE(second.displaced);
}
