#include "board.hpp"

#include <array>

namespace dogwoodtrack::carried {

auto to_string(store_outcome outcome) -> std::string_view {
    static constexpr std::array names{"listed", "changed", "history_gone",
                                      "refused", "failed"};
    return names[static_cast<std::size_t>(outcome)];
}

auto version_of(blackboard &it, feed what) -> feed_version & {
    return it.versions[static_cast<std::size_t>(what)];
}

auto version_of(const blackboard &it, feed what) -> const feed_version & {
    return it.versions[static_cast<std::size_t>(what)];
}

auto can_serve(const blackboard &it) -> bool {
    return version_of(it, feed::configuration).complete &&
           version_of(it, feed::upstreams).complete;
}

auto refresh_steering(blackboard &it, time_point now) -> void {
    const auto &version = version_of(it, feed::configuration);
    it.steering.configuration_confirmed =
        version.complete ? version.confirmed : time_point{};
    const auto own = rank_in_domain(it.members, it.started, now);
    it.steering.position.rank = own.rank;
    it.steering.position.count = own.count;
}

} // namespace dogwoodtrack::carried
