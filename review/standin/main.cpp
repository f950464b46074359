// Plays one case of the review with the programs of the deploy file:
//   standin CASE TROUBLE RECORD
// To be run in the repository's root; CASE is a name in `play` below. TROUBLE
// is 0 or 1. Exit code: 0 the rule held, 1 it was broken, 2 the case could not
// run.

#include <cstring>

#include "deployment.hpp"

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

struct tally {
    int sent = 0;
    int answered = 0;

    auto share() const -> double {
        return sent == 0 ? 0 : static_cast<double>(answered) / sent;
    }
};

auto count_between(const deployment &it, time_point from, time_point to)
    -> tally {
    tally sum;
    for (const auto &one : it.all_requests()) {
        if (one.sent < from || one.sent >= to)
            continue;
        ++sum.sent;
        sum.answered += one.result == outcome::answered ? 1 : 0;
    }
    return sum;
}

auto print_tally(deployment &it, const char *name, const tally &sum) -> void {
    it.log.line("%s: %d requests sent, %d answered", name, sum.sent,
                sum.answered);
    std::printf("%s: %d requests sent, %d answered\n", name, sum.sent,
                sum.answered);
}

// Another writer's entry whose text cannot be read: half of a surrogate pair,
// as a text has that was cut off after so many UTF-16 units.
// With VARIANT=number, a number that exceeds the range of a double instead.
auto unreadable_entry() -> std::string {
    const auto *variant = std::getenv("VARIANT");
    if (variant != nullptr && std::strcmp(variant, "number") == 0)
        return "{\"service\":\"lager\",\"version\":1e400}";
    return "{\"service\":\"lager\",\"version\":\"weihnachten \\ud83e\"}";
}

// DRAIN: hosts drain while another writer's entry is in the store.
auto play_unreadable_entry(bool trouble, const char *record_path) -> int {
    deployment it(record_path);
    const auto start = clock_type::now();
    const std::vector<std::string> drained{it.hosts[0]->id(),
                                           it.hosts[1]->id()};
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{50}, 1, milliseconds{0});
    });
    it.loop.after(seconds{10}, [&] {
        if (!trouble)
            return;
        it.entries->put("servers", "lager-17", unreadable_entry());
        it.log.line("another writer's entry servers/lager-17: %s",
                    unreadable_entry().c_str());
    });
    it.loop.after(seconds{16}, [&] {
        for (const auto &id : drained)
            it.find_host(id)->drain();
    });
    it.loop.after(seconds{28}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{31}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{10});
    print_tally(it, "before the entry", before);
    if (before.share() < 0.9)
        return not_run;
    int late = 0;
    for (const auto &one : it.all_runs()) {
        const auto drained_at = it.find_host(one.host)->drained_at();
        if (drained_at == time_point{} ||
            one.syn_sent <= drained_at + deployment::drain_bound)
            continue;
        ++late;
        it.log.line(
            "DRAIN: request %d ran on %s, first SYN sent %.3f s after "
            "the acknowledgement",
            one.request, one.host.c_str(),
            std::chrono::duration<double>(one.syn_sent - drained_at).count());
    }
    std::printf("requests run by draining hosts, sent later than 3 s after the "
                "acknowledgement: %d\n",
                late);
    return late > 0 ? broken : held;
}

// FLOW: another writer's entry names the address of a host that lives.
auto play_foreign_address(bool trouble, const char *record_path) -> int {
    deployment it(record_path);
    const auto start = clock_type::now();
    const auto &owner = *it.hosts[0];
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{100}, 4, milliseconds{400});
    });
    it.loop.after(seconds{12}, [&] {
        if (!trouble)
            return;
        const auto spec =
            "{\"service\":\"lager\",\"address\":\"" + to_text(owner.address()) +
            "\",\"zone\":\"" + owner.zone() +
            "\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1760000000000}";
        it.entries->put("servers", "i-00aa17", spec);
        it.log.line("another writer's entry servers/i-00aa17: %s",
                    spec.c_str());
    });
    it.loop.after(seconds{22}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{28}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{12});
    print_tally(it, "before the entry", before);
    print_tally(it, "after the entry",
                count_between(it, start + seconds{12}, start + seconds{22}));
    if (before.share() < 0.9)
        return not_run;
    int resets = 0;
    for (const auto &one : it.all_requests())
        resets += one.result == outcome::reset_by_system ? 1 : 0;
    int idle = 0;
    for (const auto &site : it.sites)
        idle += site->idle_resets();
    it.log.line("FLOW: %d open flows with a request and %d idle ones reset by "
                "the system while their host lived",
                resets, idle);
    std::printf("open flows that the system reset while their host lived: %d "
                "with a request, %d idle\n",
                resets, idle);
    return resets + idle > 0 ? broken : held;
}

