#pragma once

#include <optional>
#include <string_view>

#include "net.hpp"

namespace review {

inline constexpr std::uint8_t flag_syn = 1;
inline constexpr std::uint8_t flag_ack = 4;
inline constexpr std::uint8_t flag_rst = 16;
inline constexpr std::uint8_t flag_fin = 64;
inline constexpr std::size_t head_size = 32;

/// One packet of a flow. The stand-ins do not compute the keyed sum: packets of
/// a host carry its number instead, packets of clients `client_sum`, and resets
/// of the system 0.
struct packet {
    static constexpr std::uint32_t client_sum = 0x5a5a5a5a;

    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    endpoint from;
    endpoint to;
    std::uint32_t sum = client_sum;
    std::string data;

    auto has(std::uint8_t flag) const -> bool {
        return (flags & flag) != 0;
    }
};

inline auto append(std::string &out, std::uint64_t value, int bytes) -> void {
    for (auto shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
}

inline auto load(std::string_view text, std::size_t at, std::size_t bytes)
    -> std::uint64_t {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i)
        value = value << 8 | static_cast<unsigned char>(text[at + i]);
    return value;
}

inline auto encode(const packet &it) -> std::string {
    std::string out;
    append(out, it.data.size(), 2);
    append(out, it.flags, 1);
    append(out, 0, 1);
    append(out, it.seq, 4);
    append(out, it.ack, 4);
    append(out, it.echo, 4);
    append(out, it.from.port, 2);
    append(out, it.from.address, 4);
    append(out, it.to.address, 4);
    append(out, it.to.port, 2);
    append(out, it.sum, 4);
    return out + it.data;
}

inline auto decode(std::string_view bytes) -> std::optional<packet> {
    if (bytes.size() < head_size ||
        bytes.size() != head_size + load(bytes, 0, 2))
        return std::nullopt;
    packet it;
    it.flags = static_cast<std::uint8_t>(load(bytes, 2, 1));
    it.seq = static_cast<std::uint32_t>(load(bytes, 4, 4));
    it.ack = static_cast<std::uint32_t>(load(bytes, 8, 4));
    it.echo = static_cast<std::uint32_t>(load(bytes, 12, 4));
    it.from.port = static_cast<std::uint16_t>(load(bytes, 16, 2));
    it.from.address = static_cast<std::uint32_t>(load(bytes, 18, 4));
    it.to.address = static_cast<std::uint32_t>(load(bytes, 22, 4));
    it.to.port = static_cast<std::uint16_t>(load(bytes, 26, 2));
    it.sum = static_cast<std::uint32_t>(load(bytes, 28, 4));
    it.data = bytes.substr(head_size);
    return it;
}

} // namespace review
