#include "operator_server.hpp"

#include <charconv>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "documents.hpp"
#include "health.hpp"

namespace dogwoodtrack {

namespace {

using nlohmann::ordered_json;

auto format_host(std::uint32_t address) -> std::string {
    const auto text = to_string(endpoint{.address = address, .port = 1});
    return text.substr(0, text.rfind(':'));
}

auto status_name(member_status status) -> const char * {
    switch (status) {
    case member_status::live:
        return "live";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        break;
    }
    return "dead";
}

auto counters_json(const control_context &control) -> ordered_json {
    ordered_json out;
    for (std::size_t i = 0; i < static_cast<std::size_t>(packet_counter::count);
         ++i) {
        std::uint64_t sum = 0;
        for (const auto &worker : control.workers)
            sum += worker->counters.values[i].load();
        out[std::string(to_string(static_cast<packet_counter>(i)))] = sum;
    }
    return out;
}

auto drops_json(const control_context &control) -> ordered_json {
    ordered_json out = ordered_json::object();
    for (std::size_t i = 0; i < static_cast<std::size_t>(drop_kind::count);
         ++i) {
        std::uint64_t sum = 0;
        for (const auto &worker : control.workers)
            sum += worker->counters.drops[i].load();
        if (sum > 0)
            out[std::string(to_string(static_cast<drop_kind>(i)))] = sum;
    }
    return out;
}

auto flow_entry_count(const control_context &control) -> std::uint64_t {
    std::uint64_t sum = 0;
    for (const auto &worker : control.workers)
        sum += worker->counters.flows.load();
    return sum;
}

auto contracts_json(const blackboard &board) -> ordered_json {
    ordered_json out = ordered_json::object();
    for (const auto &it : board.contracts)
        out[it.customer] = it.generation;
    return out;
}

auto control_traffic_json(const control_context &control) -> ordered_json {
    const auto &usage = control.channel.usage();
    return {{"sent_bytes", usage.sent_bytes},
            {"received_bytes", usage.received_bytes},
            {"sent_messages", usage.sent_messages},
            {"received_messages", usage.received_messages},
            {"broken_messages", control.broken_messages}};
}

// Whether there are services and each service has an owner in each of its
// reachable failure domains.
auto is_ready(const blackboard &board) -> bool {
    if (!board.view || board.view->services.empty())
        return false;
    for (const auto &service : board.view->services) {
        for (const auto &domain : service.domains) {
            if (domain.reachable && domain.owner == 0)
                return false;
        }
    }
    return true;
}

auto status_json(const control_context &control) -> ordered_json {
    const auto &board = control.board;
    ordered_json set_conditions = ordered_json::array();
    for (const auto &[name, condition] : board.conditions) {
        if (condition.set)
            set_conditions.push_back(
                {{"service", name}, {"reason", condition.reason}});
    }
    ordered_json synced = ordered_json::array();
    for (const auto id : board.self.synced)
        synced.push_back(id);
    return {{"instance", board.self.name},
            {"failure_domain", board.domain_name},
            {"status", status_name(board.self.status)},
            {"ready", is_ready(board)},
            {"placing", board.lease->holds(monotonic::now())},
            {"watching", is_watcher(board)},
            {"flows", flow_entry_count(control)},
            {"synced", synced},
            {"contracts", contracts_json(board)},
            {"peers", board.peers.size()},
            {"conditions", set_conditions},
            {"counters", counters_json(control)},
            {"drops", drops_json(control)},
            {"control", control_traffic_json(control)}};
}

auto instances_json(const control_context &control) -> ordered_json {
    ordered_json out = ordered_json::array();
    out.push_back({{"name", control.board.self.name},
                   {"failure_domain", control.board.domain_name},
                   {"status", status_name(control.board.self.status)},
                   {"heard_ms", 0}});
    const auto now = monotonic::now();
    for (const auto &[id, peer] : control.board.peers) {
        const auto since_last_message =
            std::chrono::duration_cast<milliseconds>(now - peer.last_heard);
        out.push_back({{"name", peer.info.name},
                       {"failure_domain", peer.domain_name},
                       {"status", status_name(peer.info.status)},
                       {"heard_ms", peer.last_heard == time_point{}
                                        ? -1
                                        : since_last_message.count()}});
    }
    return out;
}

auto owner_name(const blackboard &board, std::uint32_t id) -> std::string {
    if (id == board.self.id)
        return board.self.name;
    const auto it = board.peers.find(id);
    return it == board.peers.end() ? "" : it->second.info.name;
}

auto upstreams_json(const control_context &control) -> ordered_json {
    ordered_json out = ordered_json::array();
    if (!control.board.view)
        return out;
    const auto &view = *control.board.view;
    for (const auto &service : view.services) {
        for (const auto &domain : service.domains) {
            for (const auto index : domain.upstreams) {
                const auto &upstream = view.upstreams[index];
                out.push_back(
                    {{"service", service.customer + "/" + service.name},
                     {"name", upstream.name},
                     {"address", to_string(upstream.address)},
                     {"open", upstream.load->open.load()},
                     {"limit", upstream.limit},
                     {"in_service", upstream.in_service},
                     {"weight", upstream.load->weight.load()},
                     {"answer_us", upstream.load->answer_us.load()},
                     {"owner", owner_name(control.board, domain.owner)},
                     {"mine", domain.owner == control.board.self.id}});
            }
        }
    }
    return out;
}

auto events_json(const control_context &control, std::uint64_t after)
    -> ordered_json {
    ordered_json out = ordered_json::array();
    for (const auto &event : control.board.events->since(after))
        out.push_back({{"stamp", event.stamp},
                       {"kind", to_string(event.kind)},
                       {"instance", event.instance},
                       {"subject", event.subject},
                       {"generation", event.generation},
                       {"detail", event.detail}});
    return out;
}

auto config_json(const daemon_options &options) -> ordered_json {
    return {{"name", options.name},
            {"failure_domain", options.failure_domain},
            {"link", to_string(options.link)},
            {"control", to_string(options.control)},
            {"operators", to_string(options.operators)},
            {"fabric", to_string(options.fabric)},
            {"platform", to_string(options.platform)},
            {"flow_capacity", options.flow_capacity},
            {"workers", options.workers}};
}

auto prometheus_text(control_context &control) -> std::string {
    std::string out;
    const auto counters = counters_json(control);
    for (const auto &[name, value] : counters.items())
        out += fmt::format("dogwoodtrack_{}_total {}\n", name,
                           value.get<std::uint64_t>());
    const auto drops = drops_json(control);
    for (const auto &[name, value] : drops.items())
        out += fmt::format("dogwoodtrack_drops_total{{kind=\"{}\"}} {}\n", name,
                           value.get<std::uint64_t>());
    out += fmt::format("dogwoodtrack_flows {}\n", flow_entry_count(control));
    const auto &usage = control.channel.usage();
    out += fmt::format("dogwoodtrack_control_sent_bytes_total {}\n"
                       "dogwoodtrack_control_received_bytes_total {}\n",
                       usage.sent_bytes, usage.received_bytes);
    metric_set merged;
    merged.merge(control.metrics);
    for (const auto &worker : control.workers)
        merged.merge(worker->metrics);
    return out + merged.to_prometheus();
}

auto apply_fault(control_context &control, const std::string &body) -> bool {
    const auto fault = nlohmann::json::parse(body, nullptr, false);
    if (!fault.is_object())
        return false;
    std::vector<std::uint32_t> addresses;
    for (const auto &host : fault.value("cut", nlohmann::json::array())) {
        auto parsed = parse_endpoint(host.get<std::string>() + ":1");
        if (!parsed)
            return false;
        addresses.push_back(parsed.value().address);
    }
    control.faults.set(addresses, fault.value("platform", false));
    return true;
}

} // namespace

struct operator_server::impl {
    explicit impl(control_context &context) : control(context) {}

