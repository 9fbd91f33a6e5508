#include "base/ranked_mutex.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace rml {

namespace {

void abort_on_violation(lock_rank held, lock_rank wanted)
{
    std::fprintf(stderr, "lock order violated: locking rank %d while rank %d is held; aborting\n",
                 static_cast<int>(wanted), static_cast<int>(held));
    std::abort();
}

std::atomic<lock_order_handler> current_handler{&abort_on_violation};

std::vector<lock_rank>& held_ranks()
{
    thread_local std::vector<lock_rank> ranks;
    return ranks;
}

} // namespace

lock_order_handler set_lock_order_handler(lock_order_handler handler)
{
    return current_handler.exchange(handler);
}

void ranked_mutex::lock()
{
    auto& held = held_ranks();
    if (!held.empty() && held.back() >= this->order) {
        current_handler.load()(held.back(), this->order);
    }
    this->inner.lock();
    held.insert(std::upper_bound(held.begin(), held.end(), this->order), this->order);
}

void ranked_mutex::unlock()
{
    auto& held = held_ranks();
    if (const auto found = std::find(held.rbegin(), held.rend(), this->order); found != held.rend()) {
        held.erase(std::next(found).base());
    }
    this->inner.unlock();
}

} // namespace rml
