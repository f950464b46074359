#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Traffic of a channel. Byte counts include the ZeroMQ and CURVE framing of
/// each message.
struct channel_usage {
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t received_messages = 0;
};

/// Transport for control messages between the balancers of one fleet: ZeroMQ
/// with CURVE encryption. All balancers use one key pair derived from the fleet
/// key; the handshake rejects peers with any other key. Not thread safe: used
/// by one thread.
class peer_channel {
public:
    /// Starts to listen on `local`. Fails with `error_kind::socket_failed`, or
    /// with `error_kind::bad_setting` if `fleet_key` is empty.
    static auto open(const endpoint &local, const std::string &fleet_key)
        -> result<peer_channel>;

    peer_channel(peer_channel &&) noexcept;
    auto operator=(peer_channel &&) noexcept -> peer_channel &;
    ~peer_channel();

    /// Queues one message without blocking. It is dropped if there is no
    /// connection to `to` or its queue is full.
    auto send(const endpoint &to, const std::string &bytes) -> void;

    /// Returns the next message, or nothing if none arrives within `timeout`.
    auto receive(milliseconds timeout) -> std::optional<std::string>;

    /// Returns the traffic since `open`.
    auto usage() const -> const channel_usage &;

private:
    struct state;
    explicit peer_channel(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

/// Derives the key of the MAC in relay headers from the fleet key. Thread safe.
auto relay_key(const std::string &fleet_key) -> std::array<std::uint8_t, 16>;

} // namespace dogwoodtrack
