#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include <boost/lockfree/spsc_queue.hpp>

#include "blackboard.hpp"
#include "dogwoodtrack/forwarding.hpp"
#include "dogwoodtrack/link.hpp"
#include "dogwoodtrack/metrics.hpp"
#include "fault_filter.hpp"

namespace dogwoodtrack {

/// What the control thread hands to a worker.
struct worker_input {
    std::shared_ptr<const routing_view> view;
    std::optional<worker_request> request;
};

/// What a worker hands to the control thread.
struct worker_report {
    std::vector<flow_record> records;
    std::vector<expired_flow> expired;
    bool exported = false;
    std::size_t next = 0;
};

/// A packet on its way to the worker that keeps its flow.
struct handed_packet {
    std::uint16_t size = 0;
    std::array<std::uint8_t, packet_limit> bytes;
};

inline constexpr std::size_t mailbox_size = 256;
using input_queue =
    boost::lockfree::spsc_queue<worker_input *,
                                boost::lockfree::capacity<mailbox_size>>;
using report_queue =
    boost::lockfree::spsc_queue<worker_report *,
                                boost::lockfree::capacity<mailbox_size>>;
using handover_queue =
    boost::lockfree::spsc_queue<handed_packet,
                                boost::lockfree::capacity<mailbox_size>>;

/// One packet worker: its socket, its part of the flows and the queues that
/// join it to the others. All queues have one writer and one reader, so no
/// lock is taken.
struct packet_worker {
    packet_worker(link socket, forwarding_options options, time_point started,
                  const placement_lease &lease);
    ~packet_worker();

    link socket;
    packet_counters counters;
    packet_state state;
    metric_set metrics;
    input_queue inputs;
    report_queue reports;
    std::vector<std::unique_ptr<handover_queue>> from_workers;
    std::atomic<time_point::rep> last_packet{0};
};

/// Runs worker `index` of `all` until `stop`.
auto run_worker(std::size_t index,
                const std::vector<std::unique_ptr<packet_worker>> &all,
                const fault_filter &faults, const std::atomic<bool> &stop)
    -> void;

} // namespace dogwoodtrack
