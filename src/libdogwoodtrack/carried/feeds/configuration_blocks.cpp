#include "carried/feeds/configuration_blocks.hpp"

#include <span>
#include <utility>

#include "carried/feeds/route_encoding.hpp"

namespace dogwoodtrack::carried {

namespace {

/// A block of routes ends after one route in this many, by the hash of its
/// address.
constexpr std::uint64_t routes_per_block = 8;
/// A block of names ends after one name in this many.
constexpr std::uint64_t names_per_block = 32;
/// Largest content of a block, in bytes.
constexpr std::size_t max_content_size = 1'100;

auto add_block(block_tree &tree, configuration_block block) -> block_name {
    const auto name = name_of(block);
    tree.blocks.insert_or_assign(name, std::move(block));
    return name;
}

auto ends_block(const route_spec &it) -> bool {
    return hash_pair(it.address.address, it.address.port) % routes_per_block ==
           0;
}

auto cut_routes(block_tree &tree, const std::vector<route_spec> &routes)
    -> std::vector<block_name> {
    std::vector<block_name> names;
    configuration_block block{.kind = block_kind::routes, .content = {}};
    const auto finish = [&] {
        if (!block.content.empty())
            names.push_back(
                add_block(tree, {.kind = block_kind::routes,
                                 .content = std::exchange(block.content, {})}));
    };
    for (const auto &it : routes) {
        const auto encoded = encode_route(it);
        if (block.content.size() + encoded.size() > max_content_size)
            finish();
        block.content += encoded;
        if (ends_block(it))
            finish();
    }
    finish();
    return names;
}

// Replaces the names by those of blocks with them.
auto cut_names(block_tree &tree, const std::vector<block_name> &names)
    -> std::vector<block_name> {
    std::vector<block_name> upper;
    auto begin = names.begin();
    for (auto it = names.begin(); it != names.end(); ++it) {
        const auto count = static_cast<std::size_t>(it + 1 - begin);
        if (it + 1 != names.end() && *it % names_per_block != 0 &&
            count < max_block_names)
            continue;
        upper.push_back(
            add_block(tree, {.kind = block_kind::names,
                             .content = encode_names({&*begin, count})}));
        begin = it + 1;
    }
    return upper;
}

} // namespace

auto make_block_tree(std::shared_ptr<const configuration> whole) -> block_tree {
    block_tree tree{.whole = std::move(whole), .outline = {}, .blocks = {}};
    auto &head = tree.outline.head;
    head = *tree.whole;
    head.routes.clear();
    tree.outline.names = cut_routes(tree, tree.whole->routes);
    while (tree.outline.names.size() > max_block_names)
        tree.outline.names = cut_names(tree, tree.outline.names);
    return tree;
}

auto name_of(const configuration_block &block) -> block_name {
    return hash_pair(hash_name64(block.content),
                     static_cast<std::uint64_t>(block.kind));
}

auto read_routes(const configuration_block &block)
    -> std::optional<std::vector<route_spec>> {
    if (block.kind != block_kind::routes)
        return std::nullopt;
    return decode_routes(block.content);
}

auto read_names(const configuration_block &block)
    -> std::optional<std::vector<block_name>> {
    if (block.kind != block_kind::names)
        return std::nullopt;
    return decode_names(block.content);
}

} // namespace dogwoodtrack::carried
