#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "carried/feeds/gossip.hpp"
#include "carried/load/load_exchange.hpp"
#include "carried/test_support.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::carried;
using namespace dogwoodtrack::carried::test;

namespace {

using link_key = std::pair<std::uint32_t, std::uint32_t>;

/// Balancers that exchange messages in memory, 10 ms a step. Each one in
/// `busy` sees 5 openings and 5 answers of 40 ms in 250 ms.
struct network {
    std::map<std::uint32_t, blackboard> boards;
    std::set<std::uint32_t> paused;
    std::set<std::uint32_t> busy;
    std::set<link_key> cut; ///< from one address to another
    int copies = 1;         ///< of each datagram
    std::size_t sent = 0;
    time_point now = start;

    // Adds a balancer that knows all others and has the state.
    auto add(std::uint32_t address, std::uint32_t failure_domain = 1)
        -> blackboard & {
        auto &it = boards[address] = make_blackboard(address);
        it.members.self.failure_domain = failure_domain;
        it.steering.position.failure_domain = failure_domain;
        it.steering.in_force = make_configuration(1);
        for (std::uint32_t i = 0; i < 6; ++i)
            apply_record(it.steering.upstreams,
                         make_record("i-" + std::to_string(i), 1, i % 2 + 1),
                         start);
        enable_load_exchange(it, true);
        busy.insert(address);
        return it;
    }

    auto introduce() -> void {
        for (auto &[address, it] : boards) {
            for (const auto &[other, board] : boards) {
                auto member = board.members.self;
                member.last_heard = now;
                update_member(it.members, member);
            }
        }
    }

    auto deliver(std::uint32_t from, const std::vector<outgoing_message> &out)
        -> void {
        for (const auto &one : out) {
            ++sent;
            const auto buf = encode(one.message);
            CHECK(buf.size() <= max_peer_datagram_size);
            const auto message = decode_peer_message({buf.data(), buf.size()});
            REQUIRE(message);
            if (!boards.contains(one.to) || paused.contains(one.to) ||
                cut.contains({from, one.to}))
                continue;
            std::vector<outgoing_message> answers;
            for (int i = 0; i < copies; ++i)
                on_peer_message(boards[one.to], from, *message, now, answers);
        }
    }

    auto load(std::uint32_t address) -> void {
        auto &it = boards[address].steering;
        const auto code = it.upstreams.all[address % 6].code;
        for (int i = 0; i < 5; ++i) {
            count_opening(it.flows.load, bookings, 2, true);
            count_answer(it.flows.load, bookings, code, 40);
        }
    }

    auto run(milliseconds duration) -> void {
        const auto end = now + duration;
        for (; now < end; now += milliseconds{10}) {
            for (auto &[address, it] : boards) {
                if (paused.contains(address) || now < it.load.next_step)
                    continue;
                if (busy.contains(address))
                    load(address);
                std::vector<outgoing_message> out;
                exchange_load(it, now, out);
                deliver(address, out);
            }
            // Stands in for digests.
            for (auto &[address, it] : boards) {
                for (auto &[other, member] : it.members.others) {
                    if (!paused.contains(other) &&
                        !cut.contains({other, address}))
                        member.last_heard = now;
                }
            }
        }
    }

    auto elected(std::uint32_t address) -> std::uint32_t {
        return boards[address].load.choice.elected;
    }

    auto plan(std::uint32_t address) -> const service_plan * {
        const auto &plans = boards[address].steering.plans;
        return is_coordinated(plans, bookings, now)
                   ? plan_for(plans, bookings, now)
                   : nullptr;
    }

    auto demand(std::uint32_t address) -> float {
        const auto *it = plan(address);
        return it == nullptr ? -1 : it->demand;
    }
};

/// A failure domain of four balancers, with the exchange running.
struct running_domain : network {
    std::uint32_t coordinator = 0;
    std::uint32_t member = 0; ///< another one

    running_domain() {
        for (std::uint32_t i = 1; i <= 4; ++i)
            add(i);
        introduce();
        run(seconds{5});
        coordinator = elected(1);
        member = coordinator == 1 ? 2 : 1;
    }

