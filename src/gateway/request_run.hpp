/// One request of a caller, from its head to the last byte of its answer.
#pragma once

#include "gateway/event_framer.hpp"
#include "gateway/forwarder.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rml::gateway::detail {

/// Reason of requests that are ended because the process stops.
constexpr const char* stopping_reason = "daemon is stopping";

/// Size of a request to a model, in tokens.
struct token_counts
{
    double prompt{0};
    double output{0}; ///< at most
};

/// An attempt of a request at one target.
struct target_attempt
{
    target_entry target; ///< a copy: the registry may change during the attempt
    target::bound_connection bound;
    bool connection_kept{false};  ///< the connection has carried an earlier exchange
    bool open{false};             ///< counts as a request in flight at the target
    bool awaits_target{true};     ///< false while the caller is sent a part of the answer
    bool superseded{false};       ///< its connection was closed in favour of another attempt
    bool answer_begun{false};     ///< a part of the body was received
    bool connection_broke{false}; ///< ended with a broken connection to the target
    bool withheld{false};         ///< not sent because the target takes no requests, or no more now
    bool no_descriptor{false};    ///< not sent because this process can open no more connections
    bool is_first{false};         ///< sent before an answer of the target, see `limit_unknown`
    bool unlimited{false};        ///< nothing limited the target's requests when this one was counted
    /// When it was counted against the limits of the target's requests.
    std::optional<time_point> counted_at;
    std::uint32_t unread_tokens{0};   ///< of the prompt, until the answer begins
    time_point sent_at{};             ///< when the request was written
    std::uint64_t crash_ticket{0};    ///< of the crash guard
    domain_traffic* traffic{nullptr}; ///< of the target's failure domain; null: not counted
    int refusal_status{0};            ///< status of a target that did not run the request
    std::string reason;               ///< why it ended

    http::response head;                          ///< of a plain answer also the body
    std::shared_ptr<byte_budget> answer_bytes;    ///< outlives `buffered`
    std::unique_ptr<byte_budget::share> buffered; ///< of a plain answer, the bytes of the body
    bool streamed{false};
    event_framer events;
    std::string complete_events; ///< received, and not yet sent to the caller
    bool complete{false};        ///< the end of the answer was received
};

