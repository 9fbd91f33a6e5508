/// Sends and receives the reports between daemons over UDP. A lost report is replaced by the next one.
#pragma once

#include "gateway/change_notice.hpp"
#include "gateway/fleet_state.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>

namespace rml::gateway {

struct exchange_stats
{
    std::uint64_t sent{0};
    std::uint64_t received{0};
    std::uint64_t malformed{0};
    std::uint64_t unsent{0}; ///< the socket did not take them
};

class peer_exchange
{
public:
    peer_exchange(boost::asio::io_context& context, fleet_state& fleet);

    /// Fails with `unavailable` when the address cannot be bound. `compose` makes the report to send.
    status start(const endpoint& listen, std::function<peer_report()> compose);
    /// Sends a report at once, for example because a target stands still.
    void send_now();
    /// Sends a report to those that take most requests, soon.
    void send_soon();
    /// Sends a notice to all other daemons.
    void send_notice(const change_notice& notice);
    void stop();

    /// Daemons that take most requests. Reports between them come more often: their view of each other's load
    /// decides how evenly targets are filled.
    void update_entries(std::set<daemon_id> daemons) { this->entries = std::move(daemons); }

    /// Called after each report that was taken.
    std::function<void(const peer_report&)> on_report;
    /// Called for each notice of changes.
    std::function<void(const change_notice&)> on_notice;

    const exchange_stats& stats() const { return this->counts; }

private:
    static constexpr std::size_t largest_datagram = 65507;

    void receive();
    void schedule();
    void send(bool to_all);
    void send_bytes(const std::string& bytes, bool to_all);
    void handle_message(std::string_view bytes);
    bool is_entry() const;

    fleet_state& fleet;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, largest_datagram> buffer{};
    std::function<peer_report()> compose;
    std::set<daemon_id> entries;
    time_point sent_to_entries{};
    time_point next_to_entries{};
    time_point next_to_all{};
    std::uint64_t sequence{0};
    exchange_stats counts;
};

} // namespace rml::gateway
