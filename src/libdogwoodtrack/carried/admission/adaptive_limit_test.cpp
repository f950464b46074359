#include <algorithm>
#include <cmath>
#include <functional>

#include <doctest/doctest.h>

#include "carried/admission/adaptive_limit.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;

namespace {

/// Upstreams as a fluid, in front of which balancers admit requests at the rate
/// that the limit allows: it is converted by the time that a request takes.
struct closed_loop {
    float slots = 240;
    float held_per_slot = 2; ///< processed and queued; the rest is rejected
    float service_ms = 30;
    float demand = 4'000; ///< requests per second
    adaptive_limit limit;
    time_point now{std::chrono::hours{1}};
    float in_flight = 0;
    float response_ms = 30;
    /// Converts by the smoothed response time instead of the baseline.
    bool by_response = false;
    float smoothed_ms = 30;
    // Sums since the last call of `take_sums`.
    float served = 0;
    float rejected = 0;
    float lowest = 1; ///< part of the capacity used in an interval

    // Plays one interval between two plans.
    auto step() -> void {
        constexpr int parts = 50;
        constexpr float part_s = 0.25F / parts;
        float answers = 0;
        float rejections = 0;
        const auto request_ms = by_response ? smoothed_ms : limit.baseline_ms;
        const auto admitted =
            limit.limit == 0
                ? demand
                : std::min(demand, limit.limit / request_ms * 1'000);
        for (int i = 0; i < parts; ++i) {
            const auto done =
                std::min({in_flight, slots, in_flight + admitted * part_s}) /
                service_ms * 1'000 * part_s;
            answers += done;
            in_flight += admitted * part_s - done;
            const auto excess =
                std::max(0.0F, in_flight - slots * held_per_slot);
            in_flight -= excess;
            rejections += excess;
        }
        response_ms = std::max(service_ms, in_flight / (answers / 250));
        smoothed_ms += 0.12F * (response_ms - smoothed_ms);
        now += milliseconds{250};
        update_limit(limit,
                     {.slots = slots,
                      .in_flight = in_flight,
                      .answers = static_cast<std::uint32_t>(answers),
                      .rejections = static_cast<std::uint32_t>(rejections),
                      .service_ms = response_ms,
                      .target_latency = milliseconds{500},
                      .interval = milliseconds{250}},
                     now);
        served += answers;
        rejected += rejections;
        lowest = std::min(lowest, answers / (slots / service_ms * 250));
    }

    auto run(seconds duration) -> void {
        served = rejected = 0;
        lowest = 1;
        for (int i = 0; i < duration.count() * 4; ++i)
            step();
    }

    // Part of the capacity that was used in the last `duration`.
    auto utilization(seconds duration) const -> float {
        return served / (slots / service_ms * 1'000 *
                         static_cast<float>(duration.count()));
    }

    auto rejected_part() const -> float {
        return rejected / std::max(1.0F, served + rejected);
    }
};

} // namespace

// Guards against idle slots and rejections by upstreams during a crowd.
TEST_CASE("sudden crowd: the limit keeps the slots busy and upstreams reject "
          "little, whatever they hold") {
    for (const auto by_response : {false, true}) {
        for (const auto held : {1.1F, 1.5F, 2.0F, 3.0F, 8.0F}) {
            CAPTURE(by_response);
            CAPTURE(held);
            closed_loop it{.held_per_slot = held, .by_response = by_response};
            it.run(seconds{5});
            it.demand *= 8;
            it.run(seconds{2});
            it.run(seconds{20});
            CHECK(it.utilization(seconds{20}) > 0.95F);
            CHECK(it.lowest > 0.85F);
            CHECK(it.rejected_part() < 0.03F);
            CHECK(it.response_ms < 500 / 2);
        }
    }
}

// Guards against a limit that stays at the capacity of upstreams that vanished.
TEST_CASE("half of the upstreams gone: the limit follows within a second and "
          "grows as they return") {
    closed_loop it{.demand = 16'000};
    it.run(seconds{5});
    const auto whole = it.limit.limit;
    it.slots /= 2;
    it.run(seconds{1});
    CHECK(it.limit.limit < 0.6F * whole);
    it.run(seconds{10});
    CHECK(it.utilization(seconds{10}) > 0.9F);
    CHECK(it.rejected_part() < 0.05F);
    it.slots *= 2;
    it.run(seconds{1});
    CHECK(it.limit.limit > 0.85F * whole);
    it.run(seconds{10});
    CHECK(it.utilization(seconds{10}) > 0.9F);
    it.slots = 0;
    it.step();
    CHECK(it.limit.limit == 0);
}

// Guards against a limit that collapses, and keeps urgent flows out for seconds
// after a crowd, because upstreams reject requests on established flows.
TEST_CASE("rejections do not reduce the limit below the requests on "
          "established flows") {
    closed_loop it{.demand = 7'000};
    it.run(seconds{3});
    const auto established = it.slots * 1.25F;
    for (int i = 0; i < 20; ++i) {
        it.now += milliseconds{250};
        update_limit(it.limit,
                     {.slots = it.slots,
                      .in_flight = 2 * it.slots,
                      .established = established,
                      .answers = 2'000,
                      .rejections = 3'000,
                      .service_ms = 60,
                      .target_latency = milliseconds{500},
                      .interval = milliseconds{250}},
                     it.now);
    }
    CHECK(it.limit.limit == doctest::Approx(established));
}

// Guards against callers who are refused because upstreams failed some time
// ago.
TEST_CASE("a limit that was reduced is forgotten when it is not reached") {
    closed_loop it{.held_per_slot = 1.1F, .demand = 16'000};
    it.run(seconds{10});
    CHECK(it.limit.room < 1.2F);
    it.demand = 2'000;
    it.run(seconds{3});
    CHECK(it.limit.room >= 1.5F);
}

// Guards against slots that stay idle for many seconds where upstreams queue
// more than the first limit assumes.
TEST_CASE("the limit grows faster the longer upstreams bear it") {
    closed_loop it{.held_per_slot = 8, .demand = 16'000};
    it.run(seconds{1});
    const auto before = it.limit.room;
    it.run(seconds{1});
    const auto in_second = it.limit.room - before;
    it.run(seconds{1});
    CHECK(it.limit.room - before > 2.5F * in_second);
}

// Guards against a baseline that takes slower processing for queueing, and
// thereby shrinks the limit without end.
TEST_CASE("slow decline: upstreams that become slower are still kept busy") {
    closed_loop it{.demand = 16'000};
    it.run(seconds{5});
    for (int i = 0; i < 60; ++i) {
        it.service_ms *= 1.012F;
        it.run(seconds{1});
        CHECK(it.utilization(seconds{1}) > 0.85F);
    }
    CHECK(it.limit.baseline_ms == doctest::Approx(it.service_ms).epsilon(0.1));
}

// Guards against queueing that raises the baseline and thereby the allowance.
TEST_CASE("queueing delay is not learned as service time") {
    closed_loop it{.held_per_slot = 8, .demand = 16'000};
    it.run(seconds{60});
    CHECK(it.response_ms > 1.5F * it.service_ms);
    CHECK(it.limit.baseline_ms == doctest::Approx(it.service_ms).epsilon(0.1));
}

// Guards against a limit that shrinks because few requests arrive, or because
// single upstreams fail while there is no load.
TEST_CASE("silence and failures without load do not reduce the limit") {
    closed_loop it{.demand = 2'000};
    it.run(seconds{5});
    const auto before = it.limit.limit;
    limit_sample sample{.slots = it.slots,
                        .target_latency = milliseconds{500},
                        .interval = milliseconds{250}};
    CHECK(update_limit(it.limit, sample, it.now) == before);
    sample.in_flight = 20;
    sample.answers = 100;
    sample.rejections = 30;
    sample.service_ms = 30;
    it.limit.in_flight = 20;
    CHECK(update_limit(it.limit, sample, it.now) == before);
    sample.in_flight = std::nanf("");
    CHECK(update_limit(it.limit, sample, it.now) == before);
}
