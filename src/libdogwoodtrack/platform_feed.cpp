#include "platform_feed.hpp"

#include <algorithm>

#include "documents.hpp"

namespace dogwoodtrack {

namespace {

constexpr milliseconds poll_interval{50};
constexpr milliseconds backoff_min{200};
constexpr milliseconds backoff_max{2000};

} // namespace

platform_feed::platform_feed(platform_options options, timeline &events,
                             const std::atomic<bool> &blocked)
    : client_(std::move(options)), events_(events), blocked_(blocked) {
    threads_.emplace_back([this] { follow(platform_resource::contracts); });
    threads_.emplace_back(
        [this] { follow(platform_resource::endpoint_slices); });
    threads_.emplace_back([this] { write_statuses(); });
}

platform_feed::~platform_feed() {
    stop_ = true;
    for (auto &it : threads_)
        it.join();
}

auto platform_feed::take() -> std::vector<platform_document> {
    const std::lock_guard lock(mutex_);
    std::vector<platform_document> documents(documents_.begin(),
                                             documents_.end());
    documents_.clear();
    return documents;
}

auto platform_feed::set_watching(bool watching) -> void {
    watching_ = watching;
}

auto platform_feed::write_status(const std::string &customer,
                                 const std::string &json) -> void {
    const std::lock_guard lock(mutex_);
    std::erase_if(queued_statuses_,
                  [&](const auto &it) { return it.first == customer; });
    queued_statuses_.emplace_back(customer, json);
}

auto platform_feed::deliver(platform_resource resource,
                            const platform_object &object) -> void {
    const auto *prefix = resource == platform_resource::contracts
                             ? contract_prefix
                             : live_prefix;
    const std::lock_guard lock(mutex_);
    documents_.push_back({.name = prefix + object.name,
                          .generation = object.generation,
                          .json = object.spec_json,
                          .change_id = object.change_id});
}

auto platform_feed::record_reachability(bool reachable) -> void {
    if (reachable_.exchange(reachable) == reachable)
        return;
    events_.record(reachable ? event_kind::platform_back
                             : event_kind::platform_lost,
                   "platform");
}

auto platform_feed::read_list(platform_resource resource, std::string &version)
    -> bool {
    if (blocked_) {
        record_reachability(false);
        return false;
    }
    auto found = client_.list(resource);
    record_reachability(found.has_value());
    if (!found)
        return false;
    version = found.value().resource_version;
    for (const auto &it : found.value().objects)
        deliver(resource, it);
    return true;
}

// Reads the list once at the start. While this instance is a watcher, also
// watches for changes. Reads the list again when this instance becomes a
// watcher after a time in which it was none, and when a watch cannot continue
// from `version`.
auto platform_feed::follow(platform_resource resource) -> void {
    std::string version;
    auto listed_once = false;
    auto list_current = false;
    auto backoff = backoff_min;
    while (!stop_) {
        if (listed_once && !watching_) {
            list_current = false;
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        if (!list_current) {
            list_current = read_list(resource, version);
            listed_once = listed_once || list_current;
            backoff =
                list_current ? backoff_min : std::min(backoff_max, backoff * 2);
        }
        if (!list_current) {
            for (auto remaining = backoff; remaining.count() > 0 && !stop_;
                 remaining -= poll_interval)
                std::this_thread::sleep_for(poll_interval);
            continue;
        }
        if (!watching_)
            continue;
        const auto end = client_.watch(
            resource, version,
            [&](const platform_object &it) {
                if (!blocked_)
                    deliver(resource, it);
            },
            stop_);
        // After `watch_end::closed`, the next watch continues from `version`.
        // In all other cases, and while the platform is blocked, the list has
        // to be read again.
        list_current = end == watch_end::closed && !blocked_;
    }
}

auto platform_feed::write_statuses() -> void {
    while (!stop_) {
        std::pair<std::string, std::string> next;
        {
            const std::lock_guard lock(mutex_);
            if (!queued_statuses_.empty()) {
                next = queued_statuses_.front();
                queued_statuses_.erase(queued_statuses_.begin());
            }
        }
        if (next.first.empty()) {
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        const auto written =
            !blocked_ && client_.put_status(next.first, next.second);
        if (written)
            continue;
        std::this_thread::sleep_for(backoff_min);
        const std::lock_guard lock(mutex_);
        const auto superseded =
            std::any_of(queued_statuses_.begin(), queued_statuses_.end(),
                        [&](const auto &it) { return it.first == next.first; });
        if (!superseded)
            queued_statuses_.push_back(next);
    }
}

} // namespace dogwoodtrack
