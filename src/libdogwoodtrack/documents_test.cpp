#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "documents.hpp"
#include "dogwoodtrack/platform_client.hpp"
#include "sockets.hpp"

using namespace dogwoodtrack;

namespace {

constexpr time_point start{std::chrono::hours{1}};

struct documents_fixture {
    timeline events{"b0"};
    placement_lease lease;
    blackboard board;
    control_actions actions;
    std::uint64_t generation = 0;

    documents_fixture() {
        board.events = &events;
        board.lease = &lease;
        board.self.name = "b0";
        board.self.id = hash_name("b0");
    }

    auto accept(const std::string &name, const std::string &json) -> bool {
        return accept_document(board, name,
                               {.generation = ++generation, .json = json},
                               start, actions);
    }
};

const std::string upstream_ports = R"("ports":[{"name":"data","port":80}])";
const std::string balancer_ports =
    R"("ports":[{"name":"data","port":80},{"name":"control","port":81}])";
const std::string upstream_entry = R"({"addresses":["10.1.1.9"]})";
const std::string balancer_entry =
    R"({"addresses":["10.1.1.9"],"zone":"z","targetRef":{"name":"b9"}})";

// Entries of an instance list that no instance has written.
auto odd_entries() -> std::vector<std::string> {
    constexpr std::size_t depth = 100'000;
    return {"7",
            "null",
            R"("text")",
            "[[]]",
            R"({"addresses":"10.1.1.1"})",
            R"({"addresses":[7]})",
            R"({"addresses":[["10.1.1.1"]]})",
            R"({"addresses":["10.1.1.1"],"zone":7,"targetRef":"b1"})",
            R"({"addresses":["10.1.1.1"],"targetRef":{"name":[]}})",
            fmt::format(R"({{"addresses":{}{}}})", std::string(depth, '['),
                        std::string(depth, ']'))};
}

// An instance list with an odd entry before and after another one.
auto list_with(const std::string &odd, const std::string &entry,
               const std::string &ports) -> std::string {
    return fmt::format(R"({{"endpoints":[{},{},{}],{}}})", odd, entry, odd,
                       ports);
}

// A platform on the loopback interface that gives one answer to one request.
struct one_answer_platform {
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    endpoint address;
    std::thread server;

    explicit one_answer_platform(const std::string &body) {
        REQUIRE(bind_to(listener, {.address = INADDR_LOOPBACK, .port = 0}));
        REQUIRE(listen(listener, 1) == 0);
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size);
        address = {.address = INADDR_LOOPBACK, .port = ntohs(bound.sin_port)};
        const auto text = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        server = std::thread([this, text] {
            const auto fd = accept(listener, nullptr, nullptr);
            char buf[2'048];
            (void)recv(fd, buf, sizeof buf, 0);
            (void)send(fd, text.data(), text.size(), MSG_NOSIGNAL);
            close(fd);
        });
    }

    ~one_answer_platform() {
        server.join();
        close(listener);
    }
};

auto slice_of(const std::string &name, const std::string &endpoints)
    -> std::string {
    return R"({"metadata":{"name":")" + name +
           R"(","generation":3},"endpoints":)" + endpoints + "," +
           upstream_ports + "}";
}

} // namespace

// Guards against a daemon that ends: an entry with a field of another type
// threw an exception that nothing caught.
TEST_CASE("an odd entry in a list of upstreams names none, and the other "
          "entries hold") {
    for (const auto &odd : odd_entries()) {
        documents_fixture it;
        CAPTURE(odd.substr(0, 80));
        it.accept("live/bookings",
                  list_with(odd, upstream_entry, upstream_ports));
        CHECK(it.board.listed_upstreams.contains(
            {.address = 0x0a010109, .port = 80}));
    }
}

// Guards against balancers that forget each other: the table was cleared before
// the list that replaces it had been read.
TEST_CASE("an odd entry in the list of balancers names none, and the other "
          "entries hold") {
    for (const auto &odd : odd_entries()) {
        documents_fixture it;
        CAPTURE(odd.substr(0, 80));
        it.accept(balancer_list,
                  list_with(odd, balancer_entry, balancer_ports));
        CHECK(it.board.balancers.contains("b9"));
        CHECK(it.board.balancers.size() == 1);
    }
}

TEST_CASE("a list whose fields have another type names no upstream") {
    for (const std::string list :
         {R"({"endpoints":"x","ports":7})", R"({"endpoints":{"a":7}})",
          R"({"endpoints":[{"addresses":["10.1.1.9"]}],"ports":[7,[],"x",)"
          R"({"name":7,"port":"80"}]})"}) {
        documents_fixture it;
        it.accept("live/bookings", list);
        CHECK_FALSE(it.board.listed_upstreams.contains(
            {.address = 0x0a010109, .port = 80}));
    }
}

// Guards against a port out of range that is cut to 16 bits, and so names the
// port of another upstream.
TEST_CASE("a port out of range is not taken for another port") {
    for (const std::string port : {"65616", "-65456", "80.0", "1e30"}) {
        documents_fixture it;
        it.accept("live/bookings",
                  fmt::format(R"({{"endpoints":[{}],"ports":[{{"port":{}}}]}})",
                              upstream_entry, port));
        CHECK_FALSE(it.board.listed_upstreams.contains(
            {.address = 0x0a010109, .port = 80}));
    }
}

// Guards against a list that cannot be read, or a daemon that ends, because of
// one object in the platform's answer.
TEST_CASE("an unreadable object in a list of the platform does not affect the "
          "others") {
    constexpr std::size_t depth = 100'000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    for (const auto &odd : std::vector<std::string>{
             R"({"metadata":7})",
             R"({"metadata":{"name":[],"generation":"x"}})",
             R"({"metadata":{"name":"o","generation":-1,"annotations":[]}})",
             slice_of("o", "1e400"), slice_of("o", R"("\ud83e")"),
             slice_of("o", "\"\xff\""), slice_of("o", nested),
             slice_of("o", R"("cut)")}) {
        CAPTURE(odd.substr(0, 80));
        const one_answer_platform platform(fmt::format(
            R"({{"metadata":{{"resourceVersion":"9"}},"items":[{},{},{}]}})",
            slice_of("a", "[]"), odd, slice_of("b", "[]")));
        const platform_client client({.address = platform.address});
        const auto list = client.list(platform_resource::endpoint_slices);
        REQUIRE(list);
        CHECK(list.value().resource_version == "9");
        std::vector<std::string> names;
        for (const auto &object : list.value().objects) {
            if (object.name != "o" && !object.name.empty())
                names.push_back(object.name);
        }
        CHECK(names == std::vector<std::string>{"a", "b"});
    }
}
