#pragma once

#include "carried/feeds/peer_fields.hpp"

namespace dogwoodtrack::carried::fields {

/// Reads a time in milliseconds; larger ones than any in use are cut off.
inline auto to_milliseconds(std::uint64_t value) -> milliseconds {
    constexpr std::uint64_t max_ms = 1'000'000'000;
    return milliseconds{static_cast<std::int64_t>(std::min(value, max_ms))};
}

/// Reads a bool field as an integer: if a message ends after the tag of the
/// field, protozero's `get_bool` reads past the end of the message.
template <typename Field>
auto read_flag(reader<Field> &in) -> bool {
    return in.get_uint32() != 0;
}

/// Decode a version, and the messages about configurations. Malformed fields
/// throw `protozero::exception`, which `decode_peer_message` catches.
/// `read_routes` returns nothing if the message is only a part of a
/// configuration. Thread safe.
auto read_version(reader<version_field> in) -> reported_version;
auto read_routes(reader<batch_field> in) -> std::optional<peer_message>;
auto read_outline(reader<outline_field> in) -> outline_message;
auto read_block_request(reader<block_field> in) -> block_request_message;
auto read_block(reader<block_field> in) -> block_message;

} // namespace dogwoodtrack::carried::fields
