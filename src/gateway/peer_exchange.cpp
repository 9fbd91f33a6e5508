#include "gateway/peer_exchange.hpp"

#include "base/log.hpp"

#include <algorithm>

namespace rml::gateway {

namespace {

using boost::asio::ip::udp;

/// Load of other daemons may be this old when a target is chosen.
constexpr milliseconds report_interval{100};
/// Reports per second that one daemon sends at most; larger fleets report less often.
constexpr int reports_per_s = 120;

} // namespace

peer_exchange::peer_exchange(boost::asio::io_context& context, fleet_state& state)
    : fleet(state), socket(context), timer(context)
{
}

status peer_exchange::start(const endpoint& listen, std::function<peer_report()> make)
{
    this->compose = std::move(make);
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(listen.address, code);
    if (!code) {
        this->socket.open(udp::v4(), code);
    }
    if (!code) {
        this->socket.bind(udp::endpoint(address, listen.port), code);
    }
    if (!code) {
        this->socket.non_blocking(true, code);
    }
    if (code) {
        return failure{failure_kind::unavailable,
                       "peer address " + to_string(listen) + ": " + code.message()};
    }
    this->receive();
    this->schedule();
    return success();
}

void peer_exchange::stop()
{
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
}

milliseconds peer_exchange::interval() const
{
    const auto peers = static_cast<int>(this->fleet.peers().size());
    return std::max(report_interval, milliseconds(1000 * peers / reports_per_s));
}

void peer_exchange::schedule()
{
    this->timer.expires_after(this->interval());
    this->timer.async_wait([this](const boost::system::error_code& code) {
        if (!code) {
            this->send_now();
            this->schedule();
        }
    });
}

void peer_exchange::send_now()
{
    auto report = this->compose();
    report.sequence = ++this->sequence;
    const auto bytes = encode_report(report);
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        if (daemon == this->fleet.self || peer.peer_address.port == 0 || !peer.registered) {
            continue;
        }
        boost::system::error_code code;
        const auto address = boost::asio::ip::make_address(peer.peer_address.address, code);
        if (!code) {
            this->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, peer.peer_address.port),
                                 0, code);
        }
        // A report that the socket does not take is as good as a lost one; the next is due soon.
        ++(code ? this->counts.unsent : this->counts.sent);
    }
}

void peer_exchange::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->sender,
        [this](const boost::system::error_code& code, std::size_t length) {
            if (code == boost::asio::error::operation_aborted || !this->socket.is_open()) {
                return;
            }
            if (!code) {
                ++this->counts.received;
                const auto report = decode_report(std::string_view(this->buffer.data(), length));
                if (failed(report)) {
                    ++this->counts.malformed;
                    log(log_level::warning, "peer report not readable", {context_field(error(report))});
                } else if (this->fleet.take_report(value(report), steady_clock::now()) && this->on_report) {
                    this->on_report(value(report));
                }
            }
            this->receive();
        });
}

} // namespace rml::gateway
