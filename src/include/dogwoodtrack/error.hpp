#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace dogwoodtrack {

/// Kinds of errors. Each has one remedy, see `remedy_of`.
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

/// An error: its kind and a description of what failed and where.
struct error {
    error_kind kind{};
    std::string detail;

    /// Returns kind, detail and remedy as one line. Thread safe.
    auto message() const -> std::string;
};

/// Returns the name of a kind for logs and JSON, for example `bad_contract`.
/// Thread safe.
auto to_string(error_kind kind) -> std::string;

/// Returns what an operator can do about errors of this kind. Thread safe.
auto remedy_of(error_kind kind) -> std::string;

/// A value or an error.
template <typename T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::terminate>;

} // namespace dogwoodtrack
