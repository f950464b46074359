#pragma once

#include <optional>

#include "world.hpp"

namespace standin {

constexpr std::uint8_t syn = 1;
constexpr std::uint8_t ack_flag = 4;
constexpr std::uint8_t rst = 16;
constexpr std::uint8_t fin = 64;

/// A packet as PROTOCOL.md, "Packets", describes it.
struct packet {
    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    address from;
    address to;
    std::uint32_t sum = 0;
    std::string data;
};

inline auto put(std::string &out, std::uint64_t value, int bytes) -> void {
    for (auto i = bytes - 1; i >= 0; --i)
        out.push_back(static_cast<char>(value >> (8U * i) & 255U));
}

inline auto get(const std::string &in, std::size_t at, int bytes)
    -> std::uint64_t {
    std::uint64_t value = 0;
    for (auto i = 0; i < bytes; ++i)
        value = value << 8U | static_cast<unsigned char>(in[at + i]);
    return value;
}

/// Sum over all fields except `echo`, under a key of the stand-ins; never 0.
inline auto sum_of(const packet &it) -> std::uint32_t {
    std::string text = "key of the stand-ins";
    put(text, it.flags, 1);
    put(text, it.seq, 4);
    put(text, it.ack, 4);
    put(text, it.from.ip, 4);
    put(text, it.from.port, 2);
    put(text, it.to.ip, 4);
    put(text, it.to.port, 2);
    text += it.data;
    std::uint32_t hash = 2'166'136'261U;
    for (const auto c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 16'777'619U;
    return hash == 0 ? 1 : hash;
}

inline auto encode(packet it) -> std::string {
    it.sum = sum_of(it);
    std::string out;
    put(out, it.data.size(), 2);
    put(out, it.flags, 1);
    put(out, 0, 1);
    put(out, it.seq, 4);
    put(out, it.ack, 4);
    put(out, it.echo, 4);
    put(out, it.from.port, 2);
    put(out, it.from.ip, 4);
    put(out, it.to.ip, 4);
    put(out, it.to.port, 2);
    put(out, it.sum, 4);
    return out + it.data;
}

inline auto decode(const std::string &in) -> std::optional<packet> {
    constexpr std::size_t head = 32;
    if (in.size() < head || get(in, 0, 2) != in.size() - head)
        return std::nullopt;
    packet it;
    it.flags = static_cast<std::uint8_t>(get(in, 2, 1) & ~8U);
    it.seq = static_cast<std::uint32_t>(get(in, 4, 4));
    it.ack = static_cast<std::uint32_t>(get(in, 8, 4));
    it.echo = static_cast<std::uint32_t>(get(in, 12, 4));
    it.from.port = static_cast<std::uint16_t>(get(in, 16, 2));
    it.from.ip = static_cast<std::uint32_t>(get(in, 18, 4));
    it.to.ip = static_cast<std::uint32_t>(get(in, 22, 4));
    it.to.port = static_cast<std::uint16_t>(get(in, 26, 2));
    it.sum = static_cast<std::uint32_t>(get(in, 28, 4));
    it.data = in.substr(head);
    return it;
}

/// A reset of the system's own has no data and `sum` 0.
inline auto is_system_reset(const packet &it) -> bool {
    return it.flags == rst && it.sum == 0 && it.data.empty();
}

} // namespace standin
