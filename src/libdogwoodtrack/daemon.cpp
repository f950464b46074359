#include "dogwoodtrack/daemon.hpp"

#include <thread>

#include <pthread.h>

#include <fmt/format.h>
#include <sodium.h>

#include "control_loop.hpp"
#include "operator_server.hpp"

namespace dogwoodtrack {

namespace {

constexpr unsigned workers_max = 64;
constexpr std::size_t flow_capacity_max = 50'000'000;

auto bad_setting(const std::string &detail) -> error {
    return {error_kind::bad_setting, detail};
}

auto make_blackboard(const daemon_options &options, timeline &events,
                     placement_lease &lease) -> blackboard {
    blackboard board;
    board.options.heartbeat = options.heartbeat;
    board.options.sync_bytes_per_second = options.sync_bytes_per_second;
    board.options.push_documents = options.push_documents;
    board.self = {.id = hash_name(options.name),
                  .name = options.name,
                  .failure_domain = hash_name(options.failure_domain),
                  .link = options.link,
                  .control = options.control,
                  .synced = {}};
    board.domain_name = options.failure_domain;
    board.incarnation = events.clock().next();
    board.seeds = options.seeds;
    board.events = &events;
    board.lease = &lease;
    return board;
}

auto make_workers(const daemon_options &options, const placement_lease &lease)
    -> result<std::vector<std::unique_ptr<packet_worker>>> {
    std::vector<std::unique_ptr<packet_worker>> workers;
    const forwarding_options settings{
        .key = relay_key(options.fleet_key),
        .fabric = options.fabric,
        .flow_capacity = options.flow_capacity / options.workers,
        .refresh_interval = options.refresh_interval,
        .placement = options.placement};
    const auto started = monotonic::now();
    for (unsigned i = 0; i < options.workers; ++i) {
        auto socket = link::open(options.link, options.workers > 1);
        if (!socket)
            return socket.error();
        workers.push_back(std::make_unique<packet_worker>(
            std::move(socket.value()), settings, started, lease));
    }
    for (auto &it : workers) {
        for (unsigned i = 0; i < options.workers; ++i)
            it->handovers.push_back(std::make_unique<handover_queue>());
    }
    return workers;
}

} // namespace

auto check_options(const daemon_options &options) -> result<void> {
    if (options.name.empty())
        return bad_setting("--name is empty");
    if (options.failure_domain.empty())
        return bad_setting("--failure-domain is empty");
    if (options.fleet_key.size() < 16)
        return bad_setting("--fleet-key has fewer than 16 characters");
    for (const auto *it : {&options.link, &options.control, &options.operators,
                           &options.fabric}) {
        if (it->port == 0)
            return bad_setting(
                "--link, --control, --operators or --fabric has no port");
    }
    if (options.link.address != options.control.address)
        return bad_setting("--link and --control have different addresses");
    if (options.workers == 0 || options.workers > workers_max)
        return bad_setting(
            fmt::format("--workers is not between 1 and {}", workers_max));
    if (options.flow_capacity < options.workers ||
        options.flow_capacity > flow_capacity_max)
        return bad_setting(
            fmt::format("--flows is not between the number of workers and {}",
                        flow_capacity_max));
    return boost::outcome_v2::success();
}

auto run_daemon(const daemon_options &options, const std::atomic<bool> &stop)
    -> result<exit_code> {
    BOOST_OUTCOME_TRYV(check_options(options));
    if (sodium_init() < 0)
        return bad_setting("libsodium could not be initialised");
    timeline events(options.name);
    placement_lease lease;
    fault_filter faults;
    auto workers = make_workers(options, lease);
    if (!workers)
        return workers.error();
    auto channel = peer_channel::open(options.control, options.fleet_key);
    if (!channel)
        return channel.error();
    platform_feed feed({.address = options.platform,
                        .client_name = "dogwoodtrackd/" + options.name},
                       events, faults.blocks_platform());
    control_context control{.options = options,
                            .board = make_blackboard(options, events, lease),
                            .channel = std::move(channel.value()),
                            .feed = feed,
                            .workers = workers.value(),
                            .faults = faults,
                            .metrics = {},
                            .tasks_mutex = {},
                            .tasks = {}};
    std::atomic<bool> stop_workers{false};
    std::vector<std::thread> threads;
    auto server = operator_server::open(control);
    if (!server)
        return server.error();
    for (std::size_t i = 0; i < workers.value().size(); ++i)
        threads.emplace_back([&, i] {
            pthread_setname_np(pthread_self(), "worker");
            run_worker(i, workers.value(), faults, stop_workers);
        });
    events.record(event_kind::started, options.name, 0, options.failure_domain);
    auto before_deadline = true;
    std::atomic<bool> control_done{false};
    std::thread control_thread([&] {
        before_deadline = run_control(control, stop);
        control_done = true;
        // Serves operator requests until the HTTP server has stopped, as its
        // shutdown waits for pending ones.
        while (!stop_workers) {
            std::vector<std::function<void()>> tasks;
            {
                const std::lock_guard lock(control.tasks_mutex);
                tasks.swap(control.tasks);
            }
            for (const auto &it : tasks)
                it();
            std::this_thread::sleep_for(milliseconds{5});
        }
    });
    while (!control_done)
        std::this_thread::sleep_for(milliseconds{20});
    server.value().reset();
    stop_workers = true;
    control_thread.join();
    for (auto &it : threads)
        it.join();
    events.record(event_kind::stopped, options.name);
    return before_deadline ? exit_code::stopped : exit_code::deadline_missed;
}

} // namespace dogwoodtrack
