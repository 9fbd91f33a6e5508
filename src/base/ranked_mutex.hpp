/// A mutex with a rank. Threads lock mutexes in ascending rank only, which prevents deadlocks between tables.
#pragma once

#include <mutex>

namespace rml {

/// Lock order of the daemon's shared tables. A thread that holds a rank may only lock higher ones.
enum class lock_rank
{
    config_table = 10,
    member_table = 20,
    group_table = 30,
    load_table = 40,
    slot_table = 50,
    admission_table = 60,
    claim_table = 70,
    crash_table = 80,
    connection_pool = 85,
    metrics = 90,
};

/// Called when a thread violates the lock order. The default handler prints both ranks and aborts.
using lock_order_handler = void (*)(lock_rank held, lock_rank wanted);

/// Replaces the handler and returns the previous one. For tests only.
lock_order_handler set_lock_order_handler(lock_order_handler handler);

/// Meets the BasicLockable requirements, for std::scoped_lock and std::lock_guard.
class ranked_mutex
{
public:
    explicit ranked_mutex(lock_rank rank) : order(rank) {}
    ranked_mutex(const ranked_mutex&) = delete;
    ranked_mutex& operator=(const ranked_mutex&) = delete;

    void lock();
    void unlock();

private:
    std::mutex inner;
    lock_rank order;
};

} // namespace rml
