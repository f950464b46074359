#pragma once

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

#include "dogwoodtrack/platform_client.hpp"
#include "dogwoodtrack/timeline.hpp"

namespace dogwoodtrack {

/// A document received from the platform: a contract or a list of instances.
struct platform_document {
    std::string name;
    std::uint64_t generation = 0;
    std::string json;
    std::string change_id;
};

/// Reads contracts and instance lists from the platform and writes the statuses
/// of contracts. Every instance reads the lists once at the start; after that,
/// only an instance that is a watcher (see `set_watching`) follows changes.
/// Public member functions are thread safe.
class platform_feed {
public:
    /// Starts the threads. While `blocked` is true, the platform is treated as
    /// unreachable. Precondition: `events` and `blocked` outlive the feed.
    platform_feed(platform_options options, timeline &events,
                  const std::atomic<bool> &blocked);
    platform_feed(const platform_feed &) = delete;
    auto operator=(const platform_feed &) -> platform_feed & = delete;
    /// Stops the threads. A pending watch ends with the next data that it
    /// receives or with its timeout.
    ~platform_feed();

    /// Returns the documents received since the last call.
    auto take() -> std::vector<platform_document>;

    /// Sets whether this instance is a watcher, which follows changes.
    auto set_watching(bool watching) -> void;

    /// Queues the status of a contract, and replaces one that is still queued
    /// for the same customer.
    auto write_status(const std::string &customer, const std::string &json)
        -> void;

private:
    auto follow(platform_resource resource) -> void;
    auto read_list(platform_resource resource, std::string &version) -> bool;
    auto deliver(platform_resource resource, const platform_object &object)
        -> void;
    auto record_reachability(bool reachable) -> void;
    auto write_statuses() -> void;

    platform_client client_;
    timeline &events_;
    const std::atomic<bool> &blocked_;
    std::atomic<bool> stop_{false};
    std::atomic<bool> watching_{false};
    std::atomic<bool> reachable_{true};
    std::mutex mutex_;
    std::deque<platform_document> documents_;
    std::vector<std::pair<std::string, std::string>> queued_statuses_;
    std::vector<std::thread> threads_;
};

} // namespace dogwoodtrack
