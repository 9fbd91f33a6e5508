#include "gateway/admission_queue.hpp"

namespace rml::gateway {

namespace {

/// Retry-After is at most the remaining time to the deadline divided by this.
constexpr int retry_after_divisor = 3;

} // namespace

slot_answer admission_queue::refusal(refusal_reason reason, milliseconds expected_wait, time_point deadline)
{
    const auto now = steady_clock::now();
    const auto latest = std::chrono::duration_cast<milliseconds>((deadline - now) / retry_after_divisor);
    return {slot_verdict::refused, reason,
            this->retry_schedule.assign(expected_wait, this->queue.rate(), latest, now)};
}

slot_answer admission_queue::wait(const admission_request& request, boost::asio::yield_context yield)
{
    const auto offered = this->queue.offer(request, steady_clock::now());
    if (offered.verdict == admission_verdict::started) {
        return {slot_verdict::granted, refusal_reason::none, milliseconds(0)};
    }
    if (offered.verdict == admission_verdict::refused) {
        return this->refusal(offered.reason, offered.expected_wait, request.deadline);
    }
    waiter own(this->context);
    this->waiters.emplace(request.ticket, &own);
    own.deadline = request.deadline;
    own.timer.expires_at(request.deadline);
    while (!own.decided) {
        boost::system::error_code code;
        own.timer.async_wait(yield[code]);
        if (!code && !own.decided) {
            this->queue.cancel(request.ticket);
            own.answer = {slot_verdict::refused, refusal_reason::deadline, milliseconds(0)};
            own.decided = true;
        }
    }
    this->waiters.erase(request.ticket);
    return own.answer;
}

void admission_queue::cancel(admission_ticket ticket)
{
    if (this->queue.cancel(ticket)) {
        this->decide(ticket, {slot_verdict::caller_disconnected, refusal_reason::none, milliseconds(0)});
    }
}

void admission_queue::finish(duration took)
{
    this->wake(this->queue.finish(took, 1, steady_clock::now()));
}

void admission_queue::update_capacity(std::size_t slots)
{
    this->wake(this->queue.update_capacity(slots, steady_clock::now()));
}

void admission_queue::refuse_queued()
{
    this->wake(this->queue.refuse_queued());
}

void admission_queue::expire()
{
    this->wake(this->queue.expire(steady_clock::now()));
}

void admission_queue::wake(const admission_changes& changes)
{
    for (const auto ticket : changes.started) {
        this->decide(ticket, {slot_verdict::granted, refusal_reason::none, milliseconds(0)});
    }
    for (const auto& refusal : changes.refused) {
        if (const auto found = this->waiters.find(refusal.ticket); found != this->waiters.end()) {
            this->decide(refusal.ticket,
                         this->refusal(refusal.reason, milliseconds(0), found->second->deadline));
        }
    }
}

void admission_queue::decide(admission_ticket ticket, const slot_answer& answer)
{
    if (const auto found = this->waiters.find(ticket); found != this->waiters.end()) {
        found->second->answer = answer;
        found->second->decided = true;
        found->second->timer.cancel();
    }
}

} // namespace rml::gateway
