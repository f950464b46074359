#include "dogwoodtrack/platform_client.hpp"

#include <httplib.h>

#include "json_fields.hpp"
#include "json_listing.hpp"

namespace dogwoodtrack {

namespace {

using nlohmann::json;

constexpr const char *json_type = "application/json";
constexpr const char *change_annotation = "dogwoodtrack.io/change-id";
constexpr int read_back_attempts = 10;
constexpr milliseconds read_back_interval{300};

auto resource_path(platform_resource resource) -> std::string {
    return resource == platform_resource::contracts
               ? "/apis/dogwoodtrack.io/v1/namespaces/default/contracts"
               : "/apis/discovery.k8s.io/v1/namespaces/default/"
                 "endpointslices";
}

auto to_object(platform_resource resource, const json &value)
    -> platform_object {
    const auto &meta = object_field(value, "metadata");
    platform_object object{
        .name = text_field(meta, "name"),
        .resource_version = text_field(meta, "resourceVersion"),
        .generation = number_field<std::uint64_t>(meta, "generation"),
        .change_id =
            text_field(object_field(meta, "annotations"), change_annotation)};
    if (resource == platform_resource::contracts) {
        object.spec_json = object_field(value, "spec").dump();
        object.status_json = object_field(value, "status").dump();
    } else {
        auto body = value;
        body.erase("metadata");
        object.spec_json = body.dump();
    }
    return object;
}

auto host_of(const endpoint &address) -> std::string {
    const auto text = to_string(address);
    return text.substr(0, text.rfind(':'));
}

auto make_client(const platform_options &options, milliseconds read_timeout)
    -> httplib::Client {
    httplib::Client client(host_of(options.address), options.address.port);
    client.set_connection_timeout(options.timeout);
    client.set_read_timeout(read_timeout);
    client.set_write_timeout(options.timeout);
    client.set_default_headers({{"User-Agent", options.client_name}});
    return client;
}

auto unreachable_error(const httplib::Result &response) -> error {
    return {error_kind::platform_unreachable,
            httplib::to_string(response.error())};
}

auto refused_error(const httplib::Response &response) -> error {
    const auto kind = response.status == 404   ? error_kind::platform_not_found
                      : response.status == 409 ? error_kind::contract_conflict
                                               : error_kind::platform_refused;
    return {kind, "the platform responded with status " +
                      std::to_string(response.status) + " " +
                      response.body.substr(0, 200)};
}

auto contract_json(const platform_object &object) -> json {
    json value{{"apiVersion", "dogwoodtrack.io/v1"},
               {"kind", "Contract"},
               {"metadata",
                {{"name", object.name},
                 {"annotations", {{change_annotation, object.change_id}}}}},
               {"spec", json::parse(object.spec_json)}};
    if (!object.resource_version.empty())
        value["metadata"]["resourceVersion"] = object.resource_version;
    return value;
}

// Reads a list. Each object is parsed alone, so that one that cannot be read
// does not affect the others.
auto read_list(platform_resource resource, std::string_view body)
    -> result<platform_list> {
    const auto listing = split_listing(body, "items");
    if (!listing)
        return error{error_kind::platform_refused,
                     "the platform's response to a list request is not a JSON "
                     "object with an array `items`"};
    platform_list found{
        .resource_version = text_field(
            parse_json(find_value(*listing, "metadata")), "resourceVersion"),
        .objects = {}};
    for (const auto &it : listing->elements) {
        const auto object = parse_json(it.text);
        if (object.is_object())
            found.objects.push_back(to_object(resource, object));
    }
    return found;
}

// Passes each complete line that is a JSON object to `handle`, and keeps an
// incomplete last line in `pending`.
auto consume_lines(std::string &pending, const char *data, std::size_t size,
                   const std::function<void(const json &)> &handle) -> void {
    pending.append(data, size);
    std::size_t start = 0;
    for (auto end = pending.find('\n'); end != std::string::npos;
         end = pending.find('\n', start)) {
        const auto event =
            parse_json(std::string_view(pending).substr(start, end - start));
        if (event.is_object())
            handle(event);
        start = end + 1;
    }
    pending.erase(0, start);
}

} // namespace

platform_client::platform_client(platform_options options)
    : options_(std::move(options)) {}

auto platform_client::list(platform_resource resource) const
    -> result<platform_list> {
    auto client = make_client(options_, options_.timeout);
    const auto response = client.Get(resource_path(resource));
    if (!response)
        return unreachable_error(response);
    if (response->status != 200)
        return refused_error(*response);
    return read_list(resource, response->body);
}

auto platform_client::get(platform_resource resource,
                          const std::string &name) const
    -> result<platform_object> {
    auto client = make_client(options_, options_.timeout);
    const auto response = client.Get(resource_path(resource) + "/" + name);
    if (!response)
        return unreachable_error(response);
    if (response->status != 200)
        return refused_error(*response);
    const auto body = parse_json(response->body);
    if (!body.is_object())
        return error{error_kind::platform_refused,
                     "the platform's response is not a JSON object"};
    return to_object(resource, body);
}

auto platform_client::watch(
    platform_resource resource, std::string &version,
    const std::function<void(const platform_object &)> &on_change,
    const std::atomic<bool> &stop) const -> watch_end {
    auto client = make_client(options_, options_.watch_timeout);
    std::string pending;
    auto expired = false;
    const auto handle_event = [&](const json &event) {
        const auto type = text_field(event, "type");
        const auto &object = object_field(event, "object");
        if (type == "ERROR") {
            expired = true;
            return;
        }
        version = text_field(object_field(object, "metadata"),
                             "resourceVersion", version);
        if (type == "ADDED" || type == "MODIFIED")
            on_change(to_object(resource, object));
    };
    const auto response =
        client.Get(resource_path(resource) +
                       "?watch=1&allowWatchBookmarks=true"
                       "&resourceVersion=" +
                       version,
                   [&](const char *data, std::size_t size) {
                       consume_lines(pending, data, size, handle_event);
                       return !stop && !expired;
                   });
    if (expired || (response && response->status == 410))
        return watch_end::expired;
    return response ? watch_end::closed : watch_end::unreachable;
}

auto platform_client::put_contract(const platform_object &object) const
    -> result<platform_object> {
    auto client = make_client(options_, options_.timeout);
    const auto create = object.resource_version.empty();
    const auto path = resource_path(platform_resource::contracts) +
                      (create ? "" : "/" + object.name);
    const auto body = contract_json(object).dump();
    const auto response = create ? client.Post(path, body, json_type)
                                 : client.Put(path, body, json_type);
    if (response && (response->status == 200 || response->status == 201))
        return to_object(platform_resource::contracts,
                         parse_json(response->body));
    if (response && response->status < 500)
        return refused_error(*response);
    // The write may have taken effect although its response was lost or
    // reports a server error.
    for (int i = 0; i < read_back_attempts; ++i) {
        auto current = get(platform_resource::contracts, object.name);
        if (current && current.value().change_id == object.change_id)
            return current;
        if (current && !response)
            return unreachable_error(response);
        std::this_thread::sleep_for(read_back_interval);
    }
    return response ? refused_error(*response) : unreachable_error(response);
}

auto platform_client::put_status(const std::string &name,
                                 const std::string &status_json) const
    -> result<void> {
    auto client = make_client(options_, options_.timeout);
    const json body{{"metadata", {{"name", name}}},
                    {"status", json::parse(status_json)}};
    const auto response = client.Put(
        resource_path(platform_resource::contracts) + "/" + name + "/status",
        body.dump(), json_type);
    if (!response)
        return unreachable_error(response);
    if (response->status != 200)
        return refused_error(*response);
    return boost::outcome_v2::success();
}

} // namespace dogwoodtrack