    auto set_cut(std::uint32_t a, std::uint32_t b) -> void {
        cut.insert({a, b});
        cut.insert({b, a});
    }
};

/// Concurrent requests of one busy balancer: 20 a second of 40 ms each.
constexpr float demand_of_one = 0.8F;

} // namespace

// Guards against balancers that elect different coordinators, and against
// reports that are missing from the sum or counted twice.
TEST_CASE("all balancers of a domain follow a plan with the sum of their "
          "demands") {
    running_domain it;
    for (const auto &[address, board] : it.boards) {
        CHECK(it.elected(address) == it.coordinator);
        CHECK(it.demand(address) ==
              doctest::Approx(4 * demand_of_one).epsilon(0.1));
        // Three of the six upstreams are in this domain, with two slots each.
        CHECK(it.plan(address)->limit > 0);
        CHECK(board.load.coordinates == (address == it.coordinator));
    }
}

// Guards against a daemon that changes its behaviour without the setting.
TEST_CASE("nothing is sent or used while the exchange is off") {
    network it;
    enable_load_exchange(it.add(1), false);
    it.add(2);
    it.introduce();
    std::vector<outgoing_message> out;
    it.load(1);
    exchange_load(it.boards[1], start, out);
    CHECK(out.empty());
    it.run(seconds{6});
    auto &off = it.boards[1];
    on_peer_message(off, 2, load_plan{.sequence = 1, .services = {{}}}, it.now,
                    out);
    on_peer_message(off, 2, load_report_message{}, it.now, out);
    CHECK(out.empty());
    CHECK(off.load.reports.latest.empty());
    CHECK(off.steering.plans.services.empty());
    off.steering.plans.services.push_back(
        {.plan = {.service = bookings, .admit = {}}, .received = it.now});
    send_digests(off, it.now, out);
    REQUIRE_FALSE(out.empty());
    CHECK_FALSE(std::get<digest_message>(out[0].message).limit_binds);
    enable_load_exchange(off, true);
    apply_plan(
        off.steering.plans, 2,
        {.sequence = 1, .services = {{.service = bookings, .admit = {}}}},
        it.now);
    out.clear();
    send_digests(off, it.now, out);
    const auto buf = encode(out.at(0).message);
    const auto read = decode_peer_message({buf.data(), buf.size()});
    REQUIRE(read);
    CHECK(std::get<digest_message>(*read).limit_binds);
}

// Guards against capacity that stays reserved for a dead balancer, and against
// demand that vanishes with a single lost datagram.
TEST_CASE("the report of a silent balancer counts for a second") {
    running_domain it;
    it.paused.insert(it.member);
    it.run(milliseconds{500});
    const auto &sender = it.boards[it.coordinator];
    CHECK(sender.load.reports.latest.contains(it.member));
    it.run(milliseconds{600});
    CHECK_FALSE(sender.load.reports.latest.contains(it.member));
    it.run(seconds{2});
    CHECK(it.demand(it.coordinator) ==
          doctest::Approx(3 * demand_of_one).epsilon(0.1));
}

