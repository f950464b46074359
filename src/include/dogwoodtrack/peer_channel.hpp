#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Bytes and messages that passed a channel. A message counts with its
/// ZeroMQ and CURVE framing.
struct channel_usage {
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent_messages = 0;
    std::uint64_t received_messages = 0;
};

/// Control messages between the balancers of one fleet: ZeroMQ with CURVE.
/// All balancers share one key pair made from the fleet key; a peer without
/// it is refused in the handshake. One thread uses a channel.
class peer_channel {
public:
    /// Listens on `local`. Fails with `error_kind::socket_failed`, or with
    /// `error_kind::bad_setting` if `fleet_key` is empty.
    static auto open(const endpoint &local, const std::string &fleet_key)
        -> result<peer_channel>;

    peer_channel(peer_channel &&) noexcept;
    auto operator=(peer_channel &&) noexcept -> peer_channel &;
    ~peer_channel();

    /// Queues one message; a peer that cannot be reached loses it.
    auto send(const endpoint &to, const std::string &bytes) -> void;

    /// The next message, waiting at most `timeout`.
    auto receive(milliseconds timeout) -> std::optional<std::string>;

    auto usage() const -> const channel_usage &;

private:
    struct state;
    explicit peer_channel(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

/// Derives the key of relay MACs from the fleet key. Thread safe.
auto relay_key(const std::string &fleet_key) -> std::array<std::uint8_t, 16>;

} // namespace dogwoodtrack
