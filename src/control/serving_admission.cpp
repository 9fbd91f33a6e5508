#include "control/serving.hpp"

#include "base/limits.hpp"
#include "http/executor.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace rml::control {

namespace {

constexpr std::size_t service_slots = 256;
constexpr std::int32_t highest_priority = 100;
constexpr milliseconds not_ready_retry_after{500};

failure refusal_failure(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_capacity:
        return {failure_kind::unavailable, "no serving group"};
    case refusal_reason::deadline:
        return {failure_kind::timeout, "the deadline would pass in the queue"};
    case refusal_reason::wait:
    case refusal_reason::queue_full:
    case refusal_reason::none:
        break;
    }
    return {failure_kind::unavailable, "the queue is too long"};
}

} // namespace

/// Releases the admission of a request when the request ends.
class serving::ticket final : public caller::admission_ticket
{
public:
    ticket(serving& owner, std::string queue)
        : owner(owner), queue(std::move(queue)), start(steady_clock::now())
    {
    }
    ~ticket() override { this->owner.finish_admission(this->queue, steady_clock::now() - this->start); }

private:
    serving& owner;
    std::string queue;
    time_point start;
};

admission& serving::queue_for(const caller::admission_request& request, const std::string& key,
                              const config_snapshot& config)
{
    auto& queue = this->tables.admissions.queues[key];
    if (!queue) {
        admission_settings settings;
        if (const auto* pool = config.find_pool(request.pool)) {
            settings.max_wait = pool->max_wait;
        }
        queue = std::make_unique<admission>(settings);
        if (!request.service.empty()) {
            queue->update_capacity(service_slots, steady_clock::now());
        }
    }
    return *queue;
}

caller::admission_result serving::acquire_admission(const caller::admission_request& request,
                                                    yield_context yield)
{
    if (!this->ready()) {
        // An isolated daemon does not receive the drain of a failure domain and could send requests there.
        return caller::admission_refusal{{failure_kind::unavailable, "this daemon is not ready"},
                                         not_ready_retry_after};
    }
    const auto now = steady_clock::now();
    const auto config = this->tables.config.get();
    const auto account = config->find_account(request.account);
    const auto key = request.pool.empty() ? "service/" + request.service.str() : "pool/" + request.pool.str();
    std::shared_ptr<admission_waiter> waiter;
    rml::admission_ticket number = 0;
    {
        const std::lock_guard guard(this->tables.admissions.mutex);
        auto& table = this->tables.admissions;
        if (!table.quota.try_acquire(request.account, now)) {
            return caller::admission_refusal{
                {failure_kind::rate_limited, "account rate"},
                std::chrono::duration_cast<milliseconds>(quota_client::request_interval)};
        }
        rml::admission_request offered;
        number = ++table.next_ticket;
        offered.ticket = number;
        offered.account = request.account;
        offered.weight = account ? account->weight : 1.0;
        offered.priority = static_cast<std::uint32_t>(
            highest_priority - std::clamp(request.priority, std::int32_t{0}, highest_priority));
        offered.deadline = request.deadline;
        const auto answer = this->queue_for(request, key, *config).offer(offered, now);
        if (answer.verdict == admission_verdict::refused) {
            return caller::admission_refusal{refusal_failure(answer.reason), answer.expected_wait};
        }
        if (answer.verdict == admission_verdict::queued) {
            waiter = std::make_shared<admission_waiter>(http::executor_of(yield));
            table.waiters.emplace(number, waiter);
        }
    }
    while (waiter) {
        {
            const std::lock_guard guard(this->tables.admissions.mutex);
            auto& table = this->tables.admissions;
            if (waiter->current == admission_waiter::state::started) {
                break;
            }
            if (waiter->current == admission_waiter::state::refused) {
                return caller::admission_refusal{refusal_failure(waiter->reason), milliseconds(0)};
            }
            if (steady_clock::now() >= request.deadline) {
                table.queues.at(key)->cancel(number);
                table.waiters.erase(number);
                return caller::admission_refusal{refusal_failure(refusal_reason::deadline), milliseconds(0)};
            }
        }
        boost::system::error_code ignored;
        waiter->timer.expires_at(request.deadline);
        waiter->timer.async_wait(yield[ignored]);
    }
    return std::unique_ptr<caller::admission_ticket>(std::make_unique<ticket>(*this, key));
}

void serving::resume_waiters(const admission_changes& changes)
{
    const auto end_wait = [&](rml::admission_ticket number, admission_waiter::state state,
                              refusal_reason reason) {
        auto& waiters = this->tables.admissions.waiters;
        const auto found = waiters.find(number);
        if (found == waiters.end()) {
            return;
        }
        const auto waiter = found->second;
        waiters.erase(found);
        waiter->current = state;
        waiter->reason = reason;
        boost::asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    };
    for (const auto number : changes.started) {
        end_wait(number, admission_waiter::state::started, refusal_reason::none);
    }
    for (const auto& refused : changes.refused) {
        end_wait(refused.ticket, admission_waiter::state::refused, refused.reason);
    }
}

void serving::finish_admission(const std::string& queue, duration service_time)
{
    const std::lock_guard guard(this->tables.admissions.mutex);
    this->resume_waiters(
        this->tables.admissions.queues.at(queue)->finish(service_time, 1.0, steady_clock::now()));
}

} // namespace rml::control
