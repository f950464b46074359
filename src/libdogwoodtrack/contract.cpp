#include "dogwoodtrack/contract.hpp"

#include <algorithm>
#include <initializer_list>
#include <map>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dogwoodtrack {

namespace {

using nlohmann::json;

constexpr std::uint32_t connections_max = 1'000'000;
constexpr std::uint32_t slots_max = 100'000;
constexpr std::uint32_t replicas_max = 4;
constexpr std::int64_t idle_timeout_seconds_max = 604'800;
constexpr std::int64_t leave_within_seconds_max = 3600;
constexpr std::size_t services_max = 20'000;
constexpr std::size_t upstreams_max = 100'000;

// Thrown where a contract is found to be invalid, and caught in the public
// functions of this file, so that the functions in between need not return
// errors.
struct contract_problem {
    std::string detail;
};

[[noreturn]] auto reject(const std::string &path, const std::string &problem)
    -> void {
    throw contract_problem{path + ": " + problem};
}

// Rejects a value that is not an object or has a field that is not among
// `known_fields`.
auto require_object(const json &value, const std::string &path,
                    std::initializer_list<const char *> known_fields) -> void {
    if (!value.is_object())
        reject(path, "is not an object");
    for (const auto &it : value.items()) {
        const auto matches = [&](const char *name) { return it.key() == name; };
        if (std::none_of(known_fields.begin(), known_fields.end(), matches))
            reject(path + "." + it.key(), "is not a known field");
    }
}

auto read_string(const json &value, const std::string &path, const char *name)
    -> std::string {
    const auto it = value.find(name);
    if (it == value.end() || !it->is_string() ||
        it->get_ref<const std::string &>().empty())
        reject(path + "." + name, "is missing, empty or not a string");
    return *it;
}

auto read_bool(const json &value, const std::string &path, const char *name,
               bool fallback) -> bool {
    const auto it = value.find(name);
    if (it == value.end())
        return fallback;
    if (!it->is_boolean())
        reject(path + "." + name, "is not true or false");
    return *it;
}

template <typename T>
auto read_number(const json &value, const std::string &path, const char *name,
                 T fallback, T min_value, T max_value) -> T {
    const auto it = value.find(name);
    if (it == value.end())
        return fallback;
    const auto field_path = path + "." + name;
    if (std::is_integral_v<T> ? !it->is_number_integer() : !it->is_number())
        reject(field_path,
               "is not a number, or not an integer where one is required");
    const auto number = it->get<double>();
    if (number < static_cast<double>(min_value) ||
        number > static_cast<double>(max_value))
        reject(field_path, fmt::format("is not in the range {} to {}",
                                       min_value, max_value));
    return it->get<T>();
}

auto read_endpoint(const json &value, const std::string &path, const char *name)
    -> endpoint {
    auto parsed = parse_endpoint(read_string(value, path, name));
    if (!parsed)
        reject(path + "." + name, "is not an address a.b.c.d:port");
    return parsed.value();
}

// Reads a field with two possible values. Returns whether the field has the
// first one, which is also the default.
auto read_choice(const json &value, const std::string &path, const char *name,
                 const char *first, const char *second) -> bool {
    const auto it = value.find(name);
    if (it == value.end() || *it == first)
        return true;
    if (*it != second)
        reject(path + "." + name,
               fmt::format("is neither '{}' nor '{}'", first, second));
    return false;
}

auto read_upstream(const json &value, const std::string &path, limit_kind limit)
    -> upstream_spec {
    require_object(value, path,
                   {"name", "address", "failureDomain", "connections", "slots",
                    "capacity", "leaving"});
    upstream_spec it{
        .name = read_string(value, path, "name"),
        .address = read_endpoint(value, path, "address"),
        .failure_domain = read_string(value, path, "failureDomain"),
        .connections = read_number<std::uint32_t>(value, path, "connections", 0,
                                                  1, connections_max),
        .slots =
            read_number<std::uint32_t>(value, path, "slots", 0, 1, slots_max),
        .capacity =
            read_number<double>(value, path, "capacity", 1.0, 0.01, 1000.0),
        .leaving = read_bool(value, path, "leaving", false)};
    if (limit == limit_kind::connections && it.connections == 0)
        reject(path + ".connections", "is required if limit is 'connections'");
    if (limit == limit_kind::slots && it.slots == 0)
        reject(path + ".slots", "is required if limit is 'slots'");
    return it;
}

auto read_upstreams(const json &value, const std::string &path,
                    limit_kind limit) -> std::vector<upstream_spec> {
    const auto list = value.find("upstreams");
    const auto list_path = path + ".upstreams";
    if (list == value.end() || !list->is_array() || list->empty())
        reject(list_path, "is missing, empty or not a list");
    if (list->size() > upstreams_max)
        reject(list_path,
               fmt::format("has more than {} entries", upstreams_max));
    std::vector<upstream_spec> upstreams;
    std::set<std::string> names;
    for (std::size_t i = 0; i < list->size(); ++i) {
        const auto entry_path = fmt::format("{}[{}]", list_path, i);
        upstreams.push_back(read_upstream((*list)[i], entry_path, limit));
        if (!names.insert(upstreams.back().name).second)
            reject(entry_path + ".name", "is not unique");
    }
    return upstreams;
}

auto read_service(const json &value, const std::string &path) -> service_spec {
    require_object(value, path,
                   {"name", "address", "protocol", "limit", "overload",
                    "idempotent", "imbalanceTolerance", "replicas",
                    "idleTimeoutSeconds", "leaveWithinSeconds", "upstreams"});
    service_spec it;
    it.name = read_string(value, path, "name");
    it.address = read_endpoint(value, path, "address");
    it.protocol = read_choice(value, path, "protocol", "tcp", "udp")
                      ? transport::tcp
                      : transport::udp;
    it.limit = read_choice(value, path, "limit", "connections", "slots")
                   ? limit_kind::connections
                   : limit_kind::slots;
    it.overload = read_choice(value, path, "overload", "place", "refuse")
                      ? overload_policy::place
                      : overload_policy::refuse;
    it.idempotent = read_bool(value, path, "idempotent", false);
    it.imbalance_tolerance = read_number<double>(
        value, path, "imbalanceTolerance", it.imbalance_tolerance, 0.0, 10.0);
    it.replicas = read_number<std::uint32_t>(value, path, "replicas",
                                             it.replicas, 1, replicas_max);
    it.idle_timeout = seconds(read_number<std::int64_t>(
        value, path, "idleTimeoutSeconds", it.idle_timeout.count(), 1,
        idle_timeout_seconds_max));
    it.leave_within = seconds(read_number<std::int64_t>(
        value, path, "leaveWithinSeconds", it.leave_within.count(), 1,
        leave_within_seconds_max));
    it.upstreams = read_upstreams(value, path, it.limit);
    return it;
}

// An address in use by a service or an upstream. The same address may be in use
// once for TCP and once for UDP.
struct address_use {
    endpoint address;
    transport protocol;
    auto operator<=>(const address_use &) const = default;
};

// Adds the addresses of a contract to `uses`, each with the name of the service
// or upstream that uses it. Rejects an address that is already in use.
auto collect_uses(const contract &value,
                  std::map<address_use, std::string> &uses,
                  const std::string &path) -> void {
    const auto add_use = [&](const endpoint &address, transport protocol,
                             const std::string &user) {
        const auto [it, inserted] = uses.try_emplace({address, protocol}, user);
        if (!inserted)
            reject(path, fmt::format("{} is used by {} and by {}",
                                     to_string(address), it->second, user));
    };
    for (const auto &service : value.services) {
        const auto name = value.customer + "/" + service.name;
        add_use(service.address, service.protocol, name);
        for (const auto &it : service.upstreams)
            add_use(it.address, service.protocol, name + "/" + it.name);
    }
}

auto bad_contract(const std::string &detail) -> error {
    return {error_kind::bad_contract, detail};
}

} // namespace

