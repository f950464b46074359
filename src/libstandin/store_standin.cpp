#include "store_standin.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>

namespace dogwoodtrack::standin {

namespace {

constexpr std::size_t threads_per_endpoint = 24; // each watch occupies one
constexpr std::uint64_t first_revision = 100;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;

struct entry {
    std::uint64_t revision = 0;
    std::string spec;
};

struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    std::string spec; ///< empty: the entry was removed
};

/// What a copy of the store has.
struct content {
    std::uint64_t revision = first_revision;
    std::map<std::string, std::map<std::string, entry>> kinds;
};

auto entry_json(const std::string &name, std::uint64_t revision,
                const std::string &spec) -> std::string {
    return fmt::format(R"({{"meta":{{"name":"{}","revision":{}}},"spec":{}}})",
                       name, revision, spec);
}

auto number_of(const httplib::Request &request, const char *name)
    -> std::uint64_t {
    return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

} // namespace

struct store_standin::state {
    std::array<httplib::Server, store_endpoint_count> servers;
    std::array<std::thread, store_endpoint_count> threads;
    std::array<endpoint, store_endpoint_count> endpoints;
    std::array<bool, store_endpoint_count> reachable{true, true};
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    bool reports_era = true;
    std::uint64_t era = 0;
    content current;
    content copy;
    std::deque<change> history;
    /// Changes up to this revision are no longer in `history`.
    std::uint64_t history_start = first_revision;
    std::vector<handled_call> calls;

