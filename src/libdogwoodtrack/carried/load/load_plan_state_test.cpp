#include <doctest/doctest.h>

#include "carried/admission/allocation.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

auto make_plan(std::uint32_t sequence, float admitted,
               std::vector<upstream_plan> upstreams = {}) -> load_plan {
    return {.sequence = sequence,
            .services = {{.service = bookings,
                          .admit = {1, 1, admitted, admitted},
                          .spill = {},
                          .upstreams = std::move(upstreams),
                          .limit = 40}}};
}

// Report of a balancer that sees 25 openings in 250 ms.
auto make_own_report(std::uint32_t rejections) -> own_share_input {
    service_load load{.service = bookings,
                      .answers = 10,
                      .rejections = rejections,
                      .service_ms = 40};
    load.priorities[2].openings = 25;
    return {.own = {.interval = milliseconds{250},
                    .services = {load},
                    .upstreams = {}},
            .balancers = 20};
}

auto admitted(const load_plan_state &it, time_point now) -> float {
    const auto *plan = plan_for(it, bookings, now);
    return plan == nullptr ? -1 : plan->admit[2];
}

} // namespace

// Guards against a crowd that is let in at once when the coordinator dies, and
// against a limit that outlives its reason.
TEST_CASE("an expired plan leaves this balancer's share of the limit, which "
          "ends after 5 s without rejections") {
    load_plan_state it{.enabled = true};
    apply_plan(it, 9, make_plan(1, 0.25F), start);
    CHECK(admitted(it, start + milliseconds{1'999}) == 0.25F);
    CHECK(is_coordinated(it, bookings, start + milliseconds{1'999}));
    allocation_input expected{.limit = 2};
    expected.demand[2] = 25 * 40 / 250.0F;
    const auto allowed = allocate_admission(expected)[2];
    auto now = start + plan_lifetime;
    // Rejections keep the share of the limit in force.
    for (int i = 0; i < 40; ++i, now += milliseconds{250}) {
        update_own_shares(it, make_own_report(1), now);
        CHECK(admitted(it, now) == doctest::Approx(allowed));
    }
    CHECK_FALSE(is_coordinated(it, bookings, now));
    for (int i = 0; i < 10; ++i, now += milliseconds{250})
        update_own_shares(it, make_own_report(0), now);
    CHECK(admitted(it, now) == doctest::Approx(allowed + (1 - allowed) * 0.5));
    for (int i = 0; i < 10; ++i, now += milliseconds{250})
        update_own_shares(it, make_own_report(0), now);
    CHECK(plan_for(it, bookings, now) == nullptr);
}

// Guards against a plan that is replaced by an older one or kept in force by
// copies, and against a restarted coordinator that is not believed.
TEST_CASE("late and doubled plans change nothing; a restarted coordinator's "
          "plan counts") {
    load_plan_state it{.enabled = true};
    apply_plan(it, 9, make_plan(100, 0.5F), start);
    CHECK_FALSE(apply_plan(it, 9, make_plan(99, 0.1F), start));
    CHECK(admitted(it, start) == 0.5F);
    apply_plan(it, 9, make_plan(100, 0.5F), start + seconds{1});
    CHECK_FALSE(is_coordinated(it, bookings, start + plan_lifetime));
    CHECK(apply_plan(it, 9, make_plan(1, 0.75F), start + seconds{1}));
    CHECK(admitted(it, start + seconds{1}) == 0.75F);
    // Another coordinator counts by itself.
    CHECK(apply_plan(it, 8, make_plan(90, 1), start + seconds{1}));
    CHECK(apply_plan(it, 9, make_plan(2, 0.75F), start + seconds{1}));
}

// Guards against speeds that are lost because a datagram has only some of the
// upstreams.
TEST_CASE("upstreams of earlier datagrams stay in the plan") {
    load_plan_state it{.enabled = true};
    apply_plan(it, 9, make_plan(1, 1, {{.code = 5, .speed = 0.5F}}), start);
    apply_plan(it, 9, make_plan(1, 1, {{.code = 3, .speed = 2}}), start);
    apply_plan(it, 9, make_plan(2, 1, {{.code = 5, .speed = 0.75F}}),
               start + seconds{1});
    const auto &upstreams =
        plan_for(it, bookings, start + seconds{1})->upstreams;
    REQUIRE(upstreams.size() == 2);
    CHECK(upstreams[0].code == 3);
    CHECK(upstreams[1].speed == 0.75F);
    apply_plan(it, 9, make_plan(3, 1), start + seconds{60});
    CHECK(plan_for(it, bookings, start + seconds{60})->upstreams.size() == 1);
}

// Guards against a balancer that lets a crowd in because it has just started.
TEST_CASE("a fresh balancer admits half of the last priority while peers "
          "report that a limit binds") {
    auto routes = make_configuration(1);
    routes->routes.front().priority = 2;
    load_plan_state it{.enabled = true};
    update_cautious_plans(it, routes.get());
    CHECK(plan_for(it, bookings, start) == nullptr);
    it.limit_reported = start;
    REQUIRE(plan_for(it, bookings, start) != nullptr);
    CHECK(plan_for(it, bookings, start)->admit ==
          std::array<float, priority_count>{1, 1, 0.5F, 1});
    // Balancers must not confirm the limit to each other for ever.
    CHECK_FALSE(limit_binds(it, start));
    CHECK(plan_for(it, bookings, start + seconds{2}) == nullptr);
    apply_plan(it, 9, make_plan(1, 1), start);
    CHECK(admitted(it, start) == 1);
    it.enabled = false;
    CHECK(plan_for(it, bookings, start) == nullptr);
}
