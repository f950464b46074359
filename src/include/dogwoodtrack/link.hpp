#pragma once

#include <memory>
#include <span>
#include <vector>

#include "dogwoodtrack/packet.hpp"

namespace dogwoodtrack {

/// Maximum number of packets received or sent by one system call.
inline constexpr std::size_t link_batch = 64;

/// A UDP socket for Geneve packets from and to the fabric and other
/// balancers. Support for another fabric replaces `receive` and `send`. Not
/// thread safe: used by one thread at a time.
class link {
public:
    /// Opens a socket on `local`. With `shared`, several links may be bound
    /// to the same endpoint (SO_REUSEPORT), and the kernel distributes packets
    /// among them. Fails with
    /// `error_kind::socket_failed`.
    static auto open(const endpoint &local, bool shared) -> result<link>;

    link(link &&) noexcept;
    auto operator=(link &&) noexcept -> link &;
    ~link();

    /// Receives up to `link_batch` packets, waiting at most `timeout` for
    /// the first. Returns an empty span on a timeout. The buffers are valid
    /// until the next call.
    auto receive(milliseconds timeout) -> std::span<packet_buffer>;

    /// Returns the source endpoint of packet `index` of the last `receive`.
    /// Precondition: `index` is less than the number of packets returned.
    auto source_of(std::size_t index) const -> endpoint;

    /// Queues one outer packet, and calls `flush` when `link_batch` packets
    /// are queued. Precondition: the bytes stay valid and unchanged until
    /// they are flushed.
    auto send(const endpoint &to, std::span<const std::uint8_t> outer) -> void;

    /// Queues a copy of one outer packet. Precondition: it fits into a
    /// `packet_buffer`.
    auto send_copy(const endpoint &to, std::span<const std::uint8_t> outer)
        -> void;

    /// Sends the queued packets. Packets that the kernel rejects are dropped
    /// and counted.
    auto flush() -> void;

    /// Returns the number of packets that the kernel rejected since `open`.
    auto send_failures() const -> std::uint64_t;

    /// Returns the endpoint that the link is bound to; after `open` with
    /// port 0 it has the port chosen by the kernel.
    auto local() const -> endpoint;

private:
    struct state;
    explicit link(std::unique_ptr<state> s);
    std::unique_ptr<state> state_;
};

} // namespace dogwoodtrack
