#include <random>

#include <doctest/doctest.h>

#include "carried/quota/quota_share.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;

namespace {

const time_point start{std::chrono::hours{1}};
constexpr std::uint64_t purposes = 20;

struct balancer {
    fleet known;
    quota_members members;
    time_point started = start;
    bool running = true;
};

// The balancers of one failure domain, and which of them hear each other.
struct domain {
    std::vector<balancer> all;
    std::vector<bool> beyond_cut;
    time_point now = start;

    explicit domain(std::size_t count) : beyond_cut(count) {
        for (std::size_t i = 0; i < count; ++i)
            add();
    }

    auto add() -> void {
        balancer it{.started = now};
        it.known.self = {.address = static_cast<std::uint32_t>(all.size() + 1),
                         .failure_domain = 1};
        all.push_back(it);
        beyond_cut.resize(all.size());
    }

    // Lets time pass in steps of one second. `heard` is the part of the others
    // that a balancer hears of in each step.
    auto pass(seconds time, double heard = 1) -> void {
        static std::minstd_rand random(7);
        std::bernoulli_distribution hears(heard);
        for (const auto end = now + time; now < end;) {
            now += seconds{1};
            for (std::size_t i = 0; i < all.size(); ++i) {
                for (std::size_t k = 0; k < all.size(); ++k) {
                    if (!all[k].running || beyond_cut[i] != beyond_cut[k] ||
                        !hears(random))
                        continue;
                    auto member = all[k].known.self;
                    member.last_heard = now;
                    update_member(all[i].known, member);
                }
                if (all[i].running)
                    update_quota_members(all[i].members, all[i].known,
                                         all[i].started, now);
            }
        }
    }

    // Largest sum of the shares in a quota, over several quotas.
    auto largest_sum(std::uint32_t quota) const -> std::uint32_t {
        std::uint32_t largest = 0;
        for (std::uint64_t purpose = 0; purpose < purposes; ++purpose) {
            std::uint32_t sum = 0;
            for (const auto &it : all) {
                if (it.running)
                    sum +=
                        quota_share(it.members, divided_part(quota), purpose);
            }
            largest = std::max(largest, sum);
        }
        return largest;
    }

    auto check_sums() const -> void {
        for (const std::uint32_t quota : {0, 1, 6, 35, 60, 500}) {
            CAPTURE(quota);
            CAPTURE(all.size());
            CHECK(largest_sum(quota) <= quota);
        }
    }
};

} // namespace

// Guards against quotas that are exceeded or left unused by rounding.
TEST_CASE("with complete views the shares add up to the divided part") {
    for (const std::size_t count : {1, 3, 22, 29, 395}) {
        domain it(count);
        it.pass(seconds{6});
        for (const std::uint32_t quota : {1, 6, 35, 500})
            CHECK(it.largest_sum(quota) == divided_part(quota));
    }
}

// Guards against a burst when all balancers start together, without any
// knowledge of each other.
TEST_CASE("at a fresh start of the whole domain the shares stay below the "
          "quota until all balancers know each other") {
    for (const std::size_t count : {3, 29, 395}) {
        domain it(count);
        for (int second = 0; second < 12; ++second) {
            it.pass(seconds{1}, 0.4);
            it.check_sums();
        }
    }
}

// Guards against two halves that each use the whole quota.
TEST_CASE("beyond a cut in the domain the shares stay below the quota") {
    for (const std::size_t beyond : {1, 2, 4, 11}) {
        domain it(22);
        it.pass(seconds{10});
        for (std::size_t i = 0; i < beyond; ++i)
            it.beyond_cut[i] = true;
        for (int minute = 0; minute < 15; ++minute) {
            it.pass(seconds{60}, 0.7);
            it.check_sums();
        }
    }
}

// Guards against a dead balancer whose share is given away while it may be
// alive, or is never given away.
TEST_CASE("the share of a dead balancer is divided after the hold time") {
    domain it(22);
    it.pass(seconds{10});
    it.all[0].running = false;
    it.pass(seconds{30});
    const auto during = quota_divisor(it.all[1].members);
    it.check_sums();
    it.pass(seconds{60});
    CHECK(during == 22);
    CHECK(quota_divisor(it.all[1].members) == 21);
    it.check_sums();
}

// Guards against newcomers that take a share before the others give it up.
TEST_CASE("while balancers join the shares stay below the quota") {
    domain it(22);
    it.pass(seconds{10});
    for (int i = 0; i < 8; ++i) {
        it.add();
        it.pass(seconds{1}, 0.5);
        it.check_sums();
    }
    it.pass(seconds{10}, 0.5);
    CHECK(quota_divisor(it.all.back().members) == 30);
    it.check_sums();
}

// Guards against a resumed balancer whose share others have divided meanwhile.
TEST_CASE("after a long pause of the process a balancer takes a small share") {
    domain it(22);
    it.pass(seconds{10});
    it.all[0].running = false;
    it.pass(seconds{1'500});
    it.all[0].running = true;
    it.pass(seconds{1});
    CHECK(it.all[0].members.fresh);
    it.check_sums();
    it.pass(seconds{10});
    CHECK_FALSE(it.all[0].members.fresh);
    it.check_sums();
}
