#include "base/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace rml {

result<endpoint> parse_endpoint(std::string_view text)
{
    const failure bad{failure_kind::malformed, "address '" + std::string(text) + "' is not IP:PORT"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return bad;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    endpoint parsed;
    const auto port = text.substr(colon + 1);
    const auto* const last = port.data() + port.size();
    if (const auto [end, code] = std::from_chars(port.data(), last, parsed.port);
        code != std::errc() || end != last || port.empty()) {
        return bad;
    }
    if (host.find('\0') != std::string_view::npos) {
        return bad; // make_address() reads only up to it
    }
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(std::string(host), code);
    if (code) {
        return bad;
    }
    parsed.address = address.to_string();
    return parsed;
}

std::string to_string(const endpoint& e)
{
    const bool v6 = e.address.find(':') != std::string::npos;
    return (v6 ? "[" + e.address + "]" : e.address) + ":" + std::to_string(e.port);
}

} // namespace rml
