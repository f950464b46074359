#pragma once

#include <functional>
#include <mutex>

#include "blackboard.hpp"
#include "dogwoodtrack/daemon.hpp"
#include "dogwoodtrack/peer_channel.hpp"
#include "platform_feed.hpp"
#include "worker.hpp"

namespace dogwoodtrack {

/// State and connections of the control thread.
struct control_context {
    const daemon_options &options;
    blackboard board;
    peer_channel channel;
    platform_feed &feed;
    std::vector<std::unique_ptr<packet_worker>> &workers;
    fault_filter &faults;
    metric_set metrics;
    time_point next_slow_tick{};
    time_point stop_requested_at{};
    time_point leaving_since{};
    std::uint64_t broken_messages = 0;

    std::mutex tasks_mutex;
    std::vector<std::function<void()>> tasks;
};

/// Runs the controllers on the calling thread until the shutdown that `stop`
/// requests is complete. Returns whether it completed before the deadline.
auto run_control(control_context &context, const std::atomic<bool> &stop)
    -> bool;

/// Runs `task` on the control thread and waits until it has returned.
/// Thread safe. Precondition: not called on the control thread.
auto run_on_control_thread(control_context &context,
                           const std::function<void()> &task) -> void;

} // namespace dogwoodtrack
