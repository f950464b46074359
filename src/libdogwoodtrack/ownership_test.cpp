#include <doctest/doctest.h>

#include <set>

#include "dogwoodtrack/flow_records.hpp"
#include "test_support.hpp"

using namespace dogwoodtrack;
using test::caller;

namespace {

auto syn(const test::cluster &cluster, std::uint32_t number,
         std::uint32_t sequence = 100) -> packet_fields {
    return {.source = caller(number),
            .destination = cluster.spec.address,
            .tcp_flags = tcp_syn,
            .sequence = sequence};
}

auto data(const test::cluster &cluster, std::uint32_t number) -> packet_fields {
    return {.source = caller(number),
            .destination = cluster.spec.address,
            .tcp_flags = tcp_ack,
            .sequence = 101};
}

auto answer(const test::cluster &cluster, const endpoint &upstream,
            std::uint32_t number, std::uint8_t flags) -> packet_fields {
    (void)cluster;
    return {
        .source = upstream, .destination = caller(number), .tcp_flags = flags};
}

} // namespace

TEST_CASE(
    "every balancer forwards a flow to the upstream selected at its opening") {
    test::cluster cluster;
    for (std::uint32_t n = 0; n < 200; ++n) {
        cluster.deliver(n % 9, syn(cluster, n));
        const auto chosen = cluster.last_destination();
        for (std::size_t i = 0; i < 9; ++i) {
            cluster.deliver(i, data(cluster, n));
            CHECK(cluster.last_destination() == chosen);
        }
    }
    CHECK(cluster.drops(drop_kind::unknown_flow) == 0);
}

TEST_CASE(
    "retransmitted opening at another balancer keeps the first placement") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 1));
    const auto chosen = cluster.last_destination();
    for (std::size_t i = 1; i < 9; ++i) {
        cluster.deliver(i, syn(cluster, 1));
        CHECK(cluster.last_destination() == chosen);
    }
    CHECK(cluster.counter_sum(packet_counter::placed) == 1);
}

TEST_CASE("new owner knows every flow after the previous owner has died") {
    test::cluster cluster;
    std::vector<endpoint> chosen;
    for (std::uint32_t n = 0; n < 300; ++n) {
        cluster.deliver(n % 9, syn(cluster, n));
        chosen.push_back(cluster.last_destination());
    }
    const auto domain = cluster.domain_of(chosen[0]);
    cluster.by_id(cluster.owner_in(domain))->up = false;
    cluster.publish();
    for (std::uint32_t n = 0; n < 300; ++n) {
        std::size_t at = n % 9;
        while (!cluster.balancers[at]->up)
            at = (at + 1) % 9;
        cluster.deliver(at, data(cluster, n));
        CHECK(cluster.last_destination() == chosen[n]);
    }
}

TEST_CASE("no upstream exceeds its limit and only flows beyond the sum of the "
          "limits are refused") {
    test::cluster cluster(5);
    std::size_t refused = 0;
    std::map<endpoint, std::set<std::uint32_t>> flows_by_upstream;
    for (std::uint32_t n = 0; n < 60; ++n) {
        const auto before = cluster.counter_sum(packet_counter::refused);
        cluster.to_fabric.clear();
        cluster.deliver(n % 9, syn(cluster, n));
        REQUIRE(cluster.to_fabric.size() == 1);
        if (cluster.counter_sum(packet_counter::refused) > before) {
            ++refused;
            CHECK(cluster.last_destination() == caller(n));
        } else {
            flows_by_upstream[cluster.last_destination()].insert(n);
        }
    }
    CHECK(refused == 30);
    for (const auto &[upstream, flows] : flows_by_upstream)
        CHECK(flows.size() == 5);
}

TEST_CASE("owner without a lease places no flow") {
    test::cluster cluster;
    for (const auto &it : cluster.balancers)
        it->lease.valid_until = 0;
    cluster.deliver(0, syn(cluster, 1));
    CHECK(cluster.to_fabric.empty());
    CHECK(cluster.drops(drop_kind::not_placing) == 1);
}

TEST_CASE(
    "replica drops, as fenced, the decisions of an owner that was replaced") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 7));
    const auto domain = cluster.domain_of(cluster.last_destination());
    const auto old_owner = cluster.owner_in(domain);
    const auto old_view = cluster.by_id(old_owner)->state->view;
    // The other balancers consider the owner dead. The owner has not noticed
    // this and continues with its old view and a lease that has not expired.
    cluster.by_id(old_owner)->up = false;
    cluster.publish();
    cluster.by_id(old_owner)->up = true;
    cluster.by_id(old_owner)->state->view = old_view;
    cluster.to_fabric.clear();
    const auto at = cluster.index_of(old_owner);
    std::uint64_t fenced = 0;
    for (std::uint32_t n = 100; n < 200; ++n) {
        const auto before = cluster.drops(drop_kind::fenced);
        const auto placed_before =
            cluster.balancers[at]
                ->counters
                .values[static_cast<std::size_t>(packet_counter::placed)]
                .load();
        cluster.to_fabric.clear();
        cluster.deliver(at, syn(cluster, n));
        const auto placed_here =
            cluster.balancers[at]
                ->counters
                .values[static_cast<std::size_t>(packet_counter::placed)]
                .load() > placed_before;
        if (!placed_here)
            continue;
        CHECK(cluster.to_fabric.empty());
        fenced += cluster.drops(drop_kind::fenced) - before;
    }
    CHECK(fenced > 10);
}

