#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "carried/feeds/configuration.hpp"

namespace dogwoodtrack::carried {

/// Encodes a route as an item of the message `Routes`, see proto/carried.proto.
/// Encoded routes can be concatenated. Thread safe.
auto encode_route(const route_spec &route) -> std::string;

/// Decodes concatenated routes. Returns nothing if they are malformed. Does not
/// throw. Thread safe.
auto decode_routes(std::string_view bytes)
    -> std::optional<std::vector<route_spec>>;

/// Encodes names of blocks, see `configuration_blocks.hpp`. Thread safe.
auto encode_names(std::span<const std::uint64_t> names) -> std::string;

/// Decodes names of blocks. Returns nothing if they are malformed. Does not
/// throw. Thread safe.
auto decode_names(std::string_view bytes)
    -> std::optional<std::vector<std::uint64_t>>;

} // namespace dogwoodtrack::carried
