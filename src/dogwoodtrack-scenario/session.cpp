#include "session.hpp"

#include <thread>

#include "dogwoodtrack/platform_client.hpp"
#include "script_arguments.hpp"

namespace dogwoodtrack::scenario {

namespace {

constexpr milliseconds poll_interval{20};
constexpr milliseconds generation_check_interval{500};
constexpr std::uint32_t upstream_network = (172U << 24) | (16U << 16);
constexpr std::uint32_t service_network = (198U << 24) | (18U << 16);
constexpr std::uint16_t upstream_port = 8443;

} // namespace

session::session(session_options options) : options_(std::move(options)) {
    auto opened = standin::fleet::open(options_.fleet);
    if (!opened)
        throw scenario_error{opened.error().message()};
    fleet_ = std::move(opened.value());
}

auto session::network() -> standin::traffic & {
    return fleet_->network();
}

auto session::add_instance(const std::string &name, const std::string &domain)
    -> void {
    throw_on_error(fleet_->add_member(name, domain));
    domains_[name] = domain;
}

auto session::add_service(const json &arguments) -> void {
    reject_unknown(arguments, "service",
                   {"customer", "name", "protocol", "limit", "overload",
                    "idempotent", "imbalance_tolerance", "replicas",
                    "idle_timeout", "leave_within"});
    scenario_service it{.customer =
                            required_string(arguments, "service", "customer"),
                        .name = required_string(arguments, "service", "name")};
    const endpoint address{.address =
                               service_network + 1 +
                               static_cast<std::uint32_t>(services_.size()),
                           .port = 443};
    const auto protocol = arguments.value("protocol", "tcp");
    it.spec = {
        {"name", it.name},
        {"address", to_string(address)},
        {"protocol", protocol},
        {"limit", arguments.value("limit", "connections")},
        {"overload", arguments.value("overload", "place")},
        {"idempotent", arguments.value("idempotent", false)},
        {"imbalanceTolerance", arguments.value("imbalance_tolerance", 0.05)},
        {"replicas", arguments.value("replicas", 2)},
        {"idleTimeoutSeconds", arguments.value("idle_timeout", 14400)},
        {"leaveWithinSeconds", arguments.value("leave_within", 3)}};
    it.index = network().add_service(
        {.customer = it.customer,
         .name = it.name,
         .address = address,
         .protocol = protocol == "tcp" ? transport::tcp : transport::udp});
    services_.push_back(std::move(it));
}

auto session::add_upstreams(const json &arguments) -> void {
    reject_unknown(arguments, "upstreams",
                   {"service", "count", "domains", "capacity", "connections",
                    "slots", "service_ms"});
    auto &service =
        find_service(required_string(arguments, "upstreams", "service"));
    const auto domains =
        arguments.at("domains").get<std::vector<std::string>>();
    const auto count = arguments.value("count", 1);
    for (int i = 0; i < count; ++i) {
        const auto number = service.upstreams.size();
        const auto name = fmt::format("{}-{}", service.name, number + 1);
        const endpoint address{.address =
                                   upstream_network + 1 + next_upstream_++,
                               .port = upstream_port};
        const auto connections = static_cast<std::uint32_t>(
            number_for(arguments, "connections", i, 2000));
        const auto slots =
            static_cast<std::uint32_t>(number_for(arguments, "slots", i, 3));
        const auto capacity = number_for(arguments, "capacity", i, 1.0);
        service.spec["upstreams"].push_back(
            {{"name", name},
             {"address", to_string(address)},
             {"failureDomain", domains[i % domains.size()]},
             {"connections", connections},
             {"slots", slots},
             {"capacity", capacity}});
        service.upstreams.push_back(
            {.name = name,
             .address = address,
             .customer = service.customer,
             .service = service.index,
             .capacity = capacity,
             .limit = service.spec["limit"] == "slots" ? slots : connections,
             .service_time = milliseconds(
                 static_cast<int>(number_for(arguments, "service_ms", i, 1)))});
        network().set_upstream(service.upstreams.back());
    }
}

auto session::find_service(const std::string &name) -> scenario_service & {
    for (auto &it : services_) {
        if (it.name == name)
            return it;
    }
    throw scenario_error{"unknown service: " + name};
}

auto session::find_upstream(const std::string &name)
    -> std::pair<scenario_service *, upstream_profile *> {
    for (auto &service : services_) {
        for (auto &it : service.upstreams) {
            if (it.name == name)
                return {&service, &it};
        }
    }
    throw scenario_error{"unknown upstream: " + name};
}

auto session::find_instance(const std::string &name)
    -> standin::fleet_member & {
    auto *it = fleet_->member(name);
    if (it == nullptr)
        throw scenario_error{"unknown instance: " + name};
    return *it;
}

auto session::contract_spec(const std::string &customer) -> std::string {
    json list = json::array();
    for (const auto &it : services_) {
        if (it.customer == customer)
            list.push_back(it.spec);
    }
    return json{{"services", list}}.dump();
}

auto session::write_contract(const std::string &customer) -> std::uint64_t {
    const platform_client client(
        {.address = fleet_->platform_address(), .client_name = "scenario"});
    for (int tries = 0; tries < 20; ++tries) {
        auto current = client.get(platform_resource::contracts, customer);
        platform_object object{
            .name = customer,
            .change_id =
                fmt::format("{}-{}", customer, written_generations_[customer]),
            .spec_json = contract_spec(customer)};
        if (current)
            object.resource_version = current.value().resource_version;
        else if (current.error().kind != error_kind::platform_not_found)
            throw scenario_error{current.error().message()};
        auto written = client.put_contract(object);
        if (written)
            return written_generations_[customer] = written.value().generation;
        if (written.error().kind != error_kind::contract_conflict)
            throw scenario_error{written.error().message()};
    }
    throw scenario_error{
        "contract not written: 20 attempts ended in a conflict"};
}

auto session::publish_lists() -> void {
    fleet_->publish_balancers();
    for (const auto &it : services_)
        fleet_->publish_upstreams(it.name, it.upstreams, it.terminating);
}

auto session::start() -> void {
    std::set<std::string> customers;
    for (const auto &it : services_)
        customers.insert(it.customer);
    for (const auto &it : customers)
        write_contract(it);
    publish_lists();
    for (const auto &name : fleet_->names())
        throw_on_error(fleet_->start_member(name));
    publish_lists();
    if (!wait_for(start_timeout_s, [this] { return all_ready(); }))
        throw scenario_error{"the balancers were not ready within 20 s"};
    for (const auto &name : fleet_->names())
        fleet_->set_fabric_target(name, true, 1.0);
    fleet_->start_cost_window();
}

auto session::all_ready() -> bool {
    for (const auto &name : fleet_->names()) {
        const auto rows =
            json::parse(fleet_->http_get(name, "/upstreams"), nullptr, false);
        std::size_t expected = 0;
        for (const auto &it : services_)
            expected += it.upstreams.size();
        if (!rows.is_array() || rows.size() != expected)
            return false;
        for (const auto &row : rows) {
            if (row["owner"] == "")
                return false;
        }
        if (!status_of(name).value("placing", false))
            return false;
    }
    return true;
}

auto session::schedule(double delay, std::function<void()> action) -> void {
    pending_.push_back({now() + to_duration(delay), std::move(action)});
}

auto session::run_due_actions() -> void {
    const auto time = now();
    for (std::size_t i = 0; i < pending_.size();) {
        if (pending_[i].when > time) {
            ++i;
            continue;
        }
        const auto action = std::move(pending_[i].action);
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
        action();
    }
}

auto session::responsive_instances() -> std::vector<std::string> {
    std::vector<std::string> names;
    for (const auto &name : fleet_->names()) {
        const auto &it = *fleet_->member(name);
        if (it.daemon && it.daemon->running() && !paused_.contains(name))
            names.push_back(name);
    }
    return names;
}

auto session::status_of(const std::string &name) -> json {
    const auto status =
        json::parse(fleet_->http_get(name, "/status"), nullptr, false);
    return status.is_object() ? status : json::object();
}

// Counts a revert whenever the contract generation that an instance reports is
// lower than before; it must never decrease while the instance runs.
auto session::check_contract_generations() -> void {
    next_generation_check_ = now() + generation_check_interval;
    for (const auto &name : responsive_instances()) {
        const auto contracts =
            status_of(name).value("contracts", json::object());
        for (const auto &[customer, generation] : contracts.items()) {
            auto &latest = seen_generations_[name][customer];
            if (generation < latest)
                ++reverts_;
            latest = generation;
        }
    }
}

auto session::wait_for(double duration, const std::function<bool()> &condition)
    -> bool {
    const auto end = now() + to_duration(duration);
    while (!condition()) {
        if (now() >= end)
            return false;
        run_due_actions();
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

auto session::run(double duration) -> void {
    const auto end = now() + to_duration(duration);
    while (now() < end) {
        run_due_actions();
        if (now() >= next_generation_check_)
            check_contract_generations();
        std::this_thread::sleep_for(
            std::min<std::chrono::steady_clock::duration>(poll_interval,
                                                          end - now()));
    }
}

auto session::drain(double duration) -> void {
    cost_ = fleet_->cost();
    network().stop_opening();
    wait_for(duration, [this] { return network().report().open_flows == 0; });
}

auto session::collect_events() -> void {
    for (const auto &name : responsive_instances()) {
        const auto list =
            json::parse(fleet_->http_get(name, "/timeline"), nullptr, false);
        if (!list.is_array())
            continue;
        for (const auto &it : list)
            events_[fmt::format("{:020}{}", it["stamp"].get<std::uint64_t>(),
                                name)] = it;
    }
}

auto session::timeline() -> json {
    collect_events();
    json list = json::array();
    for (const auto &[key, it] : events_)
        list.push_back(it);
    return list;
}

auto session::count_events(const std::string &kind) -> int {
    collect_events();
    int n = 0;
    for (const auto &[key, it] : events_)
        n += it["kind"] == kind ? 1 : 0;
    return n;
}

auto session::report() -> json {
    const auto observed = network().report();
    if (cost_.rss_bytes == 0)
        cost_ = fleet_->cost();
    const auto relayed_share =
        observed.midflow_packets == 0
            ? 0.0
            : static_cast<double>(observed.midflow_relayed) /
                  static_cast<double>(observed.midflow_packets);
    json expectations = json::array();
    for (const auto &it : expectations_)
        expectations.push_back({{"line", it.line},
                                {"measure", it.measure},
                                {"relation", it.relation},
                                {"bound", it.bound},
                                {"value", it.value},
                                {"met", it.met}});
    return {{"expectations", expectations},
            {"flows_opened", observed.flows_opened},
            {"flows_established", observed.flows_established},
            {"flows_finished", observed.flows_finished},
            {"flows_broken", observed.flows_broken},
            {"flows_broken_settled", observed.flows_broken_settled},
            {"flows_unanswered", observed.flows_unanswered},
            {"flows_refused", observed.flows_refused},
            {"flows_open", observed.open_flows},
            {"requests", observed.requests},
            {"answers", observed.answers},
            {"packets_sent", observed.packets_sent},
            {"packets_misdelivered", observed.packets_misdelivered},
            {"bad_checksums", observed.bad_checksums},
            {"answers_mixed", observed.answers_mixed},
            {"payloads_duplicated", observed.payloads_duplicated},
            {"refused_but_run", observed.refused_but_run},
            {"refused_midflow", observed.refused_midflow},
            {"new_flows_to_leaving_after_limit",
             observed.new_flows_to_leaving_after_limit},
            {"contract_in_force_ms_max", in_force_ms_max_},
            {"contract_reverts", reverts_},
            {"capacity_exceeded", observed.capacity_exceeded},
            {"imbalance_mean", observed.imbalance_mean},
            {"imbalance_peak", observed.imbalance_peak},
            {"relayed_share", relayed_share},
            {"control_bytes_per_second_max", cost_.bytes_per_second},
            {"control_cpu_fraction_max", cost_.cpu_fraction},
            {"daemon_rss_bytes_max", cost_.rss_bytes},
            {"conditions_reported", fleet_->platform().usage().status_writes}};
}

auto session::value_of(const std::string &measure) -> double {
    const auto measures = report();
    const auto it = measures.find(measure);
    if (it == measures.end())
        throw scenario_error{"unknown measure: " + measure};
    return it->get<double>();
}

auto session::expect(const std::string &measure, const std::string &relation,
                     double bound, int line) -> bool {
    expectation it{.measure = measure,
                   .relation = relation,
                   .bound = bound,
                   .value = value_of(measure),
                   .line = line};
    if (relation == "==")
        it.met = it.value == bound;
    else if (relation == "<=")
        it.met = it.value <= bound;
    else if (relation == ">=")
        it.met = it.value >= bound;
    else
        throw scenario_error{"expect: the relation must be ==, <= or >="};
    expectations_.push_back(it);
    return it.met;
}

} // namespace dogwoodtrack::scenario
