#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "carried/feeds/configuration.hpp"

namespace dogwoodtrack::carried {

/// A configuration is cut into blocks that are named by a hash of their
/// content, each small enough for one datagram: blocks of routes, and blocks
/// with the names of others, as in a Merkle tree. Where a block ends depends on
/// the routes in it only, so that a change of a few routes changes the names of
/// a few blocks, and whoever has the other blocks needs only these.

using block_name = std::uint64_t;

enum class block_kind : std::uint8_t { routes, names };

/// An encoded block.
struct configuration_block {
    block_kind kind{};
    std::string content;

    auto operator==(const configuration_block &) const -> bool = default;
};

/// All of a configuration but its routes, and the names of the blocks that have
/// them, in order.
struct configuration_outline {
    configuration head;
    std::vector<block_name> names;
};

/// A configuration and the blocks into which it is cut. Immutable.
struct block_tree {
    std::shared_ptr<const configuration> whole;
    configuration_outline outline;
    boost::unordered_flat_map<block_name, configuration_block> blocks;
};

/// Cuts a configuration, whose routes are sorted, into blocks. Equal routes
/// give equal blocks. Thread safe.
auto make_block_tree(std::shared_ptr<const configuration> whole) -> block_tree;

/// Name of a block: a hash of its kind and content. Thread safe.
auto name_of(const configuration_block &block) -> block_name;

/// Routes in a block. Returns nothing if it is malformed or of the other kind.
/// Does not throw. Thread safe.
auto read_routes(const configuration_block &block)
    -> std::optional<std::vector<route_spec>>;

/// Names in a block, as `read_routes`.
auto read_names(const configuration_block &block)
    -> std::optional<std::vector<block_name>>;

/// Largest number of names in a block or an outline.
inline constexpr std::size_t max_block_names = 120;

} // namespace dogwoodtrack::carried
