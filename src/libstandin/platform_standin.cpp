#include "platform_standin.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace dogwoodtrack::standin {

namespace {

using nlohmann::json;

constexpr std::size_t event_limit = 5000;   // events kept per collection
constexpr std::size_t server_threads = 300; // each open watch occupies one
constexpr milliseconds bookmark_interval{1000};
constexpr const char *contracts_path =
    "/apis/dogwoodtrack.io/v1/namespaces/default/contracts";
constexpr const char *slices_path =
    "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";
constexpr const char *json_type = "application/json";

struct stored_object {
    json current;
    json previous; ///< returned by stale reads
};

// A change of an object, as sent to watches.
struct stored_event {
    std::uint64_t version = 0;
    std::string type;
    json object;
};

// The objects of one kind and their latest changes.
struct collection {
    std::map<std::string, stored_object> objects;
    std::deque<stored_event> events;
};

auto respond_with_error(httplib::Response &response, int status,
                        const std::string &why) -> void {
    response.status = status;
    response.set_content(json{{"kind", "Status"},
                              {"status", "Failure"},
                              {"code", status},
                              {"message", why}}
                             .dump(),
                         json_type);
}

} // namespace

struct platform_standin::state {
    httplib::Server server;
    std::thread thread;
    mutable std::mutex mutex;
    std::condition_variable changed;
    platform_faults faults;
    platform_usage usage;
    std::uint64_t version = 1;
    std::map<std::string, collection> collections;
    std::atomic<bool> stopping{false};
    // Start of the second whose calls `calls_this_second` counts.
    std::chrono::steady_clock::time_point second_start{};
    unsigned calls_this_second = 0;

    auto admit(httplib::Response &response) -> bool;
    auto store(collection &stored, const std::string &name, json object,
               bool new_generation) -> json;
    auto list(const std::string &path, httplib::Response &response) -> void;
    auto watch(const std::string &path, std::uint64_t from,
               httplib::Response &response) -> void;
    auto write(const std::string &path, const std::string &name,
               const httplib::Request &request, httplib::Response &response)
        -> void;
    auto write_status(const std::string &name, const httplib::Request &request,
                      httplib::Response &response) -> void;
    auto respond_to_write(httplib::Response &response, const json &object)
        -> void;
    auto next_events(const std::string &path, std::uint64_t &from)
        -> std::string;
    auto add_routes(const std::string &path) -> void;
};

// Applies the injected delay, outage and rate limit to a call. Returns whether
// the call is admitted; if it is not, the response holds the error.
auto platform_standin::state::admit(httplib::Response &response) -> bool {
    platform_faults active;
    auto limited = false;
    {
        const std::lock_guard lock(mutex);
        active = faults;
        const auto now = std::chrono::steady_clock::now();
        if (now - second_start > seconds{1}) {
            second_start = now;
            calls_this_second = 0;
        }
        ++calls_this_second;
        limited = active.calls_per_second > 0 &&
                  calls_this_second > active.calls_per_second;
    }
    if (active.delay.count() > 0)
        std::this_thread::sleep_for(active.delay);
    if (active.outage)
        respond_with_error(response, 503,
                           "platform unavailable (injected outage)");
    else if (limited)
        respond_with_error(response, 429, "too many requests");
    return !active.outage && !limited;
}

// Writes an object as a new version, records the event for watches and returns
// the object with its metadata. If `new_generation` is set, increments the
// object's generation.
auto platform_standin::state::store(collection &stored, const std::string &name,
                                    json object, bool new_generation) -> json {
    auto &slot = stored.objects[name];
    const auto created = slot.current.is_null();
    const auto generation =
        created ? 0
                : slot.current["metadata"]["generation"].get<std::uint64_t>();
    ++version;
    object["metadata"]["name"] = name;
    object["metadata"]["resourceVersion"] = std::to_string(version);
    object["metadata"]["generation"] = generation + (new_generation ? 1 : 0);
    slot.previous = created ? object : slot.current;
    slot.current = object;
    stored.events.push_back({.version = version,
                             .type = created ? "ADDED" : "MODIFIED",
                             .object = object});
    if (stored.events.size() > event_limit)
        stored.events.pop_front();
    changed.notify_all();
    return object;
}

