#include "base/ranked_mutex.hpp"

#include <catch2/catch.hpp>

using namespace rml;

namespace {

int violations = 0;

void count_violation(lock_rank, lock_rank)
{
    ++violations;
}

} // namespace

TEST_CASE("violations of the lock order are reported", "[lock]")
{
    violations = 0;
    const auto previous = set_lock_order_handler(&count_violation);
    ranked_mutex config(lock_rank::config_table);
    ranked_mutex groups(lock_rank::group_table);
    SECTION("ascending order is accepted")
    {
        config.lock();
        groups.lock();
        groups.unlock();
        config.unlock();
        CHECK(violations == 0);
    }
    SECTION("descending order is reported")
    {
        // Uses separate mutexes, since the thread sanitizer reports a pair that was locked in both orders.
        ranked_mutex first(lock_rank::group_table);
        ranked_mutex second(lock_rank::config_table);
        first.lock();
        second.lock();
        second.unlock();
        first.unlock();
        CHECK(violations == 1);
    }
    set_lock_order_handler(previous);
}
