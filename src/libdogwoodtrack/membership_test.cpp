#include <doctest/doctest.h>

#include "documents.hpp"
#include "membership.hpp"
#include "record_sync.hpp"
#include "view_builder.hpp"

using namespace dogwoodtrack;

namespace {

constexpr time_point start{std::chrono::hours{1}};

struct membership_fixture {
    timeline events{"b0"};
    placement_lease lease;
    blackboard board;
    control_actions actions;

    explicit membership_fixture(std::size_t members) {
        board.events = &events;
        board.lease = &lease;
        board.self.name = "b0";
        board.self.id = hash_name("b0");
        board.domain_name = "mitte-a";
        board.self.failure_domain = hash_name("mitte-a");
        board.incarnation = 5;
        for (std::size_t i = 1; i < members; ++i)
            add("b" + std::to_string(i));
    }

    auto add(const std::string &name) -> void {
        auto &peer = board.peers[hash_name(name)];
        peer.info.id = hash_name(name);
        peer.info.name = name;
        peer.domain_name = "mitte-a";
        peer.info.failure_domain = hash_name("mitte-a");
        peer.incarnation = 1;
        peer.last_heard = start;
    }

    auto receive_from(const std::string &name, time_point when) -> void {
        update_last_heard(board, hash_name(name), when);
    }

