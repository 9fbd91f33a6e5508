/// Requests of one service or model that wait at this daemon for a slot at a target. `admission` decides on
/// order and refusals; this class only suspends and resumes the coroutines.
#pragma once

#include "decision/admission.hpp"
#include "decision/retry_after_schedule.hpp"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <unordered_map>

namespace rml::gateway {

enum class slot_verdict
{
    granted,
    refused,
    caller_disconnected,
};

struct slot_answer
{
    slot_verdict verdict{slot_verdict::refused};
    refusal_reason reason{refusal_reason::none};
    milliseconds retry_after{0}; ///< after a refusal: time until the caller should retry
};

class admission_queue
{
public:
    admission_queue(boost::asio::io_context& context, const admission_settings& settings)
        : context(context), queue(settings)
    {
    }

    /// Waits until the request may start. `finish` releases a granted slot.
    slot_answer wait(const admission_request& request, boost::asio::yield_context yield);
    /// Removes a waiting request whose caller has disconnected.
    void cancel(admission_ticket ticket);
    /// Releases a slot. `took` is the service time; zero when it is not typical, such as after a retry.
    void finish(duration took);
    void update_capacity(std::size_t slots);
    void expire();
    /// Refuses all waiting requests for lack of capacity.
    void refuse_queued();

    const admission_stats& stats() const { return this->queue.stats(); }

private:
    struct waiter
    {
        explicit waiter(boost::asio::io_context& context) : timer(context) {}
        boost::asio::steady_timer timer;
        slot_answer answer;
        time_point deadline{};
        bool decided{false};
    };
    void wake(const admission_changes& changes);
    void decide(admission_ticket ticket, const slot_answer& answer);

    boost::asio::io_context& context;
    slot_answer refusal(refusal_reason reason, milliseconds expected_wait, time_point deadline);

    admission queue;
    retry_after_schedule retry_schedule;
    std::unordered_map<admission_ticket, waiter*> waiters;
};

} // namespace rml::gateway