auto platform_standin::state::list(const std::string &path,
                                   httplib::Response &response) -> void {
    const std::lock_guard lock(mutex);
    ++usage.lists;
    json items = json::array();
    for (const auto &[name, it] : collections[path].objects)
        items.push_back(faults.stale_reads ? it.previous : it.current);
    response.set_content(
        json{{"kind", "List"},
             {"metadata", {{"resourceVersion", std::to_string(version)}}},
             {"items", items}}
            .dump(),
        json_type);
}

// Waits for events with a version after `from`, returns them and sets `from` to
// the version of the last one. Returns a bookmark if no event comes within
// `bookmark_interval`, and an empty string if the watch has to end because of
// an outage or because the server stops.
auto platform_standin::state::next_events(const std::string &path,
                                          std::uint64_t &from) -> std::string {
    std::unique_lock lock(mutex);
    const auto &events = collections[path].events;
    changed.wait_for(lock, bookmark_interval, [&] {
        return stopping || faults.outage ||
               (!events.empty() && events.back().version > from);
    });
    if (stopping || faults.outage)
        return {};
    std::string lines;
    for (const auto &it : events) {
        if (it.version <= from)
            continue;
        lines += json{{"type", it.type}, {"object", it.object}}.dump() + "\n";
        from = it.version;
    }
    if (lines.empty()) {
        from = std::max(from, version);
        lines =
            json{{"type", "BOOKMARK"},
                 {"object",
                  {{"metadata", {{"resourceVersion", std::to_string(from)}}}}}}
                .dump() +
            "\n";
    }
    return lines;
}

auto platform_standin::state::watch(const std::string &path, std::uint64_t from,
                                    httplib::Response &response) -> void {
    {
        const std::lock_guard lock(mutex);
        ++usage.watches;
        const auto &events = collections[path].events;
        if (events.size() == event_limit && from < events.front().version)
            return respond_with_error(response, 410,
                                      "resourceVersion is too old");
    }
    response.set_chunked_content_provider(
        json_type,
        [this, path, from](std::size_t, httplib::DataSink &sink) mutable {
            const auto lines = next_events(path, from);
            if (lines.empty())
                return false;
            return sink.write(lines.data(), lines.size());
        });
}

auto platform_standin::state::respond_to_write(httplib::Response &response,
                                               const json &object) -> void {
    if (faults.lose_answers > 0) {
        --faults.lose_answers;
        return respond_with_error(
            response, 504, "write applied, response lost (injected fault)");
    }
    response.set_content(object.dump(), json_type);
}

auto platform_standin::state::write(const std::string &path,
                                    const std::string &name,
                                    const httplib::Request &request,
                                    httplib::Response &response) -> void {
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond_with_error(response, 400,
                                  "request body is not a JSON object");
    const auto meta = body.value("metadata", json::object());
    const auto target = name.empty() ? meta.value("name", "") : name;
    if (target.empty())
        return respond_with_error(response, 422, "metadata.name is missing");
    const std::lock_guard lock(mutex);
    ++usage.writes;
    auto &stored = collections[path];
    const auto it = stored.objects.find(target);
    const auto exists = it != stored.objects.end();
    if (name.empty() && exists)
        return respond_with_error(response, 409, "object already exists");
    if (!name.empty() && !exists)
        return respond_with_error(response, 404, "object not found");
    if (exists && meta.value("resourceVersion", "") !=
                      it->second.current["metadata"]["resourceVersion"])
        return respond_with_error(
            response, 409,
            "object has been modified since this resourceVersion");
    auto object = body;
    if (exists)
        object["status"] = it->second.current.value("status", json());
    respond_to_write(response, store(stored, target, object, true));
}

auto platform_standin::state::write_status(const std::string &name,
                                           const httplib::Request &request,
                                           httplib::Response &response)
    -> void {
    const auto body = json::parse(request.body, nullptr, false);
    const std::lock_guard lock(mutex);
    ++usage.status_writes;
    auto &stored = collections[contracts_path];
    const auto it = stored.objects.find(name);
    if (it == stored.objects.end() || !body.is_object())
        return respond_with_error(response, 404, "object not found");
    auto object = it->second.current;
    object["status"] = body.value("status", json());
    respond_to_write(response, store(stored, name, object, false));
}

