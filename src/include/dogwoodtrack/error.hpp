#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace dogwoodtrack {

/// What went wrong. Each kind has one remedy, see `remedy_of`.
enum class error_kind {
    bad_endpoint,
    bad_setting,
    bad_contract,
    contract_conflict,
    contract_removes_upstream,
    platform_unreachable,
    platform_refused,
    platform_not_found,
    socket_failed,
    peer_message_invalid,
    scenario_invalid,
};

/// A typed error: its kind, where it arose, and in words what was seen.
struct error {
    error_kind kind{};
    std::string detail;

    /// What was seen and what to do about it, as one line.
    auto message() const -> std::string;
};

/// Short name of a kind for logs and JSON, for example `bad_contract`.
auto to_string(error_kind kind) -> std::string;

/// What an operator does about errors of this kind.
auto remedy_of(error_kind kind) -> std::string;

/// A value or a typed error.
template <typename T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

} // namespace dogwoodtrack
