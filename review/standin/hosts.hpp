#pragma once

#include <deque>
#include <set>

#include "packet.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

/// A request that a host has run.
struct run {
    int request = 0;
    std::string host;
    time_point syn_sent{};    ///< filled in by the judge
    time_point syn_arrived{}; ///< at the host
};

/// Stand-in for a host: takes flows over UDP, answers one request after the
/// other in each flow, and keeps its entry in the store.
class host {
public:
    static constexpr milliseconds heartbeat{1'200};
    static constexpr int slots = 3;

    host(event_loop &loop, store &entries, record &log, const std::string &id,
         const std::string &service, const std::string &zone,
         const endpoint &address, milliseconds work)
        : loop_(loop), entries_(entries), log_(log), id_(id), service_(service),
          zone_(zone), address_(address), work_(work),
          born_(std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          fd_(open_socket(SOCK_DGRAM, address)) {
        loop_.add(fd_, [this] { receive(); });
        loop_.every(heartbeat, [this] {
            if (alive_)
                register_entry();
        });
    }

    auto id() const -> const std::string & {
        return id_;
    }
    auto address() const -> const endpoint & {
        return address_;
    }
    auto service() const -> const std::string & {
        return service_;
    }
    auto zone() const -> const std::string & {
        return zone_;
    }
    auto runs() const -> const std::vector<run> & {
        return runs_;
    }
    auto drained_at() const -> time_point {
        return drained_at_;
    }

    /// Reports `draining`; the host goes on serving.
    auto drain() -> void {
        state_ = "draining";
        register_entry();
        drained_at_ = clock_type::now();
        log_.line("host %s draining, acknowledged by the store", id_.c_str());
    }

    /// Ends the host without a word. Its entry stays.
    auto crash() -> void {
        alive_ = false;
        loop_.remove(fd_);
        close(fd_);
        flows_.clear();
        jobs_.clear();
        log_.line("host %s of %s crashed", id_.c_str(), service_.c_str());
    }

    /// The store carries out a write of this host now, whatever has become of
    /// the host: a change of its state.
    auto write_late(const std::string &state) -> void {
        entries_.put("servers", id_, entry_text(state));
        log_.line("the store carries out a late write of %s: %s", id_.c_str(),
                  state.c_str());
    }

    /// The entry is removed after three heartbeats of silence.
    auto expire() -> void {
        entries_.remove("servers", id_);
    }

    /// Time until a SYN is answered, 0 by default.
    auto set_handshake_delay(milliseconds delay) -> void {
        handshake_delay_ = delay;
    }

private:
    struct flow {
        std::uint32_t own_seq = 0;  ///< next byte that this host sends
        std::uint32_t peer_seq = 0; ///< next byte expected from the client
        std::uint32_t echo = 0;
        bool open = false;
        bool closed = false;
        std::optional<packet> last_answer;
        time_point syn_arrived{};
    };
    using flow_key = std::pair<endpoint, endpoint>;
    struct job {
        flow_key key;
        int request = 0;
    };

    auto register_entry() -> void {
        entries_.put("servers", id_, entry_text(state_));
    }

    // `sequence` is left at 1: the entry changes only when more than that field
    // does.
    auto entry_text(const std::string &state) const -> std::string {
        return "{\"service\":\"" + service_ + "\",\"address\":\"" +
               to_text(address_) + "\",\"zone\":\"" + zone_ +
               "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
               ",\"state\":\"" + state +
               "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" +
               std::to_string(born_) + "}";
    }

    // Stands for the keyed sum, and tells clients which host has sent a packet.
    auto sum() const -> std::uint32_t {
        return static_cast<std::uint32_t>(own_number());
    }

    auto own_number() const -> std::uint64_t {
        return std::stoull(id_.substr(2), nullptr, 16);
    }

    auto receive() -> void {
        char bytes[2048];
        while (true) {
            const auto n = recv(fd_, bytes, sizeof bytes, 0);
            if (n < 0)
                return;
            const std::string_view text(bytes, static_cast<std::size_t>(n));
            if (text.size() < 8)
                continue;
            const auto wanted = load(text, 0, 8);
            const auto it = decode(text.substr(8));
            if (it && (wanted == 0 || wanted == own_number()))
                handle(*it);
        }
    }

    auto reply(const packet &to, flow &it, std::uint8_t flags,
               const std::string &data) -> packet {
        packet out{.flags = flags,
                   .seq = it.own_seq,
                   .ack = it.peer_seq,
                   .echo = it.echo,
                   .from = to.to,
                   .to = to.from,
                   .sum = sum(),
                   .data = data};
        it.own_seq += static_cast<std::uint32_t>(data.size());
        if (out.has(flag_fin))
            ++it.own_seq;
        transmit(out);
        return out;
    }

    auto transmit(const packet &it) -> void {
        send_datagram(fd_, {it.to.address, client_port}, encode(it));
    }

    auto refuse(const packet &it) -> void {
        transmit({.flags = flag_rst,
                  .seq = it.ack,
                  .echo = it.echo,
                  .from = it.to,
                  .to = it.from,
                  .sum = sum()});
        log_.line("host %s reset %s: flow not held", id_.c_str(),
                  to_text(it.from).c_str());
    }

    auto handle(const packet &it) -> void {
        const flow_key key{it.from, it.to};
        if (it.has(flag_syn))
            return handle_syn(key, it);
        const auto found = flows_.find(key);
        if (found == flows_.end())
            return it.has(flag_rst) ? void() : refuse(it);
        auto &known = found->second;
        known.echo = it.echo;
        if (it.has(flag_rst)) {
            flows_.erase(found);
            return;
        }
        if (!known.open) {
            if (it.ack != known.own_seq + 1)
                return refuse(it);
            known.open = true;
            ++known.own_seq;
        }
        if (!it.data.empty())
            handle_data(key, known, it);
        if (it.has(flag_fin))
            handle_fin(known, it);
    }

    auto handle_syn(const flow_key &key, const packet &it) -> void {
        auto &known = flows_[key];
        if (known.open && known.peer_seq != it.seq + 1)
            known = {};
        if (known.open)
            return;
        known.own_seq = 1000U * ++started_;
        known.peer_seq = it.seq + 1;
        known.echo = it.echo;
        known.syn_arrived = clock_type::now();
        const packet out{.flags = flag_syn | flag_ack,
                         .seq = known.own_seq,
                         .ack = known.peer_seq,
                         .echo = known.echo,
                         .from = it.to,
                         .to = it.from,
                         .sum = sum()};
        if (handshake_delay_.count() == 0)
            return transmit(out);
        loop_.after(handshake_delay_, [this, out] { transmit(out); });
    }

    auto handle_data(const flow_key &key, flow &known, const packet &it)
        -> void {
        if (it.seq != known.peer_seq) {
            if (known.last_answer)
                transmit(*known.last_answer);
            return;
        }
        known.peer_seq += static_cast<std::uint32_t>(it.data.size());
        known.last_answer.reset();
        const auto at = it.data.find("Request-Id: ");
        if (at == std::string::npos)
            return;
        jobs_.push_back({key, std::stoi(it.data.substr(at + 12))});
        start_jobs();
    }

    auto handle_fin(flow &known, const packet &it) -> void {
        if (known.closed || it.seq + it.data.size() != known.peer_seq)
            return;
        known.closed = true;
        ++known.peer_seq;
        reply(it, known, flag_fin | flag_ack, "");
        const flow_key key{it.from, it.to};
        loop_.after(milliseconds{3'000}, [this, key] { flows_.erase(key); });
    }

    auto start_jobs() -> void {
        while (busy_ < slots && !jobs_.empty()) {
            ++busy_;
            const auto next = jobs_.front();
            jobs_.pop_front();
            const auto found = flows_.find(next.key);
            const auto arrived = found == flows_.end()
                                     ? time_point{}
                                     : found->second.syn_arrived;
            runs_.push_back(
                {.request = next.request, .host = id_, .syn_arrived = arrived});
            log_.line("host %s runs request %d", id_.c_str(), next.request);
            loop_.after(work_, [this, next] { finish(next); });
        }
    }

    auto finish(const job &done) -> void {
        --busy_;
        if (!alive_)
            return;
        const auto found = flows_.find(done.key);
        if (found != flows_.end()) {
            const packet to{.from = done.key.first, .to = done.key.second};
            const std::string body(400, 'x');
            found->second.last_answer =
                reply(to, found->second, flag_ack,
                      "HTTP/1.1 200 OK\r\nRequest-Id: " +
                          std::to_string(done.request) +
                          "\r\nResponse-Signature: " + id_ +
                          "\r\nContent-Length: 400\r\n\r\n" + body);
        }
        start_jobs();
    }

public:
    /// Port at which all clients receive; the same as that of the balancers.
    static inline std::uint16_t client_port = 0;

private:
    event_loop &loop_;
    store &entries_;
    record &log_;
    std::string id_;
    std::string service_;
    std::string zone_;
    endpoint address_;
    milliseconds work_;
    std::int64_t born_;
    int fd_;
    std::string state_ = "ready";
    bool alive_ = true;
    milliseconds handshake_delay_{0};
    time_point drained_at_{};
    std::map<flow_key, flow> flows_;
    std::deque<job> jobs_;
    int busy_ = 0;
    std::uint32_t started_ = 0;
    std::vector<run> runs_;
};

} // namespace review
