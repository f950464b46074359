#include <atomic>
#include <thread>

#include "dogwoodtrack/platform_client.hpp"
#include "script_arguments.hpp"

namespace dogwoodtrack::scenario {

auto session::stop_instance(const std::string &name) -> void {
    find_instance(name);
    fleet_->stop_member(name);
    schedule(fabric_lag_,
             [this, name] { fleet_->set_fabric_target(name, false, 0); });
    schedule(list_lag_, [this] { fleet_->publish_balancers(); });
    // The platform drops the instance from its list 5 s after the list shows
    // the instance as terminating, if the daemon has ended by then.
    schedule(list_lag_ + 5, [this, name] {
        if (!fleet_->member(name)->daemon->running())
            fleet_->member(name)->listed = false;
        fleet_->publish_balancers();
    });
}

auto session::kill_instance(const std::string &name) -> void {
    find_instance(name);
    collect_events();
    fleet_->kill_member(name);
    seen_generations_.erase(name);
    schedule(fabric_lag_,
             [this, name] { fleet_->set_fabric_target(name, false, 0); });
    // The platform detects after 1 s that the killed daemon no longer runs.
    schedule(list_lag_ + 1, [this] { fleet_->publish_balancers(); });
}

auto session::pause_instance(const std::string &name, bool paused) -> void {
    find_instance(name);
    if (paused) {
        fleet_->pause_member(name);
        paused_.insert(name);
        schedule(fabric_lag_, [this, name] {
            fleet_->set_fabric_target(name, !paused_.contains(name), 1);
        });
        return;
    }
    fleet_->resume_member(name);
    paused_.erase(name);
    fleet_->set_fabric_target(name, true, 1);
}

auto session::join_instance(const std::string &name) -> void {
    auto &it = find_instance(name);
    if (it.daemon && it.daemon->running())
        throw scenario_error{name + " is already running"};
    seen_generations_.erase(name);
    throw_on_error(fleet_->start_member(name));
    schedule(list_lag_, [this] { fleet_->publish_balancers(); });
    const auto started =
        wait_for(5, [&] { return !fleet_->http_get(name, "/status").empty(); });
    if (!started)
        throw scenario_error{name + " did not answer within 5 s of its start"};
    schedule(fabric_lag_,
             [this, name] { fleet_->set_fabric_target(name, true, 1); });
}

auto session::has_stopped(const std::string &name) -> bool {
    return !find_instance(name).daemon->running();
}

auto session::exit_code_of(const std::string &name) -> int {
    return find_instance(name).daemon->exit_code();
}

auto session::add_flows(const json &arguments) -> void {
    reject_unknown(arguments, "flows",
                   {"service", "rate", "count", "life", "gap", "answer_size",
                    "request_size", "patience", "reuse_ports", "side"});
    network().add_flows(
        {.service =
             find_service(required_string(arguments, "flows", "service")).index,
         .rate = arguments.value("rate", 10.0),
         .count = arguments.value("count", std::uint64_t{0}),
         .life = to_ms(arguments.value("life", 1.0)),
         .gap = to_ms(arguments.value("gap", 0.1)),
         .answer_size = arguments.value("answer_size", 800U),
         .request_size = arguments.value("request_size", 200U),
         .patience = to_ms(arguments.value("patience", 20.0)),
         .reuse_ports = arguments.value("reuse_ports", false),
         .side = arguments.value("side", "")});
}

auto session::set_store(const json &faults) -> void {
    reject_unknown(
        faults, "store",
        {"outage", "delay", "lose_answers", "stale_reads", "calls_per_second"});
    fleet_->platform().set_faults(
        {.outage = faults.value("outage", false),
         .delay = to_ms(faults.value("delay", 0.0)),
         .lose_answers = faults.value("lose_answers", 0U),
         .stale_reads = faults.value("stale_reads", false),
         .calls_per_second = faults.value("calls_per_second", 0U)});
}

auto session::set_fabric(const json &faults) -> void {
    reject_unknown(faults, "fabric",
                   {"loss", "duplicate", "reorder", "weights"});
    network().set_faults({.loss = faults.value("loss", 0.0),
                          .duplicate = faults.value("duplicate", 0.0),
                          .reorder = to_ms(faults.value("reorder", 0.0))});
    const auto weights = faults.value("weights", json::object());
    for (const auto &[name, weight] : weights.items()) {
        find_instance(name);
        fleet_->set_fabric_target(name, true, weight.get<double>());
    }
}

auto session::set_upstream(const json &change) -> void {
    reject_unknown(
        change, "upstream",
        {"name", "down", "shedding", "service_ms", "capacity", "connections"});
    const auto [service, it] =
        find_upstream(required_string(change, "upstream", "name"));
    it->down = change.value("down", it->down);
    it->shedding = change.value("shedding", it->shedding);
    it->service_time = milliseconds(
        change.value("service_ms", static_cast<int>(it->service_time.count())));
    for (auto &entry : service->spec["upstreams"]) {
        if (entry["name"] != it->name)
            continue;
        for (const auto *field : {"capacity", "connections"}) {
            if (change.contains(field))
                entry[field] = change[field];
        }
    }
    it->capacity = change.value("capacity", it->capacity);
    network().set_upstream(*it);
}

auto session::leave(const json &arguments) -> void {
    reject_unknown(arguments, "leave", {"upstream", "via", "limit", "undo"});
    const auto name = required_string(arguments, "leave", "upstream");
    const auto [service, it] = find_upstream(name);
    const auto undo = arguments.value("undo", false);
    if (undo)
        network().unmark_leaving(name);
    else
        network().mark_leaving(name, to_ms(arguments.value("limit", 3.0)));
    if (arguments.value("via", "contract") == "list") {
        service->terminating.insert(name);
        schedule(list_lag_, [this, service = service] {
            fleet_->publish_upstreams(service->name, service->upstreams,
                                      service->terminating);
        });
        return;
    }
    for (auto &entry : service->spec["upstreams"]) {
        if (entry["name"] == name)
            entry["leaving"] = !undo;
    }
    write_contract(service->customer);
}

auto session::cut(const json &arguments) -> void {
    reject_unknown(arguments, "cut", {"domain", "instances", "platform"});
    std::set<std::string> group;
    const auto domain = arguments.value("domain", "");
    for (const auto &[name, instance_domain] : domains_) {
        if (instance_domain == domain)
            group.insert(name);
    }
    for (const auto &name : arguments.value("instances", json::array()))
        group.insert(find_instance(name.get<std::string>()).name);
    if (group.empty())
        throw scenario_error{"cut selects no instance"};
    const auto platform = arguments.value("platform", false);
    if (platform)
        platform_cut_ = group;
    fleet_->cut(group, platform);
}

auto session::heal() -> void {
    platform_cut_.clear();
    fleet_->heal();
}

auto session::measure(const std::string &service) -> void {
    network().measure_imbalance(find_service(service).index);
    network().reset_relay_counts();
    fleet_->start_control_cost_measurement();
}

auto session::in_force(const std::string &customer) -> bool {
    for (const auto &name : responsive_instances()) {
        if (platform_cut_.contains(name))
            continue;
        const auto contracts =
            status_of(name).value("contracts", json::object());
        if (contracts.value(customer, std::uint64_t{0}) <
            written_generations_[customer])
            return false;
    }
    return true;
}

auto session::apply(const std::string &customer, double timeout) -> void {
    write_contract(customer);
    const auto start = now();
    const auto applied = wait_for(timeout, [&] { return in_force(customer); });
    const std::chrono::duration<double, std::milli> elapsed = now() - start;
    in_force_ms_max_ = std::max(in_force_ms_max_, elapsed.count());
    if (!applied)
        in_force_ms_max_ = std::max(in_force_ms_max_, timeout * 1e3);
}

auto session::race(const std::string &customer) -> int {
    const platform_client client(
        {.address = fleet_->platform_address(), .client_name = "scenario"});
    auto current = client.get(platform_resource::contracts, customer);
    if (!current)
        throw scenario_error{current.error().message()};
    std::atomic<int> accepted{0};
    std::atomic<std::uint64_t> generation{0};
    const auto write = [&](const char *writer) {
        auto object = current.value();
        object.change_id = fmt::format("{}-{}", writer, object.generation);
        object.spec_json = contract_spec(customer);
        auto written = client.put_contract(object);
        if (written) {
            ++accepted;
            generation = written.value().generation;
        }
    };
    std::thread first([&] { write("first"); });
    std::thread second([&] { write("second"); });
    first.join();
    second.join();
    if (generation > 0)
        written_generations_[customer] = generation;
    return accepted;
}

auto session::owner_of(const std::string &service, const std::string &domain)
    -> std::string {
    const auto &it = find_service(service);
    for (const auto &name : responsive_instances()) {
        if (domains_[name] != domain)
            continue;
        const auto rows =
            json::parse(fleet_->http_get(name, "/upstreams"), nullptr, false);
        if (!rows.is_array())
            continue;
        for (const auto &row : rows) {
            if (row["service"] == it.customer + "/" + it.name &&
                row["mine"] == true)
                return name;
        }
    }
    return "";
}

auto session::counted_at(const std::string &upstream) -> int {
    for (const auto &name : responsive_instances()) {
        const auto rows =
            json::parse(fleet_->http_get(name, "/upstreams"), nullptr, false);
        if (!rows.is_array())
            continue;
        for (const auto &row : rows) {
            if (row["name"] == upstream && row["mine"] == true)
                return row["open"];
        }
    }
    return -1;
}

auto session::set_lag(const std::string &which, double lag) -> void {
    (which == "live" ? list_lag_ : fabric_lag_) = lag;
}

} // namespace dogwoodtrack::scenario
