#include "shared_outcomes.hpp"

#include <algorithm>
#include <map>

#include "answers.hpp"

namespace dogwoodtrack::carried {

namespace {

/// An ejection is never taken for longer than this.
constexpr milliseconds told_longest{30'000};
/// Items in one message, so that it stays under the datagram limit.
constexpr std::size_t items_max = 60;

template <typename Message, typename Item>
auto add_item(std::vector<Message> &messages, const Item &item) -> void {
    if (messages.empty() || messages.back().items.size() >= items_max)
        messages.emplace_back();
    messages.back().items.push_back(item);
}

auto tell_judges(board &it, time_point now, std::vector<outgoing_message> &out)
    -> void {
    auto &table = it.steering.upstreams;
    std::map<std::uint32_t, std::vector<outcomes_message>> by_judge;
    for (const auto index : std::exchange(table.failing, {})) {
        auto &one = table.all[index];
        const auto counts = std::exchange(one.seen.untold, {});
        const auto judge = judge_of(it.members, one.record.service, now);
        if (counts.failures > 0 && judge != it.members.self.address)
            add_item(by_judge[judge],
                     reported_outcome{.code = one.code, .counts = counts});
    }
    for (const auto &[judge, messages] : by_judge)
        add_messages(judge, messages, out);
}

auto judgement_of(const upstream &it, time_point now) -> judgement {
    if (is_ejected(it, now))
        return {.left = std::chrono::ceil<milliseconds>(it.seen.ejected_until -
                                                        now),
                .ejections = it.seen.ejections};
    return {};
}

auto tell_domain(board &it, time_point now, std::vector<outgoing_message> &out)
    -> void {
    auto &table = it.steering.upstreams;
    std::vector<judgements_message> messages;
    for (const auto index : std::exchange(table.judged, {})) {
        const auto &one = table.all[index];
        if (judge_of(it.members, one.record.service, now) ==
            it.members.self.address)
            add_item(messages,
                     reported_ejection{.code = one.code,
                                       .status = judgement_of(one, now)});
    }
    if (messages.empty())
        return;
    for (const auto &[address, member] : it.members.others) {
        if (serves_own_domain(it.members, member, now))
            add_messages(address, messages, out);
    }
}

} // namespace

auto judge_of(const fleet &it, service_key service, time_point now)
    -> std::uint32_t {
    return first_in_domain(it, service, now);
}

auto share_outcomes(board &it, time_point now,
                    std::vector<outgoing_message> &out) -> void {
    tell_judges(it, now, out);
    tell_domain(it, now, out);
}

auto take_told_outcomes(board &it, const outcomes_message &message,
                        time_point now) -> void {
    auto &table = it.steering.upstreams;
    for (const auto &told : message.items) {
        const auto index = index_by_code(table, told.code);
        if (index != no_upstream)
            take_outcomes(table, index, told.counts, now);
    }
}

auto take_told_judgements(board &it, const judgements_message &message,
                          time_point now) -> void {
    for (const auto &told : message.items) {
        auto *one = find_by_code(it.steering.upstreams, told.code);
        if (one == nullptr)
            continue;
        auto said = told.status;
        said.left = std::min(said.left, told_longest);
        take_judgement(*one, said, now);
    }
}

} // namespace dogwoodtrack::carried