    ~state();
    auto serve(std::size_t index, const httplib::Request &request,
               httplib::Response &response) -> void;
    auto list(const std::string &kind) const -> std::string;
    auto events(const std::string &kind, std::uint64_t since) const
        -> std::vector<std::string>;
    auto watch(std::size_t index, const std::string &kind,
               const httplib::Request &request, httplib::Response &response,
               std::unique_lock<std::mutex> &lock) -> void;
    auto record(change one) -> void;
};

store_standin::state::~state() {
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    changed.notify_all();
    for (auto &server : servers)
        server.stop();
    for (auto &thread : threads) {
        if (thread.joinable())
            thread.join();
    }
}

auto store_standin::state::list(const std::string &kind) const -> std::string {
    std::string items;
    const auto found = current.kinds.find(kind);
    if (found != current.kinds.end()) {
        for (const auto &[name, one] : found->second)
            items += (items.empty() ? "" : ",") +
                     entry_json(name, one.revision, one.spec);
    }
    return fmt::format(R"({{"items":[{}],"has_more":false,"as_of":{}}})", items,
                       current.revision);
}

auto store_standin::state::events(const std::string &kind,
                                  std::uint64_t since) const
    -> std::vector<std::string> {
    std::vector<std::string> events;
    for (const auto &one : history) {
        if (one.revision <= since || one.kind != kind)
            continue;
        events.push_back(
            fmt::format(R"({{"object":{},"deleted":{}}})",
                        entry_json(one.name, one.revision,
                                   one.spec.empty() ? "{}" : one.spec),
                        one.spec.empty()));
    }
    return events;
}

auto store_standin::state::watch(std::size_t index, const std::string &kind,
                                 const httplib::Request &request,
                                 httplib::Response &response,
                                 std::unique_lock<std::mutex> &lock) -> void {
    const auto since = number_of(request, "watch");
    const auto end = std::chrono::steady_clock::now() +
                     milliseconds{number_of(request, "wait_ms")};
    const auto era_asked = era;
    const auto has_history = [&] {
        return era == era_asked && since >= history_start &&
               since <= current.revision;
    };
    while (!stopping && reachable[index] && has_history() &&
           events(kind, since).empty() &&
           changed.wait_until(lock, end) != std::cv_status::timeout) {
    }
    if (!reachable[index])
        return;
    if (!has_history()) {
        response.status = status_gone;
        return;
    }
    response.set_content(fmt::format(R"({{"events":[{}],"as_of":{}}})",
                                     fmt::join(events(kind, since), ","),
                                     current.revision),
                         "application/json");
}

auto store_standin::state::serve(std::size_t index,
                                 const httplib::Request &request,
                                 httplib::Response &response) -> void {
    std::unique_lock lock(mutex);
    const std::string kind = request.matches[1];
    if (reachable[index] && request.has_param("watch"))
        watch(index, kind, request, response, lock);
    else if (reachable[index])
        response.set_content(list(kind), "application/json");
    if (!reachable[index]) {
        response.status = status_unavailable;
        return;
    }
    if (reports_era)
        response.set_header("Store-Era", std::to_string(era));
    calls.push_back({.at = monotonic::now(),
                     .lost_history = response.status == status_gone});
}

auto store_standin::state::record(change one) -> void {
    one.revision = ++current.revision;
    auto &entries = current.kinds[one.kind];
    if (one.spec.empty())
        entries.erase(one.name);
    else
        entries[one.name] = {.revision = one.revision, .spec = one.spec};
    history.push_back(std::move(one));
    changed.notify_all();
}

store_standin::store_standin(std::unique_ptr<state> new_state)
    : state_(std::move(new_state)) {}

store_standin::store_standin(store_standin &&) noexcept = default;
store_standin::~store_standin() = default;

auto store_standin::start(std::uint32_t address) -> result<store_standin> {
    constexpr std::size_t unlimited = 1'000'000;
    auto new_state = std::make_unique<state>();
    for (std::size_t i = 0; i < store_endpoint_count; ++i) {
        auto &server = new_state->servers[i];
        server.new_task_queue = [] {
            return new httplib::ThreadPool(threads_per_endpoint);
        };
        server.set_keep_alive_max_count(unlimited);
        server.set_tcp_nodelay(true);
        server.Get(
            R"(/objects/(\w+))",
            [raw = new_state.get(), i](const auto &request, auto &response) {
                raw->serve(i, request, response);
            });
        auto &at = new_state->endpoints[i];
        at.address = address;
        const auto host = to_string(at);
        const auto port =
            server.bind_to_any_port(host.substr(0, host.find(':')));
        if (port < 0)
            return error{error_kind::socket_failed,
                         "cannot open the store at " + host};
        at.port = static_cast<std::uint16_t>(port);
        new_state->threads[i] =
            std::thread([&server] { server.listen_after_bind(); });
    }
    return store_standin(std::move(new_state));
}

auto store_standin::endpoints() const
    -> std::array<endpoint, store_endpoint_count> {
    return state_->endpoints;
}

auto store_standin::write(const std::string &kind, const std::string &name,
                          const std::string &spec) -> void {
    const std::lock_guard lock(state_->mutex);
    state_->record({.kind = kind, .name = name, .spec = spec});
}

auto store_standin::remove(const std::string &kind, const std::string &name)
    -> void {
    const std::lock_guard lock(state_->mutex);
    state_->record({.kind = kind, .name = name, .spec = {}});
}

auto store_standin::take_copy() -> void {
    const std::lock_guard lock(state_->mutex);
    state_->copy = state_->current;
}

auto store_standin::restore() -> void {
    const std::lock_guard lock(state_->mutex);
    state_->current = state_->copy;
    state_->history.clear();
    state_->history_start = state_->current.revision;
    ++state_->era;
    state_->changed.notify_all();
}

auto store_standin::set_reachable(std::size_t index, bool reachable) -> void {
    const std::lock_guard lock(state_->mutex);
    state_->reachable[index] = reachable;
    state_->changed.notify_all();
}

auto store_standin::report_era(bool reported) -> void {
    const std::lock_guard lock(state_->mutex);
    state_->reports_era = reported;
}

auto store_standin::calls() const -> std::vector<handled_call> {
    const std::lock_guard lock(state_->mutex);
    return state_->calls;
}

} // namespace dogwoodtrack::standin
