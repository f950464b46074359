#pragma once

#include <atomic>
#include <functional>
#include <span>

#include "carried/blackboard.hpp"
#include "carried/event_loop.hpp"
#include "dogwoodtrack/error.hpp"

namespace dogwoodtrack::carried {

/// Largest packet accepted from a caller, header included, in bytes.
inline constexpr std::size_t max_packet_size = 2'048;
/// Space reserved in front of a packet for its delivery header, in bytes.
inline constexpr std::size_t delivery_headroom = 16;

/// Packet codec of a link whose packets carry their binding, the number that
/// names the upstream of the flow. Plain functions keep the balancer
/// independent of the wire format.
struct packet_codec {
    /// Parses a caller's packet. Returns nothing if it is malformed.
    std::optional<packet_header> (*read)(std::span<const std::uint8_t> packet);
    /// Writes into an opening packet the binding code that the upstream
    /// returns to the caller.
    void (*write_binding)(std::span<std::uint8_t> packet, std::uint32_t code);
    /// Builds the reset, the packet that ends a flow at its caller or rejects
    /// its opening. `acknowledged` is the last acknowledgement number that the
    /// caller sent. Returns the size of the reset in bytes. Precondition: `out`
    /// has room for the reset.
    std::size_t (*make_reset)(const flow_endpoints &endpoints,
                              std::uint32_t acknowledged,
                              std::span<std::uint8_t> out);
    /// Writes the delivery header, which identifies the receiving upstream,
    /// to the end of `space`. `space` has `delivery_headroom` bytes and ends
    /// where the packet starts. Returns the number of bytes written.
    std::size_t (*write_delivery)(std::span<std::uint8_t> space,
                                  std::uint64_t delivery_id);
};

/// Settings of one balancer on a link whose packets carry their bindings.
struct balancer_options {
    std::string name;
    std::string failure_domain;
    endpoint link;               ///< callers' packets (UDP)
    endpoint peers;              ///< messages from other balancers (UDP)
    endpoint operators;          ///< for operators (HTTP); none if port 0
    std::vector<endpoint> seeds; ///< balancers to contact while too few are
                                 ///< known; ports are ignored
    double cores = 1;            ///< CPU cores available to this instance
    bool first_start = false;    ///< the whole system, not only this instance,
                                 ///< starts for the first time
    /// Time within which a change accepted by the store must be in force.
    milliseconds apply_within{3'000};
    /// Limits of cold upstreams; none if `cold.overage` is 0.
    cold_bounds cold;
    std::size_t flow_capacity = 50'000; ///< maximum number of tracked flows
    milliseconds stop_deadline{5'000};  ///< maximum duration of a planned stop
    milliseconds flow_lifetime{60'000}; ///< expected maximum duration of a flow
    /// Exchange load within and between failure domains, see
    /// `load/load_exchange.hpp`.
    bool load_plans = false;
    /// Cost of one KiB that crosses to another failure domain, in milliseconds
    /// of a caller's waiting time.
    double domain_traffic_price = 0.5;
    bool admission = false; ///< limits new flows as load plans say
    /// Part of the room for new flows that each priority gets at least, from 0
    /// to 1.
    double min_share = 0;
    /// Returns the settings if they have changed since the last call and are
    /// valid. Called about once per second. An empty function means that
    /// settings are never reloaded.
    std::function<std::optional<balancer_options>()> reload;
    /// Time within which the evacuation of a failure domain, accepted by the
    /// store, must take effect. If 0, evacuations are not read.
    milliseconds evacuate_within{0};
};

/// Runs a balancer on the calling thread. After `stop` is set, the function
/// returns as soon as no packets arrive any more, at the latest after
/// `options.stop_deadline`. `ready` is true while the fabric, the network that
/// spreads callers' packets over the balancers, may send packets to this
/// balancer. Other threads may access `stop` and `ready` meanwhile. Fails with
/// `error_kind::socket_failed` if a socket cannot be opened.
auto run_balancer(const balancer_options &options, const packet_codec &codec,
                  store_interface &store, event_loop &loop,
                  const std::atomic<bool> &stop, std::atomic<bool> &ready)
    -> result<void>;

} // namespace dogwoodtrack::carried
