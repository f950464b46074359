#include "carried/balancer_context.hpp"

#include <algorithm>
#include <sys/socket.h>

#include "carried/evacuation_log.hpp"
#include "carried/feeds/gossip.hpp"
#include "carried/feeds/restored_store.hpp"
#include "carried/feeds/store_answers.hpp"
#include "carried/feeds/store_watch.hpp"
#include "dogwoodtrack/event_log.hpp"
#include "sockets.hpp"

namespace dogwoodtrack::carried {

namespace {

/// Largest number of peer messages handled per iteration of the event loop.
constexpr int message_batch = 64;
/// Longest part of an entry's name that is logged, in bytes.
constexpr std::size_t max_logged_name = 100;

// Logs each feed that was confirmed, or whose version differs from that in
// `before`, because of the answer or message `cause`. `from` is the address of
// the balancer that sent it, 0 for the store.
auto log_version_changes(const balancer_context &it,
                         const std::array<feed_version, feed_count> &before,
                         std::string_view cause, std::uint32_t from,
                         time_point now) -> void {
    if (!is_logged(severity::debug))
        return;
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto &version = it.state.versions[i];
        if (version.confirmed != before[i].confirmed)
            log_event(severity::debug, "feed_confirmed",
                      {{"feed", std::string(to_string(static_cast<feed>(i)))},
                       {"cause", std::string(cause)},
                       {"from", to_string(endpoint{.address = from})},
                       {"age_ms", age_ms(version.confirmed, now)}});
        if (version.content == before[i].content &&
            version.as_of == before[i].as_of &&
            version.complete == before[i].complete)
            continue;
        log_event(severity::debug, "feed_version",
                  {{"feed", std::string(to_string(static_cast<feed>(i)))},
                   {"cause", std::string(cause)},
                   {"from", to_string(endpoint{.address = from})},
                   {"content", version.content.number},
                   {"as_of", version.as_of.number},
                   {"era", version.as_of.era},
                   {"complete", version.complete}});
    }
}

// Logs a change of the era in force, because of the answer or message `cause`.
// `from` is the address of the balancer that sent it, 0 for the store.
auto log_era_change(const balancer_context &it, const store_era_state &before,
                    std::string_view cause, std::uint32_t from, time_point now)
    -> void {
    const auto &era = it.state.store_era;
    if (era.known == before.known && era.era == before.era)
        return;
    // The first era of a store that was never restored is no change.
    if (!before.known && era.era == 0)
        return;
    const auto silence = now - last_confirmation(it.state);
    log_event(
        severity::info, "store_era_changed",
        {{"era", era.era},
         {"previous", before.era},
         {"cause", std::string(cause)},
         {"from", to_string(endpoint{.address = from})},
         {"answers", std::uint64_t{era.evidence}},
         {"unconfirmed_ms",
          std::int64_t{
              std::chrono::duration_cast<milliseconds>(silence).count()}}});
}

auto log_store_answer(const balancer_context &it, const store_answer &answer,
                      bool was_unreachable, bool was_unreadable, time_point now)
    -> void {
    const std::string feed_name(to_string(answer.what));
    if (it.state.store_era.unreadable && !was_unreadable)
        log_event(severity::warning, "store_era_unreadable",
                  {{"feed", feed_name}, {"era", it.state.store_era.era}});
    if (it.state.store_unreachable)
        log_event(was_unreachable ? severity::debug : severity::warning,
                  "store_unreachable",
                  {{"feed", feed_name},
                   {"outcome", std::string(to_string(answer.outcome))},
                   {"detail", answer.detail}});
    else if (was_unreachable)
        log_event(severity::info, "store_back",
                  {{"feed", feed_name}, {"as_of", answer.as_of.number}});
    log_event(
        severity::debug, "store_answer",
        {{"feed", feed_name},
         {"outcome", std::string(to_string(answer.outcome))},
         {"as_of", answer.as_of.number},
         {"era", answer.as_of.era},
         {"took_ms",
          age_ms(it.state.calls[static_cast<std::size_t>(answer.what)].started,
                 now)},
         {"records", std::uint64_t{answer.records.size()}}});
}

// Counts and logs the entries in an answer that could not be used: the first
// few by name, all of them by number.
auto report_rejected_entries(balancer_context &it, const store_answer &answer)
    -> void {
    constexpr std::size_t max_logged = 5;
    const auto &rejected = answer.rejected;
    it.state.counters.rejected_entries += rejected.size();
    for (std::size_t i = 0; i < std::min(rejected.size(), max_logged); ++i)
        log_event(severity::warning, "store_entry_rejected",
                  {{"feed", std::string(to_string(answer.what))},
                   {"entry", rejected[i].name.substr(0, max_logged_name)},
                   {"reason", rejected[i].reason},
                   {"rejected", std::uint64_t{rejected.size()}}});
}

// Logs one feed that became late, or is no longer.
auto log_lateness(const blackboard &board, feed what, time_point now) -> void {
    const auto i = static_cast<std::size_t>(what);
    const auto late = board.progress[i].late;
    log_event(
        late ? severity::warning : severity::info,
        late ? "feed_late" : "feed_in_time_again",
        {{"feed", std::string(to_string(what))},
         {"unconfirmed_ms", age_ms(board.versions[i].confirmed, now)},
         {"behind_ms", std::int64_t{behind_for(board, what, now).count()}},
         {"content", board.versions[i].content.number},
         {"heard", board.progress[i].heard.number},
         {"calling", board.calls[i].in_flight}});
}

} // namespace