TEST_CASE("relayed packet with a wrong MAC is dropped") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 3));
    packet_buffer buf;
    build_packet(buf, syn(cluster, 4));
    auto parsed = parse_packet(buf.view(), mac_key{1, 2, 3});
    REQUIRE(parsed.packet);
    const auto forged =
        wrap_relay(parsed.packet->inner,
                   {.kind = relay_kind::open, .event = relay_kind::open},
                   mac_key{9, 9, 9});
    handle_packet(*cluster.balancers[0]->state, forged, cluster.now);
    CHECK(cluster.balancers[0]->state->out.empty());
    CHECK(cluster.drops(drop_kind::forged_relay) == 1);
}

TEST_CASE(
    "closing a flow decrements the open-flow count once on each balancer") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 11));
    const auto chosen = cluster.last_destination();
    const auto owner =
        cluster.index_of(cluster.owner_in(cluster.domain_of(chosen)));
    CHECK(cluster.open_at(owner, chosen) == 1);
    cluster.deliver(3, answer(cluster, chosen, 11, tcp_syn | tcp_ack));
    cluster.deliver(1, {.source = caller(11),
                        .destination = cluster.spec.address,
                        .tcp_flags = tcp_fin | tcp_ack});
    cluster.deliver(2, answer(cluster, chosen, 11, tcp_fin | tcp_ack));
    for (std::size_t i = 0; i < 9; ++i)
        CHECK(cluster.open_at(i, chosen) == 0);
    cluster.deliver(4, {.source = caller(11),
                        .destination = cluster.spec.address,
                        .tcp_flags = tcp_fin | tcp_ack});
    CHECK(cluster.open_at(owner, chosen) == 0);
}

TEST_CASE("new flow from a caller port whose last flow was reset goes to the "
          "same upstream") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 21));
    const auto chosen = cluster.last_destination();
    cluster.deliver(2, answer(cluster, chosen, 21, tcp_rst));
    cluster.to_fabric.clear();
    cluster.deliver(5, syn(cluster, 21, 9000));
    CHECK(cluster.last_destination() == chosen);
}

TEST_CASE("leaving upstream gets no new flows and keeps its existing ones") {
    test::cluster cluster;
    std::vector<endpoint> chosen;
    for (std::uint32_t n = 0; n < 60; ++n) {
        cluster.deliver(n % 9, syn(cluster, n));
        chosen.push_back(cluster.last_destination());
    }
    cluster.spec.upstreams[2].leaving = true;
    cluster.publish();
    const auto leaving_upstream = cluster.spec.upstreams[2].address;
    for (std::uint32_t n = 0; n < 60; ++n) {
        cluster.deliver((n + 4) % 9, data(cluster, n));
        CHECK(cluster.last_destination() == chosen[n]);
    }
    for (std::uint32_t n = 100; n < 200; ++n) {
        cluster.deliver(n % 9, syn(cluster, n));
        CHECK(cluster.last_destination() != leaving_upstream);
    }
}

TEST_CASE("new owner without a record adopts the binding from a refresh") {
    test::cluster cluster(100, 0.02, 1);
    cluster.deliver(0, syn(cluster, 31));
    const auto chosen = cluster.last_destination();
    const auto domain = cluster.domain_of(chosen);
    // A balancer of another failure domain learns the flow from an answer.
    std::size_t learner = 0;
    while (cluster.balancers[learner]->info.failure_domain == domain)
        ++learner;
    cluster.deliver(learner, answer(cluster, chosen, 31, tcp_ack));
    // The owner and then its replica fail; the third balancer of the domain
    // has no record.
    for (int i = 0; i < 2; ++i) {
        cluster.by_id(cluster.owner_in(domain))->up = false;
        cluster.publish();
    }
    // After the refresh interval of 60 s, the learner relays the next packet to
    // the new owner as a refresh.
    cluster.now += seconds{61};
    cluster.deliver(learner, data(cluster, 31));
    CHECK(cluster.last_destination() == chosen);
    CHECK(cluster.counter_sum(packet_counter::adopted) == 1);
    CHECK(cluster.open_at(cluster.index_of(cluster.owner_in(domain)), chosen) ==
          1);
}

TEST_CASE("owner without a lease drops data of a flow that no upstream has "
          "answered") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 51));
    const auto chosen = cluster.last_destination();
    const auto owner =
        cluster.index_of(cluster.owner_in(cluster.domain_of(chosen)));
    cluster.balancers[owner]->lease.valid_until = 0;
    cluster.to_fabric.clear();
    cluster.deliver(owner, data(cluster, 51));
    CHECK(cluster.to_fabric.empty());
    CHECK(cluster.drops(drop_kind::not_placing) == 1);
}

TEST_CASE("erase_unconfirmed removes a flow that the instance placed and whose "
          "upstream has not answered") {
    test::cluster cluster;
    cluster.deliver(0, syn(cluster, 41));
    const auto chosen = cluster.last_destination();
    const auto owner =
        cluster.index_of(cluster.owner_in(cluster.domain_of(chosen)));
    erase_unconfirmed(*cluster.balancers[owner]->state);
    CHECK(cluster.open_at(owner, chosen) == 0);
    CHECK(cluster.balancers[owner]->state->flows.find(
              {.caller = caller(41), .service = cluster.spec.address}) ==
          nullptr);
}
