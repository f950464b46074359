#pragma once

#include <atomic>
#include <functional>
#include <span>

#include "board.hpp"
#include "dogwoodtrack/error.hpp"
#include "event_loop.hpp"

namespace dogwoodtrack::carried {

/// Largest packet of a caller, with its head, bytes.
inline constexpr std::size_t packet_limit = 2'048;
/// Room in front of a packet for what names the receiver.
inline constexpr std::size_t delivery_room = 16;

/// How packets look on a link that carries bindings: plain functions, so
/// that the balancer knows no format.
struct packet_format {
    /// Reads a caller's packet; nothing if it is none.
    std::optional<packet_header> (*read)(std::span<const std::uint8_t> packet);
    /// Writes the binding that the upstream returns to the caller.
    void (*write_binding)(std::span<std::uint8_t> packet, std::uint32_t code);
    /// Makes the packet that tells a caller that its flow does not exist.
    /// `acknowledged` is what the caller last acknowledged. Returns its size.
    std::size_t (*make_reset)(const flow_endpoints &endpoints,
                              std::uint32_t acknowledged,
                              std::span<std::uint8_t> out);
    /// Writes what names the receiver, right in front of the packet; the
    /// space has `delivery_room` bytes and ends where the packet starts.
    /// Returns the number of bytes written.
    std::size_t (*write_delivery)(std::span<std::uint8_t> space,
                                  std::uint64_t delivery_id);
};

/// Settings of one balancer on a link that carries bindings.
struct balancer_options {
    std::string name;
    std::string failure_domain;
    endpoint link;               ///< packets of callers
    endpoint peers;              ///< messages of other balancers
    endpoint operators;          ///< metrics and status (HTTP), may be absent
    std::vector<endpoint> seeds; ///< any address of some balancers
    double cores = 1;            ///< share of a processor
    bool first_start = false;    ///< the whole system starts now
    /// A change that the store accepted is to be in force by then.
    milliseconds in_force_within{3'000};
    std::size_t flow_capacity = 50'000;
    milliseconds stop_deadline{5'000};
    seconds flow_lifetime{60};
    /// Called about once a second: new settings, if they changed and are
    /// valid. May be absent.
    std::function<std::optional<balancer_options>()> reload;
};

/// Runs a balancer until `stop` is set and nobody sends packets any more, or
/// the deadline has passed. `ready` is set while it may be given packets.
/// Fails with `error_kind::socket_failed`.
auto run_balancer(const balancer_options &options, const packet_format &format,
                  store_port &store, event_loop &loop,
                  const std::atomic<bool> &stop, std::atomic<bool> &ready)
    -> result<void>;

} // namespace dogwoodtrack::carried
