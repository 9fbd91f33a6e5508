#include "gateway/peer_exchange.hpp"

#include "base/bounded_cbor.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rml::gateway {

namespace {

using boost::asio::ip::udp;

/// Highest usual age of the load of other daemons when a target is chosen.
constexpr milliseconds report_interval{100};
/// Interval of reports while slots are scarce. A group with 25 requests of 1 s each frees a slot every 40 ms.
constexpr milliseconds min_report_interval{25};
/// Limit of reports per second from one daemon to a set of others; it reports to larger sets less often.
constexpr int max_reports_per_s = 120;

milliseconds interval_for(std::size_t receivers)
{
    return std::max(report_interval, milliseconds(1000 * static_cast<int>(receivers) / max_reports_per_s));
}

} // namespace

peer_exchange::peer_exchange(boost::asio::io_context& context, fleet_state& state)
    : fleet(state), socket(context), timer(context)
{
}

status peer_exchange::start(const endpoint& listen, std::function<peer_report(bool to_all)> make)
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

bool peer_exchange::is_entry() const
{
    return this->entries.count(this->fleet.self) != 0;
}

void peer_exchange::schedule()
{
    this->timer.expires_at(this->is_entry() ? std::min(this->next_to_entries, this->next_to_all)
                                            : this->next_to_all);
    this->timer.async_wait([this](const boost::system::error_code& code) {
        if (!code) {
            this->send(steady_clock::now() >= this->next_to_all);
            this->schedule();
        }
    });
}

void peer_exchange::send_now()
{
    this->send(true);
}

void peer_exchange::send_soon()
{
    const auto due = this->sent_to_entries + min_report_interval;
    if (this->is_entry() && due < this->next_to_entries) {
        this->next_to_entries = due;
        this->schedule();
    }
}

void peer_exchange::send_to_all_soon()
{
    const auto due = this->sent_to_all + min_report_interval;
    if (steady_clock::now() >= due) {
        this->send(true);
    } else if (due < this->next_to_all) {
        this->next_to_all = due;
        this->schedule();
    }
}

void peer_exchange::send(bool to_all)
{
    const auto now = steady_clock::now();
    this->sent_to_entries = now;
    this->next_to_entries = now + interval_for(this->entries.size());
    if (to_all) {
        this->sent_to_all = now;
        this->next_to_all = now + interval_for(this->fleet.peers().size());
    }
    auto report = this->compose(to_all);
    report.sequence = ++this->sequence;
    this->send_bytes(encode_report(report), to_all);
}

void peer_exchange::send_notice(const change_notice& notice)
{
    this->send_bytes(encode_notice(notice), true);
}

void peer_exchange::send_bytes(const std::string& bytes, bool to_all)
{
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        const auto& target = peer.entry.peer;
        const bool wanted = to_all || this->entries.count(daemon) != 0;
        if (!wanted || daemon == this->fleet.self || target.port == 0 || !peer.registered) {
            continue;
        }
        boost::system::error_code code;
        const auto address = boost::asio::ip::make_address(target.address, code);
        if (!code) {
            this->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, target.port), 0, code);
        }
        // No retry: the next report replaces one that the socket did not accept.
        ++(code ? this->counts.unsent : this->counts.sent);
    }
}

void peer_exchange::handle_message(std::string_view bytes)
{
    const auto reject = [this](const failure& reason) {
        ++this->counts.malformed;
        log(log_level::warning, "datagram from another daemon is malformed; ignored",
            {context_field(reason)});
    };
    const auto message = decode_bounded_cbor(bytes);
    if (is_notice(message)) {
        if (const auto notice = decode_notice(message); failed(notice)) {
            reject(error(notice));
        } else if (this->on_notice) {
            this->on_notice(value(notice));
        }
        return;
    }
    const auto report = decode_report(message);
    if (failed(report)) {
        reject(error(report));
    } else if (this->fleet.accept_report(value(report), steady_clock::now()) && this->on_report) {
        this->on_report(value(report));
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
                this->handle_message(std::string_view(this->buffer.data(), length));
            }
            this->receive();
        });
}

} // namespace rml::gateway
