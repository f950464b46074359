#include <doctest/doctest.h>

#include <map>
#include <random>

#include "dogwoodtrack/flow_table.hpp"

using namespace dogwoodtrack;

namespace {

auto key(std::uint32_t number) -> flow_key {
    return {.caller = {.address = number, .port = 1},
            .service = {.address = 5, .port = 443}};
}

} // namespace

TEST_CASE("flow table matches a std::map over random inserts and erases") {
    flow_table table(500);
    std::map<std::uint32_t, std::uint16_t> model;
    std::mt19937 random(7);
    for (int i = 0; i < 50'000; ++i) {
        const auto n = static_cast<std::uint32_t>(random() % 800);
        if (random() % 2 == 0) {
            auto *entry = table.insert(key(n));
            if (entry == nullptr) {
                CHECK(table.size() == 500);
                continue;
            }
            entry->upstream.port = static_cast<std::uint16_t>(i % 60000 + 1);
            model[n] = entry->upstream.port;
        } else {
            table.erase(key(n));
            model.erase(n);
        }
    }
    CHECK(table.size() == model.size());
    for (std::uint32_t n = 0; n < 800; ++n) {
        const auto *entry = table.find(key(n));
        const auto it = model.find(n);
        REQUIRE((entry != nullptr) == (it != model.end()));
        if (entry != nullptr)
            CHECK(entry->upstream.port == it->second);
    }
}

TEST_CASE("flow table of 500,000 flows uses at most 64 bytes per flow") {
    const flow_table table(500'000);
    CHECK(table.bytes() <= 64 * 500'000 + 1024);
}

TEST_CASE("sweep removes all expired entries and no others") {
    flow_table table(100);
    for (std::uint32_t n = 0; n < 100; ++n)
        table.insert(key(n))->last_seen = n;
    for (int i = 0; i < 4; ++i)
        table.sweep(table.slots(),
                    [](flow_entry &entry) { return entry.last_seen < 40; });
    CHECK(table.size() == 60);
}
