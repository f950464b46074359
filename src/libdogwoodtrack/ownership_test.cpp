#include <doctest/doctest.h>

#include <set>

#include "dogwoodtrack/flow_records.hpp"
#include "test_support.hpp"

using namespace dogwoodtrack;
using test::caller;

namespace {

auto syn(const test::site &site, std::uint32_t number,
         std::uint32_t sequence = 100) -> packet_fields {
    return {.source = caller(number),
            .destination = site.terms.address,
            .tcp_flags = tcp_syn,
            .sequence = sequence};
}

auto data(const test::site &site, std::uint32_t number) -> packet_fields {
    return {.source = caller(number),
            .destination = site.terms.address,
            .tcp_flags = tcp_ack,
            .sequence = 101};
}

auto answer(const test::site &site, const endpoint &upstream,
            std::uint32_t number, std::uint8_t flags) -> packet_fields {
    (void)site;
    return {
        .source = upstream, .destination = caller(number), .tcp_flags = flags};
}

} // namespace

TEST_CASE(
    "every balancer forwards a flow to the upstream selected at its opening") {
    test::site site;
    for (std::uint32_t n = 0; n < 200; ++n) {
        site.deliver(n % 9, syn(site, n));
        const auto chosen = site.last_destination();
        for (std::size_t i = 0; i < 9; ++i) {
            site.deliver(i, data(site, n));
            CHECK(site.last_destination() == chosen);
        }
    }
    CHECK(site.drops(drop_kind::unknown_flow) == 0);
}

TEST_CASE(
    "retransmitted opening at another balancer keeps the first placement") {
    test::site site;
    site.deliver(0, syn(site, 1));
    const auto chosen = site.last_destination();
    for (std::size_t i = 1; i < 9; ++i) {
        site.deliver(i, syn(site, 1));
        CHECK(site.last_destination() == chosen);
    }
    CHECK(site.counted(packet_counter::placed) == 1);
}

TEST_CASE("new owner knows every flow after the previous owner has died") {
    test::site site;
    std::vector<endpoint> chosen;
    for (std::uint32_t n = 0; n < 300; ++n) {
        site.deliver(n % 9, syn(site, n));
        chosen.push_back(site.last_destination());
    }
    const auto domain = site.domain_of(chosen[0]);
    site.by_id(site.owner_in(domain))->up = false;
    site.publish();
    for (std::uint32_t n = 0; n < 300; ++n) {
        std::size_t at = n % 9;
        while (!site.balancers[at]->up)
            at = (at + 1) % 9;
        site.deliver(at, data(site, n));
        CHECK(site.last_destination() == chosen[n]);
    }
}

TEST_CASE("upstream limits are never exceeded and only the excess is refused") {
    test::site site(5);
    std::size_t refused = 0;
    std::map<endpoint, std::set<std::uint32_t>> at;
    for (std::uint32_t n = 0; n < 60; ++n) {
        const auto before = site.counted(packet_counter::refused);
        site.to_fabric.clear();
        site.deliver(n % 9, syn(site, n));
        REQUIRE(site.to_fabric.size() == 1);
        if (site.counted(packet_counter::refused) > before) {
            ++refused;
            CHECK(site.last_destination() == caller(n));
        } else {
            at[site.last_destination()].insert(n);
        }
    }
    CHECK(refused == 30);
    for (const auto &[upstream, flows] : at)
        CHECK(flows.size() == 5);
}

TEST_CASE("owner without a lease places no flow") {
    test::site site;
    for (const auto &it : site.balancers)
        it->lease.valid_until = 0;
    site.deliver(0, syn(site, 1));
    CHECK(site.to_fabric.empty());
    CHECK(site.drops(drop_kind::not_placing) == 1);
}

TEST_CASE("replica fences decisions of an owner that was replaced") {
    test::site site;
    site.deliver(0, syn(site, 7));
    const auto domain = site.domain_of(site.last_destination());
    const auto old_owner = site.owner_in(domain);
    const auto old_view = site.by_id(old_owner)->state->view;
    // The other balancers consider the owner dead. It has not noticed and
    // continues with its old view and a lease that it takes as valid.
    site.by_id(old_owner)->up = false;
    site.publish();
    site.by_id(old_owner)->up = true;
    site.by_id(old_owner)->state->view = old_view;
    site.to_fabric.clear();
    const auto at = site.index_of(old_owner);
    std::uint64_t fenced = 0;
    for (std::uint32_t n = 100; n < 200; ++n) {
        const auto before = site.drops(drop_kind::fenced);
        const auto placed_before =
            site.balancers[at]
                ->counters
                .values[static_cast<std::size_t>(packet_counter::placed)]
                .load();
        site.to_fabric.clear();
        site.deliver(at, syn(site, n));
        const auto placed_here =
            site.balancers[at]
                ->counters
                .values[static_cast<std::size_t>(packet_counter::placed)]
                .load() > placed_before;
        if (!placed_here)
            continue;
        CHECK(site.to_fabric.empty());
        fenced += site.drops(drop_kind::fenced) - before;
    }
    CHECK(fenced > 10);
}

