#include "decision/error_retry.hpp"

#include "decision/answer_status.hpp"

namespace rml {

namespace {

/// Another attempt may take longer than the failed one.
constexpr int time_margin = 2;

} // namespace

bool retries_after_error(const answered_attempt& attempt)
{
    return is_target_failure(attempt.status) && attempt.idempotent && !attempt.answer_started &&
           attempt.sends < attempt.max_attempts && attempt.took * time_margin <= attempt.until_deadline;
}

} // namespace rml
