/// The outcome of a request as far as it is proven: not run, completed or unknown.
#pragma once

#include <string_view>

namespace rml {

enum class outcome
{
    not_run,   ///< no target ran the request, and none will
    completed, ///< the whole answer was received
    unknown,   ///< a target may have run the request
};

/// Value of x-rml-outcome: "not-run", "completed" or "unknown".
std::string_view to_string(outcome value);

/// Outcome of one attempt at one target. Events after the end of the attempt are ignored.
class attempt_outcome
{
public:
    /// The first byte is about to be handed to the target's connection.
    void on_send();
    /// The target reported, in its answer to this request, that it did not run the request.
    void on_refused();
    /// The whole answer was received.
    void on_completed();
    /// The attempt ended in any other way: broken connection, timeout, mismatched answer or cancellation.
    void on_lost();

    outcome current() const;
    bool ended() const { return this->phase != attempt_phase::idle && this->phase != attempt_phase::sent; }

private:
    enum class attempt_phase
    {
        idle,      ///< nothing was sent
        sent,      ///< the target may have received bytes
        refused,   ///< ended: not run
        completed, ///< ended: whole answer
        lost,      ///< ended: after bytes were sent
        unsent,    ///< ended: before bytes were sent
    };
    attempt_phase phase{attempt_phase::idle};
};

/// Combined outcome of the attempts of one request, which are made one after the other.
class request_outcome
{
public:
    /// Adds the outcome of an attempt that has ended.
    void on_attempt(const attempt_outcome& attempt);

    /// Completed if any attempt completed; otherwise unknown if the outcome of any attempt is; otherwise not
    /// run.
    outcome current() const { return this->sum; }

private:
    outcome sum{outcome::not_run};
};

} // namespace rml
