#include <cmath>

#include <doctest/doctest.h>

#include "carried/admission/allocation.hpp"

using namespace dogwoodtrack::carried;

// Guards against urgent flows that are rejected in favour of less urgent ones.
TEST_CASE("half of the upstreams gone: room is filled in the order of "
          "priority") {
    const auto admit = allocate_admission({.limit = 120,
                                           .established = {20, 0, 0, 0},
                                           .demand = {0, 60, 80, 10}});
    CHECK(admit[0] == 1);
    CHECK(admit[1] == 1);
    CHECK(admit[2] == doctest::Approx(0.5));
    CHECK(admit[3] == 0);
}

// Guards against a priority that gets nothing while another one bursts.
TEST_CASE("one class bursting while another starves: the minimum share is "
          "kept") {
    allocation_input input{.limit = 100, .demand = {0, 1'000, 50, 5}};
    CHECK(allocate_admission(input)[2] == 0);
    input.min_share = {0.1F, 0.1F, 0.1F, 0.1F};
    const auto admit = allocate_admission(input);
    CHECK(admit[1] == doctest::Approx(0.085));
    CHECK(admit[2] == doctest::Approx(0.2));
    CHECK(admit[3] == 1);
    // Shares that are not used go to the others.
    input.demand = {0, 1'000, 0, 0};
    CHECK(allocate_admission(input)[1] == doctest::Approx(0.1));
    input.min_share = {1, 1, 1, 1};
    input.demand = {100, 100, 100, 100};
    for (const auto part : allocate_admission(input))
        CHECK(part == doctest::Approx(0.25));
}

// Guards against new flows admitted to room that established flows take.
TEST_CASE("requests on established flows come first, spilled ones take no "
          "room") {
    allocation_input input{
        .limit = 100, .established = {150, 0, 0, 0}, .demand = {50, 50, 0, 0}};
    CHECK(allocate_admission(input)[0] == 0);
    input.spilled = 75;
    CHECK(allocate_admission(input)[0] == 1);
    CHECK(allocate_admission(input)[1] == doctest::Approx(0.5));
}

// Guards against urgent flows that are rejected, as long as less urgent callers
// keep the flows that they have, although the upstreams have room for them.
TEST_CASE("one class opens a flow for each request, the other keeps its own: "
          "the urgent one is admitted") {
    allocation_input input{
        .limit = 100, .established = {0, 10, 140, 0}, .demand = {0, 80, 60, 0}};
    CHECK(allocate_admission(input)[1] == 1);
    CHECK(allocate_admission(input)[2] == 0);
    input.established[1] = 60;
    CHECK(allocate_admission(input)[1] == doctest::Approx(0.5));
    input.established = {0, 10, 0, 0};
    CHECK(allocate_admission(input)[1] == 1);
    CHECK(allocate_admission(input)[2] == doctest::Approx(10.0 / 60));
}

// Guards against a minimum share that comes on top of the established flows.
TEST_CASE("established flows count towards the minimum share") {
    allocation_input input{.limit = 100,
                           .established = {0, 0, 15, 0},
                           .demand = {0, 1'000, 40, 0},
                           .min_share = {0, 0, 0.2F, 0}};
    CHECK(allocate_admission(input)[2] == doctest::Approx(5.0 / 40));
    input.established[2] = 30;
    CHECK(allocate_admission(input)[2] == 0);
    CHECK(allocate_admission(input)[1] == doctest::Approx(0.1));
}

// Guards against flows that are refused because a quantity is unknown or
// malformed.
TEST_CASE("an unknown limit, room for all, and malformed quantities admit "
          "all") {
    for (const auto &input :
         {allocation_input{.demand = {5, 5, 5, 5}},
          allocation_input{.limit = 20.1F, .demand = {5, 5, 5, 5}},
          allocation_input{.limit = std::nanf(""), .demand = {5, 5, 5, 5}},
          allocation_input{.limit = 11,
          .established = {-4, 0, 0, 0},
          .demand = {5, std::nanf(""), -1, 5}}}) {
        for (const auto part : allocate_admission(input))
            CHECK(part == 1);
    }
}
