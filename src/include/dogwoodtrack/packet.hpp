#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Why a packet was not forwarded. Each kind has a counter of its own.
enum class drop_kind : std::uint8_t {
    truncated,
    not_geneve,
    not_ipv4,
    fragment,
    bad_checksum,
    foreign_protocol,
    unknown_destination,
    bad_relay,
    forged_relay,
    too_many_hops,
    no_owner,
    unknown_flow,
    fenced,
    not_placing,
    table_full,
    stale_answer,
    queue_full,
    count
};

/// Counter name of a drop kind, for example `bad_checksum`. Thread safe.
auto to_string(drop_kind kind) -> std::string_view;

/// Bytes kept free in front of a received packet, so that a longer outer
/// header can be written in place.
inline constexpr std::size_t packet_headroom = 96;
/// Largest outer packet accepted from the link, in bytes.
inline constexpr std::size_t packet_limit = 2048;

/// One packet in a fixed buffer with headroom.
struct packet_buffer {
    std::array<std::uint8_t, packet_headroom + packet_limit> bytes;
    std::size_t offset = packet_headroom;
    std::size_t size = 0;

    auto view() -> std::span<std::uint8_t> {
        return {bytes.data() + offset, size};
    }
    auto view() const -> std::span<const std::uint8_t> {
        return {bytes.data() + offset, size};
    }
};

/// What a relayed packet asks of the balancer that receives it.
enum class relay_kind : std::uint8_t {
    open = 1,    ///< place this flow, or find its record
    lookup = 2,  ///< find the record of this flow and forward
    close = 3,   ///< FIN or RST: note the end and forward
    refresh = 4, ///< mark the flow as alive and forward
    chain = 5,   ///< record the owner's decision and forward
    answer = 6,  ///< an upstream's packet the receiver has to judge
    gone = 7,    ///< an upstream's FIN or RST
    found = 8    ///< a looked-up packet on its way back with its binding
};

/// Largest number of replicas that one chained packet visits.
inline constexpr std::size_t chain_limit = 4;
/// Relays allowed before a packet is dropped.
inline constexpr std::uint8_t hop_limit = 24;

/// Header of a packet relayed between balancers. It is data on its way to
/// an upstream or a caller; the fields say where it goes on to.
struct relay_header {
    relay_kind kind = relay_kind::open;
    relay_kind event = relay_kind::open; ///< for `chain`: what happened
    std::uint8_t hops = 0;
    std::uint8_t chain_size = 0;
    std::uint32_t failure_domain = 0; ///< domain asked, as `hash_name`
    std::uint32_t owner = 0; ///< that placed the flow, or asks about it
    endpoint upstream;       ///< for `chain`: where the flow goes
    std::array<std::uint32_t, chain_limit> chain{};
};

/// Time to live of packets that this process builds.
inline constexpr std::uint8_t initial_time_to_live = 64;

/// 16-byte key of the relay MAC.
using mac_key = std::array<std::uint8_t, 16>;

/// The parts of an inner packet that decisions need.
struct inner_packet {
    std::span<std::uint8_t> bytes; ///< inner IPv4 packet
    std::size_t l4_offset = 0;
    transport protocol = transport::tcp;
    endpoint source;
    endpoint destination;
    std::uint8_t tcp_flags = 0;
    std::uint32_t tcp_sequence = 0;
    std::uint8_t time_to_live = 0;
};

inline constexpr std::uint8_t tcp_fin = 0x01;
inline constexpr std::uint8_t tcp_syn = 0x02;
inline constexpr std::uint8_t tcp_rst = 0x04;
inline constexpr std::uint8_t tcp_ack = 0x10;

/// An outer packet taken apart.
struct outer_packet {
    inner_packet inner;
    std::optional<relay_header> relay;
};

/// A parsed packet or the reason for dropping it.
struct parse_outcome {
    std::optional<outer_packet> packet;
    drop_kind reason = drop_kind::truncated;
};

/// Takes a Geneve packet apart and verifies the inner IPv4 header checksum
/// and, on relayed packets, the MAC under `key`. Never reads past `bytes`.
/// Thread safe.
auto parse_packet(std::span<std::uint8_t> bytes, const mac_key &key)
    -> parse_outcome;

/// Checks the inner TCP or UDP checksum over the whole segment. A UDP
/// checksum of zero passes. Thread safe.
auto transport_checksum_valid(const inner_packet &inner) -> bool;

/// Rewrites the destination and adjusts both checksums incrementally
/// (RFC 1624). Precondition: `inner` comes from `parse_packet`.
auto rewrite_destination(inner_packet &inner, const endpoint &to) -> void;

/// Rewrites the source, as `rewrite_destination` does the destination.
auto rewrite_source(inner_packet &inner, const endpoint &to) -> void;

/// Takes one off the time to live, as every relay does.
auto decrement_time_to_live(inner_packet &inner) -> void;

/// Writes a plain Geneve header in front of the inner packet and returns
/// the outer packet. Precondition: `inner.bytes` lies in a `packet_buffer`.
auto wrap_plain(const inner_packet &inner) -> std::span<std::uint8_t>;

/// Writes a Geneve header with a relay option and its MAC in front of the
/// inner packet. Precondition: as `wrap_plain`.
auto wrap_relay(const inner_packet &inner, const relay_header &header,
                const mac_key &key) -> std::span<std::uint8_t>;

/// Fields of a TCP or UDP packet that this process builds itself.
struct packet_fields {
    transport protocol = transport::tcp;
    endpoint source;
    endpoint destination;
    std::uint8_t tcp_flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::span<const std::uint8_t> payload;
};

/// Builds an inner IPv4 packet with valid checksums into `out`, and returns
/// it wrapped in a plain Geneve header.
auto build_packet(packet_buffer &out, const packet_fields &fields)
    -> std::span<std::uint8_t>;

/// Builds the refusal of a flow's first packet into `out`: a TCP reset, or
/// ICMP "administratively prohibited" for UDP. Precondition: no packet of
/// this flow was sent to an upstream.
auto build_refusal(packet_buffer &out, const inner_packet &opening)
    -> std::span<std::uint8_t>;

/// Payload of the inner segment. Thread safe.
auto payload_of(const inner_packet &inner) -> std::span<const std::uint8_t>;

} // namespace dogwoodtrack
