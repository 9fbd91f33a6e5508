#include "decision/error_retry.hpp"

namespace rml {

namespace {

constexpr int first_server_error = 500;
/// Another attempt may take longer than the failed one.
constexpr int time_margin = 2;

} // namespace

bool retries_after_error(const answered_attempt& attempt)
{
    return attempt.status >= first_server_error && attempt.idempotent && !attempt.answer_started &&
           attempt.sends < attempt.max_attempts && attempt.took * time_margin <= attempt.until_deadline;
}

} // namespace rml
