#include "dogwoodtrack/error.hpp"

#include <array>

namespace dogwoodtrack {

namespace {

struct kind_text {
    error_kind kind;
    const char *name;
    const char *remedy;
};

constexpr std::array kind_texts{
    kind_text{error_kind::bad_endpoint, "bad_endpoint",
              "write the endpoint as a.b.c.d:port with a port from 1 to 65535"},
    kind_text{error_kind::bad_setting, "bad_setting",
              "correct the flag or environment variable; "
              "`dogwoodtrackd --check` prints the settings in effect"},
    kind_text{error_kind::bad_contract, "bad_contract",
              "correct the named path of the contract and apply it again"},
    kind_text{error_kind::contract_conflict, "contract_conflict",
              "run `dogwoodtrack contract diff`, merge the other operator's "
              "change into the file and apply it again"},
    kind_text{error_kind::contract_removes_upstream,
              "contract_removes_upstream",
              "set `leaving: true` on the upstream first and remove it when "
              "`dogwoodtrack upstreams` shows no open flows"},
    kind_text{error_kind::platform_unreachable, "platform_unreachable",
              "check --platform and the platform's health; the current "
              "contracts stay in force meanwhile"},
    kind_text{error_kind::platform_refused, "platform_refused",
              "read the platform's response and retry after its back-off"},
    kind_text{error_kind::platform_not_found, "platform_not_found",
              "check the customer's name; `dogwoodtrack contract get` lists "
              "the known customers"},
    kind_text{error_kind::socket_failed, "socket_failed",
              "check that the address belongs to this instance and that the "
              "port is free"},
    kind_text{error_kind::peer_message_invalid, "peer_message_invalid",
              "check that all instances have the same --fleet-key"},
    kind_text{
        error_kind::scenario_invalid, "scenario_invalid",
        "correct the named line; docs/SCENARIOS.md describes the language"},
};

auto text_of(error_kind kind) -> const kind_text & {
    for (const auto &it : kind_texts) {
        if (it.kind == kind)
            return it;
    }
    return kind_texts.front();
}

} // namespace

auto to_string(error_kind kind) -> std::string {
    return text_of(kind).name;
}

auto remedy_of(error_kind kind) -> std::string {
    return text_of(kind).remedy;
}

auto error::message() const -> std::string {
    return to_string(kind) + ": " + detail + "; " + remedy_of(kind);
}

} // namespace dogwoodtrack