// ROUTE: another writer's entry lacks fields, names a service of the
// configuration and an address that by now belongs to a host of another one.
auto play_incomplete_entry(bool trouble, const char *record_path) -> int {
    deployment it(record_path);
    const auto start = clock_type::now();
    const auto &owner = *it.hosts.back();
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{50}, 1, milliseconds{0});
    });
    it.loop.after(seconds{10}, [&] {
        if (!trouble)
            return;
        const auto spec = "{\"service\":\"bestellung\",\"address\":\"" +
                          to_text(owner.address()) + "\",\"zone\":\"" +
                          owner.zone() +
                          "\",\"slots\":16,\"state\":\"ready\","
                          "\"born\":1760000000000}";
        it.entries->put("servers", "host-ulm", spec);
        it.log.line("another writer's entry servers/host-ulm: %s; the address "
                    "is that of %s of abholung",
                    spec.c_str(), owner.id().c_str());
    });
    it.loop.after(seconds{22}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{25}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{10});
    print_tally(it, "before the entry", before);
    if (before.share() < 0.9)
        return not_run;
    std::map<int, std::string> services;
    for (const auto &one : it.all_requests())
        services[one.id] =
            one.route == "pickup-list" ? "abholung" : "bestellung";
    int foreign = 0;
    for (const auto &one : it.all_runs()) {
        const auto &ran_by = it.find_host(one.host)->service();
        if (ran_by == services[one.request])
            continue;
        ++foreign;
        it.log.line("ROUTE: request %d, allowed at %s only, was run by %s of "
                    "%s",
                    one.request, services[one.request].c_str(),
                    one.host.c_str(), ran_by.c_str());
    }
    std::printf("requests run by a service that no configuration allows: %d\n",
                foreign);
    return foreign > 0 ? broken : held;
}

// FLOW: hosts that have just started answer SYNs late, so that a second host
// answers, too; later one
// machine of each zone is stopped and started, one at a time.
auto play_late_handshake(bool trouble, const char *record_path) -> int {
    constexpr milliseconds slow_handshake{80};
    constexpr int added_hosts = 4;
    deployment it(record_path);
    const auto start = clock_type::now();
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{100}, 12, milliseconds{800});
    });
    it.loop.after(seconds{8}, [&] {
        for (int i = 0; i < added_hosts; ++i) {
            auto &added = it.add_host("bestellung", milliseconds{40});
            if (!trouble)
                continue;
            added.set_handshake_delay(slow_handshake);
            it.loop.after(seconds{5}, [&added] {
                added.set_handshake_delay(milliseconds{0});
            });
        }
    });
    // One machine of each zone, one at a time.
    it.loop.after(seconds{15}, [&] { it.machines[0]->restart(); });
    it.loop.after(seconds{19}, [&] { it.machines[3]->restart(); });
    it.loop.after(seconds{23}, [&] { it.machines[5]->restart(); });
    it.loop.after(seconds{26}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{32}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{8});
    print_tally(it, "before the hosts are added", before);
    if (before.share() < 0.9)
        return not_run;
    int resets = 0;
    for (const auto &one : it.all_requests())
        resets += one.result == outcome::reset_by_other_host ? 1 : 0;
    int idle = 0;
    for (const auto &one : it.sites)
        idle += one->idle_resets();
    it.log.line("FLOW: %d open flows with a request and %d idle ones reset by "
                "another host than theirs",
                resets, idle);
    std::printf("open flows reset by another host than theirs: %d with a "
                "request, %d idle\n",
                resets, idle);
    return resets + idle > 0 ? broken : held;
}

