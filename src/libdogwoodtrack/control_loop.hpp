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
    time_point next_periodic_check{};
    time_point stop_requested_at{};
    time_point leaving_since{};
    /// Number of peer messages that could not be parsed or have no body.
    std::uint64_t broken_messages = 0;

    std::mutex tasks_mutex;
    /// Tasks queued by `run_on_control_thread`. Guarded by `tasks_mutex`.
    std::vector<std::function<void()>> tasks;
};

/// Runs the controllers on the calling thread until `stop` is set, and then
/// until the planned stop of this instance is complete or has taken longer than
/// `stop_deadline`. Returns true if the stop was completed.
auto run_control(control_context &context, const std::atomic<bool> &stop)
    -> bool;

/// Runs `task` on the control thread and returns when it has finished. Thread
/// safe. Precondition: not called on the control thread.
auto run_on_control_thread(control_context &context,
                           const std::function<void()> &task) -> void;

} // namespace dogwoodtrack