auto parse_contract(const std::string &customer, std::uint64_t generation,
                    const std::string &spec_json) -> result<contract> {
    const auto root = json::parse(spec_json, nullptr, false);
    if (root.is_discarded())
        return bad_contract("spec: is not JSON");
    try {
        require_object(root, "spec", {"services", "withdrawn"});
        contract value{.customer = customer, .generation = generation};
        value.withdrawn = read_bool(root, "spec", "withdrawn", false);
        const auto list = root.find("services");
        if (list == root.end() || !list->is_array() ||
            list->size() > services_max || (list->empty() && !value.withdrawn))
            reject("spec.services",
                   "is missing, empty, not a list or too long");
        std::set<std::string> names;
        for (std::size_t i = 0; i < list->size(); ++i) {
            const auto path = fmt::format("spec.services[{}]", i);
            value.services.push_back(read_service((*list)[i], path));
            if (!names.insert(value.services.back().name).second)
                reject(path + ".name", "is not unique");
        }
        std::map<address_use, std::string> uses;
        collect_uses(value, uses, "spec.services");
        return value;
    } catch (const contract_problem &problem) {
        return bad_contract(problem.detail);
    } catch (const json::exception &problem) {
        return bad_contract(std::string("spec: ") + problem.what());
    }
}

auto check_overlap(const contract &candidate,
                   const std::vector<contract> &others) -> result<void> {
    try {
        std::map<address_use, std::string> uses;
        for (const auto &it : others) {
            if (it.customer != candidate.customer && !it.withdrawn)
                collect_uses(it, uses, it.customer);
        }
        collect_uses(candidate, uses, "spec.services");
    } catch (const contract_problem &problem) {
        return bad_contract(problem.detail);
    }
    return boost::outcome_v2::success();
}

auto check_removals(const contract &current, const contract &next)
    -> result<void> {
    if (next.withdrawn)
        return boost::outcome_v2::success();
    std::set<endpoint> kept;
    for (const auto &service : next.services) {
        for (const auto &it : service.upstreams)
            kept.insert(it.address);
    }
    for (const auto &service : current.services) {
        for (const auto &it : service.upstreams) {
            if (!it.leaving && !kept.contains(it.address))
                return error{
                    error_kind::contract_removes_upstream,
                    fmt::format("{}/{} is in service", service.name, it.name)};
        }
    }
    return boost::outcome_v2::success();
}

auto contract_warnings(const contract &value) -> std::vector<std::string> {
    std::vector<std::string> warnings;
    for (const auto &service : value.services) {
        std::set<std::string> domains;
        for (const auto &it : service.upstreams) {
            if (!it.leaving)
                domains.insert(it.failure_domain);
        }
        if (domains.empty())
            warnings.push_back(service.name +
                               " has no upstream in service: every new flow "
                               "is refused");
        else if (domains.size() == 1)
            warnings.push_back(service.name +
                               " depends on one failure domain, " +
                               *domains.begin());
    }
    return warnings;
}

} // namespace dogwoodtrack
