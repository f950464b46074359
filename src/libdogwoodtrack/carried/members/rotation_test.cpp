#include <algorithm>

#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/members/rotation.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

// Balancers that exchange only probes. Addresses are 1 to n, failure domains 1
// to `domains`, assigned round-robin. A frozen balancer neither runs nor
// receives messages.
struct probing_fleet {
    std::vector<blackboard> all;
    std::vector<bool> frozen;
    std::uint32_t domains;
    std::uint32_t cut = 0; ///< domain cut off from all others; 0 if none
    std::size_t messages = 0;
    time_point now = start;

    probing_fleet(std::uint32_t domain_size, std::uint32_t domain_count)
        : domains(domain_count) {
        const auto n = domain_size * domains;
        for (std::uint32_t i = 0; i < n; ++i)
            all.push_back(make_member(i));
        frozen.assign(n, false);
        for (auto &it : all)
            for (const auto &other : all)
                update_member(it.members, other.members.self);
    }

    auto make_member(std::uint32_t i) const -> blackboard {
        auto it = make_blackboard(i + 1);
        it.members.self.failure_domain = domain_of(i);
        for (auto &version : it.versions)
            version.complete = true;
        return it;
    }

    auto domain_of(std::uint32_t i) const -> std::uint32_t {
        return i % domains + 1;
    }

    auto reaches(std::uint32_t a, std::uint32_t b) const -> bool {
        return !frozen[b] && (domain_of(a) == domain_of(b) ||
                              (domain_of(a) != cut && domain_of(b) != cut));
    }

    auto deliver(std::uint32_t from, const std::vector<outgoing_message> &sent)
        -> void {
        for (const auto &one : sent) {
            ++messages;
            const auto to = one.to - 1;
            if (!reaches(from, to))
                continue;
            std::vector<outgoing_message> answers;
            on_peer_message(all[to], from + 1, one.message, now, answers);
            for (const auto &answer : answers) {
                std::vector<outgoing_message> none;
                on_peer_message(all[from], one.to, answer.message, now, none);
            }
        }
    }

    auto run(milliseconds length) -> void {
        const auto end = now + length;
        for (; now < end; now += milliseconds{50}) {
            for (std::uint32_t i = 0; i < all.size(); ++i) {
                if (frozen[i])
                    continue;
                for (auto &[address, member] : all[i].members.others)
                    if (!frozen[address - 1])
                        member.last_heard = now;
                std::vector<outgoing_message> sent;
                update_rotation(all[i], now, sent);
                deliver(i, sent);
            }
        }
    }

    auto set_frozen(std::uint32_t domain, std::size_t n, bool value) -> void {
        for (std::uint32_t i = 0; i < all.size() && n > 0; ++i) {
            if (domain_of(i) != domain || frozen[i] == value)
                continue;
            frozen[i] = value;
            --n;
        }
    }

    auto count_withdrawn(std::uint32_t domain) const -> std::size_t {
        std::size_t n = 0;
        for (std::uint32_t i = 0; i < all.size(); ++i)
            n += domain_of(i) == domain && !frozen[i] &&
                         all[i].rotation.withdrawn
                     ? 1
                     : 0;
        return n;
    }
};

} // namespace

TEST_CASE("while all domains are healthy, no balancer withdraws, and few "
          "probes are sent") {
    for (const std::uint32_t domain_size : {3U, 27U, 59U}) {
        probing_fleet it(domain_size, 3);
        it.run(seconds{10});
        for (const auto &one : it.all)
            CHECK_FALSE(one.rotation.withdrawn);
        // At most two probes in each of the 50 rounds in 10 s; answers are not
        // counted.
        CHECK(it.messages <= it.all.size() * 100);
    }
}

TEST_CASE("if most of a domain is frozen, its remaining balancers withdraw, "
          "sooner in a small domain") {
    for (const std::uint32_t domain_size : {3U, 5U, 27U, 59U}) {
        probing_fleet it(domain_size, 3);
        it.run(seconds{2});
        const auto remaining = domain_size / 3;
        it.set_frozen(1, domain_size - remaining, true);
        it.run(milliseconds{domain_size < 8 ? 1'000 : 1'600});
        CHECK(it.count_withdrawn(1) == remaining);
        CHECK(it.count_withdrawn(2) == 0);
        CHECK(it.count_withdrawn(3) == 0);
    }
}