    control_context &control;
    httplib::Server server;
    std::thread thread;

    auto add_get_route(
        const char *path,
        std::function<std::string(const httplib::Request &)> make_body,
        const char *content_type = "application/json") -> void {
        server.Get(path, [this, make_body = std::move(make_body),
                          content_type](const httplib::Request &request,
                                        httplib::Response &response) {
            std::string body;
            run_on_control_thread(control, [&] { body = make_body(request); });
            response.set_content(body, content_type);
        });
    }

    auto add_routes() -> void {
        auto &it = control;
        add_get_route("/status",
                      [&](const auto &) { return status_json(it).dump(); });
        add_get_route("/instances",
                      [&](const auto &) { return instances_json(it).dump(); });
        add_get_route("/upstreams",
                      [&](const auto &) { return upstreams_json(it).dump(); });
        add_get_route("/config", [&](const auto &) {
            return config_json(it.options).dump();
        });
        add_get_route("/timeline", [&](const httplib::Request &request) {
            const auto text = request.get_param_value("after");
            std::uint64_t after = 0;
            std::from_chars(text.data(), text.data() + text.size(), after);
            return events_json(it, after).dump();
        });
        add_get_route(
            "/metrics", [&](const auto &) { return prometheus_text(it); },
            "text/plain; version=0.0.4");
        if (!it.options.fault_injection)
            return;
        server.Post("/fault", [&](const httplib::Request &request,
                                  httplib::Response &response) {
            response.status = apply_fault(it, request.body) ? 200 : 400;
        });
    }
};

operator_server::operator_server(std::unique_ptr<impl> pimpl)
    : impl_(std::move(pimpl)) {}

operator_server::~operator_server() {
    impl_->server.stop();
    if (impl_->thread.joinable())
        impl_->thread.join();
}

auto operator_server::open(control_context &control)
    -> result<std::unique_ptr<operator_server>> {
    auto pimpl = std::make_unique<impl>(control);
    pimpl->server.new_task_queue = [] { return new httplib::ThreadPool(2); };
    pimpl->server.set_keep_alive_max_count(1);
    pimpl->add_routes();
    const auto &address = control.options.operators;
    if (!pimpl->server.bind_to_port(format_host(address.address), address.port))
        return error{error_kind::socket_failed,
                     "bind on " + to_string(address)};
    pimpl->thread =
        std::thread([raw = pimpl.get()] { raw->server.listen_after_bind(); });
    return std::unique_ptr<operator_server>(
        new operator_server(std::move(pimpl)));
}

} // namespace dogwoodtrack
