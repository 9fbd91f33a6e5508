/// Typed failures and the result alias used by every fallible function.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace rml {

/// Class of a failure. Code branches on the kind; the context is for logs and operators only.
enum class failure_kind
{
    timeout,            ///< a deadline passed
    connection_refused, ///< no connection was established, so nothing was sent
    connection_broken,  ///< an established connection ended early
    malformed,          ///< input does not follow its format
    too_large,          ///< input exceeds a limit of base/limits.hpp
    unauthorized,       ///< missing or wrong credentials
    not_found,          ///< the named object or key does not exist
    conflict,           ///< a compare-and-swap failed, or the key is used for another purpose
    unavailable,        ///< the peer answered that it cannot serve now
    refused,            ///< a check of this process rejected the operation
    stale,              ///< older than the known generation, fencing token or epoch
    lapsed,             ///< a lease or grant is no longer valid
    rate_limited,       ///< a rate limit or budget is exhausted
    invalid_settings,   ///< settings or objects do not pass their checks
    outcome_unknown,    ///< the operation may or may not have taken effect
};

/// Name of a kind as it appears in logs and error bodies.
std::string_view to_string(failure_kind kind);

/// A failure with its kind and a short technical context such as "store get config/head".
struct failure
{
    failure_kind kind{failure_kind::refused};
    std::string context;

    friend bool operator==(const failure& a, const failure& b)
    {
        return a.kind == b.kind && a.context == b.context;
    }
};

/// Either a value or a failure.
template <class T>
using result = std::variant<T, failure>;

/// Result of an operation without a value.
using status = result<std::monostate>;

/// The successful status.
inline status success()
{
    return std::monostate{};
}

template <class T>
bool succeeded(const result<T>& r)
{
    return std::holds_alternative<T>(r);
}

template <class T>
bool failed(const result<T>& r)
{
    return std::holds_alternative<failure>(r);
}

/// Value of a successful result. The caller has checked succeeded().
template <class T>
T& value(result<T>& r)
{
    return std::get<T>(r);
}

template <class T>
const T& value(const result<T>& r)
{
    return std::get<T>(r);
}

template <class T>
T&& value(result<T>&& r)
{
    return std::get<T>(std::move(r));
}

/// Failure of an unsuccessful result. The caller has checked failed().
template <class T>
const failure& error(const result<T>& r)
{
    return std::get<failure>(r);
}

} // namespace rml
