/// Client of the operator interface of daemons (docs/protocols.md). Blocks the calling thread; for tools.
#pragma once

#include "base/endpoint.hpp"
#include "base/failure.hpp"
#include "base/time.hpp"
#include "objects/objects.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace rml {

/// The part of `GET /operator/status` that tools use.
struct daemon_status
{
    std::string daemon;
    std::uint64_t generation{0};
    bool ready{false};
    std::string document; ///< the whole answer, JSON
};

class daemon_client
{
public:
    daemon_client(std::string token, milliseconds call_timeout)
        : token(std::move(token)), call_timeout(call_timeout)
    {
    }

    /// `GET /operator/status`
    result<daemon_status> get_status(const endpoint& daemon) const;

    /// `POST /operator/config`. Returns the generation in force at the daemon, which may be higher than
    /// that of the set.
    result<std::uint64_t> deliver(const endpoint& daemon, const object_set& set) const;

    /// `GET /operator/burn`. Returns the body.
    result<std::string> get_burn(const endpoint& daemon) const;

private:
    result<std::string> exchange(const endpoint& daemon, const char* method, const char* target,
                                 std::string body) const;

    std::string token;
    milliseconds call_timeout;
};

} // namespace rml
