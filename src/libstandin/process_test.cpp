#include <algorithm>
#include <array>
#include <future>

#include <doctest/doctest.h>

#include "process.hpp"

using namespace dogwoodtrack;
using namespace dogwoodtrack::standin;

namespace {

// Starts processes that sleep, and returns the longest time that a start took.
auto start_sleeping(std::size_t count) -> milliseconds {
    std::vector<std::unique_ptr<process>> started;
    auto longest = milliseconds{0};
    for (std::size_t i = 0; i < count; ++i) {
        const auto begin = monotonic::now();
        auto one = process::start("/bin/sleep", {"10"}, "/dev/null");
        REQUIRE(one);
        started.push_back(std::move(one.value()));
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(
                                        monotonic::now() - begin));
    }
    return longest;
}

} // namespace

// Guards against a start that lasts until a process that another thread started
// has ended: a drill then took twice its time.
TEST_CASE("processes started by several threads do not wait for one another") {
    constexpr std::size_t per_thread = 20;
    std::array<std::future<milliseconds>, 6> threads;
    for (auto &it : threads)
        it = std::async(std::launch::async, start_sleeping, per_thread);
    for (auto &it : threads)
        CHECK(it.get() < seconds{5});
}
