/// Limits the orders that the manager has in flight. Orders of a whole site at once would use up the
/// manager's processor time and link, so that all of them time out.
#pragma once

#include "gateway/ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>

namespace rml::gateway {

class order_slots
{
public:
    order_slots(boost::asio::io_context& context, std::size_t limit) : context(context), limit(limit) {}
    order_slots(const order_slots&) = delete;
    order_slots& operator=(const order_slots&) = delete;

    /// Waits for a slot. Urgent orders come first.
    void acquire(bool urgent, yield_context yield);
    void release();

    /// Releases a slot at the end of its scope.
    class permit
    {
    public:
        permit(order_slots& slots, bool urgent, yield_context yield) : slots(slots)
        {
            this->slots.acquire(urgent, yield);
        }
        ~permit() { this->slots.release(); }
        permit(const permit&) = delete;
        permit& operator=(const permit&) = delete;

    private:
        order_slots& slots;
    };

private:
    struct waiter
    {
        explicit waiter(boost::asio::io_context& context) : timer(context, time_point::max()) {}
        boost::asio::steady_timer timer;
        bool granted{false};
    };

    boost::asio::io_context& context;
    const std::size_t limit;
    std::size_t in_use{0};
    std::deque<waiter*> urgent_waiters;
    std::deque<waiter*> other_waiters;
};

} // namespace rml::gateway
