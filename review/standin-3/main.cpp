#include <cstdlib>

#include "clients.hpp"
#include "hosts.hpp"

using namespace standin;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int cannot_run = 2;

// Bounds of a small deployment, in milliseconds.
constexpr double drain_ms = 3'000;
constexpr double stable_window_ms = 4'000;

constexpr address lists_route{0xc6120001, 8443};
constexpr address orders_route{0xc6120002, 8080};

/// What every case has: the store, the daemons, hosts and clients.
struct deployment {
    deployment(const std::string &record, const std::string &program,
               const std::string &folder, std::uint32_t net)
        : net(net), it(record), entries(it, {net | 200U << 8U | 1U, 8'169}),
          system(it, program, folder, {net | 200U << 8U | 1U, 8'169}),
          clients(it, system) {
        host::link_port = fleet::link_port;
    }

    auto add_host(std::uint64_t number, const std::string &service,
                  const std::string &zone, std::uint32_t place) -> host & {
        char id[32];
        std::snprintf(id, sizeof id, "i-%010llx",
                      static_cast<unsigned long long>(number));
        hosts.push_back(std::make_unique<host>(
            it, entries,
            host::options{.id = id,
                          .service = service,
                          .zone = zone,
                          .where = {net | (64U + place / 200U) << 8U |
                                        (1U + place % 200U),
                                    8'367}}));
        return *hosts.back();
    }

    auto write_configuration() -> void {
        entries.put(
            "config", "main",
            R"({"version":7,"routes":[)"
            R"({"name":"r-lists","host":"198.18.0.1","path_prefix":"/8443/",)"
            R"("route_type":"safe","timeout_ms":2500,"target_latency_ms":250,)"
            R"("priority":2,"service":"lists","max_attempts":2},)"
            R"({"name":"r-orders","host":"198.18.0.2","path_prefix":"/8080/",)"
            R"("route_type":"unsafe","timeout_ms":2500,)"
            R"("target_latency_ms":250,"priority":1,"service":"orders",)"
            R"("max_attempts":2}],"services":[)"
            R"({"name":"lists","health_path":"/health","max_flows":2000,)"
            R"("protocol":"h1","tls":false},)"
            R"({"name":"orders","health_path":"/health","max_flows":2000,)"
            R"("protocol":"h1","tls":false}],)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
            R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    }

    // Starts everything. Returns whether all daemons became ready.
    auto start() -> bool {
        if (!entries.open())
            return false;
        write_configuration();
        for (auto &one : hosts)
            if (!one->start())
                return false;
        for (auto &one : system.machines)
            system.start(one, true);
        system.check_readiness();
        const auto limit = it.now() + 20'000;
        while (!system.all_ready() && it.now() < limit)
            it.run_until(it.now() + 100);
        it.record(system.all_ready() ? "all daemons are in rotation"
                                     : "not all daemons became ready");
        return system.all_ready();
    }

    // A flow of the client `number` with a port for which `fits` holds.
    auto end_for(unsigned number, const std::function<bool(address)> &fits)
        -> address {
        address end{net | 100U << 8U | (1U + number % 200U), next_port_};
        while (!fits(end))
            end.port = ++next_port_;
        ++next_port_;
        return end;
    }
    auto any_end(unsigned number) -> address {
        return end_for(number, [](address) { return true; });
    }

    std::uint32_t net;
    world it;
    store entries;
    fleet system;
    client_group clients;
    std::vector<std::unique_ptr<host>> hosts;

private:
    std::uint16_t next_port_ = 10'000;
};

auto count_answered(const deployment &d) -> int {
    auto n = 0;
    for (const auto &[end, one] : d.clients.all)
        n += one->report.answered;
    return n;
}

// ---- a host that drains while a daemon restarts

auto run_drain_after_restart(deployment &d, bool trouble) -> int {
    for (unsigned i = 0; i < 3; ++i)
        d.system.add("m" + std::to_string(i + 1), "z1",
                     d.net | 1U << 8U | (10U + i));
    for (unsigned i = 0; i < 500; ++i)
        d.add_host(1 + i, "lists", "z1", i);
    for (unsigned i = 0; i < 8; ++i)
        d.add_host(0xf000000001 + i, "orders", "z1", 600 + i);
    auto &leaving = *d.hosts[500];
    if (!d.start())
        return cannot_run;
    auto &it = d.it;
    const auto begin = it.now();
    const auto drained = begin + 6'000;
    const auto exits = drained + drain_ms + 9'000;
    for (unsigned i = 0; begin + 2'000 + i * 5 < exits + 1'000; ++i)
        it.at(begin + 2'000 + i * 5, [&d, i] {
            d.clients
                .add({.name = "c" + std::to_string(i),
                      .zone = "z1",
                      .from = d.any_end(i),
                      .to = orders_route,
                      .work_ms = 30.0 + i * 37 % 50})
                .begin();
        });
    it.at(drained, [&] {
        leaving.drain();
        it.record("the store accepts that %s is draining",
                  leaving.id().c_str());
    });
    auto &restarted = d.system.find("m1");
    if (trouble) {
        it.at(drained + 300, [&] { d.system.kill_machine(restarted); });
        it.at(drained + 800, [&] { d.system.start(restarted, false); });
    }
    it.at(exits, [&] {
        it.record("%s has left", leaving.id().c_str());
        leaving.crash();
        d.entries.remove("servers", leaving.id());
    });
    it.run_until(exits + 4'000);
    // From this time on all machines are in touch.
    const auto judged_from =
        std::max(drained + drain_ms, restarted.started + stable_window_ms);
    auto late = 0;
    for (const auto &one : leaving.openings)
        late += one.when > judged_from ? 1 : 0;
    auto unanswered = 0;
    for (const auto &[end, one] : d.clients.all)
        unanswered += one->report.timed_out ? 1 : 0;
    it.record("result: %d answers, %d opening packets at %s later than %.0f "
              "ms after it was draining, from machines in touch; %d requests "
              "without an answer",
              count_answered(d), late, leaving.id().c_str(), drain_ms,
              unanswered);
    if (count_answered(d) < 100)
        return cannot_run;
    return late > 0 ? broken : held;
}

// ---- a host restarts, and a write of its earlier process is carried out late

auto run_reset_after_late_write(deployment &d, bool trouble) -> int {
    for (unsigned i = 0; i < 3; ++i)
        d.system.add("m" + std::to_string(i + 1), "z1",
                     d.net | 1U << 8U | (10U + i));
    auto &restarted = d.add_host(0xa1, "orders", "z1", 0);
    for (unsigned i = 0; i < 6; ++i)
        d.add_host(0xa2 + i, "orders", "z1", 1 + i);
    if (!d.start())
        return cannot_run;
    auto &it = d.it;
    const auto begin = it.now() + 1'000;
    constexpr double late_by_ms = 5'900;
    // The host crashes before it has the answer to a write.
    const auto written = begin + 4'300;
    if (trouble) {
        it.at(written, [&] {
            it.record("%s writes its entry, and gets no answer before it "
                      "goes down",
                      restarted.id().c_str());
            it.after(late_by_ms, [&, entry = restarted.entry()] {
                d.entries.put("servers", restarted.id(), entry);
                it.record("the store carries out that write of %s",
                          restarted.id().c_str());
            });
        });
        it.at(written + 100, [&] {
            restarted.crash();
            it.record("%s goes down", restarted.id().c_str());
        });
        it.at(written + 600, [&] {
            restarted.start();
            it.record("%s is up again", restarted.id().c_str());
        });
    }
    // Calm for `stable_window_ms` from then on.
    const auto judged_from = written + 600 + stable_window_ms;
    const auto end = judged_from + 5'000;
    // Long flows, a new one every 35 ms.
    for (unsigned i = 0; begin + 2'000 + i * 35 < end - 1'500; ++i)
        it.at(begin + 2'000 + i * 35, [&d, i] {
            d.clients
                .add({.name = "c" + std::to_string(i),
                      .zone = "z1",
                      .from = d.any_end(i),
                      .to = orders_route,
                      .requests = 10,
                      .work_ms = 30.0 + i * 37 % 50,
                      .pause_ms = 40})
                .begin();
        });
    it.run_until(end);
    auto resets = 0;
    for (const auto &[from, one] : d.clients.all)
        resets +=
            one->report.reset_by_system && one->report.reset_at > judged_from
                ? 1
                : 0;
    it.record("result: %d answers, %d open flows of living hosts reset by the "
              "system, all machines and hosts being calm",
              count_answered(d), resets);
    if (count_answered(d) < 100)
        return cannot_run;
    return resets > 0 ? broken : held;
}

// ---- a host holds as many flows as it can

auto run_reset_at_full_host(deployment &d, bool trouble) -> int {
    for (unsigned i = 0; i < 3; ++i)
        d.system.add("m" + std::to_string(i + 1), "z1",
                     d.net | 1U << 8U | (10U + i));
    auto &full = d.add_host(0xb1, "lists", "z1", 0);
    d.add_host(0xa1, "orders", "z1", 1);
    d.add_host(0xa2, "orders", "z1", 2);
    if (!d.start())
        return cannot_run;
    auto &it = d.it;
    const auto begin = it.now() + stable_window_ms;
    const auto busy = begin + 9'000;
    const auto end = busy + 4'000;
    for (unsigned i = 0; begin + i * 25 < end - 1'000; ++i)
        it.at(begin + i * 25, [&d, i] {
            d.clients
                .add({.name = "o" + std::to_string(i),
                      .zone = "z1",
                      .from = d.any_end(i),
                      .to = orders_route,
                      .work_ms = 40})
                .begin();
        });
    const auto via = [&](std::size_t machine) {
        return [&d, machine](address from) {
            return fleet::hash_of(from, lists_route) %
                       d.system.machines.size() ==
                   machine;
        };
    };
    std::vector<client *> watched;
    const auto add = [&](const std::string &name, unsigned number,
                         const std::function<bool(address)> &fits, int requests,
                         double work_ms, double next_at) {
        auto &one = d.clients.add({.name = name,
                                   .zone = "z1",
                                   .from = d.end_for(number, fits),
                                   .to = lists_route,
                                   .requests = requests,
                                   .work_ms = work_ms,
                                   .next_at = next_at,
                                   .method = "GET"});
        watched.push_back(&one);
        one.begin();
    };
    // The flows of the busy moment: 15 requests of 300 ms, the last two of them
    // through the first machine. With 3 slots these are answered after 1.5 s.
    for (unsigned i = 0; i < 15; ++i)
        it.at(begin + 1'000 + i * 10, [&, i, due = busy + i * 8] {
            add("busy" + std::to_string(i), i, via(i < 13 ? 1 : 0), 2, 300,
                due);
        });
    // Long flows that are idle after their first request. With all of them the
    // host is full.
    const auto idle = trouble ? 2'100U : 1'000U;
    for (unsigned i = 0; i < idle; ++i)
        it.at(begin + 2'000 + i * 3, [&, i] {
            add(
                "idle" + std::to_string(i), i, [](address) { return true; }, 2,
                1, end + 60'000);
        });
    // A few callers more at the busy moment.
    for (unsigned i = 0; i < 6; ++i)
        it.at(busy + 150 + i * 60,
              [&, i] { add("new" + std::to_string(i), i, via(0), 1, 40, 0); });
    it.run_until(end);
    auto resets = 0;
    for (const auto *one : watched)
        resets += one->report.reset_by_system ? 1 : 0;
    it.record("result: %d answers, %d open flows of the living host %s reset "
              "by the system",
              count_answered(d), resets, full.id().c_str());
    if (count_answered(d) < 100)
        return cannot_run;
    return resets > 0 ? broken : held;
}

// ---- several machines are killed, and flows move to other machines

auto run_reset_after_kill(deployment &d, bool trouble) -> int {
    const char *places[][2] = {{"a1", "z1"}, {"a2", "z1"}, {"a3", "z1"},
                               {"b1", "z2"}, {"b2", "z2"}, {"c1", "z3"},
                               {"c2", "z3"}};
    for (unsigned i = 0; i < 7; ++i)
        d.system.add(places[i][0], places[i][1], d.net | 1U << 8U | (10U + i));
    d.add_host(0xa1, "orders", "z1", 0);
    d.add_host(0xa2, "orders", "z1", 1);
    d.add_host(0xb1, "lists", "z2", 2);
    d.add_host(0xb2, "lists", "z2", 3);
    if (!d.start())
        return cannot_run;
    auto &it = d.it;
    const auto begin = it.now() + stable_window_ms + 1'000;
    const auto end = begin + 9'000;
    for (unsigned i = 0; it.now() + i * 40 < end; ++i)
        it.at(it.now() + i * 40, [&d, i] {
            d.clients
                .add({.name = "o" + std::to_string(i),
                      .zone = "z1",
                      .from = d.any_end(i),
                      .to = orders_route,
                      .work_ms = 40})
                .begin();
        });
    // Long flows that go through the first machine of the zone while there are
    // three in rotation, and through the second one while there are two.
    const auto moves = [](address from) {
        const auto hash = fleet::hash_of(from, lists_route);
        return hash % 3 == 0 && hash % 2 == 1;
    };
    std::vector<client *> watched;
    for (unsigned i = 0; i < 6; ++i)
        it.at(begin - 2'000 + i * 40, [&, i] {
            auto &one = d.clients.add({.name = "l" + std::to_string(i),
                                       .zone = "z1",
                                       .from = d.end_for(i, moves),
                                       .to = lists_route,
                                       .requests = 1'000,
                                       .work_ms = 240,
                                       .pause_ms = 5,
                                       .method = "GET"});
            watched.push_back(&one);
            one.begin();
        });
    if (trouble)
        it.at(begin, [&] {
            it.at(d.system.next_check - 20, [&] {
                for (const auto *name : {"a3", "b1", "b2"})
                    d.system.kill_machine(d.system.find(name));
            });
        });
    it.run_until(end);
    auto resets = 0;
    for (const auto *one : watched)
        resets += one->report.reset_by_system ? 1 : 0;
    it.record("result: %d answers, %d of 6 open flows of living hosts reset by "
              "the system",
              count_answered(d), resets);
    if (count_answered(d) < 100)
        return cannot_run;
    return resets > 0 ? broken : held;
}

} // namespace

// Usage: standin CASE PROGRAM FOLDER RECORD
auto main(int argc, char **argv) -> int {
    if (argc != 5)
        return cannot_run;
    const auto *given = std::getenv("TROUBLE");
    const auto trouble = given == nullptr || std::string(given) != "0";
    // A part of the loopback network of its own.
    const auto net = 127U << 24U |
                     (16U + static_cast<std::uint32_t>(getpid()) % 200U) << 16U;
    deployment d(argv[4], argv[2], argv[3], net);
    d.it.record("%s, disruption %s", argv[1], trouble ? "on" : "off");
    const std::string name = argv[1];
    auto outcome = cannot_run;
    if (name == "drain-after-restart")
        outcome = run_drain_after_restart(d, trouble);
    else if (name == "reset-after-late-write")
        outcome = run_reset_after_late_write(d, trouble);
    else if (name == "reset-at-full-host")
        outcome = run_reset_at_full_host(d, trouble);
    else if (name == "reset-after-kill")
        outcome = run_reset_after_kill(d, trouble);
    d.it.record("exit %d", outcome);
    return outcome;
}
