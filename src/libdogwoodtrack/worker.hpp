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

/// A message from the control thread to a worker: a new routing view, a request
/// or both.
struct worker_input {
    std::shared_ptr<const routing_view> view;
    std::optional<worker_request> request;
};

/// A message from a worker to the control thread: flows that expired because no
/// upstream has answered their opening, or the answer to an `export_records`
/// request.
struct worker_report {
    std::vector<flow_record> records; ///< the exported records
    std::vector<expired_flow> expired;
    /// Whether this is the answer to an `export_records` request.
    bool answers_export = false;
    /// Value of `worker_request::cursor` that continues the export, or 0 if all
    /// slots of the flow table have been exported.
    std::size_t next_cursor = 0;
};

/// A packet that one worker received and passes to the worker that handles its
/// flow.
struct handover_packet {
    std::uint16_t size = 0;
    std::array<std::uint8_t, packet_limit> bytes;
};

/// Capacity of each queue between two threads, in items.
inline constexpr std::size_t queue_capacity = 256;
using input_queue =
    boost::lockfree::spsc_queue<worker_input *,
                                boost::lockfree::capacity<queue_capacity>>;
using report_queue =
    boost::lockfree::spsc_queue<worker_report *,
                                boost::lockfree::capacity<queue_capacity>>;
using handover_queue =
    boost::lockfree::spsc_queue<handover_packet,
                                boost::lockfree::capacity<queue_capacity>>;

/// State of one packet worker: its socket, the flows assigned to it, and its
/// queues from and to the control thread and from the other workers. Each queue
/// has one producer and one consumer and is lock-free.
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
    /// Queues of the packets handed over by each worker, by the index of the
    /// worker that hands them over.
    std::vector<std::unique_ptr<handover_queue>> handovers;
    /// Time of the last received packet, in `time_point` ticks.
    std::atomic<time_point::rep> last_packet{0};
};

/// Runs worker `index` of `all` on the calling thread until `stop` becomes
/// true.
auto run_worker(std::size_t index,
                const std::vector<std::unique_ptr<packet_worker>> &all,
                const fault_filter &faults, const std::atomic<bool> &stop)
    -> void;

} // namespace dogwoodtrack
