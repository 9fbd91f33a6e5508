/// Links to the other daemons, replicated items and membership. All calls and callbacks run on the control
/// strand.
#pragma once

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "control/config_snapshot.hpp"
#include "decision/membership.hpp"
#include "decision/replication.hpp"
#include "peer/transport.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rml::control {

using control_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// Receives items and messages of other daemons. Called on the control strand.
class fleet_listener
{
public:
    fleet_listener() = default;
    fleet_listener(const fleet_listener&) = delete;
    fleet_listener& operator=(const fleet_listener&) = delete;
    virtual ~fleet_listener() = default;

    /// An item of another daemon that is newer than the version stored here.
    virtual void item_accepted(const item& accepted) = 0;
    /// A message that concerns neither links nor items nor membership.
    virtual void message_received(const daemon_id& from, const peer::message& received) = 0;
    /// A peer reported the configuration generation that it has in force.
    virtual void peer_generation(const daemon_id& from, std::uint64_t generation) = 0;
};

struct fleet_options
{
    member_record self;
    endpoint listen;
    std::string secret;
};

class fleet final : private peer::link_events
{
public:
    fleet(boost::asio::io_context& context, control_strand& strand, fleet_options options,
          fleet_listener& listener);

    /// Binds the peer address. Fails with `unavailable`.
    status start(const endpoint& caller_address);
    void stop();

    /// Adds a peer address from the instance list. Seeds are contacted while no other daemon is live.
    void add_seed(const endpoint& address);

    /// Stores an item of this daemon and replicates it.
    void publish(const item& written);
    void destroy(const std::string& key) { this->items.destroy(key); }
    const item* find(const std::string& key) const { return this->items.find(key); }
    std::vector<const item*> list(const std::string& prefix) const { return this->items.list(prefix); }

    /// Sends to one daemon over an existing link, or over a new one. Messages to a daemon that is not a live
    /// member are dropped.
    void send(const daemon_id& to, const peer::message& m);

    /// Announces that this daemon is leaving.
    void leave();

    const membership& members() const { return this->view; }
    bool isolated(time_point now) const { return this->isolation.isolated(now); }
    void update_store_answer(time_point now) { this->isolation.update_store_answer(now); }
    endpoint local() const { return this->links->local(); }
    peer::transport_stats link_stats() const { return this->links->stats(); }
    replication_stats item_stats() const { return this->items.stats(); }
    std::size_t open_links() const { return this->open.size(); }

    /// Configuration generation that hellos and keepalives carry.
    void update_generation(std::uint64_t generation) { this->generation = generation; }

    /// Called every second: sends keepalives and item summaries, closes links without traffic, opens missing
    /// links.
    void tick(time_point now);

private:
    struct link_record
    {
        daemon_id daemon;
        peer::link_purpose purpose{peer::link_purpose::overlay};
        bool opened_here{false};
        time_point last_received{};
        time_point last_used{};
    };
    struct pending_link
    {
        daemon_id daemon; ///< empty for a seed
        peer::link_purpose purpose{peer::link_purpose::overlay};
        std::vector<peer::message> queue; ///< sent once the link is open
        time_point since{};
    };

    void link_opened(link_handle link, const peer::hello_message& remote) override;
    void message_received(link_handle link, const peer::message& received) override;
    void link_closed(link_handle link, const failure& reason) override;

    void on_opened(link_handle link, const peer::hello_message& remote);
    void on_message(link_handle link, const peer::message& received);
    void on_closed(link_handle link, const failure& reason);
    void apply(const replication_effects& effects);
    void apply_membership(const item& accepted);
    void publish_all(const std::vector<item>& written);
    void open_missing_links(time_point now);
    void check_link_timeouts(time_point now);
    void open_link(const member_record& member, peer::link_purpose purpose, std::vector<peer::message> queue);
    std::optional<link_handle> link_to(const daemon_id& daemon, bool overlay_only) const;
    peer::hello_message make_hello() const;

    boost::asio::io_context& context;
    control_strand& strand;
    fleet_options options;
    fleet_listener& listener;
    std::unique_ptr<peer::transport> links;
    replication items;
    membership view;
    isolation_detector isolation;
    std::map<link_handle, link_record> open;
    std::map<link_handle, pending_link> pending;
    std::vector<endpoint> seeds;
    std::atomic<std::uint64_t> generation{0};
    std::atomic<std::uint64_t> own_incarnation{0};
    std::uint64_t ticks{0};
    std::minstd_rand random;
};

} // namespace rml::control