auto log_late_feeds(balancer_context &it, time_point now) -> void {
    for (std::size_t i = 0; i < feed_count; ++i) {
        const auto what = static_cast<feed>(i);
        if (update_lateness(it.state, what, now))
            log_lateness(it.state, what, now);
    }
}

auto send_messages(balancer_context &it,
                   const std::vector<outgoing_message> &messages) -> void {
    for (const auto &one : messages) {
        const auto buf = encode(one.message);
        send_datagram(it.peers,
                      {.address = one.to, .port = it.options.peers.port},
                      buf.data(), buf.size());
    }
}

auto receive_peer_messages(balancer_context &it) -> void {
    std::array<char, max_packet_size> buf;
    std::vector<outgoing_message> out;
    const auto begin = monotonic::now();
    it.peers_read = true;
    for (int i = 0; i < message_batch; ++i) {
        sockaddr_in from{};
        socklen_t from_size = sizeof from;
        const auto size =
            recvfrom(it.peers, buf.data(), buf.size(), 0,
                     reinterpret_cast<sockaddr *>(&from), &from_size);
        if (size <= 0) {
            it.state.unread_since = begin;
            break;
        }
        const auto message =
            decode_peer_message({buf.data(), static_cast<std::size_t>(size)});
        if (!message) {
            ++it.state.counters.malformed;
            continue;
        }
        const auto sender = ntohl(from.sin_addr.s_addr);
        const auto before = it.state.versions;
        const auto era_before = it.state.store_era;
        const auto evacuations_before = it.state.evacuations.changes;
        const auto now = monotonic::now();
        on_peer_message(it.state, sender, *message, now, out);
        log_era_change(it, era_before, message_name(*message), sender, now);
        log_version_changes(it, before, message_name(*message), sender, now);
        log_evacuation_change(it.state, evacuations_before,
                              message_name(*message), sender, now);
    }
    send_messages(it, out);
}

auto handle_store_answers(balancer_context &it, time_point now) -> void {
    std::vector<outgoing_message> out;
    for (const auto &answer : it.store.take_answers(now)) {
        const auto was_unreachable = it.state.store_unreachable;
        const auto before = it.state.versions;
        const auto evacuations_before = it.state.evacuations.changes;
        const auto era_before = it.state.store_era;
        on_store_answer(it.state, answer, now, out);
        log_era_change(it, era_before, to_string(answer.outcome), 0, now);
        schedule_next_call(it.state, answer, now);
        log_store_answer(it, answer, was_unreachable, era_before.unreadable,
                         now);
        report_rejected_entries(it, answer);
        log_version_changes(it, before, to_string(answer.outcome), 0, now);
        log_evacuation_change(it.state, evacuations_before,
                              to_string(answer.outcome), 0, now);
    }
    send_messages(it, out);
}

auto start_store_calls(balancer_context &it, time_point now) -> void {
    for (std::size_t i = 0; i < feed_count; ++i) {
        if (const auto call =
                next_store_call(it.state, static_cast<feed>(i), now))
            it.store.start(*call, now);
    }
}

} // namespace dogwoodtrack::carried
