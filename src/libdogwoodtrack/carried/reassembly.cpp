#include "reassembly.hpp"

namespace dogwoodtrack::carried {

auto add_records_part(partial_records &partial, std::uint32_t sender,
                      const records_message &message) -> bool {
    if (message.parts == 1)
        return true;
    if (partial.sender != sender || partial.as_of != message.version.as_of ||
        partial.arrived.size() != message.parts)
        partial = {.sender = sender,
                   .as_of = message.version.as_of,
                   .arrived = std::vector<bool>(message.parts),
                   .missing = message.parts};
    if (!partial.arrived[message.part]) {
        partial.arrived[message.part] = true;
        --partial.missing;
    }
    if (partial.missing > 0)
        return false;
    partial = {};
    return true;
}

auto add_routes_part(partial_configuration &partial,
                     const routes_message &message)
    -> std::shared_ptr<configuration> {
    const auto revision = message.configuration_part.revision;
    if (partial.revision > revision)
        return nullptr;
    if (partial.revision != revision || partial.parts.size() != message.parts)
        partial = {.revision = revision,
                   .parts = std::vector<std::vector<route_spec>>(message.parts),
                   .missing = message.parts};
    auto &part = partial.parts[message.part];
    if (part.empty() && !message.configuration_part.routes.empty()) {
        part = message.configuration_part.routes;
        --partial.missing;
    }
    if (partial.missing > 0 && !message.configuration_part.routes.empty())
        return nullptr;
    auto complete = std::make_shared<configuration>(message.configuration_part);
    complete->routes.clear();
    for (auto &routes : partial.parts)
        complete->routes.insert(complete->routes.end(), routes.begin(),
                                routes.end());
    partial = {};
    return complete;
}

} // namespace dogwoodtrack::carried