TEST_CASE("if at least half of a domain's balancers answer, they stay in "
          "rotation") {
    for (const std::uint32_t domain_size : {2U, 4U, 10U}) {
        probing_fleet it(domain_size, 3);
        it.run(seconds{2});
        it.set_frozen(1, domain_size / 2, true);
        it.run(seconds{4});
        CHECK(it.count_withdrawn(1) == 0);
    }
}

TEST_CASE("the balancers of a domain that has recovered return to rotation "
          "after a delay") {
    probing_fleet it(3, 3);
    it.run(seconds{2});
    it.set_frozen(1, 2, true);
    it.run(seconds{2});
    REQUIRE(it.count_withdrawn(1) == 1);
    it.set_frozen(1, 2, false);
    it.run(milliseconds{600});
    CHECK(it.count_withdrawn(1) >= 1);
    it.run(milliseconds{1'200});
    CHECK(it.count_withdrawn(1) == 0);
}

TEST_CASE(
    "a domain that is cut off keeps its remaining balancers in rotation") {
    probing_fleet it(3, 3);
    it.run(seconds{2});
    it.cut = 1;
    it.set_frozen(1, 2, true);
    it.run(seconds{4});
    CHECK(it.count_withdrawn(1) == 0);
}

TEST_CASE(
    "if every domain has lost most of its balancers, no balancer withdraws") {
    probing_fleet it(5, 3);
    it.run(seconds{2});
    for (const std::uint32_t domain : {1U, 2U, 3U})
        it.set_frozen(domain, 3, true);
    it.run(seconds{4});
    for (const std::uint32_t domain : {1U, 2U, 3U})
        CHECK(it.count_withdrawn(domain) == 0);
}

TEST_CASE("if the only other domain fails, too, withdrawn balancers return to "
          "rotation") {
    probing_fleet it(3, 2);
    it.run(seconds{2});
    it.set_frozen(1, 2, true);
    it.run(seconds{2});
    REQUIRE(it.count_withdrawn(1) == 1);
    it.set_frozen(2, 2, true);
    it.run(milliseconds{1'400});
    CHECK(it.count_withdrawn(1) == 0);
    CHECK(it.count_withdrawn(2) == 0);
}

TEST_CASE("a balancer that was paused does not withdraw for missed probes") {
    probing_fleet it(3, 3);
    it.run(seconds{2});
    it.now += seconds{6};
    for (auto &[address, member] : it.all[0].members.others)
        member.last_heard = it.now;
    std::vector<outgoing_message> sent;
    for (int i = 0; i < 2; ++i) {
        update_rotation(it.all[0], it.now, sent);
        CHECK_FALSE(it.all[0].rotation.withdrawn);
        it.now += milliseconds{10};
    }
}

TEST_CASE("a probe from an unknown sender is answered and not recorded") {
    auto it = make_blackboard(1);
    std::vector<outgoing_message> out;
    on_peer_message(it, 99, probe_message{.wants_answer = true}, start, out);
    REQUIRE(out.size() == 1);
    CHECK(it.probes.members.empty());
}

TEST_CASE("a report that flows get no answers from a failure domain reaches "
          "only the reporter's own domain and expires") {
    probing_fleet it(3, 3);
    it.run(seconds{2});
    it.cut = 2;
    auto &upstreams = it.all[0].steering.upstreams;
    upstreams.unresponsive_domains = {2};
    it.run(milliseconds{1'000});
    const auto &neighbour = it.all[3];
    CHECK(neighbour.steering.reported_unresponsive ==
          std::vector<std::uint32_t>{2});
    CHECK(it.all[1].steering.reported_unresponsive.empty());
    upstreams.unresponsive_domains.clear();
    it.run(seconds{2});
    CHECK(neighbour.steering.reported_unresponsive.empty());
}
