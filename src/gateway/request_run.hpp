/// One request of a caller, from its head to the last byte of its answer.
#pragma once

#include "gateway/event_framer.hpp"
#include "gateway/forwarder.hpp"

#include <optional>
#include <string>
#include <vector>

namespace rml::gateway::detail {

class request_run
{
public:
    request_run(forwarder& owner, const http::request& message, http::response_writer& writer,
                http::yield_context yield);

    void run();
    /// Ends the request as soon as possible because the process stops.
    void end_for_stop();
    /// Logs that the process ends before the request.
    void log_cut() const;

private:
    /// How an attempt at one target ended.
    enum class attempt_end
    {
        answered,            ///< the caller has the whole answer
        not_sent,            ///< nothing was sent: no connection, or a cold target at its limit
        not_run,             ///< the target answered that it did not run the request
        lost,                ///< may have run; the connection broke, or the answer is not valid
        rerouted,            ///< ended by this daemon because the target stalled
        timed_out,           ///< the deadline of the request has passed; may have run
        caller_disconnected, ///< the caller closed its connection
    };

    /// Answers a request that cannot be forwarded and returns true; returns false when it can be forwarded.
    bool reject_if_invalid();
    bool find_account();
    bool ends_before_stop(const forwarder::pool_state& pool, time_point now) const;
    void forward();
    /// Waits for a slot. Returns false when the request was refused or its caller has disconnected.
    bool wait_for_slot(admission_queue& queue);
    void run_attempts();
    /// Refuses the request because it would crash its target.
    void refuse_as_crashing(time_point now);
    /// Waits while losses of targets that may be due to the request are unclassified, or another request with
    /// a suspected part is on trial. Returns false when the request was refused or its caller has
    /// disconnected.
    bool wait_for_classification();
    /// Waits until it is known whether the request would crash its target. Returns false, with the reason,
    /// when it must not be sent, or when that is not known in time.
    bool wait_for_permission();
    std::optional<instance_id> choose();
    std::optional<instance_id> choose_or_wait();
    attempt_end attempt(target_state& state);
    attempt_end exchange(http::client_connection& connection, const target_entry& target);
    attempt_end receive(http::client_connection& connection, const target_entry& target);
    void record_progress(const target_entry& target);
    /// Reports the end of an attempt to the crash guard.
    void record_crash_evidence(std::uint64_t ticket, const target_entry& target, attempt_end end);
    attempt_end relay_stream(http::client_connection& connection, const target_entry& target,
                             const http::response& head);
    /// Reads the whole answer before it is sent to the caller.
    attempt_end relay_buffered(http::client_connection& connection, const target_entry& target,
                               http::response head);
    attempt_end failed_exchange(const failure& reason);
    bool is_valid_answer(const http::response& head);
    bool may_retry(attempt_end end);
    /// Updates the target's failure share and suspicion after an attempt.
    void record_result(const instance_id& target, attempt_end end);

    http::request target_request(const target_entry& target) const;
    http::response caller_response(const http::response& from) const;

    void finish_unanswered();
    void refuse(milliseconds retry_after, const std::string& reason);
    void respond(int status, const std::string& reason);
    void log_request() const;
    milliseconds remaining_time(time_point now) const;
    milliseconds since_arrival() const;

    forwarder& owner;
    const http::request& message;
    http::response_writer& writer;
    http::yield_context yield;

    std::shared_ptr<const site_config> config; ///< the version in force when the request arrived
    const route* chosen_route{nullptr};
    const service* chosen_service{nullptr};
    std::string request_id;
    std::string account;
    std::uint32_t priority{0};
    model_id model;
    const std::uint64_t number;
    const time_point arrived;
    time_point deadline{};

    admission_queue* queued_in{nullptr};
    http::client_connection* current{nullptr}; ///< connection of the attempt in progress
    bool connection_kept{false};               ///< `current` has carried an earlier exchange
    bool caller_disconnected{false};
    bool reroute_requested{false};
    bool connection_broke{false};  ///< the attempt ended with a broken connection to the target
    crash_features features;       ///< what the request is recognised by when it crashes targets
    bool trial{false};             ///< the next send is a trial of a suspected prompt part
    std::uint64_t crash_ticket{0}; ///< of the attempt in progress
    bool stopping{false};          ///< the process stops: no further attempt
    int refusal_status{0};         ///< status of the last target that did not run the request
    bool answer_begun{false};      ///< the attempt in progress has received a part of the body

    std::vector<instance_id> tried;
    std::uint32_t sends{0}; ///< attempts in which the request was sent
    bool may_have_run{false};
    bool may_have_run_before{false}; ///< value of `may_have_run` before the attempt in progress
    bool head_sent{false};
    std::string media_type; ///< of the stream whose head was sent
    event_framer events;
    milliseconds waited{0};
    milliseconds first_byte{-1}; ///< -1: no byte was sent
    int final_status{0};
    std::string outcome;
    std::string reason;
};

} // namespace rml::gateway::detail
