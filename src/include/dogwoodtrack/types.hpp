#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "dogwoodtrack/error.hpp"

namespace dogwoodtrack {

/// The monotonic clock every decision is made against. It counts the time in
/// which the machine was suspended, so that what was allowed before it is
/// seen to have expired. Functions take `now` as an argument, so that tests
/// inject it.
struct monotonic {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic>;
    static constexpr bool is_steady = true;

    /// Thread safe.
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

/// Identifies one flow as its caller sees it.
struct flow_key {
    endpoint caller;
    endpoint service;
    transport protocol = transport::tcp;

    auto operator<=>(const flow_key &) const = default;
};

/// Formats `address:port`. Thread safe.
auto to_string(const endpoint &value) -> std::string;

/// Name of the transport in contracts, `tcp` or `udp`. Thread safe.
auto to_string(transport value) -> std::string_view;

/// Reads `a.b.c.d:port`. Fails with `error_kind::bad_endpoint` on anything
/// else, names and port 0 included. Thread safe.
auto parse_endpoint(std::string_view text) -> result<endpoint>;

/// Hash of a flow, the same on every instance. Thread safe.
auto hash_flow(const flow_key &key) -> std::uint64_t;

/// 32-bit identifier of a name, the same on every instance. Thread safe.
auto hash_name(std::string_view name) -> std::uint32_t;

/// 64-bit identifier of a name, for sets in which two equal identifiers
/// would do harm. The same on every instance. Thread safe.
auto hash_label(std::string_view name) -> std::uint64_t;

/// Mixes two hashes. Thread safe.
auto hash_pair(std::uint64_t first, std::uint64_t second) -> std::uint64_t;

/// Weighted rendezvous score of a candidate for a key: the candidate with
/// the highest score is chosen, in proportion to `weight`. Thread safe.
auto rendezvous_score(std::uint64_t key, std::uint64_t candidate,
                      double weight = 1.0) -> double;

} // namespace dogwoodtrack
