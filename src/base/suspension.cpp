#include "base/suspension.hpp"

#include <ctime>

namespace rml {

namespace {

duration read(clockid_t clock)
{
    timespec time{};
    ::clock_gettime(clock, &time);
    return std::chrono::duration_cast<duration>(seconds(time.tv_sec) +
                                                std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

duration suspended_time()
{
    // Read in this order, so that the time between the two calls never counts as suspended.
    const auto running = read(CLOCK_BOOTTIME);
    return running - read(CLOCK_MONOTONIC);
}

} // namespace rml
