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

/// With more daemons than this, notices take a second hop and idle daemons report rarely.
constexpr std::size_t max_direct_receivers = 96;
constexpr std::size_t receivers_per_relay = 24;
/// Interval of the reports to all in a large fleet, from a daemon with work: others exclude a failed entry
/// daemon after three.
constexpr milliseconds large_fleet_interval{1000};
/// Interval of the reports to all from an idle daemon in a large fleet. Its entry in the store shows that it
/// runs.
constexpr milliseconds idle_interval{10000};
/// Idle daemons report more often in this time after the start, until the others know them.
constexpr milliseconds introduction_time{8000};

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
    this->started = steady_clock::now();
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
    auto report = this->compose(to_all);
    this->idle = report.idle();
    report.sequence = ++this->sequence;
    this->sent_to_entries = now;
    this->next_to_entries = now + interval_for(this->entries.size());
    report.interval = interval_for(this->entries.size());
    if (to_all) {
        report.interval = this->interval_to_all(now);
        this->sent_to_all = now;
        this->next_to_all = now + report.interval;
    }
    this->send_bytes(encode_report(report), to_all);
}

bool peer_exchange::large_fleet() const
{
    return this->fleet.peers().size() > max_direct_receivers;
}

milliseconds peer_exchange::interval_to_all(time_point now) const
{
    const auto usual = interval_for(this->fleet.peers().size());
    if (!this->large_fleet()) {
        return usual;
    }
    if (!this->idle || this->is_entry()) {
        return large_fleet_interval;
    }
    return now - this->started < introduction_time ? usual : idle_interval;
}

std::vector<const peer_state*> peer_exchange::relays() const
{
    std::vector<const peer_state*> out;
    if (!this->large_fleet()) {
        return out;
    }
    const auto now = steady_clock::now();
    const auto wanted = this->fleet.peers().size() / receivers_per_relay + 1;
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        const bool usable = peer.registered && this->fleet.live(peer, now) && !peer.last_report.leaving;
        if (daemon != this->fleet.self && usable && this->entries.count(daemon) != 0 && out.size() < wanted) {
            out.push_back(&peer);
        }
    }
    return out;
}

void peer_exchange::send_notice(change_notice notice)
{
    const auto passing_on = this->relays();
    if (passing_on.empty()) {
        return this->send_bytes(encode_notice(notice), true);
    }
    const auto count = static_cast<std::uint32_t>(passing_on.size());
    for (std::uint32_t index = 0; index < count; ++index) {
        notice.slice = notice_slice{index, count};
        this->send_datagram(encode_notice(notice), *passing_on[index]);
    }
}

void peer_exchange::forward_notice(change_notice notice)
{
    const auto slice = *notice.slice;
    notice.slice.reset();
    const auto bytes = encode_notice(notice);
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        if (daemon != this->fleet.self && daemon != notice.daemon && slice.contains(daemon)) {
            this->send_datagram(bytes, peer);
        }
    }
}

void peer_exchange::send_bytes(const std::string& bytes, bool to_all)
{
    for (const auto& [daemon, peer] : this->fleet.peers()) {
        if (daemon != this->fleet.self && (to_all || this->entries.count(daemon) != 0)) {
            this->send_datagram(bytes, peer);
        }
    }
}

void peer_exchange::send_datagram(const std::string& bytes, const peer_state& peer)
{
    const auto& target = peer.entry.peer;
    // The entry of a daemon that cannot reach the store expires while the daemon still serves.
    if (target.port == 0 || (!peer.registered && !this->fleet.live(peer, steady_clock::now()))) {
        return;
    }
    boost::system::error_code code;
    const auto address = boost::asio::ip::make_address(target.address, code);
    if (!code) {
        this->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, target.port), 0, code);
    }
    // No retry: the next report replaces one that the socket did not accept.
    ++(code ? this->counts.unsent : this->counts.sent);
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
            if (value(notice).slice) {
                this->forward_notice(value(notice));
            }
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
