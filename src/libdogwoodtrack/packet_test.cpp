#include <doctest/doctest.h>

#include <random>

#include "dogwoodtrack/packet.hpp"

using namespace dogwoodtrack;

namespace {

constexpr mac_key key{4, 5, 6};

auto build_sample(packet_buffer &buf, transport protocol) -> void {
    static const std::uint8_t payload[] = {1, 2, 3, 4, 5};
    build_packet(buf, {.protocol = protocol,
                       .source = {.address = 0x0a000001, .port = 1234},
                       .destination = {.address = 0xc6120001, .port = 443},
                       .tcp_flags = tcp_ack,
                       .payload = payload});
}

} // namespace

TEST_CASE(
    "checksums stay valid when endpoints and time to live are rewritten") {
    std::mt19937 random(3);
    for (const auto protocol : {transport::tcp, transport::udp}) {
        for (int i = 0; i < 2000; ++i) {
            packet_buffer buf;
            build_sample(buf, protocol);
            auto parsed = parse_packet(buf.view(), key);
            REQUIRE(parsed.packet);
            auto &inner = parsed.packet->inner;
            rewrite_destination(
                inner, {.address = static_cast<std::uint32_t>(random()),
                        .port = static_cast<std::uint16_t>(random())});
            rewrite_source(inner,
                           {.address = static_cast<std::uint32_t>(random()),
                            .port = static_cast<std::uint16_t>(random())});
            decrement_time_to_live(inner);
            CHECK(transport_checksum_valid(inner));
            CHECK(parse_packet(wrap_plain(inner), key).packet);
        }
    }
}

TEST_CASE(
    "a relay header is parsed as it was written, and a packet is rejected if "
    "any byte of its relay header is changed") {
    packet_buffer buf;
    build_sample(buf, transport::tcp);
    auto parsed = parse_packet(buf.view(), key);
    relay_header header{.kind = relay_kind::chain,
                        .event = relay_kind::open,
                        .hops = 3,
                        .chain_size = 2,
                        .failure_domain = 77,
                        .owner = 88,
                        .upstream = {.address = 99, .port = 1000},
                        .chain = {5, 6, 0, 0}};
    auto outer = wrap_relay(parsed.packet->inner, header, key);
    auto reparsed = parse_packet(outer, key);
    REQUIRE(reparsed.packet);
    REQUIRE(reparsed.packet->relay);
    CHECK(reparsed.packet->relay->owner == 88);
    CHECK(reparsed.packet->relay->chain[1] == 6);
    CHECK(reparsed.packet->relay->upstream.port == 1000);
    for (std::size_t i = 12; i < 56; ++i) {
        outer[i] ^= 1;
        const auto changed = parse_packet(outer, key);
        CHECK(!changed.packet);
        outer[i] ^= 1;
    }
}

TEST_CASE("parse_packet returns the reason for dropping a malformed packet") {
    packet_buffer buf;
    build_sample(buf, transport::tcp);
    const auto drop_reason = [&](std::size_t at, std::uint8_t value) {
        packet_buffer copy = buf;
        copy.view()[at] = value;
        return parse_packet(copy.view(), key).reason;
    };
    CHECK(drop_reason(2, 0x86) == drop_kind::not_geneve);
    CHECK(drop_reason(8, 0x65) == drop_kind::not_ipv4);
    CHECK(drop_reason(18, 0xff) == drop_kind::bad_checksum);
    CHECK(parse_packet(buf.view().first(20), key).reason ==
          drop_kind::truncated);
}
