#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "dogwoodtrack/types.hpp"

namespace dogwoodtrack {

/// Reasons for dropping a packet, with one counter each.
enum class drop_kind : std::uint8_t {
    truncated,        ///< shorter than the lengths in its headers
    not_geneve,       ///< outer packet is not Geneve version 0 with IPv4 inside
    not_ipv4,         ///< inner packet is not IPv4
    fragment,         ///< inner packet is an IPv4 fragment
    bad_checksum,     ///< of the inner IPv4 header
    foreign_protocol, ///< neither TCP nor UDP
    unknown_destination, ///< neither to a service nor from an upstream
    /// Malformed relay option, or one that contradicts the inner packet or
    /// names an unknown failure domain or upstream.
    bad_relay,
    forged_relay,  ///< wrong MAC in the relay option
    too_many_hops, ///< relayed `hop_limit` times
    /// One of these: no failure domain of the service is reachable; the domain
    /// that the flow was forwarded to is not reachable; the domain that has to
    /// handle the packet has no owner; the balancer to relay to is not
    /// reachable. With `placement_mode::hash`: no upstream is in service.
    no_owner,
    unknown_flow, ///< no failure domain has a record of the flow
    /// A replica rejected a decision, either because it came from a balancer
    /// that is not the owner or because the replica could not record it.
    fenced,
    /// The owner holds no lease, or a flow from a reused caller port cannot be
    /// placed on the upstream of the previous flow.
    not_placing,
    table_full,   ///< the flow table is full
    stale_answer, ///< from an upstream that the flow is not bound to
    /// The queue to another worker is full, or no buffer is free for the reply
    /// that refuses a flow.
    queue_full,
    count
};

/// Returns the counter name of a drop kind, for example `bad_checksum`.
/// Thread safe.
auto to_string(drop_kind kind) -> std::string_view;

/// Bytes reserved in front of a received packet, so that a longer outer
/// header can be written in place.
inline constexpr std::size_t packet_headroom = 96;
/// Largest outer packet accepted from the link, in bytes.
inline constexpr std::size_t packet_limit = 2048;

/// One packet in a fixed-size buffer with headroom.
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

/// What the receiver of a relayed packet does with it. The values are part of
/// the relay header.
enum class relay_kind : std::uint8_t {
    open = 1,    ///< place the flow if it has no record, and forward
    lookup = 2,  ///< look up the flow's record and forward
    close = 3,   ///< record the caller's FIN or RST and forward
    refresh = 4, ///< record that the flow is still in use and forward
    chain = 5,   ///< as a replica, record the owner's decision and pass it on
    answer = 6,  ///< check the sending upstream against the record and forward
    gone = 7,    ///< record an upstream's FIN or RST and forward
    found = 8    ///< learn the upstream, the result of a lookup, and forward
};

/// Maximum number of replicas listed in the chain of a relay header.
inline constexpr std::size_t chain_limit = 4;
/// Maximum number of relays of one packet before it is dropped.
inline constexpr std::uint8_t hop_limit = 24;

/// Header of a packet relayed between balancers. The relayed packet is on its
/// way to an upstream or a caller; the header tells the receiving balancer how
/// to handle and route that packet.
struct relay_header {
    relay_kind kind = relay_kind::open;
    /// For `chain`: the change to the flow that the replicas have to record,
    /// `open`, `close`, `gone` or `refresh`.
    relay_kind event = relay_kind::open;
    std::uint8_t hops = 0;       ///< relays of the packet so far
    std::uint8_t chain_size = 0; ///< replicas listed in `chain`
    /// `hash_name` of a failure domain. The service's owner in this domain has
    /// to handle the packet or, for `chain` and `found`, has handled it.
    std::uint32_t failure_domain = 0;
    /// Member id of that owner, for `chain` and `found`; otherwise of the
    /// balancer that relayed the packet first.
    std::uint32_t owner = 0;
    /// Binding of the flow, for `chain`, `found` and `refresh`: its upstream,
    /// or with port 0 the failure domain that it was forwarded to.
    endpoint upstream;
    /// Member ids of the replicas that the packet has not reached yet.
    std::array<std::uint32_t, chain_limit> chain{};
};

/// IPv4 time to live of packets that this process builds.
inline constexpr std::uint8_t initial_time_to_live = 64;

/// SipHash key of the MAC in relay headers.
using mac_key = std::array<std::uint8_t, 16>;

/// The inner IPv4 packet and its parsed header fields.
struct inner_packet {
    std::span<std::uint8_t> bytes; ///< IPv4 header and segment
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

/// A parsed Geneve packet.
struct outer_packet {
    inner_packet inner;
    std::optional<relay_header> relay;
};

/// A parsed packet or the reason for dropping it.
struct parse_outcome {
    std::optional<outer_packet> packet;
    drop_kind reason = drop_kind::truncated;
};

/// Parses a Geneve packet and verifies the inner IPv4 header checksum and, for
/// relayed packets, the MAC under `key`. Never reads past the end of `bytes`;
/// the result refers to them. Thread safe.
auto parse_packet(std::span<std::uint8_t> bytes, const mac_key &key)
    -> parse_outcome;

/// Returns whether the inner TCP or UDP checksum is correct. A UDP checksum of
/// zero means that the sender computed none; it counts as correct. Thread safe.
auto transport_checksum_valid(const inner_packet &inner) -> bool;

/// Rewrites the destination and updates the IPv4 header checksum and the TCP
/// or UDP checksum incrementally (RFC 1624). Precondition: `inner` was
/// returned by `parse_packet`.
auto rewrite_destination(inner_packet &inner, const endpoint &to) -> void;

/// Rewrites the source, and the checksums as `rewrite_destination` does.
/// Precondition: `inner` was returned by `parse_packet`.
auto rewrite_source(inner_packet &inner, const endpoint &to) -> void;

/// Decrements the IPv4 time to live unless it is 0, and updates the header
/// checksum. Precondition: `inner` was returned by `parse_packet`.
auto decrement_time_to_live(inner_packet &inner) -> void;

/// Writes a Geneve header without options directly in front of the inner packet
/// and returns the outer packet. Precondition: `inner.bytes` lies in a
/// `packet_buffer`, behind its headroom.
auto wrap_plain(const inner_packet &inner) -> std::span<std::uint8_t>;

/// Writes a Geneve header with a relay option and its MAC in front of the
/// inner packet and returns the outer packet. Precondition: as for
/// `wrap_plain`.
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

/// Builds an inner IPv4 packet with valid checksums in `out` and returns it
/// with a Geneve header without options. Precondition: the outer packet is not
/// longer than `packet_limit`.
auto build_packet(packet_buffer &out, const packet_fields &fields)
    -> std::span<std::uint8_t>;

/// Builds the refusal of a flow's first packet in `out`: a TCP reset, or ICMP
/// "communication administratively prohibited" for UDP. Precondition: no
/// packet of this flow was sent to an upstream.
auto build_refusal(packet_buffer &out, const inner_packet &opening)
    -> std::span<std::uint8_t>;

/// Returns the payload of the inner segment. Thread safe.
auto payload_of(const inner_packet &inner) -> std::span<const std::uint8_t>;

} // namespace dogwoodtrack
