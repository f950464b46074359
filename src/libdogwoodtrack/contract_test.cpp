#include <doctest/doctest.h>

#include <fmt/format.h>

#include "dogwoodtrack/contract.hpp"

using namespace dogwoodtrack;

namespace {

auto spec(const std::string &service_extra, const std::string &upstream_extra)
    -> std::string {
    return fmt::format(
        R"({{"services":[{{"name":"ordering","address":"198.18.0.1:443",
        {} "upstreams":[{{"name":"a","address":"172.16.0.1:80",
        "failureDomain":"mitte-a","connections":10{}}}]}}]}})",
        service_extra, upstream_extra);
}

auto detail_of(const std::string &text) -> std::string {
    const auto parsed = parse_contract("brunner", 1, text);
    return parsed ? "" : parsed.error().message();
}

} // namespace

TEST_CASE("a valid contract is parsed, and fields that it omits have their "
          "default values") {
    const auto parsed = parse_contract("brunner", 4, spec("", ""));
    REQUIRE(parsed);
    CHECK(parsed.value().generation == 4);
    CHECK(parsed.value().services[0].idle_timeout == seconds{14400});
    CHECK(parsed.value().services[0].upstreams[0].connections == 10);
}

TEST_CASE("each invalid field is reported with its path and a remedy") {
    CHECK(detail_of("{").find("is not JSON") != std::string::npos);
    CHECK(detail_of(spec(R"("colour":"red",)", ""))
              .find("services[0].colour: is not a known field") !=
          std::string::npos);
    CHECK(detail_of(spec("", R"(,"connections":0)")).find("connections") !=
          std::string::npos);
    CHECK(detail_of(spec("", R"(,"capacity":-1)")).find("capacity") !=
          std::string::npos);
    CHECK(detail_of(spec(R"("limit":"slots",)", "")).find("slots") !=
          std::string::npos);
    CHECK(detail_of(spec(R"("protocol":"sctp",)", "")).find("neither") !=
          std::string::npos);
    CHECK(detail_of(R"({"services":[]})").find("services") !=
          std::string::npos);
    CHECK(detail_of("{").find("apply it again") != std::string::npos);
}

TEST_CASE("a contract that uses an address of another customer is rejected") {
    const auto first = parse_contract("brunner", 1, spec("", ""));
    const auto second = parse_contract("shantiniketan", 1, spec("", ""));
    REQUIRE(first);
    REQUIRE(second);
    CHECK(!check_overlap(second.value(), {first.value()}));
    CHECK(check_overlap(first.value(), {first.value()}));
}

TEST_CASE("an upstream in service cannot be removed, but a leaving one can") {
    auto current = parse_contract("brunner", 1, spec("", "")).value();
    auto next = current;
    next.services[0].upstreams[0].address.port = 81;
    CHECK(!check_removals(current, next));
    current.services[0].upstreams[0].leaving = true;
    CHECK(check_removals(current, next));
}
