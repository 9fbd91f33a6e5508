/// Network addresses. Hosts are IP addresses; host names are never resolved.
#pragma once

#include "base/failure.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace rml {

/// IP address and port.
struct endpoint
{
    std::string address;
    std::uint16_t port{0};

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.address == b.address && a.port == b.port;
    }
};

/// Parses "1.2.3.4:80" or "[::1]:80". Fails with `malformed`.
result<endpoint> parse_endpoint(std::string_view text);
std::string to_string(const endpoint& e);

} // namespace rml
