#pragma once

#include "daemons.hpp"
#include "hosts.hpp"

namespace review {

enum class outcome {
    waiting,
    answered,
    no_answer,
    not_opened,
    reset_by_system,
    reset_by_host,
    reset_by_other_host
};

inline auto to_text(outcome it) -> const char * {
    static constexpr const char *names[] = {"waiting",
                                            "answered",
                                            "no answer in time",
                                            "not opened",
                                            "reset by the system",
                                            "reset by a host"};
    return names[static_cast<int>(it)];
}

/// One request: one attempt of a client with an identifier of its own.
struct request {
    int id = 0;
    std::string route;
    std::string zone;
    bool first_in_flow = true;
    time_point syn_sent{}; ///< first SYN of the flow
    time_point sent{};
    time_point ended{};
    outcome result = outcome::waiting;
    std::string host; ///< that signed the answer
};

/// A route as clients see it.
struct route {
    std::string name;
    endpoint address;
    milliseconds deadline{2'500};
};

/// Stand-in for the clients of one zone and for the router in front of its
/// balancers, which spreads flows by hash over those in rotation.
class client_site {
public:
    client_site(event_loop &loop, record &log, const std::string &zone,
                const endpoint &address,
                std::vector<std::unique_ptr<machine>> &machines)
        : loop_(loop), log_(log), zone_(zone), address_(address),
          machines_(machines), fd_(open_socket(SOCK_DGRAM, address)) {
        loop_.add(fd_, [this] { receive(); });
    }

    /// Opens a flow for `count` requests, the next one `pause` after the answer
    /// to the one before.
    auto open_flow(const route &to, int count, milliseconds pause) -> void {
        const endpoint own{address_.address, next_port_++};
        if (next_port_ == 0)
            next_port_ = first_port;
        auto &it = flows_[own];
        it = {};
        it.to = to;
        it.seq = own.port * 7919U;
        it.left = count;
        it.pause = pause;
        it.opened_at = clock_type::now();
        it.current = add_request(to, true, it.opened_at);
        send_syn(own, 0);
        const auto serial = it.serial = ++serials_;
        loop_.after(milliseconds{200},
                    [this, own, serial] { repeat_syn(own, serial, 1); });
        loop_.after(milliseconds{600},
                    [this, own, serial] { repeat_syn(own, serial, 2); });
        loop_.after(milliseconds{1'400}, [this, own, serial] {
            if (auto *it = find(own, serial); it != nullptr && !it->open)
                end(own, outcome::not_opened);
        });
    }

    auto requests() const -> const std::vector<request> & {
        return requests_;
    }

    /// Identifiers of requests, unique over all sites.
    static inline int last_request = 0;

private:
    static constexpr std::uint16_t first_port = 20'000;

    struct flow {
        route to;
        std::uint64_t serial = 0;
        std::uint32_t seq = 0; ///< next byte that the client sends
        std::uint32_t ack = 0; ///< next byte expected from the host
        std::uint32_t echo = 0;
        std::uint32_t host_sum = 0; ///< of the host that holds the flow
        bool open = false;
        int left = 0;
        milliseconds pause{0};
        std::size_t current = 0; ///< index in `requests_`
        time_point opened_at{};
        std::optional<packet> unanswered;
    };

    auto add_request(const route &to, bool first, time_point syn_sent)
        -> std::size_t {
        requests_.push_back({.id = ++last_request,
                             .route = to.name,
                             .zone = zone_,
                             .first_in_flow = first,
                             .syn_sent = syn_sent,
                             .sent = clock_type::now()});
        return requests_.size() - 1;
    }

    auto find(const endpoint &own, std::uint64_t serial) -> flow * {
        const auto found = flows_.find(own);
        return found == flows_.end() || found->second.serial != serial
                   ? nullptr
                   : &found->second;
    }

    auto transmit(const packet &it) -> void {
        std::vector<machine *> choice;
        std::size_t in_zone = 0;
        for (const auto &one : machines_) {
            if (one->zone() != zone_)
                continue;
            ++in_zone;
            if (one->in_rotation())
                choice.push_back(one.get());
        }
        if (choice.size() * 2 < in_zone && !choice.empty()) {
            choice.clear();
            for (const auto &one : machines_) {
                if (one->zone() == zone_)
                    choice.push_back(one.get());
            }
        }
        if (choice.empty()) {
            for (const auto &one : machines_) {
                if (one->in_rotation())
                    choice.push_back(one.get());
            }
        }
        if (choice.empty())
            return;
        const auto key = (std::uint64_t{it.from.address} << 16 | it.from.port) ^
                         (std::uint64_t{it.to.address} << 13) ^ it.to.port;
        const auto hash = key * 0x9e3779b97f4a7c15U >> 33;
        send_datagram(fd_, choice[hash % choice.size()]->link(), encode(it));
    }

    auto send_syn(const endpoint &own, std::uint32_t copy) -> void {
        const auto &it = flows_[own];
        transmit({.flags = flag_syn,
                  .seq = it.seq,
                  .ack = copy,
                  .from = own,
                  .to = it.to.address});
    }

    auto repeat_syn(const endpoint &own, std::uint64_t serial,
                    std::uint32_t copy) -> void {
        if (const auto *it = find(own, serial); it != nullptr && !it->open)
            send_syn(own, copy);
    }

