#include "carried/feeds/reassembly.hpp"

#include <algorithm>
#include <utility>

namespace dogwoodtrack::carried {

auto add_records_part(partial_records &partial, std::uint32_t sender,
                      const records_message &message)
    -> std::optional<std::vector<std::string>> {
    if (message.parts == 1)
        return sorted_ids(message.records);
    if (partial.sender != sender || partial.from != message.from ||
        partial.as_of != message.version.as_of ||
        partial.arrived.size() != message.parts)
        partial = {.sender = sender,
                   .from = message.from,
                   .as_of = message.version.as_of,
                   .arrived = std::vector<bool>(message.parts),
                   .missing = message.parts,
                   .ids = {}};
    if (!partial.arrived[message.part]) {
        partial.arrived[message.part] = true;
        --partial.missing;
        for (const auto &record : message.records)
            partial.ids.push_back(record.id);
    }
    if (partial.missing > 0)
        return std::nullopt;
    auto ids = std::exchange(partial, {}).ids;
    std::sort(ids.begin(), ids.end());
    return ids;
}

auto add_evacuations_part(partial_evacuations &partial, std::uint32_t sender,
                          const evacuations_message &message)
    -> std::optional<std::vector<evacuated_domain>> {
    if (partial.sender != sender ||
        partial.content != message.version.content ||
        partial.arrived.size() != message.parts)
        partial = {.sender = sender,
                   .content = message.version.content,
                   .arrived = std::vector<bool>(message.parts),
                   .missing = message.parts,
                   .domains = {}};
    if (!partial.arrived[message.part]) {
        partial.arrived[message.part] = true;
        --partial.missing;
        partial.domains.insert(partial.domains.end(), message.domains.begin(),
                               message.domains.end());
    }
    if (partial.missing > 0)
        return std::nullopt;
    return std::exchange(partial, {}).domains;
}

} // namespace dogwoodtrack::carried
