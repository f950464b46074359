#pragma once

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

#include "world.hpp"

namespace standin {

/// The daemons of a deployment, started with the command and the settings
/// template of the deploy file, and the platform's routers in front of them.
class fleet {
public:
    struct machine {
        std::string name;
        std::string zone;
        address link;
        address ready;
        pid_t pid = -1;
        double started = 0;
        bool in_rotation = false;
        int misses = 0;
    };

    fleet(world &it, std::string program, std::string folder, address entries)
        : world_(it), program_(std::move(program)), folder_(std::move(folder)),
          store_(entries) {}
    ~fleet() {
        for (auto &it : machines)
            kill_machine(it);
    }
    fleet(const fleet &) = delete;
    auto operator=(const fleet &) -> fleet & = delete;

    auto add(const std::string &name, const std::string &zone, std::uint32_t ip)
        -> void {
        machines.push_back({.name = name,
                            .zone = zone,
                            .link = {ip, link_port},
                            .ready = {ip, ready_port}});
    }

    auto find(const std::string &name) -> machine & {
        for (auto &it : machines)
            if (it.name == name)
                return it;
        std::abort();
    }

    auto start(machine &it, bool bootstrap) -> void {
        const auto settings = folder_ + "/" + it.name + ".conf";
        std::ofstream(settings) << render(it, bootstrap);
        const auto log = folder_ + "/" + it.name + ".log";
        it.pid = fork();
        if (it.pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("DOGWOODTRACK_SETTINGS", settings.c_str(), 1);
            if (std::freopen(log.c_str(), "a", stdout) == nullptr)
                _exit(126);
            execl(program_.c_str(), program_.c_str(), nullptr);
            _exit(127);
        }
        it.started = world_.now();
        world_.record("%s starts", it.name.c_str());
    }

    auto kill_machine(machine &it) -> void {
        if (it.pid <= 0)
            return;
        kill(it.pid, SIGKILL);
        waitpid(it.pid, nullptr, 0);
        it.pid = -1;
        world_.record("%s is killed", it.name.c_str());
    }

    auto all_ready() const -> bool {
        return std::all_of(machines.begin(), machines.end(),
                           [](const machine &it) { return it.in_rotation; });
    }

    /// Checks the readiness of all daemons, twice a second from now on.
    auto check_readiness() -> void {
        for (auto &it : machines)
            check(it);
        next_check = world_.now() + 500;
        world_.after(500, [this] { check_readiness(); });
    }

    /// The daemon to which a client's router in `zone` sends a packet.
    auto route(const std::string &zone, const address &from, const address &to)
        -> machine * {
        auto all = of_zone(zone, false);
        auto some = of_zone(zone, true);
        if (some.size() * 2 < all.size() && !some.empty())
            some = all;
        for (const auto *other : {"z1", "z2", "z3"})
            if (some.empty())
                some = of_zone(other, true);
        if (some.empty())
            return nullptr;
        return some[hash_of(from, to) % some.size()];
    }

    static auto hash_of(const address &from, const address &to)
        -> std::uint64_t {
        std::uint64_t hash = 1'469'598'103'934'665'603U;
        for (const std::uint64_t part :
             {from.ip, static_cast<std::uint32_t>(from.port), to.ip,
              static_cast<std::uint32_t>(to.port)})
            hash = (hash ^ part) * 1'099'511'628'211U;
        return hash >> 20U;
    }

    std::vector<machine> machines;
    double next_check = 0;

    static constexpr std::uint16_t link_port = 8172;
    static constexpr std::uint16_t ready_port = 8167;
    static constexpr std::uint16_t control_port = 8166;

private:
    auto of_zone(const std::string &zone, bool in_rotation)
        -> std::vector<machine *> {
        std::vector<machine *> found;
        for (auto &it : machines)
            if (it.zone == zone && (!in_rotation || it.in_rotation))
                found.push_back(&it);
        return found;
    }

    static auto replace(std::string &text, const std::string &what,
                        const std::string &by) -> void {
        for (auto at = text.find(what); at != std::string::npos;
             at = text.find(what, at + by.size()))
            text.replace(at, what.size(), by);
    }

    // Fills in the template as the platform does.
    auto render(const machine &it, bool bootstrap) -> std::string {
        std::stringstream in;
        in << std::ifstream("deploy/settings.conf").rdbuf();
        auto text = in.str();
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, machines.size());
             ++i)
            seeds += (i == 0 ? "\"" : ",\"") +
                     text_of({machines[i].link.ip, control_port}) + "\"";
        replace(text, R"({{#seeds}}"{{.}}"{{,}}{{/seeds}})", seeds);
        replace(text, "{{node_id}}", it.name);
        replace(text, "{{zone}}", it.zone);
        replace(text, "{{listen.datagram_addr}}", text_of(it.link));
        replace(text, "{{listen.ready}}", text_of(it.ready));
        replace(text, "{{ip}}", ip_text(it.link.ip));
        replace(text, "{{internal_ports.0}}", "7720");
        replace(text, "{{internal_ports.1}}", "7735");
        replace(text, "{{platform.address}}", text_of(store_));
        replace(text, "{{limits.cpu_share}}", "0.5");
        replace(text, "{{bootstrap}}", bootstrap ? "true" : "false");
        replace(text, "{{bounds.grace_s}}", "6");
        replace(text, "{{bounds.flow_lifetime_s}}", "60");
        replace(text, "{{bounds.config_apply_ms}}", "3000");
        replace(text, "{{bounds.drain_ms}}", "3000");
        for (const auto *none : {"evacuate_ms", "cold_overage", "cold_slack"})
            replace(text, std::string("{{bounds.") + none + "}}", "");
        return text;
    }

    auto check(machine &it) -> void {
        const auto fd =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto to = to_sockaddr(it.ready);
        const auto called =
            connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
        if (called != 0 && errno != EINPROGRESS) {
            close(fd);
            return end_check(it, false);
        }
        world_.after(50, [this, fd, &it] {
            const std::string call =
                "GET /readiness HTTP/1.1\r\nHost: " + text_of(it.ready) +
                "\r\n\r\n";
            send(fd, call.data(), call.size(), MSG_NOSIGNAL);
        });
        world_.after(400, [this, fd, &it] {
            char buf[512];
            const auto n = recv(fd, buf, sizeof buf, 0);
            close(fd);
            const std::string answer(buf,
                                     n < 0 ? 0 : static_cast<std::size_t>(n));
            end_check(it, answer.rfind("HTTP/1.1 200", 0) == 0);
        });
    }

    auto end_check(machine &it, bool good) -> void {
        it.misses = good ? 0 : it.misses + 1;
        const auto before = it.in_rotation;
        if (good)
            it.in_rotation = true;
        else if (it.misses >= 2)
            it.in_rotation = false;
        if (before != it.in_rotation)
            world_.record("router: %s is %s rotation", it.name.c_str(),
                          it.in_rotation ? "in" : "out of");
    }

    world &world_;
    std::string program_;
    std::string folder_;
    address store_;
};

} // namespace standin
