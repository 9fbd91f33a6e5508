#include "decision/retry_budget.hpp"

#include <algorithm>

namespace rml {

retry_budget::bucket& retry_budget::current(time_point now)
{
    // A time before the newest bucket counts in the newest bucket, so that no older bucket is reused.
    this->newest = std::max<std::int64_t>(this->newest, now.time_since_epoch() / bucket_width);
    auto& found = this->buckets[static_cast<std::size_t>(this->newest) % bucket_count];
    if (found.index != this->newest) {
        found = {this->newest, 0, 0};
    }
    return found;
}

void retry_budget::record_first_try(time_point now)
{
    ++this->current(now).first_tries;
    ++this->counts.first_tries;
}

bool retry_budget::try_retry(time_point now, double part)
{
    auto& target = this->current(now);
    const auto oldest = this->newest - static_cast<std::int64_t>(bucket_count) + 1;
    std::uint64_t first_tries = 0;
    std::uint64_t retries = 0;
    for (const auto& entry : this->buckets) {
        if (entry.index < oldest || entry.index < 0) {
            continue;
        }
        retries += entry.retries;
        first_tries += entry.index > oldest ? entry.first_tries : 0;
    }
    const auto window = std::chrono::duration<double>(limits::retry_window).count();
    const auto allowed = std::max(this->settings.share * static_cast<double>(first_tries),
                                  this->settings.minimum_per_second * window) +
                         this->settings.slack;
    if (static_cast<double>(retries + 1) > part * allowed) {
        ++this->counts.refused;
        return false;
    }
    ++target.retries;
    ++this->counts.retries;
    return true;
}

} // namespace rml
