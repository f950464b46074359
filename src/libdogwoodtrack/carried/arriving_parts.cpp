#include "arriving_parts.hpp"

namespace dogwoodtrack::carried {

auto add_records_part(partial_records &arriving, std::uint32_t from,
                      const records_message &message) -> bool {
    if (message.parts == 1)
        return true;
    if (arriving.sender != from || arriving.as_of != message.version.as_of ||
        arriving.arrived.size() != message.parts)
        arriving = {.sender = from,
                    .as_of = message.version.as_of,
                    .arrived = std::vector<bool>(message.parts),
                    .missing = message.parts};
    if (!arriving.arrived[message.part]) {
        arriving.arrived[message.part] = true;
        --arriving.missing;
    }
    if (arriving.missing > 0)
        return false;
    arriving = {};
    return true;
}

auto add_routes_part(partial_configuration &arriving,
                     const routes_message &message)
    -> std::shared_ptr<configuration> {
    const auto revision = message.settings.revision;
    if (arriving.revision > revision)
        return nullptr;
    if (arriving.revision != revision || arriving.parts.size() != message.parts)
        arriving = {.revision = revision,
                    .parts =
                        std::vector<std::vector<route_spec>>(message.parts),
                    .missing = message.parts};
    auto &part = arriving.parts[message.part];
    if (part.empty() && !message.settings.routes.empty()) {
        part = message.settings.routes;
        --arriving.missing;
    }
    if (arriving.missing > 0 && !message.settings.routes.empty())
        return nullptr;
    auto whole = std::make_shared<configuration>(message.settings);
    whole->routes.clear();
    for (auto &routes : arriving.parts)
        whole->routes.insert(whole->routes.end(), routes.begin(), routes.end());
    arriving = {};
    return whole;
}

} // namespace dogwoodtrack::carried
