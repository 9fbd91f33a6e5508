#include "decision/answer_status.hpp"

namespace rml {

namespace {

constexpr int first_success = 200;
constexpr int first_redirection = 300;
constexpr int request_timeout = 408;
constexpr int misdirected_request = 421;
constexpr int too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr int service_unavailable = 503;

} // namespace

bool is_success(int status)
{
    return status >= first_success && status < first_redirection;
}

bool promises_not_run(int status)
{
    return status == request_timeout || status == misdirected_request || status == too_many_requests ||
           status == service_unavailable;
}

bool is_target_failure(int status)
{
    return status >= first_server_error || promises_not_run(status);
}

bool may_tell_caller(int status, bool idempotent, std::uint32_t possible_runs)
{
    return !promises_not_run(status) || idempotent || possible_runs == 0;
}

} // namespace rml
