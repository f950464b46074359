// Plays one case of the second review with the programs of the deploy file and
// the stand-ins of the first one:
//   standin-2 CASE TROUBLE RECORD
// To be run in a folder with `deploy/settings.conf` and `target/`. TROUBLE is 0
// or 1. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <cstring>

#include "../standin/deployment.hpp"

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

auto answered_share(const deployment &it, time_point from, time_point to)
    -> double {
    int sent = 0;
    int answered = 0;
    for (const auto &one : it.all_requests()) {
        if (one.sent < from || one.sent >= to)
            continue;
        ++sent;
        answered += one.result == outcome::answered ? 1 : 0;
    }
    return sent == 0 ? 0 : static_cast<double>(answered) / sent;
}

// FLOW: hosts that have just started answer openings late, while machines are
// stopped and started in turn. Flows pause between two requests.
auto play_idle_flows(bool trouble, const char *record_path) -> int {
    constexpr milliseconds slow_handshake{80};
    constexpr milliseconds work{5};
    constexpr milliseconds pause{3'000};
    constexpr int requests_in_flow = 4;
    constexpr int added_hosts = 4;
    deployment it(record_path);
    const auto start = clock_type::now();
    const auto &pickup_list = it.routes[2];
    it.start();
    it.loop.after(seconds{4}, [&] {
        it.loop.every(milliseconds{100}, [&] {
            if (it.traffic_stopped)
                return;
            for (auto &site : it.sites)
                site->open_flow(pickup_list, requests_in_flow, pause);
        });
    });
    it.loop.after(seconds{8}, [&] {
        for (int i = 0; i < added_hosts; ++i) {
            auto &added = it.add_host("abholung", work);
            if (!trouble)
                continue;
            added.set_handshake_delay(slow_handshake);
            it.loop.after(seconds{4}, [&added] {
                added.set_handshake_delay(milliseconds{0});
            });
        }
    });
    // One machine of each zone, one at a time.
    it.loop.after(seconds{11}, [&] { it.machines[0]->restart(); });
    it.loop.after(seconds{15}, [&] { it.machines[3]->restart(); });
    it.loop.after(seconds{19}, [&] { it.machines[5]->restart(); });
    it.loop.after(seconds{20}, [&] { it.traffic_stopped = true; });
    it.loop.after(seconds{33}, [&] { it.loop.stop(); });
    it.loop.run();
    if (answered_share(it, start + seconds{6}, start + seconds{8}) < 0.9)
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
                "request, %d idle; answered in all: %.4f\n",
                resets, idle, answered_share(it, start, start + seconds{40}));
    return resets + idle > 0 ? broken : held;
}

auto play(std::string_view name, bool trouble, const char *record_path) -> int {
    if (name == "idle-flows")
        return play_idle_flows(trouble, record_path);
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
