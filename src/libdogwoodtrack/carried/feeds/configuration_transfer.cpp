#include "carried/feeds/configuration_transfer.hpp"

#include <algorithm>

namespace dogwoodtrack::carried {

namespace {

constexpr std::size_t first_window = 16;
constexpr std::size_t min_window = 4;
constexpr std::size_t max_window = 64;
/// Largest number of blocks of a configuration, for some hundred thousand
/// routes.
constexpr std::size_t max_blocks = 1 << 16;
/// Configurations before the one in force that are passed on.
constexpr std::size_t max_earlier_configurations = 3;

auto find_known(const configuration_transfer &transfer,
                const served_configurations &served, block_name name)
    -> const configuration_block * {
    const auto received = transfer.received.find(name);
    return received != transfer.received.end() ? &received->second
                                               : find_block(served, name);
}

// Adds to the wanted blocks those of `names`, and those named in known ones,
// that are not known.
auto want_missing(configuration_transfer &transfer,
                  const served_configurations &served,
                  const std::vector<block_name> &names) -> void {
    for (const auto name : names) {
        const auto *block = find_known(transfer, served, name);
        if (block == nullptr) {
            if (transfer.wanted.insert(name).second)
                transfer.queue.push_back(name);
        } else if (const auto inner = read_names(*block)) {
            want_missing(transfer, served, *inner);
        }
    }
}

// Appends the routes of the named blocks. Returns whether all are known and
// well-formed.
auto append_routes(const configuration_transfer &transfer,
                   const served_configurations &served,
                   const std::vector<block_name> &names,
                   std::vector<route_spec> &routes) -> bool {
    return std::all_of(names.begin(), names.end(), [&](block_name name) {
        const auto *block = find_known(transfer, served, name);
        if (block == nullptr)
            return false;
        if (const auto inner = read_names(*block))
            return append_routes(transfer, served, *inner, routes);
        const auto read = read_routes(*block);
        if (read)
            routes.insert(routes.end(), read->begin(), read->end());
        return read.has_value();
    });
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
    auto whole = std::make_shared<configuration>(transfer.target.head);
    const auto complete =
        append_routes(transfer, served, transfer.target.names, whole->routes);
    end_transfer(transfer);
    transfer.received.clear();
    return complete ? whole : nullptr;
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
    want_missing(transfer, served, transfer.target.names);
    if (transfer.wanted.size() > max_blocks) {
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
    if (const auto inner = read_names(block))
        want_missing(transfer, served, *inner);
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
