#pragma once

#include <memory>
#include <span>
#include <vector>

#include "dogwoodtrack/packet.hpp"

namespace dogwoodtrack {

/// Packets that one call takes from or gives to the kernel.
inline constexpr std::size_t link_batch = 64;

/// A UDP socket that carries Geneve packets between the fabric, the
/// balancers and this process. Another fabric is another implementation of
/// `receive` and `send`. One thread uses a link at a time.
class link {
public:
    /// Opens a socket on `local`. With `shared`, several links may be bound
    /// to the same endpoint and the kernel spreads the packets. Fails with
    /// `error_kind::socket_failed`.
    static auto open(const endpoint &local, bool shared) -> result<link>;

    link(link &&) noexcept;
    auto operator=(link &&) noexcept -> link &;
    ~link();

    /// Receives up to `link_batch` packets, waiting at most `timeout` for
    /// the first. The buffers are valid until the next call.
    auto receive(milliseconds timeout) -> std::span<packet_buffer>;

    /// Endpoint that packet `index` of the last `receive` came from.
    auto source_of(std::size_t index) const -> endpoint;

    /// Queues one outer packet, which must stay unchanged until `flush`.
    /// Flushes by itself when a batch is full.
    auto send(const endpoint &to, std::span<const std::uint8_t> outer) -> void;

    /// Queues a copy of one outer packet.
    auto send_copy(const endpoint &to, std::span<const std::uint8_t> outer)
        -> void;

    /// Gives queued packets to the kernel. Packets the kernel refuses are
    /// lost and counted.
    auto flush() -> void;

    /// Packets the kernel refused since the link was opened.
    auto send_failures() const -> std::uint64_t;

    /// Port the link is bound to, after `open` with port 0.
    auto local() const -> endpoint;

private:
    struct state;
    explicit link(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
