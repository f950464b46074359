#include "carried/upstreams/outlier_detection.hpp"

#include <algorithm>
#include <map>

#include "carried/upstreams/outlier_ejection.hpp"

namespace dogwoodtrack::carried {

namespace {

/// A longer remaining time in a received ejection status is reduced to this.
constexpr milliseconds max_reported_ejection{30'000};
/// Maximum number of items in a message, so that the message fits into a
/// datagram.
constexpr std::size_t max_items = 60;

template <typename Message, typename Item>
auto add_item(std::vector<Message> &messages, const Item &item) -> void {
    if (messages.empty() || messages.back().items.size() >= max_items)
        messages.emplace_back();
    messages.back().items.push_back(item);
}

auto report_to_detectors(blackboard &board, time_point now,
                         std::vector<outgoing_message> &out) -> void {
    auto &table = board.steering.upstreams;
    std::map<std::uint32_t, std::vector<outcomes_message>> by_detector;
    for (const auto index : std::exchange(table.unreported_failures, {})) {
        auto &one = table.all[index];
        const auto counts = std::exchange(one.stats.unreported, {});
        const auto detector =
            detector_of(board.members, one.record.service, now);
        if (counts.failures > 0 && detector != board.members.self.address)
            add_item(by_detector[detector],
                     reported_outcome{.code = one.code, .counts = counts});
    }
    for (const auto &[detector, messages] : by_detector)
        add_messages(detector, messages, out);
}

auto status_of(const upstream &it, time_point now) -> ejection_status {
    if (is_ejected(it, now))
        return {.left = std::chrono::ceil<milliseconds>(it.stats.ejected_until -
                                                        now),
                .ejections = it.stats.ejections};
    return {};
}

auto announce_ejections(blackboard &board, time_point now,
                        std::vector<outgoing_message> &out) -> void {
    auto &table = board.steering.upstreams;
    std::vector<judgements_message> messages;
    for (const auto index : std::exchange(table.ejection_changes, {})) {
        const auto &one = table.all[index];
        if (detector_of(board.members, one.record.service, now) ==
            board.members.self.address)
            add_item(messages,
                     reported_ejection{.code = one.code,
                                       .status = status_of(one, now)});
    }
    if (messages.empty())
        return;
    for (const auto &[address, member] : board.members.others) {
        if (is_active_in_own_domain(board.members, member, now))
            add_messages(address, messages, out);
    }
}

} // namespace

auto detector_of(const fleet &members, service_key service, time_point now)
    -> std::uint32_t {
    return domain_leader(members, service, now);
}

auto share_outcomes(blackboard &board, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    report_to_detectors(board, now, out);
    announce_ejections(board, now, out);
}

auto apply_reported_outcomes(blackboard &board, const outcomes_message &message,
                             time_point now) -> void {
    auto &table = board.steering.upstreams;
    for (const auto &reported : message.items) {
        const auto index = index_by_code(table, reported.code);
        if (index != no_upstream)
            apply_outcomes(table, index, reported.counts, now);
    }
}

auto apply_ejection_statuses(blackboard &board,
                             const judgements_message &message, time_point now)
    -> void {
    for (const auto &reported : message.items) {
        auto *one = find_by_code(board.steering.upstreams, reported.code);
        if (one == nullptr)
            continue;
        auto status = reported.status;
        status.left = std::min(status.left, max_reported_ejection);
        apply_ejection_status(*one, status, now);
    }
}

} // namespace dogwoodtrack::carried
