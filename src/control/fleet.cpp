#include "control/fleet.hpp"

#include "base/hash.hpp"
#include "base/limits.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>

namespace rml::control {

namespace {

constexpr milliseconds direct_link_idle_timeout{30000};
constexpr std::uint64_t dead_member_retry_ticks = 10; // rejoins a region after a partition
constexpr std::size_t max_queued_messages = 64;       // per link that is being opened

template <class T>
constexpr bool is_replication_message =
    std::is_same_v<T, push_message> || std::is_same_v<T, prune_message> ||
    std::is_same_v<T, summary_message> || std::is_same_v<T, graft_message>;

} // namespace

fleet::fleet(boost::asio::io_context& context, control_strand& strand, fleet_options options,
             fleet_listener& listener)
    : context(context), strand(strand), options(std::move(options)), listener(listener),
      view(this->options.self), own_incarnation(this->options.self.incarnation),
      random(static_cast<std::minstd_rand::result_type>(
          hash64(this->options.self.id.str(), this->options.self.incarnation)))
{
}

status fleet::start(const endpoint& caller_address)
{
    peer::transport_options transport_options;
    transport_options.listen = this->options.listen;
    transport_options.secret = this->options.secret;
    auto created = peer::create_websocket_transport(
        this->context, transport_options, [this] { return this->make_hello(); }, *this);
    if (failed(created)) {
        return error(created);
    }
    this->links = value(std::move(created));
    // With port 0 in the settings the system picks the port.
    auto self = this->options.self;
    self.peer_address.port = this->links->local().port;
    self.caller_address = caller_address;
    this->options.self = self;
    this->view = membership(self);
    this->publish(this->view.announce());
    return success();
}

void fleet::stop()
{
    if (this->links) {
        this->links->stop();
    }
}

peer::hello_message fleet::make_hello() const
{
    peer::hello_message hello;
    hello.daemon = this->options.self.id;
    hello.incarnation = this->own_incarnation;
    hello.region = this->options.self.region;
    hello.failure_domain = this->options.self.failure_domain;
    hello.generation = this->generation;
    return hello;
}

void fleet::add_seed(const endpoint& address)
{
    if (address == this->options.self.peer_address ||
        std::find(this->seeds.begin(), this->seeds.end(), address) != this->seeds.end()) {
        return;
    }
    this->seeds.push_back(address);
}

void fleet::publish(const item& written)
{
    this->apply(this->items.update(written));
}

void fleet::publish_all(const std::vector<item>& written)
{
    for (const auto& entry : written) {
        this->publish(entry);
    }
}

void fleet::leave()
{
    this->publish(this->view.leave());
}

void fleet::apply(const replication_effects& effects)
{
    for (const auto& out : effects.messages) {
        std::visit([&](const auto& typed) { this->links->send(out.link, peer::message(typed)); },
                   out.message);
    }
    for (const auto& accepted : effects.accepted) {
        this->apply_membership(accepted);
        this->listener.item_accepted(accepted);
    }
}

void fleet::apply_membership(const item& accepted)
{
    this->publish_all(this->view.receive(accepted, steady_clock::now()));
    if (accepted.key.compare(0, 7, "member/") == 0) {
        log(log_level::info, "member changed",
            {{"member", accepted.key.substr(7)},
             {"incarnation", static_cast<std::int64_t>(accepted.version.major)},
             {"state", static_cast<std::int64_t>(accepted.version.minor)}});
    }
    this->own_incarnation = this->view.self().incarnation;
}

std::optional<link_handle> fleet::link_to(const daemon_id& daemon, bool overlay_only) const
{
    for (const auto& [link, record] : this->open) {
        if (record.daemon == daemon && (!overlay_only || record.purpose == peer::link_purpose::overlay)) {
            return link;
        }
    }
    return std::nullopt;
}

void fleet::open_link(const member_record& member, peer::link_purpose purpose,
                      std::vector<peer::message> queue)
{
    const auto link = this->links->create_link(member.peer_address, purpose);
    this->pending[link] = pending_link{member.id, purpose, std::move(queue), steady_clock::now()};
}

void fleet::send(const daemon_id& to, const peer::message& m)
{
    if (const auto link = this->link_to(to, false)) {
        this->open.at(*link).last_used = steady_clock::now();
        this->links->send(*link, m);
        return;
    }
    for (auto& [link, waiting] : this->pending) {
        if (waiting.daemon == to) {
            if (waiting.queue.size() < max_queued_messages) {
                waiting.queue.push_back(m);
            }
            return;
        }
    }
    const auto* member = this->view.find(to);
    if (member != nullptr && member->state != member_state::dead) {
        this->open_link(*member, peer::link_purpose::direct, {m});
    }
}

void fleet::link_opened(link_handle link, const peer::hello_message& remote)
{
    boost::asio::post(this->strand, [this, link, remote] { this->on_opened(link, remote); });
}

void fleet::message_received(link_handle link, const peer::message& received)
{
    boost::asio::post(this->strand, [this, link, received] { this->on_message(link, received); });
}

void fleet::link_closed(link_handle link, const failure& reason)
{
    boost::asio::post(this->strand, [this, link, reason] { this->on_closed(link, reason); });
}

void fleet::on_opened(link_handle link, const peer::hello_message& remote)
{
    const auto now = steady_clock::now();
    link_record record{remote.daemon, remote.purpose, false, now, now};
    std::vector<peer::message> queue;
    if (const auto waiting = this->pending.find(link); waiting != this->pending.end()) {
        record.opened_here = true;
        record.purpose = waiting->second.purpose;
        queue = std::move(waiting->second.queue);
        this->pending.erase(waiting);
    }
    if (remote.daemon == this->options.self.id) {
        this->links->destroy_link(link); // the seed address belongs to this daemon
        return;
    }
    this->open[link] = record;
    if (record.purpose == peer::link_purpose::overlay) {
        this->apply(this->items.create_link(link));
    }
    this->listener.peer_generation(remote.daemon, remote.generation);
    for (const auto& m : queue) {
        this->links->send(link, m);
    }
}

void fleet::on_message(link_handle link, const peer::message& received)
{
    const auto found = this->open.find(link);
    if (found == this->open.end()) {
        return;
    }
    found->second.last_received = steady_clock::now();
    const auto from = found->second.daemon;
    std::visit(
        [&](const auto& typed) {
            using type = std::decay_t<decltype(typed)>;
            if constexpr (is_replication_message<type>) {
                this->apply(this->items.receive(link, typed));
            } else if constexpr (std::is_same_v<type, peer::keepalive_message>) {
                this->listener.peer_generation(from, typed.generation);
            } else {
                this->open.at(link).last_used = steady_clock::now();
                this->listener.message_received(from, received);
            }
        },
        received);
}

void fleet::on_closed(link_handle link, const failure& reason)
{
    const auto now = steady_clock::now();
    if (const auto waiting = this->pending.find(link); waiting != this->pending.end()) {
        const auto daemon = waiting->second.daemon;
        this->pending.erase(waiting);
        if (!daemon.empty()) {
            this->publish_all(this->view.raise_suspicion(daemon, now));
        }
        return;
    }
    const auto found = this->open.find(link);
    if (found == this->open.end()) {
        return;
    }
    const auto record = found->second;
    this->open.erase(found);
    this->items.destroy_link(link);
    log(log_level::info, "peer link closed",
        {{"peer", record.daemon.str()}, kind_field(reason), context_field(reason)});
}

void fleet::check_link_timeouts(time_point now)
{
    std::size_t expected = 0;
    std::size_t live = 0;
    std::vector<link_handle> timed_out_links;
    for (const auto& [link, record] : this->open) {
        const bool timed_out = now - record.last_received > limits::peer_link_timeout;
        if (record.purpose == peer::link_purpose::overlay) {
            live += timed_out ? 0 : 1;
        }
        if (timed_out) {
            timed_out_links.push_back(link);
        }
    }
    const auto peers = this->view.live().size() - 1;
    expected = std::min(peers, limits::peer_links);
    this->isolation.update_links(expected, live, now);
    for (const auto link : timed_out_links) {
        this->publish_all(this->view.raise_suspicion(this->open.at(link).daemon, now));
        this->links->destroy_link(link);
    }
}

void fleet::open_missing_links(time_point now)
{
    std::set<daemon_id> wanted;
    for (const auto& member : this->view.links_to_open()) {
        wanted.insert(member.id);
        const bool opening = std::any_of(this->pending.begin(), this->pending.end(), [&](const auto& entry) {
            return entry.second.daemon == member.id && entry.second.purpose == peer::link_purpose::overlay;
        });
        if (!opening && !this->link_to(member.id, true)) {
            this->open_link(member, peer::link_purpose::overlay, {});
        }
    }
    std::vector<link_handle> unneeded;
    for (const auto& [link, record] : this->open) {
        const bool overlay = record.purpose == peer::link_purpose::overlay;
        const bool replaced = overlay && record.opened_here && wanted.count(record.daemon) == 0;
        const bool idle = !overlay && record.opened_here && now - record.last_used > direct_link_idle_timeout;
        if (replaced || idle) {
            unneeded.push_back(link);
        }
    }
    for (const auto link : unneeded) {
        this->links->destroy_link(link);
    }
    if (this->view.live().size() == 1 && this->pending.empty()) {
        for (const auto& seed : this->seeds) {
            const auto link = this->links->create_link(seed, peer::link_purpose::overlay);
            this->pending[link] = pending_link{daemon_id(), peer::link_purpose::overlay, {}, now};
        }
    }
}

void fleet::tick(time_point now)
{
    ++this->ticks;
    this->check_link_timeouts(now);
    for (const auto& [link, record] : this->open) {
        this->links->send(link, peer::keepalive_message{this->generation});
    }
    this->apply(this->items.tick());
    this->open_missing_links(now);
    if (this->ticks % dead_member_retry_ticks == 0) {
        if (const auto* dead = this->view.retry_candidate(this->random()); dead != nullptr) {
            const auto link = this->links->create_link(dead->peer_address, peer::link_purpose::overlay);
            this->pending[link] = pending_link{daemon_id(), peer::link_purpose::overlay, {}, now};
        }
    }
    for (const auto& key : this->view.expire(now)) {
        this->items.destroy(key);
    }
}

} // namespace rml::control
