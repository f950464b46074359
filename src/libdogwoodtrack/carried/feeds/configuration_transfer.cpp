#include "carried/feeds/configuration_transfer.hpp"

#include <algorithm>
#include <utility>

namespace dogwoodtrack::carried {

namespace {

constexpr std::size_t first_window = 16;
constexpr std::size_t min_window = 4;
constexpr std::size_t max_window = 64;
/// Largest number of blocks of a configuration, for some hundred thousand
/// routes.
constexpr std::size_t max_blocks = 1 << 16;
/// Largest number of levels of blocks below an outline: three hold more than
/// `max_blocks`.
constexpr unsigned max_levels = 3;
/// Configurations before the one in force that are passed on.
constexpr std::size_t max_earlier_configurations = 3;

auto find_known(const configuration_transfer &transfer,
                const served_configurations &served, block_name name)
    -> const configuration_block * {
    const auto received = transfer.received.find(name);
    return received != transfer.received.end() ? &received->second
                                               : find_block(served, name);
}

/// A walk through the blocks of a configuration. A faulty peer can name blocks
/// of blocks without end, so the walk has a limit.
struct block_walk {
    const configuration_transfer &transfer;
    const served_configurations &served;
    std::size_t visited = 0;
    bool too_large = false;
};

// Calls `on_missing(name)` or `on_routes(block)` for each of the named blocks
// and the blocks named in them, in order.
auto walk_blocks(block_walk &walk, const std::vector<block_name> &names,
                 unsigned level, const auto &on_missing, const auto &on_routes)
    -> void {
    for (const auto name : names) {
        walk.too_large |= level > max_levels || ++walk.visited > max_blocks;
        if (walk.too_large)
            return;
        const auto *block = find_known(walk.transfer, walk.served, name);
        if (block == nullptr)
            on_missing(name);
        else if (const auto inner = read_names(*block))
            walk_blocks(walk, *inner, level + 1, on_missing, on_routes);
        else
            on_routes(*block);
    }
}

// Adds to the wanted blocks those of `names`, and those named in known ones,
// that are not known. Returns whether there are not too many.
auto want_missing(configuration_transfer &transfer,
                  const served_configurations &served,
                  const std::vector<block_name> &names) -> bool {
    block_walk walk{.transfer = transfer, .served = served};
    walk_blocks(
        walk, names, 1,
        [&](block_name name) {
            if (transfer.wanted.insert(name).second)
                transfer.queue.push_back(name);
        },
        [](const configuration_block &) {});
    return !walk.too_large && transfer.wanted.size() <= max_blocks;
}

// Routes of the target. Returns nothing if a block is missing or malformed.
auto assemble_routes(const configuration_transfer &transfer,
                     const served_configurations &served)
    -> std::optional<std::vector<route_spec>> {
    std::vector<route_spec> routes;
    auto complete = true;
    block_walk walk{.transfer = transfer, .served = served};
    walk_blocks(
        walk, transfer.target.names, 1, [&](block_name) { complete = false; },
        [&](const configuration_block &block) {
            const auto read = read_routes(block);
            complete &= read.has_value();
            if (read)
                routes.insert(routes.end(), read->begin(), read->end());
        });
    if (!complete || walk.too_large)
        return std::nullopt;
    return routes;
}

auto request_blocks(configuration_transfer &transfer, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    block_request_message request;
    while (!transfer.queue.empty() && transfer.asked.size() < transfer.window &&
           request.names.size() < max_block_names) {
        const auto name = transfer.queue.front();
        transfer.queue.pop_front();
        if (!transfer.wanted.contains(name))
            continue;
        transfer.asked[name] = now;
        request.names.push_back(name);
    }
    if (!request.names.empty())
        out.push_back({.to = transfer.source, .message = std::move(request)});
}

// Puts the configuration together if no block is missing.
auto complete_transfer(configuration_transfer &transfer,
                       const served_configurations &served)
    -> std::shared_ptr<configuration> {
    if (!transfer.wanted.empty())
        return nullptr;
    auto routes = assemble_routes(transfer, served);
    auto whole = std::make_shared<configuration>(transfer.target.head);
    end_transfer(transfer);
    transfer.received.clear();
    if (!routes)
        return nullptr;
    whole->routes = std::move(*routes);
    return whole;
}

} // namespace

auto blocks_in_force(served_configurations &served,
                     const std::shared_ptr<const configuration> &in_force)
    -> const block_tree & {
    if (served.empty() || served.front()->whole != in_force) {
        served.push_front(
            std::make_shared<const block_tree>(make_block_tree(in_force)));
        if (served.size() > 1 + max_earlier_configurations)
            served.pop_back();
    }
    return *served.front();
}

auto find_block(const served_configurations &served, block_name name)
    -> const configuration_block * {
    for (const auto &tree : served) {
        const auto found = tree->blocks.find(name);
        if (found != tree->blocks.end())
            return &found->second;
    }
    return nullptr;
}

auto begin_transfer(configuration_transfer &transfer,
                    const served_configurations &served, std::uint32_t from,
                    const outline_message &message, time_point now,
                    std::vector<outgoing_message> &out)
    -> std::shared_ptr<configuration> {
    if (transfer.received.size() > max_blocks)
        transfer.received.clear();
    end_transfer(transfer);
    transfer.target = message.outline;
    transfer.version = message.version;
    transfer.source = from;
    transfer.window = std::max(transfer.window, first_window);
    if (!want_missing(transfer, served, transfer.target.names)) {
        end_transfer(transfer);
        return nullptr;
    }
    request_blocks(transfer, now, out);
    return complete_transfer(transfer, served);
}

auto add_block(configuration_transfer &transfer,
               const served_configurations &served,
               const configuration_block &block, time_point now,
               std::vector<outgoing_message> &out)
    -> std::shared_ptr<configuration> {
    const auto name = name_of(block);
    if (transfer.wanted.erase(name) == 0)
        return nullptr;
    transfer.asked.erase(name);
    transfer.received.insert_or_assign(name, block);
    transfer.window = std::min(transfer.window + 1, max_window);
    ++transfer.blocks_received;
    const auto inner = read_names(block);
    if (inner && !want_missing(transfer, served, *inner)) {
        end_transfer(transfer);
        return nullptr;
    }
    request_blocks(transfer, now, out);
    return complete_transfer(transfer, served);
}

auto repeat_block_requests(configuration_transfer &transfer, time_point now,
                           std::vector<outgoing_message> &out) -> void {
    std::vector<block_name> late;
    for (const auto &[name, asked_at] : transfer.asked) {
        if (now - asked_at >= block_timeout)
            late.push_back(name);
    }
    if (late.empty())
        return;
    transfer.blocks_repeated += late.size();
    transfer.window = std::max(transfer.window / 2, min_window);
    for (const auto name : late) {
        transfer.asked.erase(name);
        transfer.queue.push_front(name);
    }
    request_blocks(transfer, now, out);
}

auto end_transfer(configuration_transfer &transfer) -> void {
    transfer.target = {};
    transfer.wanted.clear();
    transfer.queue.clear();
    transfer.asked.clear();
}

auto is_active(const configuration_transfer &transfer) -> bool {
    return transfer.target.head.revision != store_revision{};
}

} // namespace dogwoodtrack::carried
