#pragma once

#include <string>
#include <vector>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Which of an upstream's two limits one flow uses up.
enum class limit_kind { connections, slots };

/// What an owner does with a new flow when every upstream that still has
/// room is slower than its contract says.
enum class overload_policy {
    place, ///< use the contract's limits as they stand
    refuse ///< lower the limit of slow upstreams, and refuse beyond it
};

/// One upstream of a service.
struct upstream_terms {
    std::string name;
    endpoint address;
    std::string failure_domain;
    std::uint32_t connections = 0;
    std::uint32_t slots = 0;
    double capacity = 1.0; ///< relative speed
    bool leaving = false;  ///< receives no new flows
};

/// One service of a customer.
struct service_terms {
    std::string name;
    endpoint address;
    transport protocol = transport::tcp;
    limit_kind limit = limit_kind::connections;
    overload_policy overload = overload_policy::place;
    bool idempotent = false;
    /// Largest accepted excess over the mean load per unit of capacity
    /// before the owner leaves the hash default.
    double imbalance_tolerance = 0.05;
    /// Balancers besides the owner that record a flow before its first
    /// packet reaches an upstream.
    std::uint32_t replicas = 2;
    seconds idle_timeout{4 * 3600};
    seconds leave_within{3};
    std::vector<upstream_terms> upstreams;
};

/// The contract of one customer. `generation` grows with every accepted
/// change and never repeats.
struct contract {
    std::string customer;
    std::uint64_t generation = 0;
    bool withdrawn = false;
    std::vector<service_terms> services;
};

/// Reads the `spec` of a contract object strictly: an unknown field, a
/// duplicate upstream, an overlap or a zero limit fails with
/// `error_kind::bad_contract` and the path. Thread safe.
auto parse_contract(const std::string &customer, std::uint64_t generation,
                    const std::string &spec_json) -> result<contract>;

/// Checks that no upstream or service address of `candidate` belongs to
/// another customer in `others`. Fails with `error_kind::bad_contract`.
auto check_overlap(const contract &candidate,
                   const std::vector<contract> &others) -> result<void>;

/// Checks that `next` removes no upstream that `current` has in service
/// and not leaving. Fails with `error_kind::contract_removes_upstream`.
auto check_removals(const contract &current, const contract &next)
    -> result<void>;

/// What an accepted contract cannot keep, one line each: a service without
/// an upstream in service, or one failure domain with all the capacity.
auto contract_warnings(const contract &value) -> std::vector<std::string>;

} // namespace dogwoodtrack
