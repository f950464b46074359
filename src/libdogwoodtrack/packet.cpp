#include "dogwoodtrack/packet.hpp"

#include <arpa/inet.h>
#include <cstring>

#include <sodium.h>

namespace dogwoodtrack {

namespace {

constexpr std::size_t geneve_size = 8;
constexpr std::size_t option_header_size = 4;
constexpr std::size_t relay_body_size = 36;
constexpr std::size_t relay_mac_size = 8;
constexpr std::size_t relay_option_size =
    option_header_size + relay_body_size + relay_mac_size;
constexpr std::uint16_t protocol_ipv4 = 0x0800;
constexpr std::uint16_t option_class = 0xff07;
constexpr std::uint8_t option_type = 0x81;
constexpr std::size_t ip_min_size = 20;
constexpr std::size_t tcp_min_size = 20;
constexpr std::size_t udp_size = 8;
// The MAC covers the relay header and this many bytes of the inner packet.
// Unless the IPv4 header has options, these bytes include all fields on which
// the routing of the packet depends.
constexpr std::size_t mac_inner_size = 40;
constexpr std::uint16_t fragment_mask = 0x3fff;
constexpr std::uint8_t protocol_icmp = 1;

auto load16(const std::uint8_t *at) -> std::uint16_t {
    return static_cast<std::uint16_t>((at[0] << 8) | at[1]);
}

auto load32(const std::uint8_t *at) -> std::uint32_t {
    std::uint32_t value = 0;
    std::memcpy(&value, at, sizeof value);
    return ntohl(value);
}

auto store16(std::uint8_t *at, std::uint16_t value) -> void {
    at[0] = static_cast<std::uint8_t>(value >> 8);
    at[1] = static_cast<std::uint8_t>(value & 0xff);
}

auto store32(std::uint8_t *at, std::uint32_t value) -> void {
    value = htonl(value);
    std::memcpy(at, &value, sizeof value);
}

auto sum_words(std::span<const std::uint8_t> bytes, std::uint32_t sum = 0)
    -> std::uint32_t {
    std::size_t i = 0;
    for (; i + 1 < bytes.size(); i += 2)
        sum += load16(bytes.data() + i);
    if (i < bytes.size())
        sum += static_cast<std::uint32_t>(bytes[i] << 8);
    return sum;
}

auto fold_checksum(std::uint32_t sum) -> std::uint16_t {
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(sum);
}

// RFC 1624, equation 3: HC' = ~(~HC + ~m + m').
auto update_checksum(std::uint16_t checksum, std::uint32_t old_address,
                     std::uint32_t new_address, std::uint16_t old_port,
                     std::uint16_t new_port) -> std::uint16_t {
    std::uint32_t sum = static_cast<std::uint16_t>(~checksum);
    sum += static_cast<std::uint16_t>(~(old_address >> 16));
    sum += static_cast<std::uint16_t>(~(old_address & 0xffff));
    sum += (new_address >> 16) + (new_address & 0xffff);
    sum += static_cast<std::uint16_t>(~old_port);
    sum += new_port;
    return static_cast<std::uint16_t>(~fold_checksum(sum));
}

auto transport_checksum_offset(transport protocol) -> std::size_t {
    return protocol == transport::tcp ? 16 : 6;
}

auto rewrite_endpoint(inner_packet &inner, std::size_t address_offset,
                      std::size_t port_offset, const endpoint &from,
                      const endpoint &to) -> void {
    auto *ip = inner.bytes.data();
    auto *l4 = ip + inner.l4_offset;
    store16(ip + 10,
            update_checksum(load16(ip + 10), from.address, to.address, 0, 0));
    auto *checksum = l4 + transport_checksum_offset(inner.protocol);
    const auto checksum_absent =
        inner.protocol == transport::udp && load16(checksum) == 0;
    if (!checksum_absent) {
        auto value = update_checksum(load16(checksum), from.address, to.address,
                                     from.port, to.port);
        if (inner.protocol == transport::udp && value == 0)
            value = 0xffff;
        store16(checksum, value);
    }
    store32(ip + address_offset, to.address);
    store16(l4 + port_offset, to.port);
}

auto sum_with_pseudo_header(const inner_packet &inner) -> std::uint32_t {
    const auto segment = inner.bytes.subspan(inner.l4_offset);
    std::uint32_t sum = sum_words(inner.bytes.subspan(12, 8));
    sum += static_cast<std::uint32_t>(inner.protocol);
    sum += static_cast<std::uint32_t>(segment.size());
    return sum_words(segment, sum);
}

auto compute_mac(const std::uint8_t *relay_body, const inner_packet &inner,
                 const mac_key &key)
    -> std::array<std::uint8_t, relay_mac_size> {
    std::array<std::uint8_t, relay_body_size + mac_inner_size> buf{};
    std::memcpy(buf.data(), relay_body, relay_body_size);
    const auto n = std::min(mac_inner_size, inner.bytes.size());
    std::memcpy(buf.data() + relay_body_size, inner.bytes.data(), n);
    std::array<std::uint8_t, relay_mac_size> mac{};
    crypto_shorthash(mac.data(), buf.data(), buf.size(), key.data());
    return mac;
}

auto store_relay(std::uint8_t *at, const relay_header &header) -> void {
    at[0] = static_cast<std::uint8_t>(header.kind);
    at[1] = static_cast<std::uint8_t>(header.event);
    at[2] = header.hops;
    at[3] = header.chain_size;
    store32(at + 4, header.failure_domain);
    store32(at + 8, header.owner);
    store32(at + 12, header.upstream.address);
    store16(at + 16, header.upstream.port);
    store16(at + 18, 0);
    for (std::size_t i = 0; i < chain_limit; ++i)
        store32(at + 20 + 4 * i, header.chain[i]);
}

auto valid_relay_kind(std::uint8_t kind) -> bool {
    return kind >= static_cast<std::uint8_t>(relay_kind::open) &&
           kind <= static_cast<std::uint8_t>(relay_kind::found);
}

auto load_relay(const std::uint8_t *at) -> std::optional<relay_header> {
    if (!valid_relay_kind(at[0]) || !valid_relay_kind(at[1]) ||
        at[3] > chain_limit)
        return std::nullopt;
    relay_header header{
        .kind = static_cast<relay_kind>(at[0]),
        .event = static_cast<relay_kind>(at[1]),
        .hops = at[2],
        .chain_size = at[3],
        .failure_domain = load32(at + 4),
        .owner = load32(at + 8),
        .upstream = {.address = load32(at + 12), .port = load16(at + 16)}};
    for (std::size_t i = 0; i < chain_limit; ++i)
        header.chain[i] = load32(at + 20 + 4 * i);
    return header;
}

auto parse_inner(std::span<std::uint8_t> bytes, inner_packet &inner)
    -> std::optional<drop_kind> {
    if (bytes.size() < ip_min_size)
        return drop_kind::truncated;
    if (bytes[0] >> 4 != 4)
        return drop_kind::not_ipv4;
    const std::size_t header_size = (bytes[0] & std::size_t{0x0f}) * 4;
    const std::size_t total_size = load16(bytes.data() + 2);
    if (header_size < ip_min_size || total_size < header_size ||
        total_size > bytes.size())
        return drop_kind::truncated;
    if (fold_checksum(sum_words(bytes.first(header_size))) != 0xffff)
        return drop_kind::bad_checksum;
    if ((load16(bytes.data() + 6) & fragment_mask) != 0)
        return drop_kind::fragment;
    const auto protocol = bytes[9];
    if (protocol != static_cast<std::uint8_t>(transport::tcp) &&
        protocol != static_cast<std::uint8_t>(transport::udp))
        return drop_kind::foreign_protocol;
    inner.protocol = static_cast<transport>(protocol);
    const auto is_tcp = inner.protocol == transport::tcp;
    if (total_size < header_size + (is_tcp ? tcp_min_size : udp_size))
        return drop_kind::truncated;
    inner.bytes = bytes.first(total_size);
    inner.l4_offset = header_size;
    const auto *ip = bytes.data();
    const auto *l4 = ip + header_size;
    inner.time_to_live = ip[8];
    inner.source = {.address = load32(ip + 12), .port = load16(l4)};
    inner.destination = {.address = load32(ip + 16), .port = load16(l4 + 2)};
    if (is_tcp) {
        const std::size_t data_offset =
            static_cast<std::size_t>(l4[12] >> 4) * 4;
        if (data_offset < tcp_min_size ||
            header_size + data_offset > total_size)
            return drop_kind::truncated;
        inner.tcp_flags = l4[13];
        inner.tcp_sequence = load32(l4 + 4);
    } else if (load16(l4 + 4) < udp_size ||
               load16(l4 + 4) > total_size - header_size) {
        return drop_kind::truncated;
    }
    return std::nullopt;
}

auto write_geneve(std::uint8_t *at, std::size_t options_size) -> void {
    std::memset(at, 0, geneve_size);
    at[0] = static_cast<std::uint8_t>(options_size / 4);
    at[1] = options_size > 0 ? 0x40 : 0; // critical options present
    store16(at + 2, protocol_ipv4);
}

auto write_ip(std::uint8_t *ip, std::size_t total_size, std::uint8_t protocol,
              std::uint32_t source, std::uint32_t destination) -> void {
    std::memset(ip, 0, ip_min_size);
    ip[0] = 0x45;
    store16(ip + 2, static_cast<std::uint16_t>(total_size));
    ip[8] = initial_time_to_live;
    ip[9] = protocol;
    store32(ip + 12, source);
    store32(ip + 16, destination);
    store16(ip + 10, static_cast<std::uint16_t>(
                         ~fold_checksum(sum_words({ip, ip_min_size}))));
}

} // namespace

auto to_string(drop_kind kind) -> std::string_view {
    static constexpr std::array<std::string_view,
                                static_cast<std::size_t>(drop_kind::count)>
        names{"truncated",
              "not_geneve",
              "not_ipv4",
              "fragment",
              "bad_checksum",
              "foreign_protocol",
              "unknown_destination",
              "bad_relay",
              "forged_relay",
              "too_many_hops",
              "no_owner",
              "unknown_flow",
              "fenced",
              "not_placing",
              "table_full",
              "stale_answer",
              "queue_full"};
    return names[static_cast<std::size_t>(kind)];
}

auto parse_packet(std::span<std::uint8_t> bytes, const mac_key &key)
    -> parse_outcome {
    if (bytes.size() < geneve_size)
        return {.packet = {}, .reason = drop_kind::truncated};
    const std::size_t options_size = (bytes[0] & std::size_t{0x3f}) * 4;
    if (bytes[0] >> 6 != 0 || load16(bytes.data() + 2) != protocol_ipv4)
        return {.packet = {}, .reason = drop_kind::not_geneve};
    if (bytes.size() < geneve_size + options_size)
        return {.packet = {}, .reason = drop_kind::truncated};
    outer_packet packet;
    const auto failure =
        parse_inner(bytes.subspan(geneve_size + options_size), packet.inner);
    if (failure)
        return {.packet = {}, .reason = *failure};
    if (options_size == 0)
        return {.packet = packet};
    const auto *option = bytes.data() + geneve_size;
    if (options_size != relay_option_size || load16(option) != option_class ||
        option[2] != option_type ||
        (option[3] & std::size_t{0x1f}) * 4 !=
            relay_option_size - option_header_size)
        return {.packet = {}, .reason = drop_kind::bad_relay};
    const auto *body = option + option_header_size;
    const auto mac = compute_mac(body, packet.inner, key);
    if (sodium_memcmp(mac.data(), body + relay_body_size, mac.size()) != 0)
        return {.packet = {}, .reason = drop_kind::forged_relay};
    packet.relay = load_relay(body);
    if (!packet.relay)
        return {.packet = {}, .reason = drop_kind::bad_relay};
    return {.packet = packet};
}

auto transport_checksum_valid(const inner_packet &inner) -> bool {
    const auto *checksum = inner.bytes.data() + inner.l4_offset +
                           transport_checksum_offset(inner.protocol);
    if (inner.protocol == transport::udp && load16(checksum) == 0)
        return true;
    return fold_checksum(sum_with_pseudo_header(inner)) == 0xffff;
}

auto rewrite_destination(inner_packet &inner, const endpoint &to) -> void {
    rewrite_endpoint(inner, 16, 2, inner.destination, to);
    inner.destination = to;
}

auto rewrite_source(inner_packet &inner, const endpoint &to) -> void {
    rewrite_endpoint(inner, 12, 0, inner.source, to);
    inner.source = to;
}

auto decrement_time_to_live(inner_packet &inner) -> void {
    if (inner.time_to_live == 0)
        return;
    auto *ip = inner.bytes.data();
    // The checksum covers 16-bit words; the time to live is the upper byte of
    // its word.
    const auto before = load16(ip + 8);
    ip[8] = --inner.time_to_live;
    store16(ip + 10,
            update_checksum(load16(ip + 10), before, load16(ip + 8), 0, 0));
}

auto wrap_plain(const inner_packet &inner) -> std::span<std::uint8_t> {
    auto *start = inner.bytes.data() - geneve_size;
    write_geneve(start, 0);
    return {start, geneve_size + inner.bytes.size()};
}

auto wrap_relay(const inner_packet &inner, const relay_header &header,
                const mac_key &key) -> std::span<std::uint8_t> {
    constexpr auto headers_size = geneve_size + relay_option_size;
    auto *start = inner.bytes.data() - headers_size;
    write_geneve(start, relay_option_size);
    auto *option = start + geneve_size;
    store16(option, option_class);
    option[2] = option_type;
    option[3] = (relay_option_size - option_header_size) / 4;
    auto *body = option + option_header_size;
    store_relay(body, header);
    const auto mac = compute_mac(body, inner, key);
    std::memcpy(body + relay_body_size, mac.data(), mac.size());
    return {start, headers_size + inner.bytes.size()};
}

auto build_packet(packet_buffer &out, const packet_fields &fields)
    -> std::span<std::uint8_t> {
    const auto is_tcp = fields.protocol == transport::tcp;
    const auto l4_size = is_tcp ? tcp_min_size : udp_size;
    const auto total_size = ip_min_size + l4_size + fields.payload.size();
    auto *ip = out.bytes.data() + packet_headroom + geneve_size;
    write_ip(ip, total_size, static_cast<std::uint8_t>(fields.protocol),
             fields.source.address, fields.destination.address);
    auto *l4 = ip + ip_min_size;
    std::memset(l4, 0, l4_size);
    store16(l4, fields.source.port);
    store16(l4 + 2, fields.destination.port);
    if (is_tcp) {
        store32(l4 + 4, fields.sequence);
        store32(l4 + 8, fields.acknowledgement);
        l4[12] = (tcp_min_size / 4) << 4;
        l4[13] = fields.tcp_flags;
        store16(l4 + 14, 0xffff);
    } else {
        store16(l4 + 4,
                static_cast<std::uint16_t>(l4_size + fields.payload.size()));
    }
    if (!fields.payload.empty())
        std::memcpy(l4 + l4_size, fields.payload.data(), fields.payload.size());
    inner_packet inner{.bytes = {ip, total_size},
                       .l4_offset = ip_min_size,
                       .protocol = fields.protocol};
    auto checksum = static_cast<std::uint16_t>(
        ~fold_checksum(sum_with_pseudo_header(inner)));
    if (!is_tcp && checksum == 0)
        checksum = 0xffff;
    store16(l4 + transport_checksum_offset(fields.protocol), checksum);
    const auto outer = wrap_plain(inner);
    out.offset = packet_headroom;
    out.size = outer.size();
    return outer;
}

auto build_refusal(packet_buffer &out, const inner_packet &opening)
    -> std::span<std::uint8_t> {
    if (opening.protocol == transport::tcp)
        return build_packet(out, {.protocol = transport::tcp,
                                  .source = opening.destination,
                                  .destination = opening.source,
                                  .tcp_flags = tcp_rst | tcp_ack,
                                  .acknowledgement = opening.tcp_sequence + 1,
                                  .payload = {}});
    // ICMP destination unreachable (type 3), communication administratively
    // prohibited (code 13). The ICMP payload is the IPv4 header of the opening
    // packet and the 8 bytes after it.
    constexpr std::size_t icmp_size = 8;
    const auto quoted = opening.l4_offset + udp_size;
    const auto total_size = ip_min_size + icmp_size + quoted;
    auto *ip = out.bytes.data() + packet_headroom + geneve_size;
    write_ip(ip, total_size, protocol_icmp, opening.destination.address,
             opening.source.address);
    auto *icmp = ip + ip_min_size;
    std::memset(icmp, 0, icmp_size);
    icmp[0] = 3;
    icmp[1] = 13;
    std::memcpy(icmp + icmp_size, opening.bytes.data(), quoted);
    store16(icmp + 2, static_cast<std::uint16_t>(~fold_checksum(
                          sum_words({icmp, icmp_size + quoted}))));
    const auto outer = wrap_plain({.bytes = {ip, total_size}});
    out.offset = packet_headroom;
    out.size = outer.size();
    return outer;
}

auto payload_of(const inner_packet &inner) -> std::span<const std::uint8_t> {
    const auto *l4 = inner.bytes.data() + inner.l4_offset;
    const std::size_t header_size =
        inner.protocol == transport::tcp
            ? static_cast<std::size_t>(l4[12] >> 4) * 4
            : udp_size;
    return inner.bytes.subspan(inner.l4_offset + header_size);
}

} // namespace dogwoodtrack