// DRAIN: a machine is killed and started again while hosts drain and the store
// is slow.
auto play_stale_start(bool trouble, const char *record_path) -> int {
    constexpr int routes_added = 300;
    constexpr milliseconds slow_answer{240};
    constexpr milliseconds undisturbed_from{18'000};
    deployment it(record_path);
    const auto start = clock_type::now();
    it.start();
    it.entries->set_staleness(seconds{3});
    it.loop.after(seconds{3}, [&] { it.grow_configuration(routes_added); });
    it.loop.after(seconds{5}, [&] { it.grow_configuration(routes_added); });
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{20}, 1, milliseconds{0});
    });
    it.loop.after(seconds{10}, [&] {
        for (const std::size_t n : {0, 1, 3})
            it.hosts[n]->drain();
    });
    it.loop.after(milliseconds{10'600}, [&] {
        if (!trouble)
            return;
        it.entries->set_answer_delay(slow_answer);
        it.log.line("the store is slow");
    });
    it.loop.after(milliseconds{11'000},
                  [&] { it.machines[0]->kill_and_start(milliseconds{500}); });
    it.loop.after(milliseconds{11'300}, [&] { it.hosts[4]->drain(); });
    it.loop.after(seconds{14}, [&] {
        it.entries->set_answer_delay(store::usual_answer_delay);
        it.log.line("the store is not slow");
    });
    it.loop.after(seconds{23}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{26}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{10});
    print_tally(it, "before the drains", before);
    if (before.share() < 0.9)
        return not_run;
    int late = 0;
    for (const auto &one : it.all_runs()) {
        const auto drained_at = it.find_host(one.host)->drained_at();
        // From 18 s on, the store and all machines have been undisturbed for
        // `stable_window_ms`.
        if (drained_at == time_point{} ||
            one.syn_sent <= start + undisturbed_from ||
            one.syn_sent <= drained_at + deployment::drain_bound)
            continue;
        ++late;
        it.log.line(
            "DRAIN: request %d ran on %s, first SYN sent %.3f s after "
            "the acknowledgement",
            one.request, one.host.c_str(),
            std::chrono::duration<double>(one.syn_sent - drained_at).count());
    }
    std::printf("requests run by draining hosts, sent later than 3 s after the "
                "acknowledgement: %d\n",
                late);
    return late > 0 ? broken : held;
}

// FLOW: the last write of a host that has crashed is carried out late, when a
// new host already has its address; then a machine is killed and started again.
auto play_late_write(bool trouble, const char *record_path) -> int {
    constexpr int routes_added = 300;
    constexpr milliseconds undisturbed_from{19'500};
    deployment it(record_path);
    const auto start = clock_type::now();
    auto &old_host = *it.hosts[0];
    it.start();
    it.loop.after(seconds{3}, [&] { it.grow_configuration(routes_added); });
    it.loop.after(seconds{5}, [&] { it.grow_configuration(routes_added); });
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{40}, 4, milliseconds{400});
    });
    it.loop.after(seconds{10}, [&] { old_host.crash(); });
    it.loop.after(milliseconds{12'100}, [&] {
        // The number is below that of all other hosts.
        it.add_host(0x0a17U, "abholung", old_host.zone(), old_host.address(),
                    milliseconds{5});
    });
    // Without the disruption the write is carried out before the crash.
    it.loop.after(milliseconds{trouble ? 12'400 : 9'900},
                  [&] { old_host.write_late("draining"); });
    it.loop.after(milliseconds{12'200},
                  [&] { it.machines[0]->kill_and_start(milliseconds{500}); });
    it.loop.after(milliseconds{trouble ? 16'000 : 13'500},
                  [&] { old_host.expire(); });
    it.loop.after(seconds{24}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{28}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{10});
    print_tally(it, "before the crash", before);
    if (before.share() < 0.9)
        return not_run;
    int resets = 0;
    int early = 0;
    for (const auto &one : it.all_requests())
        if (one.result == outcome::reset_by_system)
            ++(one.sent > start + undisturbed_from ? resets : early);
    it.log.line("FLOW: %d open flows reset by the system while their host "
                "lived, opened after all was undisturbed",
                resets);
    std::printf("open flows reset by the system: %d before 19.5 s, %d later\n",
                early, resets);
    return resets > 0 ? broken : held;
}

// RECOVER: all processes are killed while the store has more entries of another
// writer than fit into one page, with names that hold a space.
auto play_spaced_names(bool trouble, const char *record_path) -> int {
    deployment it(record_path);
    const auto start = clock_type::now();
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{100}, 1, milliseconds{0});
    });
    it.loop.after(seconds{8}, [&] {
        if (!trouble)
            return;
        for (int i = 0; i < 520; ++i) {
            char name[32];
            std::snprintf(name, sizeof name, "lager platz %03d", i);
            it.entries->put("servers", name, "{\"service\":\"lager\"}");
        }
        it.log.line("another writer's entries: servers/lager platz 000 to 519");
    });
    it.loop.after(seconds{14}, [&] { it.kill_all(seconds{1}); });
    it.loop.after(seconds{42}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{48}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{14});
    const auto after = count_between(
        it, it.restarted_at + deployment::recovery_bound, start + seconds{42});
    print_tally(it, "before the kill", before);
    print_tally(it, "later than recovery_s after the machines are back", after);
    for (const auto &[status, count] : it.entries->answers())
        std::printf("answers of the store with status %d: %d\n", status, count);
    if (before.share() < 0.9)
        return not_run;
    return after.share() < 0.25 ? broken : held;
}

