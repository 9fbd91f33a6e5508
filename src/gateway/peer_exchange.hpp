/// Exchanges reports and change notices between daemons over UDP. The next report replaces a lost one.
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
#include <vector>

namespace rml::gateway {

struct exchange_stats
{
    std::uint64_t sent{0};
    std::uint64_t received{0};
    std::uint64_t malformed{0};
    std::uint64_t unsent{0}; ///< the socket did not accept the datagram
};

class peer_exchange
{
public:
    peer_exchange(boost::asio::io_context& context, fleet_state& fleet);

    /// Fails with `unavailable` when the address cannot be bound. `compose` returns the report to send; its
    /// argument says whether the report goes to all daemons or only to the entry daemons.
    status start(const endpoint& listen, std::function<peer_report(bool to_all)> compose);
    /// Sends a report to all daemons at once, for example because a target stalled.
    void send_now();
    /// Sends the next report to the entry daemons early, at the minimum interval.
    void send_soon();
    /// Sends a report to all daemons at once, or at the end of the minimum interval after the last one.
    void send_to_all_soon();
    /// Sends a notice to all other daemons. In a large fleet the entry daemons pass it on, each to a part of
    /// the others: the link of one daemon is too slow for copies to all of them.
    void send_notice(change_notice notice);
    void stop();

    /// Sets the entry daemons, which receive most requests. They report to each other more often: how evenly
    /// targets are loaded depends on how well they know each other's load.
    void update_entries(std::set<daemon_id> daemons) { this->entries = std::move(daemons); }

    /// Called after each report that was newer than the last one of its daemon.
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
    void send_datagram(const std::string& bytes, const peer_state& peer);
    /// Sends the notice to the daemons of its slice.
    void forward_notice(change_notice notice);
    /// Daemons that pass on notices; none in a small fleet.
    std::vector<const peer_state*> relays() const;
    bool large_fleet() const;
    milliseconds interval_to_all(time_point now) const;
    void handle_message(std::string_view bytes);
    bool is_entry() const;

    fleet_state& fleet;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, largest_datagram> buffer{};
    std::function<peer_report(bool to_all)> compose;
    std::set<daemon_id> entries;
    time_point sent_to_entries{};
    time_point sent_to_all{};
    time_point next_to_entries{};
    time_point next_to_all{};
    time_point started{};
    bool idle{false}; ///< the last report names no work
    std::uint64_t sequence{0};
    exchange_stats counts;
};

} // namespace rml::gateway
