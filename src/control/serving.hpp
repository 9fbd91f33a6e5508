/// Implements the interface of the request path over the shared tables: admission, choice of a group, slots,
/// retries and claims.
#pragma once

#include "base/ids.hpp"
#include "caller/serving_state.hpp"
#include "control/tables.hpp"
#include "peer/messages.hpp"
#include "target/engine_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace rml::control {

/// Sends messages to the duty holder of a failure domain. May be called from any thread.
class duty_mailbox
{
public:
    duty_mailbox() = default;
    duty_mailbox(const duty_mailbox&) = delete;
    duty_mailbox& operator=(const duty_mailbox&) = delete;
    virtual ~duty_mailbox() = default;

    virtual void send_to_holder(const failure_domain_id& domain, const peer::message& m) = 0;
    /// Replicates a crash notice of this daemon to all daemons.
    virtual void publish_notice(const crash_notice& notice) = 0;
};

/// A queued request. State is guarded by the admission table's mutex; the timer belongs to the waiting
/// coroutine.
struct admission_waiter
{
    enum class state
    {
        waiting,
        started,
        refused,
    };

    explicit admission_waiter(const boost::asio::any_io_executor& executor) : timer(executor) {}

    boost::asio::steady_timer timer;
    state current{state::waiting};
    refusal_reason reason{refusal_reason::none};
};

struct serving_stats
{
    std::uint64_t dispatched{0};
    std::uint64_t cold_dispatched{0};
    std::uint64_t no_group{0};
    std::uint64_t probes{0};
};

class serving final : public caller::serving_state
{
public:
    serving(boost::asio::io_context& context, shared_tables& tables, target::connection_pool& connections,
            duty_mailbox& mailbox, caller::claim_store& claims, failure_domain_id own_domain);

    std::shared_ptr<const account_object> find_account(std::string_view token) const override;
    std::shared_ptr<const office_service_object> find_service(const service_id& name) const override;
    caller::entry_list entries() const override;
    bool ready() const override;
    caller::admission_result acquire_admission(const caller::admission_request& request,
                                               yield_context yield) override;
    result<caller::dispatch_permit> acquire_permit(const caller::dispatch_request& request,
                                                   yield_context yield) override;
    void finish_permit(const caller::dispatch_permit& permit, const caller::permit_report& report) override;
    bool take_retry_token() override;
    caller::claim_store& claims() override { return this->claim_documents; }
    void record(const caller::request_record& ended) override;

    /// Updates routing tables and queue capacities from configuration, plans and evidence. Called by the
    /// control loop.
    void refresh(time_point now);
    /// Refuses queued requests that expired and returns unused slots that expired. Called by the control
    /// loop.
    void expire(time_point now);
    /// Reports lost groups to the crash attribution and publishes the notices that result. Called by the
    /// control loop.
    void poll_crashes(time_point now);
    void apply_notice(const crash_notice& notice, time_point now);
    serving_stats stats() const;

private:
    class ticket;

    void finish_admission(const std::string& queue, duration service_time);
    void resume_waiters(const admission_changes& changes);
    admission& queue_for(const caller::admission_request& request, const std::string& key,
                         const config_snapshot& config);
    std::size_t capacity_of(const model_pool_object& pool, time_point now) const;
    void refresh_pool(const config_snapshot& config, const model_pool_object& pool, time_point now);
    result<route> choose(const caller::dispatch_request& request, const std::vector<group_id>& excluded,
                         time_point now);
    /// Returns the planned record of the group if evidence shows that it can serve now. Probes the members
    /// first when no fresh digest covers them.
    result<group_record> check_evidence(const group_id& group, yield_context yield);
    result<caller::dispatch_permit> begin(const caller::dispatch_request& request, const route& chosen,
                                          const group_record& record, bool trial, time_point now);
    void request_trial_slot(const group_record& group, time_point now);
    crash_verdict check_crashes(request_fingerprint fingerprint, time_point now) const;
    /// Probes the leader of the group to distinguish a lost group from a wrong answer.
    void verify_loss(const caller::dispatch_permit& permit, const dispatched_run& run,
                     request_fingerprint fingerprint);
    void publish(const std::vector<crash_notice>& notices);
    void request_ramp_slots(const model_pool_object& pool, time_point now);
    void pause(milliseconds time, yield_context yield) const;

    boost::asio::io_context& context;
    shared_tables& tables;
    target::engine_client engines;
    duty_mailbox& mailbox;
    caller::claim_store& claim_documents;
    failure_domain_id own_domain;
    std::unordered_map<group_id, std::uint64_t>
        previously_serving; ///< epochs of the groups servable at the last poll; control strand only
    std::atomic<std::uint64_t> dispatched_count{0};
    std::atomic<std::uint64_t> cold_count{0};
    std::atomic<std::uint64_t> no_group_count{0};
    std::atomic<std::uint64_t> probe_count{0};
};

} // namespace rml::control