auto platform_standin::state::add_routes(const std::string &path) -> void {
    server.Get(path, [this, path](const httplib::Request &request,
                                  httplib::Response &response) {
        if (!admit(response))
            return;
        if (!request.has_param("watch"))
            return list(path, response);
        const auto from = request.get_param_value("resourceVersion");
        watch(path, std::strtoull(from.c_str(), nullptr, 10), response);
    });
    server.Get(path + "/([^/]+)", [this, path](const httplib::Request &request,
                                               httplib::Response &response) {
        if (!admit(response))
            return;
        const std::lock_guard lock(mutex);
        ++usage.gets;
        const auto &objects = collections[path].objects;
        const auto it = objects.find(request.matches[1]);
        if (it == objects.end())
            return respond_with_error(response, 404, "object not found");
        const auto &shown =
            faults.stale_reads ? it->second.previous : it->second.current;
        response.set_content(shown.dump(), json_type);
    });
    server.Post(path, [this, path](const httplib::Request &request,
                                   httplib::Response &response) {
        if (admit(response))
            write(path, "", request, response);
    });
    server.Put(path + "/([^/]+)", [this, path](const httplib::Request &request,
                                               httplib::Response &response) {
        if (admit(response))
            write(path, request.matches[1], request, response);
    });
    server.Put(path + "/([^/]+)/status", [this](const httplib::Request &request,
                                                httplib::Response &response) {
        if (admit(response))
            write_status(request.matches[1], request, response);
    });
}

platform_standin::platform_standin(std::unique_ptr<state> new_state)
    : state_(std::move(new_state)) {}

platform_standin::~platform_standin() {
    state_->stopping = true;
    state_->changed.notify_all();
    state_->server.stop();
    if (state_->thread.joinable())
        state_->thread.join();
}

auto platform_standin::open(const endpoint &address)
    -> result<std::unique_ptr<platform_standin>> {
    auto new_state = std::make_unique<state>();
    new_state->server.new_task_queue = [] {
        return new httplib::ThreadPool(server_threads);
    };
    new_state->server.set_keep_alive_max_count(1);
    new_state->add_routes(contracts_path);
    new_state->add_routes(slices_path);
    const auto text = to_string(address);
    if (!new_state->server.bind_to_port(text.substr(0, text.rfind(':')),
                                        address.port))
        return error{error_kind::socket_failed, "cannot bind to " + text};
    new_state->thread = std::thread(
        [raw = new_state.get()] { raw->server.listen_after_bind(); });
    return std::unique_ptr<platform_standin>(
        new platform_standin(std::move(new_state)));
}

auto platform_standin::set_faults(const platform_faults &faults) -> void {
    const std::lock_guard lock(state_->mutex);
    state_->faults = faults;
    state_->changed.notify_all();
}

auto platform_standin::usage() const -> platform_usage {
    const std::lock_guard lock(state_->mutex);
    return state_->usage;
}

auto platform_standin::put_endpoint_slice(const std::string &name,
                                          const std::string &body_json)
    -> void {
    const std::lock_guard lock(state_->mutex);
    state_->store(state_->collections[slices_path], name,
                  json::parse(body_json), true);
}

auto platform_standin::contract_generation(const std::string &name) const
    -> std::uint64_t {
    const std::lock_guard lock(state_->mutex);
    const auto &objects = state_->collections[contracts_path].objects;
    const auto it = objects.find(name);
    return it == objects.end() ? 0
                               : it->second.current["metadata"]["generation"]
                                     .get<std::uint64_t>();
}

auto platform_standin::contract_status(const std::string &name) const
    -> std::string {
    const std::lock_guard lock(state_->mutex);
    const auto &objects = state_->collections[contracts_path].objects;
    const auto it = objects.find(name);
    return it == objects.end()
               ? "null"
               : it->second.current.value("status", json()).dump();
}

} // namespace dogwoodtrack::standin
