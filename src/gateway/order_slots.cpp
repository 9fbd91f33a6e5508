#include "gateway/order_slots.hpp"

namespace rml::gateway {

void order_slots::acquire(bool urgent, yield_context yield)
{
    if (this->in_use < this->limit) {
        ++this->in_use;
        return;
    }
    waiter own(this->context);
    (urgent ? this->urgent_waiters : this->other_waiters).push_back(&own);
    while (!own.granted) {
        boost::system::error_code ignored; // `granted` tells why the wait ended
        own.timer.async_wait(yield[ignored]);
    }
}

void order_slots::release()
{
    auto& waiters = this->urgent_waiters.empty() ? this->other_waiters : this->urgent_waiters;
    if (waiters.empty()) {
        --this->in_use;
        return;
    }
    auto* const next = waiters.front();
    waiters.pop_front();
    next->granted = true; // takes over the slot
    next->timer.cancel();
}

} // namespace rml::gateway
