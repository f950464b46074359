#include "dogwoodtrack/types.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <cstring>
#include <ctime>

#include <fmt/format.h>
#include <xxhash.h>

namespace dogwoodtrack {

auto monotonic::now() noexcept -> time_point {
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point{seconds{it.tv_sec} +
                      std::chrono::nanoseconds{it.tv_nsec}};
}

auto to_string(const endpoint &value) -> std::string {
    return fmt::format(
        "{}.{}.{}.{}:{}", value.address >> 24, (value.address >> 16) & 0xff,
        (value.address >> 8) & 0xff, value.address & 0xff, value.port);
}

auto to_string(transport value) -> std::string_view {
    return value == transport::tcp ? "tcp" : "udp";
}

auto parse_endpoint(std::string_view text) -> result<endpoint> {
    const auto failure = error{error_kind::bad_endpoint,
                               fmt::format("'{}' is not an endpoint", text)};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure;
    const std::string host(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        return failure;
    endpoint value{.address = ntohl(parsed.s_addr)};
    const auto digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(
        digits.data(), digits.data() + digits.size(), value.port);
    if (ec != std::errc{} || end != digits.data() + digits.size() ||
        value.port == 0)
        return failure;
    return value;
}

auto hash_flow(const flow_key &key) -> std::uint64_t {
    std::uint8_t buf[13];
    std::memcpy(buf, &key.caller.address, 4);
    std::memcpy(buf + 4, &key.service.address, 4);
    std::memcpy(buf + 8, &key.caller.port, 2);
    std::memcpy(buf + 10, &key.service.port, 2);
    buf[12] = static_cast<std::uint8_t>(key.protocol);
    return XXH3_64bits(buf, sizeof buf);
}

auto hash_name(std::string_view name) -> std::uint32_t {
    return XXH32(name.data(), name.size(), 0);
}

auto hash_name64(std::string_view name) -> std::uint64_t {
    return XXH3_64bits(name.data(), name.size());
}

auto hash_pair(std::uint64_t first, std::uint64_t second) -> std::uint64_t {
    const std::uint64_t buf[2] = {first, second};
    return XXH3_64bits(buf, sizeof buf);
}

auto rendezvous_score(std::uint64_t key, std::uint64_t candidate, double weight)
    -> double {
    if (weight <= 0)
        return -1;
    // Maps the upper 53 bits to a number strictly between 0 and 1.
    const auto bits = hash_pair(key, candidate) >> 11;
    const auto unit = (static_cast<double>(bits) + 0.5) * 0x1.0p-53;
    return -weight / std::log(unit);
}

} // namespace dogwoodtrack
