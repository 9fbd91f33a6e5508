/// What may truthfully be said about a request: not run, completed or unknown.
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

/// One attempt at one target. Events after the end of the attempt change nothing.
class attempt_outcome
{
public:
    /// The first byte is about to be handed to the target's connection.
    void on_send();
    /// The target itself said, in an answer to this very request, that it did not run it.
    void on_refused();
    /// The whole answer was received.
    void on_completed();
    /// The attempt ended in any other way: broken, late, crossed or given up.
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

/// All attempts of one request, one after the other.
class request_outcome
{
public:
    /// Adds an attempt that has ended.
    void on_attempt(const attempt_outcome& attempt);

    /// Completed when one attempt was; otherwise unknown when one attempt was; otherwise not run.
    outcome current() const { return this->sum; }

private:
    outcome sum{outcome::not_run};
};

} // namespace rml
