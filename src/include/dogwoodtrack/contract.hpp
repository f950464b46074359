#pragma once

#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Which limit of an upstream bounds its number of open flows.
enum class limit_kind { connections, slots };

/// How an owner limits the flows of an upstream whose weight the health checks
/// have reduced, for example because it answers more slowly than the others.
enum class overload_policy {
    place, ///< place flows up to the unchanged limits of the contract
    refuse ///< scale the limits by the weight and refuse flows beyond them
};

/// One upstream of a service.
struct upstream_spec {
    std::string name;
    endpoint address;
    std::string failure_domain;
    /// Maximum number of open flows if the service's limit is `connections`.
    std::uint32_t connections = 0;
    /// Maximum number of open flows if the service's limit is `slots`.
    std::uint32_t slots = 0;
    double capacity = 1.0; ///< relative to the other upstreams
    bool leaving = false;  ///< receives no new flows
};

/// One service of a customer.
struct service_spec {
    std::string name;
    endpoint address;
    transport protocol = transport::tcp;
    limit_kind limit = limit_kind::connections;
    overload_policy overload = overload_policy::place;
    bool idempotent = false;
    /// Fraction by which an upstream's load per unit of capacity may exceed the
    /// mean of its failure domain before the owner places a flow on another
    /// upstream than the one chosen by the hash. The mean is that of all
    /// upstreams that are in service and not ejected.
    double imbalance_tolerance = 0.05;
    /// Number of balancers, besides the owner, that record a flow before its
    /// first packet is sent to an upstream.
    std::uint32_t replicas = 2;
    /// Time without a packet after which the record of an open flow is erased.
    seconds idle_timeout{4 * 3600};
    /// Time within which an upstream that is set to `leaving` has to stop
    /// receiving new flows.
    seconds leave_within{3};
    std::vector<upstream_spec> upstreams;
};

/// The contract of one customer. `generation` increases with every accepted
/// change and is never reused.
struct contract {
    std::string customer;
    std::uint64_t generation = 0;
    bool withdrawn = false; ///< the services are no longer balanced
    std::vector<service_spec> services;
};

/// Parses the `spec` of a contract object. Fails with
/// `error_kind::bad_contract`, naming the path of the field, if a field is
/// unknown, of the wrong type or out of range (such as a limit of zero), if a
/// required field is missing, a name is not unique or an address is used twice.
/// Thread safe.
auto parse_contract(const std::string &customer, std::uint64_t generation,
                    const std::string &spec_json) -> result<contract>;

/// Checks that no service or upstream address of `candidate` is used by
/// another customer in `others`. Fails with `error_kind::bad_contract`.
/// Thread safe.
auto check_overlap(const contract &candidate,
                   const std::vector<contract> &others) -> result<void>;

/// Checks that `next`, unless it is withdrawn, still has every upstream that is
/// not `leaving` in `current`. Fails with
/// `error_kind::contract_removes_upstream`. Thread safe.
auto check_removals(const contract &current, const contract &next)
    -> result<void>;

/// Returns the availability risks of a valid contract, one line each: a
/// service that has no upstream in service, or all of whose upstreams in
/// service are in one failure domain. Thread safe.
auto contract_warnings(const contract &value) -> std::vector<std::string>;

} // namespace dogwoodtrack
