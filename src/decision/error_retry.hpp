/// Whether a request that a target answered with a failure of its own is sent to another target.
///
/// Load: targets that fail a share of their requests at random while their health checks pass. Callers repeat
/// such a request themselves, on a new connection and a few times at most; another target of the same pool
/// can answer it sooner, and the caller's own repeats are left for other failures.
#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace rml {

/// Part of the retry budget that may be spent after server errors. The rest is left for requests that no
/// target has answered, which otherwise fail.
constexpr double error_retry_budget_part = 0.5;

/// A complete answer of a target to a request.
struct answered_attempt
{
    int status{0};
    bool idempotent{false};     ///< the request may be executed twice
    bool answer_started{false}; ///< the caller has received a part of an answer
    std::uint32_t sends{1};     ///< attempts in which the request was sent, including this one
    std::uint32_t max_attempts{1};
    duration took{}; ///< from sending the request to the end of the answer
    duration until_deadline{};
};

/// True if another target should be asked. The answer is kept: it is delivered when no other target answers.
bool retries_after_error(const answered_attempt& attempt);

} // namespace rml