/// Usually one attempt at a time, the primary one. When its target is silent for too long, a standby attempt
/// at another target begins, and the primary attempt stays open. The first of the two that receives a part
/// of its answer is relayed and the other one is closed.
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
        begun,               ///< not ended: a part of the answer was received that can be sent to the caller
        answered,            ///< the caller has the whole answer
        not_sent,            ///< nothing was sent: no connection, or the target's limit is reached
        not_run,             ///< the target answered that it did not run the request
        lost,                ///< may have run; the connection broke, or the answer is not valid
        target_error,        ///< the whole answer is a server error, which another target may not give
        superseded,          ///< ended by this daemon in favour of another attempt
        timed_out,           ///< the deadline of the request has passed; may have run
        caller_disconnected, ///< the caller closed its connection
    };

    /// Answers a request that cannot be forwarded and returns true; returns false when it can be forwarded.
    bool reject_if_invalid();
    bool find_account();
    /// Time that the request takes at a full target by its stated size; zero at a plain service. Nothing when
    /// the size is not stated.
    std::optional<duration> stated_run_time() const;
    /// Whether the request can be expected to end before the process stops.
    bool ends_before_stop(time_point now) const;
    void forward();
    /// Waits for a slot. Returns false when the request was refused or its caller has disconnected.
    bool wait_for_slot(const pool_key& key, const forwarder::pool_state& pool);
    /// Refuses the request and returns true if all targets have asked for a pause that lasts longer than the
    /// request may wait.
    bool refuse_during_pause(const pool_key& key, milliseconds longest_wait);
    pool_key pool_of() const;
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
    /// Prompt tokens that count at the request's target; 0 where no reading rate or no size is stated.
    std::uint32_t prompt_tokens() const;
    std::optional<instance_id> choose();
    std::optional<instance_id> choose_or_wait();
    /// Latest time at which `choose_or_wait` looks for a target again.
    time_point choice_limit() const;
    std::shared_ptr<target_attempt> create_attempt(const target_state& state) const;
    /// Sends the request and reads the answer up to the first part that can be sent to the caller.
    attempt_end begin(target_attempt& attempt, http::yield_context in);
    /// Returns the end of the attempt when there is no connection.
    std::optional<attempt_end> connect(target_attempt& attempt, http::yield_context in);
    /// Counts the request against the limits on the target's requests, if any. Returns false when it must not
    /// be sent now.
    bool take_allowance(target_attempt& attempt, time_point now);
    /// Lets the target get another request if the attempt was one of its first ones.
    void end_first_request(target_attempt& attempt);
    /// The attempt no longer counts against limits of its target.
    void give_back_allowance(target_attempt& attempt);
    attempt_end exchange(target_attempt& attempt, http::yield_context in);
    attempt_end receive(target_attempt& attempt, http::yield_context in);
    /// Reads until at least one event is complete or the stream ends.
    attempt_end read_events(target_attempt& attempt, http::yield_context in);
    attempt_end read_whole(target_attempt& attempt, http::yield_context in);
    /// Sends the answer of the primary attempt to the caller.
    attempt_end relay();
    attempt_end relay_stream(target_attempt& attempt);
    void end_attempt(target_attempt& attempt, attempt_end end, http::yield_context in);
    /// The prompt of the attempt no longer counts as unread at its target.
    void end_reading(target_attempt& attempt);
    /// Reports the end of an attempt to the crash guard.
    void record_crash_evidence(const target_attempt& attempt, attempt_end end, http::yield_context in);
    /// Whether the answer of the attempt is a server error after which another target is asked.
    bool is_retryable_error(const target_attempt& attempt) const;
    /// Keeps the error of the attempt for the case that no other target answers.
    void keep_error(target_attempt& attempt);
    /// Sends the error that was kept to the caller.
    void send_kept_error();
    /// Runs an attempt and those that replace it.
    attempt_end run_primary();

    /// Called at an interval while the target of the attempt is stalled.
    void on_stalled(target_attempt& attempt);
    /// The target of a further attempt beside the one that is open, with a retry reserved for it.
    std::optional<instance_id> choose_standby();
    void run_standby(std::optional<instance_id> target, http::yield_context in);
    /// Closes the standby attempt, if any.
    void abandon_standby();
    /// Waits while a standby attempt is in progress, and not for longer than the request. Returns true when
    /// its answer has begun.
    bool wait_for_standby();
    void wait_for_change();
    void close_connections();

    /// Records received events, received bytes of a plain answer, or the end of the answer. Returns false
    /// when the attempt was superseded; what was received must not be used then.
    bool record_progress(target_attempt& attempt);
    attempt_end failed_exchange(target_attempt& attempt, const failure& why);
    bool is_valid_answer(target_attempt& attempt);
    /// Charges the retry budget for the next send, of which `part` may be used.
    bool reserve_retry(time_point now, double part = 1);
    bool may_retry(attempt_end end);
    /// Updates the target's failure share and suspicion after an attempt.
    void record_result(const target_attempt& attempt, attempt_end end);

    http::request target_request(const target_attempt& attempt) const;
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
    bool caller_disconnected{false};
    bool stopping{false};            ///< the process stops: no further attempt
    crash_features features;         ///< what the request is recognised by when it crashes targets
    bool trial{false};               ///< the next send is a trial of a suspected prompt part
    bool awaits_first_answer{false}; ///< a target that the request has not tried awaits its first answer

    std::shared_ptr<target_attempt> primary; ///< the latest attempt whose answer is relayed
    std::shared_ptr<target_attempt> standby;
    bool standby_wanted{false};
    bool standby_running{false};              ///< run_standby() has not returned
    std::string standby_obstacle;             ///< why a stalled target could not be replaced
    time_point next_standby{};                ///< earliest time to look for a target again
    boost::asio::steady_timer standby_change; ///< cancelled when run_standby() returns or the request ends

    /// A target's answer with a server error, kept while other targets are asked, with the bytes of its body.
    std::optional<http::response> kept_error;
    std::shared_ptr<byte_budget> answer_bytes; ///< outlives `kept_error_bytes`
    std::unique_ptr<byte_budget::share> kept_error_bytes;

    std::vector<instance_id> tried;
    std::uint32_t sends{0};         ///< attempts in which the request was sent
    std::uint32_t possible_runs{0}; ///< those whose target has not stated that it did not run the request
    bool retry_reserved{false};     ///< the budget was charged for the next send
    bool head_sent{false};
    std::string media_type;                       ///< of the stream whose head was sent
    std::optional<token_counts> size;             ///< as the caller states it
    std::optional<std::uint64_t> resume_after;    ///< last event that the caller had before this request
    std::optional<duration> expected_first_token; ///< after the latest choice of a target
    milliseconds waited{0};
    milliseconds first_byte{-1}; ///< -1: no byte was sent
    int final_status{0};
    std::string outcome;
    std::string reason;
};

} // namespace rml::gateway::detail