// Guards against a domain without plans until gossip notices the death.
TEST_CASE("after the coordinator's death the next one takes over, before the "
          "plan expires if a limit binds") {
    running_domain it;
    for (auto &[address, board] : it.boards)
        board.load.choice.plan_interval = report_interval;
    it.boards.erase(it.coordinator);
    it.run(milliseconds{1'990});
    for (const auto &[address, board] : it.boards) {
        CHECK(it.elected(address) != it.coordinator);
        CHECK(it.demand(address) > 0);
    }
    it.run(seconds{3});
    CHECK(it.demand(it.member) ==
          doctest::Approx(3 * demand_of_one).epsilon(0.1));
}

// Guards against old plans of a coordinator that was suspended, and against a
// healthy one that is never elected again.
TEST_CASE("a paused coordinator is skipped for 10 s and then elected again") {
    running_domain it;
    it.paused.insert(it.coordinator);
    it.run(seconds{3});
    const auto next = it.elected(it.member);
    CHECK(next != it.coordinator);
    it.paused.clear();
    it.run(seconds{3});
    CHECK(it.elected(it.member) == next);
    CHECK(it.boards[it.member].steering.plans.coordinator == next);
    // The resumed one sees the plans of the other and takes only its part.
    CHECK(it.now - it.boards[it.coordinator].load.foreign_plan < plan_lifetime);
    it.run(seconds{10});
    for (const auto &[address, board] : it.boards) {
        CHECK(it.elected(address) == it.coordinator);
        CHECK(board.steering.plans.coordinator == it.coordinator);
    }
}

// Guards against a balancer that counts its own pause as the coordinator's
// silence.
TEST_CASE("a paused balancer does not skip the coordinator") {
    running_domain it;
    it.paused.insert(it.member);
    it.run(seconds{8});
    it.paused.clear();
    it.run(milliseconds{300});
    CHECK(it.elected(it.member) == it.coordinator);
    CHECK(it.boards[it.member].load.choice.skipped.empty());
}

// Guards against plans of two coordinators that are mixed: the one that is cut
// off from the coordinator reports to the next, the others stay.
TEST_CASE("a balancer follows the coordinator that it elects, and a second "
          "coordinator plans only for those who report to it") {
    running_domain it;
    it.set_cut(it.member, it.coordinator);
    it.run(seconds{5});
    const auto second = it.elected(it.member);
    CHECK(second != it.coordinator);
    CHECK(second != it.member);
    CHECK(it.elected(second) == it.coordinator);
    CHECK(it.boards[second].load.coordinates);
    CHECK(it.demand(it.member) == doctest::Approx(demand_of_one).epsilon(0.1));
    CHECK(it.demand(second) == doctest::Approx(3 * demand_of_one).epsilon(0.1));
    CHECK(it.boards[it.member].steering.plans.coordinator == second);
    it.cut.clear();
    it.run(seconds{12});
    CHECK(it.demand(it.member) ==
          doctest::Approx(4 * demand_of_one).epsilon(0.1));
    CHECK_FALSE(it.boards[second].load.coordinates);
}

// Guards against a balancer that plans alone because it knows no others yet.
TEST_CASE("a fresh balancer makes no plan of its own while it warms up") {
    running_domain it;
    auto &fresh = it.add(5);
    fresh.started = it.now;
    it.run(seconds{1});
    CHECK(it.elected(5) == 5);
    CHECK_FALSE(fresh.load.coordinates);
    CHECK(fresh.steering.plans.services.empty());
    std::vector<outgoing_message> out;
    digest_message digest{.sender = it.boards[1].members.self,
                          .versions = {},
                          .members = {},
                          .limit_binds = true};
    on_peer_message(fresh, 1, digest, it.now, out);
    CHECK(plan_for(fresh.steering.plans, bookings, it.now)->admit[0] == 0.5F);
    it.introduce();
    it.run(seconds{2});
    CHECK(it.demand(5) == doctest::Approx(5 * demand_of_one).epsilon(0.1));
}

// Guards against a balancer that gets no plan because it has nobody to report
// to.
TEST_CASE("a balancer alone follows its own plan and sends nothing") {
    network it;
    it.add(1);
    it.run(seconds{5});
    CHECK(it.demand(1) == doctest::Approx(demand_of_one).epsilon(0.1));
    CHECK(it.sent == 0);
}

// Guards against load that is counted twice, or taken from the past.
TEST_CASE("doubled and late reports do not change the sums") {
    report_table it;
    service_load load{.service = bookings, .in_flight = 3};
    load.priorities[0].openings = 10;
    const load_report_message message{
        .report = {.sequence = 20,
                   .interval = milliseconds{250},
                   .services = {load},
                   .upstreams = {{.code = 7, .in_flight = 3, .answers = 4}}},
        .unanswered = {{.code = 8, .count = 1}}};
    auto late = message;
    late.report.sequence = 19;
    CHECK(add_report(it, 1, message, start));
    CHECK_FALSE(add_report(it, 1, message, start));
    CHECK_FALSE(add_report(it, 1, late, start));
    auto sum = sum_reports(it, start);
    CHECK(sum.services[bookings].openings[0] == 10 / 250.0F);
    CHECK(sum.services[bookings].in_flight == 3);
    CHECK(sum.upstreams[7].answers == 4);
    CHECK(sum.unanswered[8] == 1);
    // Answers count once, requests under way as long as the report is valid.
    sum = sum_reports(it, start + milliseconds{250});
    CHECK(sum.upstreams[7].answers == 0);
    CHECK(sum.upstreams[7].in_flight == 3);
    // A copy does not extend the life of a report.
    CHECK_FALSE(add_report(it, 1, message, start + milliseconds{900}));
    CHECK(sum_reports(it, start + report_lifetime).services.empty());
}

// Guards against spill to a domain whose load is not known any more, and
// against load that is placed across domains and counted nowhere.
TEST_CASE("domains know each other's load, and forget it 2 s after a cut") {
    network it;
    for (std::uint32_t i = 1; i <= 6; ++i)
        it.add(i, i % 2 + 1);
    it.introduce();
    // Requests of domain 2 under way at an upstream of domain 1.
    auto &from = it.boards[1].steering;
    begin_request(from.flows.load,
                  {.service = bookings, .code = from.upstreams.all[0].code});
    it.run(seconds{6});
    const auto coordinator = it.elected(2);
    const auto &known = it.boards[coordinator].load;
    const auto &other = known.domains.domains.at(2);
    REQUIRE(other.loads.size() == 1);
    CHECK(other.coordinator == it.elected(1));
    CHECK(other.loads.front().load.demand ==
          doctest::Approx(3 * demand_of_one).epsilon(0.1));
    CHECK(placed_by_others(known.domains, bookings) == 1);
    CHECK(known.planner.services.at(bookings).load.in_flight == 1);
    for (std::uint32_t a = 1; a <= 6; ++a) {
        for (std::uint32_t b = 1; b <= 6; ++b) {
            if (a % 2 != b % 2)
                it.cut.insert({a, b});
        }
    }
    it.run(milliseconds{1'400});
    CHECK(other.loads.size() == 1);
    it.run(milliseconds{1'100});
    CHECK(other.loads.empty());
    CHECK(placed_by_others(known.domains, bookings) == 0);
    CHECK(it.demand(coordinator) ==
          doctest::Approx(3 * demand_of_one).epsilon(0.1));
    it.cut.clear();
    it.run(seconds{1});
    CHECK(other.loads.size() == 1);
}

// Guards against a load that goes back or is kept alive by copies of a message,
// and against a wrong round trip.
TEST_CASE("late and doubled loads of another domain change nothing") {
    domain_exchange it;
    const fleet_member sender{.address = 7, .failure_domain = 2};
    domain_loads_message message{
        .sequence = 10,
        .sent_us = 1,
        .echo_us = 1'000,
        .held_us = 500,
        .loads = {{.service = bookings, .failure_domain = 2, .demand = 5},
                  {.service = bookings, .failure_domain = 3, .demand = 9}}};
    CHECK(add_domain_loads(it, sender, 1, message, 3'300, start));
    auto late = message;
    late.sequence = 9;
    late.loads.front().demand = 1;
    CHECK_FALSE(add_domain_loads(it, sender, 1, late, 3'300, start));
    add_domain_loads(it, sender, 1, message, 9'000, start + seconds{1});
    const auto &known = it.domains.at(2);
    REQUIRE(known.loads.size() == 1);
    CHECK(known.loads.front().load.demand == 5);
    CHECK(known.round_trip_ms == doctest::Approx(1.8));
    expire_domain_loads(it, start + domain_load_lifetime);
    CHECK(known.loads.empty());
    CHECK_FALSE(add_domain_loads(it, {.address = 8, .failure_domain = 1}, 1,
                                 message, 1, start));
}

// Guards against a limit that half of the upstreams' slots no longer support.
TEST_CASE("slots of upstreams that leave openings unanswered do not count") {
    running_domain it;
    const auto limit = it.plan(it.member)->limit;
    auto &steering = it.boards[it.member].steering;
    for (int i = 0; i < 2; ++i)
        count_unanswered(steering.flows.load, bookings,
                         steering.upstreams.all[0].code);
    it.run(seconds{2});
    CHECK(it.plan(it.member)->limit < limit);
    it.run(seconds{5});
    CHECK(it.plan(it.member)->limit == doctest::Approx(limit));
}

// Guards against datagrams that a network drops, and against parts that are
// taken for the whole.
TEST_CASE("a large report and a large plan are split and put together again") {
    tracked_load load{.report = {.sequence = 1,
                                 .interval = milliseconds{250},
                                 .services = {},
                                 .upstreams = {}},
                      .unanswered = {}};
    load_plan plan{.sequence = 1, .services = {{.service = bookings}}};
    constexpr std::uint32_t count = 300;
    for (std::uint32_t i = 0; i < count; ++i) {
        load.report.upstreams.push_back(
            {.code = i, .in_flight = 1, .answers = 1, .service_ms = 1});
        plan.services[0].upstreams.push_back({.code = i, .limit = 3});
    }
    report_table reports;
    for (const auto &part : split_report(load)) {
        const auto buf = encode(part);
        CHECK(buf.size() <= max_peer_datagram_size);
        const auto read = decode_peer_message({buf.data(), buf.size()});
        REQUIRE(read);
        add_report(reports, 1, std::get<load_report_message>(*read), start);
    }
    CHECK(sum_reports(reports, start).upstreams.size() == count);
    load_plan_state plans{.enabled = true};
    for (const auto &part : split_plan(plan)) {
        const auto buf = encode(part);
        CHECK(buf.size() <= max_peer_datagram_size);
        const auto read = decode_peer_message({buf.data(), buf.size()});
        REQUIRE(read);
        apply_plan(plans, 1, std::get<load_plan>(*read), start);
    }
    CHECK(plan_for(plans, bookings, start)->upstreams.size() == count);
}

// Guards against demand that counts as that of a more urgent priority, because
// an empty message of another priority is left out.
TEST_CASE("the load of a priority is received as that priority's, whatever the "
          "others have") {
    for (std::size_t i = 0; i < priority_count; ++i) {
        service_load sent{.service = bookings};
        sent.priorities[i] = {.openings = 5, .admitted = 3, .requests = 7};
        const auto buf = encode(load_report_message{
            .report = {.sequence = 1, .services = {sent}, .upstreams = {}},
            .unanswered = {}});
        const auto read = decode_peer_message({buf.data(), buf.size()});
        REQUIRE(read);
        const auto &received =
            std::get<load_report_message>(*read).report.services.at(0);
        for (std::size_t j = 0; j < priority_count; ++j) {
            CHECK(received.priorities[j].openings == (i == j ? 5 : 0));
            CHECK(received.priorities[j].admitted == (i == j ? 3 : 0));
            CHECK(received.priorities[j].requests == (i == j ? 7 : 0));
        }
    }
}

// Guards against quantities that spread through all sums once received.
TEST_CASE("numbers out of range in a message are brought into range") {
    load_plan plan{.sequence = 1, .services = {{.service = bookings}}};
    plan.services[0].admit = {std::nanf(""), -1, 7, 1};
    plan.services[0].limit = std::numeric_limits<float>::infinity();
    const auto buf = encode(plan);
    const auto read = decode_peer_message({buf.data(), buf.size()});
    REQUIRE(read);
    const auto &it = std::get<load_plan>(*read).services[0];
    CHECK(it.admit == std::array<float, priority_count>{0, 0, 1, 1});
    CHECK(std::isfinite(it.limit));
    CHECK_FALSE(decode_peer_message(std::span<const char>(
        encode(load_report_message{.part = 64}).data(), 8)));
}
