#include "http/server.hpp"
#include "standin/site.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace rml;

namespace {

class no_handler final : public http::handler
{
public:
    void handle(const http::request&, http::response_writer&, http::yield_context) override {}
};

} // namespace

// Guards against a daemon that cannot listen because another process got its port meanwhile.
TEST_CASE("the ports in a daemon's settings stay reserved until it listens", "[standin]")
{
    boost::asio::io_context context;
    auto site = site_standin::platform_site::create(context, {});
    REQUIRE(succeeded(site));
    const auto settings = nlohmann::json::parse(value(site)->daemon_settings(0));
    for (const auto& entry : settings["listen"]) {
        const auto address = value(parse_endpoint(entry.get<std::string>()));
        CAPTURE(to_string(address));
        boost::asio::ip::tcp::socket other(context, boost::asio::ip::tcp::v4());
        boost::system::error_code code;
        other.bind({boost::asio::ip::address_v4::loopback(), address.port}, code);
        CHECK(code == boost::asio::error::address_in_use);
        no_handler handler;
        CHECK(succeeded(http::server::create(context, address, handler)));
    }
}
