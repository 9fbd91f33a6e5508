/// One entry daemon: builds the control loops over the shared tables and keeps them running.
#pragma once

#include "base/endpoint.hpp"
#include "base/ids.hpp"
#include "control/claims.hpp"
#include "control/duty_loop.hpp"
#include "control/fleet.hpp"
#include "control/serving.hpp"
#include "control/tables.hpp"
#include "decision/config_tracker.hpp"
#include "decision/observation.hpp"
#include "operator/operator_handler.hpp"
#include "platform/platform.hpp"
#include "target/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace rml::control {

/// Key of the replicated object set.
constexpr const char* config_item_key = "config";

struct node_options
{
    daemon_id daemon;
    std::uint64_t incarnation{0}; ///< wall clock in milliseconds at start
    region_id region;
    failure_domain_id failure_domain;
    endpoint peer_listen;
    endpoint store;
    endpoint instances;
    endpoint weights;
    std::string peer_secret;
};

class node final : public operator_service, private fleet_listener, private duty_mailbox
{
public:
    node(boost::asio::io_context& context, node_options options);
    ~node() override;

    /// Binds the peer address and starts the loops. Fails with `unavailable`.
    status start(const endpoint& caller_address);
    /// Announces that this daemon is leaving. The daemon continues to serve.
    void leave();
    /// Ends the loops; the io_context may run out of work afterwards.
    void stop();

    serving& requests() { return this->request_state; }
    target::connection_pool& connections() { return this->target_connections; }
    endpoint peer_address() const { return this->peers.local(); }
    seconds address_lifetime() const;

    // These functions continue on the control strand.
    std::string status_document(yield_context yield) override;
    std::string burn_document(yield_context yield) override;
    std::uint64_t deliver(object_set set, yield_context yield) override;

private:
    void item_accepted(const item& accepted) override;
    void message_received(const daemon_id& from, const peer::message& received) override;
    void peer_generation(const daemon_id& from, std::uint64_t generation) override;
    void send_to_holder(const failure_domain_id& domain, const peer::message& m) override;
    void publish_notice(const crash_notice& notice) override;
    void on_notice_item(const item& accepted);

    void run_fleet(yield_context yield);
    void run_config(yield_context yield);
    void run_observer(yield_context yield);
    void run_refresh(yield_context yield);
    void run_platform_lists(yield_context yield);

    bool reads_config() const;
    struct head_cursor
    {
        std::uint64_t revision{0}; ///< revision of the configuration head last received
        bool read_next{true};      ///< read without a watch next: a watch can hang without an error
    };
    void read_config(head_cursor& cursor, yield_context yield);
    /// Returns false when the generation of the head is not in force afterwards; the head must be read again.
    bool apply_head(const std::string& bytes, yield_context yield);
    void fetch_set(std::uint64_t generation, yield_context yield);
    bool apply_config(const object_set& set, config_source source);
    void on_config_item(const item& accepted);
    void on_plan_item(const item& accepted);
    void on_digest_item(const item& accepted);
    void update_members(time_point now);
    void update_accounts(const config_snapshot& config, time_point now);
    void probe(const instance_id& instance, const endpoint& address);
    void send_reports(bool full, time_point now);
    daemon_id holder_of(const failure_domain_id& domain) const;
    void handle_as_holder(const failure_domain_id& domain, const daemon_id& from, const peer::message& m);
    failure_domain_id domain_of_group(const group_id& group) const;
    std::string make_status() const;

    node_options options;
    control_strand strand;
    shared_tables tables;
    std::unique_ptr<platform::key_value_store> store;
    std::unique_ptr<platform::instance_list> instances;
    std::unique_ptr<platform::weight_limit> weights;
    store_claims claims;
    target::connection_pool target_connections;
    target::engine_client engines;
    fleet peers;
    serving request_state;
    config_tracker generations;
    std::map<failure_domain_id, engine_observer> observers;
    std::map<failure_domain_id, daemon_id> digest_holders;
    std::map<failure_domain_id, daemon_id> report_receivers;
    std::set<instance_id> probes_in_flight;
    std::set<instance_id> leaving_instances;
    std::uint32_t concurrent_loads{1};
    duty_environment environment;
    std::map<failure_domain_id, std::unique_ptr<duty_loop>> duties;
    std::string config_bytes; ///< encoded set in force
    bool leaving{false};
    std::atomic<bool> stopped{false};
};

} // namespace rml::control