    auto send_request(const endpoint &own, flow &it) -> void {
        auto &now = requests_[it.current];
        const std::string body(500, 'b');
        packet out{.flags = flag_ack,
                   .seq = it.seq,
                   .ack = it.ack,
                   .echo = it.echo,
                   .from = own,
                   .to = it.to.address,
                   .data = "POST /" + it.to.name +
                           " HTTP/1.1\r\nHost: x\r\nRequest-Id: " +
                           std::to_string(now.id) +
                           "\r\nContent-Length: 500\r\n\r\n" + body};
        it.seq += static_cast<std::uint32_t>(out.data.size());
        it.unanswered = out;
        transmit(out);
        const auto serial = it.serial;
        const auto id = now.id;
        repeat_later(own, serial, id, milliseconds{200});
        loop_.after(it.to.deadline, [this, own, serial, id] {
            auto *known = find(own, serial);
            if (known != nullptr && requests_[known->current].id == id &&
                requests_[known->current].result == outcome::waiting)
                end(own, outcome::no_answer);
        });
    }

    auto repeat_later(const endpoint &own, std::uint64_t serial, int id,
                      milliseconds delay) -> void {
        loop_.after(delay, [this, own, serial, id, delay] {
            auto *it = find(own, serial);
            if (it == nullptr || requests_[it->current].id != id ||
                !it->unanswered)
                return;
            it->unanswered->echo = it->echo;
            transmit(*it->unanswered);
            constexpr milliseconds max_delay{1'600};
            repeat_later(own, serial, id, std::min(2 * delay, max_delay));
        });
    }

    auto receive() -> void {
        char bytes[2048];
        while (true) {
            const auto n = recv(fd_, bytes, sizeof bytes, 0);
            if (n < 0)
                return;
            const auto it =
                decode(std::string_view(bytes, static_cast<std::size_t>(n)));
            const auto found = it ? flows_.find(it->to) : flows_.end();
            if (found != flows_.end() && it->from == found->second.to.address)
                handle(found->first, found->second, *it);
        }
    }

    static auto classify_reset(const flow &it, const packet &in) -> outcome {
        if (!it.open)
            return outcome::not_opened;
        if (in.sum == 0)
            return outcome::reset_by_system;
        return in.sum == it.host_sum ? outcome::reset_by_host
                                     : outcome::reset_by_other_host;
    }

    auto handle(const endpoint own, flow &it, const packet &in) -> void {
        if (in.has(flag_rst))
            return end(own, classify_reset(it, in));
        it.echo = in.echo;
        if (in.has(flag_syn)) {
            if (it.open)
                return;
            it.open = true;
            it.host_sum = in.sum;
            ++it.seq;
            it.ack = in.seq + 1;
            return send_request(own, it);
        }
        if (!in.data.empty() && in.seq == it.ack)
            handle_answer(own, it, in);
    }

    auto handle_answer(const endpoint &own, flow &it, const packet &in)
        -> void {
        it.ack += static_cast<std::uint32_t>(in.data.size());
        it.unanswered.reset();
        auto &now = requests_[it.current];
        const std::string mark = "Response-Signature: ";
        const auto at = in.data.find(mark);
        now.host = in.data.substr(at + mark.size(),
                                  in.data.find('\r', at) - at - mark.size());
        finish(now, outcome::answered);
        if (--it.left <= 0) {
            transmit(control_packet(own, it, flag_fin | flag_ack));
            flows_.erase(own);
            return;
        }
        transmit(control_packet(own, it, flag_ack));
        const auto serial = it.serial;
        loop_.after(it.pause, [this, own, serial] {
            if (auto *known = find(own, serial); known != nullptr) {
                known->current =
                    add_request(known->to, false, known->opened_at);
                send_request(own, *known);
            }
        });
    }

    static auto control_packet(const endpoint &own, const flow &it,
                               std::uint8_t flags) -> packet {
        return {.flags = flags,
                .seq = it.seq,
                .ack = it.ack,
                .echo = it.echo,
                .from = own,
                .to = it.to.address};
    }

    auto finish(request &it, outcome result) -> void {
        it.ended = clock_type::now();
        it.result = result;
        log_.line("request %d to %s sent %.3f: %s%s%s", it.id, it.route.c_str(),
                  log_.seconds(it.sent), to_text(result),
                  it.host.empty() ? "" : " by ", it.host.c_str());
    }

    auto end(const endpoint &own, outcome result) -> void {
        const auto &it = flows_[own];
        auto &now = requests_[it.current];
        if (now.result == outcome::waiting)
            finish(now, result);
        else
            log_.line("idle flow of request %d: %s", now.id, to_text(result));
        if (now.result == outcome::answered &&
            (result == outcome::reset_by_system ||
             result == outcome::reset_by_other_host))
            ++idle_resets_;
        flows_.erase(own);
    }

    event_loop &loop_;
    record &log_;
    std::string zone_;
    endpoint address_;
    std::vector<std::unique_ptr<machine>> &machines_;
    int fd_;
    std::uint16_t next_port_ = first_port;
    std::uint64_t serials_ = 0;
    std::map<endpoint, flow> flows_;
    std::vector<request> requests_;
    int idle_resets_ = 0;

public:
    auto idle_resets() const -> int {
        return idle_resets_;
    }
};

} // namespace review
