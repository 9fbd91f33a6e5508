#include "base/limits.hpp"
#include "http/executor.hpp"
#include "platform/platform.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace rml::platform {

namespace {

void wait_before_retry(yield_context yield)
{
    boost::asio::steady_timer timer(http::executor_of(yield), limits::write_once_retry_delay);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

/// State of an attempt with a lost reply, as read back from the store.
enum class attempt_state
{
    applied,  ///< the stored value was written by the attempt
    pending,  ///< the key is unchanged, and the write may still arrive
    replaced, ///< another writer's value is stored
};

struct read_back
{
    attempt_state state{attempt_state::pending};
    std::uint64_t revision{0};
};

time_point call_deadline(time_point deadline)
{
    return std::min(deadline, steady_clock::now() + limits::store_call_timeout);
}

result<read_back> resolve_attempt(key_value_store& store, const write_once_request& request,
                                  time_point deadline, yield_context yield)
{
    auto read = store.get(request.key, call_deadline(deadline), yield);
    if (failed(read)) {
        return error(read);
    }
    const auto& record = value(read);
    if (record && request.is_own_attempt(record->value)) {
        return read_back{attempt_state::applied, record->revision};
    }
    const bool unchanged = record ? record->revision == request.expected : request.expected == 0;
    return read_back{unchanged ? attempt_state::pending : attempt_state::replaced, 0};
}

} // namespace

result<std::uint64_t> write_once(key_value_store& store, const write_once_request& request,
                                 time_point deadline, yield_context yield)
{
    const failure unknown{failure_kind::outcome_unknown, "store write of " + request.key};
    bool lost_reply = false;
    for (int attempt = 0; attempt < limits::write_once_attempts; ++attempt) {
        if (lost_reply) {
            wait_before_retry(yield);
            if (steady_clock::now() >= deadline) {
                return unknown;
            }
        }
        const auto until = call_deadline(deadline);
        auto written =
            request.expected == 0
                ? store.create(request.key, request.value, request.lease, until, yield)
                : store.update(request.key, request.value, request.expected, request.lease, until, yield);
        if (succeeded(written)) {
            return written;
        }
        const auto kind = error(written).kind;
        lost_reply = lost_reply || kind == failure_kind::outcome_unknown;
        if (!lost_reply) {
            return written;
        }
        if (kind != failure_kind::outcome_unknown && kind != failure_kind::conflict) {
            continue;
        }
        const auto seen = resolve_attempt(store, request, deadline, yield);
        if (failed(seen)) {
            continue;
        }
        if (value(seen).state == attempt_state::applied) {
            return value(seen).revision;
        }
        if (value(seen).state == attempt_state::replaced) {
            return unknown;
        }
    }
    return unknown;
}

} // namespace rml::platform
