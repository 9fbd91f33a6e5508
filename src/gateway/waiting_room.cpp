#include "gateway/waiting_room.hpp"

namespace rml::gateway {

namespace {

/// Callers come back within this part of the time that they still wait.
constexpr int callers_patience = 3;

} // namespace

place_answer waiting_room::refusal(refusal_reason reason, milliseconds expected_wait, time_point deadline)
{
    const auto now = steady_clock::now();
    const auto latest = std::chrono::duration_cast<milliseconds>((deadline - now) / callers_patience);
    return {place_verdict::refused, reason,
            this->returns.assign(expected_wait, this->queue.rate(), latest, now)};
}

place_answer waiting_room::wait(const admission_request& request, boost::asio::yield_context yield)
{
    const auto offered = this->queue.offer(request, steady_clock::now());
    if (offered.verdict == admission_verdict::started) {
        return {place_verdict::granted, refusal_reason::none, milliseconds(0)};
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
            own.answer = {place_verdict::refused, refusal_reason::deadline, milliseconds(0)};
            own.decided = true;
        }
    }
    this->waiters.erase(request.ticket);
    return own.answer;
}

void waiting_room::cancel(admission_ticket ticket)
{
    if (this->queue.cancel(ticket)) {
        this->decide(ticket, {place_verdict::caller_left, refusal_reason::none, milliseconds(0)});
    }
}

void waiting_room::finish(duration took)
{
    this->wake(this->queue.finish(took, 1, steady_clock::now()));
}

void waiting_room::update_capacity(std::size_t places)
{
    this->wake(this->queue.update_capacity(places, steady_clock::now()));
}

void waiting_room::expire()
{
    this->wake(this->queue.expire(steady_clock::now()));
}

void waiting_room::wake(const admission_changes& changes)
{
    for (const auto ticket : changes.started) {
        this->decide(ticket, {place_verdict::granted, refusal_reason::none, milliseconds(0)});
    }
    for (const auto& refusal : changes.refused) {
        if (const auto found = this->waiters.find(refusal.ticket); found != this->waiters.end()) {
            this->decide(refusal.ticket,
                         this->refusal(refusal.reason, milliseconds(0), found->second->deadline));
        }
    }
}

void waiting_room::decide(admission_ticket ticket, const place_answer& answer)
{
    if (const auto found = this->waiters.find(ticket); found != this->waiters.end()) {
        found->second->answer = answer;
        found->second->decided = true;
        found->second->timer.cancel();
    }
}

} // namespace rml::gateway