// Fault: a figure in the settings becomes a fraction; later one machine of each
// zone is stopped and started, one at a time.
auto play_fraction_setting(bool trouble, const char *record_path) -> int {
    deployment it(record_path);
    const auto start = clock_type::now();
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{100}, 1, milliseconds{0});
    });
    it.loop.after(seconds{8}, [&] { it.change_grace(trouble ? "6.5" : "5"); });
    it.loop.after(seconds{12}, [&] { it.machines[0]->restart(); });
    it.loop.after(seconds{16}, [&] { it.machines[3]->restart(); });
    it.loop.after(seconds{20}, [&] { it.machines[5]->restart(); });
    it.loop.after(seconds{32}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{35}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{8});
    print_tally(it, "before the change", before);
    if (before.share() < 0.9)
        return not_run;
    int often = 0;
    for (const auto &one : it.machines) {
        std::printf("%s ended by itself %d times\n", one->name().c_str(),
                    one->own_ends());
        often += one->own_ends() >= 3 ? 1 : 0;
    }
    return often >= 2 ? broken : held;
}

// Fault: another writer's entry holds lists inside lists.
auto play_nested_entry(bool trouble, const char *record_path) -> int {
    deployment it(record_path);
    const auto start = clock_type::now();
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.send_traffic(milliseconds{100}, 1, milliseconds{0});
    });
    it.loop.after(seconds{10}, [&] {
        if (!trouble)
            return;
        constexpr std::size_t depth = 200'000;
        it.entries->put("servers", "lager-17",
                        "{\"service\":" + std::string(depth, '[') +
                            std::string(depth, ']') + "}");
        it.log.line("another writer's entry servers/lager-17: `service` is a "
                    "list, nested %zu deep",
                    depth);
    });
    it.loop.after(seconds{22}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{25}, [&] { it.loop.stop(); });
    it.loop.run();
    const auto before =
        count_between(it, start + seconds{6}, start + seconds{10});
    print_tally(it, "before the entry", before);
    print_tally(it, "after the entry",
                count_between(it, start + seconds{12}, start + seconds{22}));
    if (before.share() < 0.9)
        return not_run;
    int often = 0;
    for (const auto &one : it.machines) {
        std::printf("%s ended by itself %d times\n", one->name().c_str(),
                    one->own_ends());
        often += one->own_ends() >= 3 ? 1 : 0;
    }
    return often >= 2 ? broken : held;
}

auto play(const std::string &name, bool trouble, const char *record_path)
    -> int {
    if (name == "unreadable-entry")
        return play_unreadable_entry(trouble, record_path);
    if (name == "incomplete-entry")
        return play_incomplete_entry(trouble, record_path);
    if (name == "foreign-address")
        return play_foreign_address(trouble, record_path);
    if (name == "spaced-names")
        return play_spaced_names(trouble, record_path);
    if (name == "late-handshake")
        return play_late_handshake(trouble, record_path);
    if (name == "stale-start")
        return play_stale_start(trouble, record_path);
    if (name == "late-write")
        return play_late_write(trouble, record_path);
    if (name == "fraction-setting")
        return play_fraction_setting(trouble, record_path);
    if (name == "nested-entry")
        return play_nested_entry(trouble, record_path);
    return not_run;
}

} // namespace

auto main(int argc, char **argv) -> int {
    if (argc != 4)
        return not_run;
    const auto trouble = std::strcmp(argv[2], "0") != 0;
    try {
        return play(argv[1], trouble, argv[3]);
    } catch (const std::exception &problem) {
        std::printf("%s\n", problem.what());
        return not_run;
    }
}