    auto set_listed(const std::string &name, bool ready) -> void {
        board.balancers_known = true;
        board.balancers[name] = {.name = name,
                                 .failure_domain = "mitte-a",
                                 .state = {.ready = ready}};
    }
};

auto contract_spec(const char *port) -> std::string {
    return std::string(R"({"services":[{"name":"s","address":"198.18.0.1:)") +
           port + R"(","upstreams":[{"name":"a","address":"172.16.0.1:80",)" +
           R"("failureDomain":"mitte-a","connections":10}]}]})";
}

} // namespace

TEST_CASE("the lease is held with a majority and expires without one") {
    membership_fixture it(3);
    it.receive_from("b1", start + seconds{10});
    renew_lease(it.board, start + seconds{10}, it.actions);
    CHECK(it.lease.holds(start + seconds{10}));
    CHECK(it.lease.holds(start + milliseconds{10'999}));
    CHECK(!it.lease.holds(start + milliseconds{11'001}));
    renew_lease(it.board, start + seconds{12}, it.actions);
    CHECK(!it.lease.holds(start + seconds{12}));
}

TEST_CASE("of two equal halves of a domain exactly one holds the lease") {
    for (int size = 2; size <= 6; size += 2) {
        int holding = 0;
        for (int half = 0; half < 2; ++half) {
            membership_fixture it(1);
            const auto first = half * size / 2;
            // With 8 neighbours, each member monitors all others.
            it.board.options.neighbours = 8;
            it.board.self.name = "b" + std::to_string(first);
            it.board.self.id = hash_name(it.board.self.name);
            for (int i = 0; i < size; ++i) {
                const auto name = "b" + std::to_string(i);
                if (i == first)
                    continue;
                it.add(name);
                if (i / (size / 2) == half)
                    it.receive_from(name, start + seconds{60});
            }
            renew_lease(it.board, start + seconds{60}, it.actions);
            holding += it.lease.holds(start + seconds{60}) ? 1 : 0;
        }
        CHECK(holding == 1);
    }
}

TEST_CASE("the only live member holds the lease if the platform lists no other "
          "as ready") {
    membership_fixture it(3);
    const auto now = start + seconds{10};
    tick_membership(it.board, start, it.actions);
    tick_membership(it.board, now, it.actions);
    renew_lease(it.board, now, it.actions);
    CHECK(!it.lease.holds(now));
    it.set_listed("b1", false);
    it.set_listed("b2", true);
    renew_lease(it.board, now, it.actions);
    CHECK(it.lease.holds(now) == (it.board.self.id < hash_name("b2")));
    it.set_listed("b2", false);
    renew_lease(it.board, now, it.actions);
    CHECK(it.lease.holds(now));
}

TEST_CASE("after a pause the lease is lost and queued messages are ignored") {
    membership_fixture it(3);
    it.board.self.synced = {1, 2, 3};
    detect_pause(it.board, start, it.actions);
    renew_lease(it.board, start, it.actions);
    CHECK(it.lease.holds(start));
    detect_pause(it.board, start + seconds{5}, it.actions);
    CHECK(!it.lease.holds(start + seconds{5}));
    CHECK(it.board.self.synced.empty());
    CHECK(it.board.ignore_messages_until > start + seconds{5});
    REQUIRE(!it.actions.requests.empty());
    CHECK(it.actions.requests[0].operation ==
          worker_request::kind::erase_unconfirmed);
}

TEST_CASE("a balancer that loses the lease marks its flow records as stale") {
    membership_fixture it(3);
    it.board.self.synced = {7};
    it.receive_from("b1", start + seconds{1});
    renew_lease(it.board, start + seconds{1}, it.actions);
    CHECK(it.board.self.synced.size() == 1);
    renew_lease(it.board, start + seconds{3}, it.actions);
    CHECK(it.board.self.synced.empty());
    CHECK(it.board.stale_services.contains(7));
    CHECK(it.board.records_stale_since <= start + seconds{2});
}

TEST_CASE(
    "in a large domain only silent peers that are monitored become dead") {
    membership_fixture it(40);
    const auto now = start + seconds{60};
    tick_membership(it.board, now, it.actions);
    std::size_t dead = 0;
    std::size_t monitored = 0;
    tick_membership(it.board, now + seconds{2}, it.actions);
    for (const auto &[id, peer] : it.board.peers) {
        dead += peer.info.status == member_status::dead ? 1 : 0;
        monitored += peer.monitored ? 1 : 0;
    }
    CHECK(monitored == it.board.options.neighbours);
    CHECK(dead == monitored);
}

TEST_CASE("a peer is dead after a timeout and live after its next heartbeat") {
    membership_fixture it(3);
    const auto now = start + seconds{5};
    tick_membership(it.board, start, it.actions);
    it.receive_from("b2", now);
    tick_membership(it.board, now, it.actions);
    CHECK(it.board.peers[hash_name("b1")].info.status == member_status::dead);
    CHECK(it.board.peers[hash_name("b2")].info.status == member_status::live);
    wire::Envelope message;
    message.set_from(hash_name("b1"));
    auto *state = message.mutable_heartbeat()->add_states();
    state->set_name("b1");
    state->set_failure_domain("mitte-a");
    state->set_incarnation(1);
    state->set_version(9);
    on_heartbeat(it.board, message, now, it.actions);
    CHECK(it.board.peers[hash_name("b1")].info.status == member_status::live);
}

TEST_CASE("a contract with an older or equal generation, or with an address of "
          "another customer, is not accepted") {
    membership_fixture it(1);
    const auto accept = [&](std::uint64_t generation, const char *port) {
        return accept_document(
            it.board, "contract/brunner",
            {.generation = generation, .json = contract_spec(port)}, start,
            it.actions);
    };
    CHECK(accept(3, "443"));
    CHECK(!accept(2, "444"));
    CHECK(!accept(3, "445"));
    CHECK(it.board.contracts[0].services[0].address.port == 443);
    CHECK(accept(4, "446"));
    CHECK(!accept_document(it.board, "contract/other",
                           {.generation = 1, .json = contract_spec("446")},
                           start, it.actions));
    CHECK(it.board.contracts.size() == 1);
}

TEST_CASE("no export of records starts while another is pending") {
    // A worker's answer does not identify the sync job that the records were
    // exported for. With two pending exports, the records of one service could
    // therefore be sent as those of another.
    membership_fixture it(2);
    it.board.contracts.push_back(
        parse_contract("brunner", 1, contract_spec("443")).value());
    rebuild_view(it.board, start);
    const auto service = it.board.view->services[0].id;
    it.board.self.synced = {service};
    for (const std::uint32_t peer : {1U, 2U})
        it.board.sync_jobs.push_back({.peer = peer, .service = service});
    for (int i = 0; i < 3; ++i)
        tick_record_sync(it.board, start, it.actions);
    CHECK(it.actions.requests.size() == 1);
    on_records_exported(it.board, {}, 7, 1, it.actions);
    CHECK(it.board.sync_jobs.size() == 2);
    CHECK(it.board.sync_jobs[0].cursor == 7);
    tick_record_sync(it.board, start, it.actions);
    CHECK(it.actions.requests.size() == 2);
    on_records_exported(it.board, {}, 0, 1, it.actions);
    CHECK(it.board.sync_jobs.size() == 1);
}

TEST_CASE("packed records are restored and input of a wrong size is rejected") {
    const endpoint service{.address = 1, .port = 443};
    const std::vector<flow_record> records{
        {.key = {.caller = {.address = 7, .port = 8}, .service = service},
         .upstream = {.address = 9, .port = 10}},
        {.key = {.caller = {.address = 11, .port = 12}, .service = service},
         .upstream = {.address = 13, .port = 14},
         .closed = true}};
    std::vector<flow_record> out;
    const auto bytes = pack_records(records);
    REQUIRE(unpack_records(bytes, service, transport::tcp, out));
    REQUIRE(out.size() == 2);
    CHECK(out[1].closed);
    CHECK(out[1].key == records[1].key);
    CHECK(out[0].upstream == records[0].upstream);
    CHECK(!unpack_records(bytes + "x", service, transport::tcp, out));
}