TEST_CASE("relayed packet with a wrong MAC is dropped") {
    test::site site;
    site.deliver(0, syn(site, 3));
    packet_buffer buf;
    build_packet(buf, syn(site, 4));
    auto parsed = parse_packet(buf.view(), mac_key{1, 2, 3});
    REQUIRE(parsed.packet);
    const auto forged =
        wrap_relay(parsed.packet->inner,
                   {.kind = relay_kind::open, .event = relay_kind::open},
                   mac_key{9, 9, 9});
    handle_packet(*site.balancers[0]->state, forged, site.now);
    CHECK(site.balancers[0]->state->out.empty());
    CHECK(site.drops(drop_kind::forged_relay) == 1);
}

TEST_CASE(
    "closing a flow decrements the open-flow count once on each balancer") {
    test::site site;
    site.deliver(0, syn(site, 11));
    const auto chosen = site.last_destination();
    const auto owner = site.index_of(site.owner_in(site.domain_of(chosen)));
    CHECK(site.open_at(owner, chosen) == 1);
    site.deliver(3, answer(site, chosen, 11, tcp_syn | tcp_ack));
    site.deliver(1, {.source = caller(11),
                     .destination = site.terms.address,
                     .tcp_flags = tcp_fin | tcp_ack});
    site.deliver(2, answer(site, chosen, 11, tcp_fin | tcp_ack));
    for (std::size_t i = 0; i < 9; ++i)
        CHECK(site.open_at(i, chosen) == 0);
    site.deliver(4, {.source = caller(11),
                     .destination = site.terms.address,
                     .tcp_flags = tcp_fin | tcp_ack});
    CHECK(site.open_at(owner, chosen) == 0);
}

TEST_CASE("caller port reused at once is placed on the same upstream") {
    test::site site;
    site.deliver(0, syn(site, 21));
    const auto chosen = site.last_destination();
    site.deliver(2, answer(site, chosen, 21, tcp_rst));
    site.to_fabric.clear();
    site.deliver(5, syn(site, 21, 9000));
    CHECK(site.last_destination() == chosen);
}

TEST_CASE("leaving upstream gets no new flows and keeps its existing ones") {
    test::site site;
    std::vector<endpoint> chosen;
    for (std::uint32_t n = 0; n < 60; ++n) {
        site.deliver(n % 9, syn(site, n));
        chosen.push_back(site.last_destination());
    }
    site.terms.upstreams[2].leaving = true;
    site.publish();
    const auto leaving_upstream = site.terms.upstreams[2].address;
    for (std::uint32_t n = 0; n < 60; ++n) {
        site.deliver((n + 4) % 9, data(site, n));
        CHECK(site.last_destination() == chosen[n]);
    }
    for (std::uint32_t n = 100; n < 200; ++n) {
        site.deliver(n % 9, syn(site, n));
        CHECK(site.last_destination() != leaving_upstream);
    }
}

TEST_CASE("new owner adopts bindings from balancers that know them") {
    test::site site(100, 0.02, 1);
    site.deliver(0, syn(site, 31));
    const auto chosen = site.last_destination();
    const auto domain = site.domain_of(chosen);
    // A balancer of another failure domain learns the flow from an answer.
    std::size_t learner = 0;
    while (site.balancers[learner]->info.failure_domain == domain)
        ++learner;
    site.deliver(learner, answer(site, chosen, 31, tcp_ack));
    // Owner and replica fail together; the third balancer has no record.
    for (int i = 0; i < 2; ++i) {
        site.by_id(site.owner_in(domain))->up = false;
        site.publish();
    }
    site.now += seconds{61};
    site.deliver(learner, data(site, 31));
    CHECK(site.last_destination() == chosen);
    CHECK(site.counted(packet_counter::adopted) == 1);
    CHECK(site.open_at(site.index_of(site.owner_in(domain)), chosen) == 1);
}

TEST_CASE("owner without a lease does not use an unanswered placement") {
    test::site site;
    site.deliver(0, syn(site, 51));
    const auto chosen = site.last_destination();
    const auto owner = site.index_of(site.owner_in(site.domain_of(chosen)));
    site.balancers[owner]->lease.valid_until = 0;
    site.to_fabric.clear();
    site.deliver(owner, data(site, 51));
    CHECK(site.to_fabric.empty());
    CHECK(site.drops(drop_kind::not_placing) == 1);
}

TEST_CASE("unconfirmed placements are removed after a pause") {
    test::site site;
    site.deliver(0, syn(site, 41));
    const auto chosen = site.last_destination();
    const auto owner = site.index_of(site.owner_in(site.domain_of(chosen)));
    erase_unconfirmed(*site.balancers[owner]->state);
    CHECK(site.open_at(owner, chosen) == 0);
    CHECK(site.balancers[owner]->state->flows.find(
              {.caller = caller(41), .service = site.terms.address}) ==
          nullptr);
}
