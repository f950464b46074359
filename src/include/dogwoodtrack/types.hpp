#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodtrack/error.hpp"

namespace dogwoodtrack {

/// The monotonic clock for all deadlines and timeouts. It also advances while
/// the machine is suspended, so that leases and timeouts expire during that
/// time, too. Functions take the current time as the argument `now`, so that
/// tests can inject it.
struct monotonic {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic>;
    static constexpr bool is_steady = true;

    /// Returns the current time. Thread safe.
    static auto now() noexcept -> time_point;
};
using time_point = monotonic::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Transport protocol of a service, with its IANA protocol number.
enum class transport : std::uint8_t { tcp = 6, udp = 17 };

/// An IPv4 address and port, both in host byte order.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint &) const = default;
};

/// Identifies a flow by the endpoints of its caller and of the service, and by
/// the transport protocol.
struct flow_key {
    endpoint caller;
    endpoint service;
    transport protocol = transport::tcp;

    auto operator<=>(const flow_key &) const = default;
};

/// Formats `address:port`. Thread safe.
auto to_string(const endpoint &value) -> std::string;

/// Returns the name that contracts use for the protocol, `tcp` or `udp`. Thread
/// safe.
auto to_string(transport value) -> std::string_view;

/// Parses `a.b.c.d:port`. Fails with `error_kind::bad_endpoint` on anything
/// else, including host names and port 0. Thread safe.
auto parse_endpoint(std::string_view text) -> result<endpoint>;

/// Returns the hash of a flow, the same on every instance. Thread safe.
auto hash_flow(const flow_key &key) -> std::uint64_t;

/// Returns a 32-bit hash of a name, the same on every instance. Thread safe.
auto hash_name(std::string_view name) -> std::uint32_t;

/// Returns a 64-bit hash of a name, the same on every instance, for uses in
/// which a collision of 32-bit hashes would do harm. Thread safe.
auto hash_name64(std::string_view name) -> std::uint64_t;

/// Combines two hashes into one. Thread safe.
auto hash_pair(std::uint64_t first, std::uint64_t second) -> std::uint64_t;

/// Returns the weighted rendezvous hashing score of a candidate for a key. The
/// candidate with the highest score is chosen; over all keys, candidates are
/// chosen in proportion to their weights. Thread safe.
auto rendezvous_score(std::uint64_t key, std::uint64_t candidate,
                      double weight = 1.0) -> double;

} // namespace dogwoodtrack
