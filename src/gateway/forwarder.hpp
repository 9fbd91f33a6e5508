/// The request path: finds the route of a request, waits for a slot, forwards the request to a target and
/// relays the answer. Retries only requests that may be retried, and answers "not run" only for requests that
/// no target has run.
#pragma once

#include "base/metrics.hpp"
#include "decision/byte_budget.hpp"
#include "decision/prompt_load.hpp"
#include "decision/retry_budget.hpp"
#include "decision/stop_admission.hpp"
#include "decision/target_choice.hpp"
#include "decision/target_ejection.hpp"
#include "gateway/admission_queue.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/domain_router.hpp"
#include "gateway/fleet_state.hpp"
#include "gateway/ports.hpp"
#include "gateway/settings.hpp"
#include "http/server.hpp"
#include "target/connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace rml::gateway {

/// Identifies requests that compete for the same slots.
struct pool_key
{
    service_id service;
    model_id model; ///< empty for plain services

    friend bool operator<(const pool_key& a, const pool_key& b)
    {
        return a.service == b.service ? a.model < b.model : a.service < b.service;
    }
};

namespace detail {
class request_run;
struct target_attempt;
} // namespace detail

class forwarder final : public http::handler
{
public:
    forwarder(boost::asio::io_context& context, const platform_ports& ports, fleet_state& fleet,
              target::connection_pool& connections, const gateway_settings& configured,
              metric_registry& metrics);
    ~forwarder() override;

    void handle(const http::request& message, http::response_writer& writer,
                http::yield_context yield) override;

    /// Detects stalled targets, sends their requests to others too and updates the free slots. To be called
    /// every 50 ms.
    void tick();
    /// Sets the daemons that take most requests.
    void update_entries(const std::set<daemon_id>& daemons);
    /// Targets that this daemon found stalled in the last tick.
    const std::vector<instance_id>& stalled_targets() const { return this->stalled; }
    /// Load per model, in engine seconds per second.
    std::map<model_id, double> offered_load() const;
    /// Arriving requests per second, smoothed.
    double requests_per_s() const { return this->arriving_per_s; }
    /// Requests in progress.
    std::size_t open_requests() const { return this->runs.size(); }
    /// Evidence on requests that crash targets, to be exchanged with the other daemons.
    crash_guard& crashes() { return this->guard; }

    /// The process stops: requests that cannot be expected to end before `end` are refused from now on.
    void begin_stop(time_point end) { this->stop_at = end; }
    /// Ends all open requests: refuses those that no target has received, fails those whose answer has not
    /// begun, and cuts the others. They are still open when this returns.
    void end_requests();
    /// Logs the requests that are still open when the process ends.
    void log_open_requests() const;

    /// Bytes held of plain answers that are being received or sent to their callers.
    std::size_t buffered_answer_bytes() const { return this->answer_bytes->used(); }

    /// Called when a slot was taken or released at a target that is nearly full.
    std::function<void()> on_scarce_slots;
    /// Called when a target becomes suspected.
    std::function<void()> on_suspect;

private:
    friend class detail::request_run;

    /// Of plain answers that are being received. Shared with the attempts: the end of the io_context unwinds
    /// their coroutines after the forwarder has been destroyed.
    std::shared_ptr<byte_budget> answer_bytes{std::make_shared<byte_budget>(limits::buffered_answer_bytes)};

    /// A stopping daemon needs the longest delay of requests at the current load.
    static constexpr seconds longest_delay_period{30};

    /// An attempt that `detect_stalled_targets` watches.
    struct active_attempt
    {
        instance_id target;
        bool reroutable{false};           ///< the request may continue at another target
        std::function<void()> on_stalled; ///< called at each tick while the target is stalled
    };
    struct pool_state
    {
        std::unique_ptr<admission_queue> queue;
        milliseconds longest_wait{0}; ///< of a request for a slot
        double load_per_s{0};         ///< smoothed
        double arrived_load{0};
        /// Arrival to the end of the answer, without the run time that the sizes of the requests imply.
        recent_maximum delay{longest_delay_period};
        domain_routing routing;
        duration answer_time{0}; ///< smoothed, of requests with one send; zero: not known yet
    };

    pool_state& pool(const pool_key& key, milliseconds objective);
    std::vector<target_candidate> candidates(const pool_key& key, const std::vector<instance_id>& tried,
                                             time_point now);
    /// Chooses a failure domain and marks the candidates of the others. Nothing without stated delays.
    std::optional<routing_decision> choose_domain(const pool_key& key,
                                                  std::vector<target_candidate>& candidates);
    /// Estimates the time to the first token of a request with that prompt; not set where the configuration
    /// states no reading rate.
    first_token_estimate estimate_first_token(const pool_key& key, std::uint32_t prompt_tokens,
                                              time_point now);
    /// Calls `visit` with each target of the pool that serves, and its slots.
    template <class Visitor>
    void visit_targets(const pool_key& key, const Visitor& visit);
    /// Time until the first pause ends if all targets of the pool that serve have asked for one.
    std::optional<milliseconds> pause_left(const pool_key& key, time_point now);
    /// Retry-After for a caller that is refused because of that pause: spreads the return of the callers.
    milliseconds retry_after_pause(milliseconds left);
    /// Calls `on_scarce_slots` if the target is nearly full, after a request began or ended there.
    void report_scarce_slots(const instance_id& target, time_point now);
    std::size_t usable_slots(target_state& state, std::uint32_t slots,
                             const std::vector<request_allowance>& allowances, time_point now);
    duration silence_limit(const target_state& state, time_point now) const;
    retry_budget& budget(const service_id& service, time_point now);
    void update_slots(time_point now);
    void detect_stalled_targets(time_point now);
    /// Suspects the target for a time after a request that it did not run.
    void record_fault(target_state& state, target_fault fault, time_point now);

    boost::asio::io_context& context;
    const platform_ports& ports;
    fleet_state& fleet;
    target::connection_pool& connections;
    const gateway_settings& configured;
    crash_guard guard;
    domain_router domains;
    std::map<pool_key, pool_state> pools;
    std::map<service_id, retry_budget> budgets;
    std::unordered_map<const detail::target_attempt*, active_attempt> attempts;
    std::vector<instance_id> stalled;
    daemon_order order;
    std::uint64_t next_number{1};
    std::unordered_set<detail::request_run*> runs; ///< open requests
    std::optional<time_point> stop_at;             ///< set when the process stops
    std::mt19937_64 random;
    time_point load_counted_at{};
    std::uint64_t requests_counted{1}; ///< value of `next_number` when the requests were last counted
    double arriving_per_s{0};

    counter& answered;
    counter& refused;
    counter& failed_requests;
    counter& unproven_refusals;
    counter& resumed;
    counter& disconnected;
    counter& first_answer_waits;
    gauge& unread_tokens;
    latency_histogram& expected_first_token;
    latency_histogram& first_byte;
    latency_histogram& total;
};

} // namespace rml::gateway
