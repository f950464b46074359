#include "commands.hpp"

#include <fstream>
#include <iterator>
#include <thread>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "dogwoodtrack/contract.hpp"
#include "dogwoodtrack/platform_client.hpp"
#include "dogwoodtrack/timeline.hpp"

namespace dogwoodtrack::tool {

namespace {

using nlohmann::json;

// Longest time for which `contract apply --wait` waits.
constexpr milliseconds in_force_timeout{10'000};
constexpr milliseconds in_force_poll_interval{50};

auto open_platform(const tool_settings &settings) -> result<platform_client> {
    BOOST_OUTCOME_TRY(auto address, parse_endpoint(settings.platform));
    return platform_client({.address = address, .client_name = "dogwoodtrack"});
}

auto list_contracts(const tool_settings &settings) -> result<platform_list> {
    BOOST_OUTCOME_TRY(auto client, open_platform(settings));
    return client.list(platform_resource::contracts);
}

auto read_file(const std::string &path) -> result<std::string> {
    std::ifstream in(path);
    if (!in)
        return error{error_kind::bad_contract,
                     "the file " + path + " cannot be read"};
    return std::string(std::istreambuf_iterator<char>(in), {});
}

auto parse_contracts(const std::vector<platform_object> &objects)
    -> std::vector<contract> {
    std::vector<contract> contracts;
    for (const auto &it : objects) {
        auto parsed = parse_contract(it.name, it.generation, it.spec_json);
        if (parsed)
            contracts.push_back(std::move(parsed.value()));
    }
    return contracts;
}

struct parsed_file {
    contract value;
    std::string spec_json;
};

auto parse_file(const std::string &customer, const std::string &file)
    -> result<parsed_file> {
    BOOST_OUTCOME_TRY(auto text, read_file(file));
    BOOST_OUTCOME_TRY(auto value, parse_contract(customer, 0, text));
    return parsed_file{.value = std::move(value), .spec_json = std::move(text)};
}

auto print_warnings(const contract &value) -> void {
    for (const auto &it : contract_warnings(value))
        fmt::print(stderr, "warning: {}\n", it);
}

auto find_object(const std::vector<platform_object> &all,
                 const std::string &name) -> const platform_object * {
    for (const auto &it : all) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

// Checks that the new contract uses no address of another customer and, unless
// `--force` is given, removes no upstream in service.
auto check_update(const parsed_file &next,
                  const std::vector<platform_object> &all,
                  const apply_settings &apply) -> result<void> {
    BOOST_OUTCOME_TRYV(check_overlap(next.value, parse_contracts(all)));
    const auto *current = find_object(all, apply.customer);
    if (current == nullptr || apply.force)
        return boost::outcome_v2::success();
    auto parsed =
        parse_contract(current->name, current->generation, current->spec_json);
    if (!parsed)
        return boost::outcome_v2::success();
    return check_removals(parsed.value(), next.value);
}

auto new_change_id() -> std::string {
    hybrid_clock clock;
    return fmt::format(
        "{}-{}", clock.next(),
        std::hash<std::thread::id>{}(std::this_thread::get_id()));
}

auto print_difference(const std::string &before, const std::string &after)
    -> void {
    const auto patch = json::diff(json::parse(before, nullptr, false),
                                  json::parse(after, nullptr, false));
    for (const auto &it : patch)
        fmt::print("{:8} {} {}\n", it.value("op", ""), it.value("path", ""),
                   it.contains("value") ? it["value"].dump() : "");
}

// Returns on how many instances this generation or a later one is in force.
auto count_instances_in_force(const tool_settings &settings,
                              const std::string &customer,
                              std::uint64_t generation) -> std::size_t {
    std::size_t n = 0;
    for (const auto &it : query_instances(settings, "/status")) {
        if (it.body.is_object() &&
            it.body["contracts"].value(customer, std::uint64_t{0}) >=
                generation)
            ++n;
    }
    return n;
}

auto wait_until_in_force(const tool_settings &settings,
                         const std::string &customer, std::uint64_t generation)
    -> tool_exit {
    const auto expected = settings.instances.size();
    const auto start = monotonic::now();
    auto n = count_instances_in_force(settings, customer, generation);
    while (n < expected && monotonic::now() - start < in_force_timeout) {
        std::this_thread::sleep_for(in_force_poll_interval);
        n = count_instances_in_force(settings, customer, generation);
    }
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(monotonic::now() - start);
    fmt::print("in force on {} of {} balancers after {} ms\n", n, expected,
               elapsed.count());
    return n == expected ? tool_exit::done : tool_exit::unhealthy;
}

// Prints the error, and the changes that the file would make to the contract
// that is on the platform by now.
auto report_conflict(const tool_settings &settings, const apply_settings &apply,
                     const std::string &spec_json, const error &why)
    -> tool_exit {
    fail(why);
    auto client = open_platform(settings);
    auto current =
        client.value().get(platform_resource::contracts, apply.customer);
    if (current) {
        fmt::print(stderr, "generation {} differs from your file:\n",
                   current.value().generation);
        print_difference(current.value().spec_json, spec_json);
    }
    return tool_exit::conflict;
}

} // namespace

auto contract_check(const tool_settings &settings, const std::string &customer,
                    const std::string &file) -> tool_exit {
    auto checked = parse_file(customer, file);
    if (!checked)
        return fail(checked.error());
    print_warnings(checked.value().value);
    const auto n = checked.value().value.services.size();
    if (settings.json)
        fmt::print("{}\n", json{{"valid", true}, {"services", n}}.dump());
    else
        fmt::print("valid: {} services\n", n);
    return tool_exit::done;
}

auto contract_apply(const tool_settings &settings, const apply_settings &apply)
    -> tool_exit {
    auto checked = parse_file(apply.customer, apply.file);
    if (!checked)
        return fail(checked.error());
    auto client = open_platform(settings);
    if (!client)
        return fail(client.error());
    auto all = client.value().list(platform_resource::contracts);
    if (!all)
        return fail(all.error());
    const auto allowed =
        check_update(checked.value(), all.value().objects, apply);
    if (!allowed)
        return fail(allowed.error());
    platform_object object{.name = apply.customer,
                           .change_id = new_change_id(),
                           .spec_json = checked.value().spec_json};
    const auto *current = find_object(all.value().objects, apply.customer);
    if (current != nullptr) {
        object.resource_version = current->resource_version;
        if (!apply.base.empty() &&
            apply.base != std::to_string(current->generation))
            return report_conflict(
                settings, apply, object.spec_json,
                {error_kind::contract_conflict,
                 fmt::format("the contract is at generation {}, "
                             "your edit started from {}",
                             current->generation, apply.base)});
    }
    auto written = client.value().put_contract(object);
    if (!written && written.error().kind == error_kind::contract_conflict)
        return report_conflict(settings, apply, object.spec_json,
                               written.error());
    if (!written)
        return fail(written.error());
    print_warnings(checked.value().value);
    const auto generation = written.value().generation;
    if (settings.json)
        fmt::print("{}\n", json{{"generation", generation}}.dump());
    else
        fmt::print("accepted as generation {}\n", generation);
    if (!apply.wait)
        return tool_exit::done;
    return wait_until_in_force(settings, apply.customer, generation);
}

auto contract_get(const tool_settings &settings, const std::string &customer)
    -> tool_exit {
    auto all = list_contracts(settings);
    if (!all)
        return fail(all.error());
    if (customer.empty()) {
        for (const auto &it : all.value().objects)
            fmt::print("{} generation {}\n", it.name, it.generation);
        return tool_exit::done;
    }
    const auto *object = find_object(all.value().objects, customer);
    if (object == nullptr)
        return fail({error_kind::platform_not_found, customer});
    fmt::print("{}\n",
               json::parse(object->spec_json).dump(settings.json ? -1 : 2));
    return tool_exit::done;
}

auto contract_diff(const tool_settings &settings, const std::string &customer,
                   const std::string &file) -> tool_exit {
    auto client = open_platform(settings);
    if (!client)
        return fail(client.error());
    auto current = client.value().get(platform_resource::contracts, customer);
    if (!current)
        return fail(current.error());
    auto text = read_file(file);
    if (!text)
        return fail(text.error());
    print_difference(current.value().spec_json, text.value());
    return tool_exit::done;
}

auto contract_history(const tool_settings &settings,
                      const std::string &customer) -> tool_exit {
    ordered_json rows = ordered_json::array();
    for (const auto &it : query_instances(settings, "/timeline")) {
        if (!it.body.is_array())
            continue;
        for (const auto &event : it.body) {
            if (event["subject"] == customer &&
                event["kind"] == "contract_accepted")
                rows.push_back(event);
        }
    }
    if (settings.json) {
        fmt::print("{}\n", rows.dump());
        return tool_exit::done;
    }
    for (const auto &it : rows)
        fmt::print(
            "generation {:<6} in force on {:<16} since Unix time {} ms\n",
            it["generation"].get<std::uint64_t>(),
            it["instance"].get<std::string>(),
            it["stamp"].get<std::uint64_t>() >> 16);
    return tool_exit::done;
}

} // namespace dogwoodtrack::tool
