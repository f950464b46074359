#pragma once

#include <memory>

#include "peer_messages.hpp"

namespace dogwoodtrack::carried {

/// A configuration that arrives in parts.
struct partial_configuration {
    std::uint64_t revision = 0;
    std::vector<std::vector<route_spec>> parts;
    std::size_t missing = 0;
};

/// A set of records that arrives in parts.
struct partial_records {
    std::uint32_t sender = 0;
    std::uint64_t as_of = 0;
    std::vector<bool> arrived;
    std::size_t missing = 0;
};

/// Takes note of one part of a set of records; returns whether all have
/// arrived. The records themselves are taken as they come.
auto add_records_part(partial_records &arriving, std::uint32_t from,
                      const records_message &message) -> bool;

/// Takes one part of a configuration; returns the whole when all parts are
/// there, else null. Parts of an older one are left out.
auto add_routes_part(partial_configuration &arriving,
                     const routes_message &message)
    -> std::shared_ptr<configuration>;

} // namespace dogwoodtrack::carried
