#include "decision/group_stall.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Daemons eject a silent group for 2.5 s and need 0.3 to 0.6 s to detect its silence again. A silence that
/// is not confirmed within this many limits, 4.5 s with the limit in use, is discarded.
constexpr int limits_until_expiry = 3;

} // namespace

void group_stall_detector::on_silence(const instance_id& head, time_point now)
{
    for (auto entry = this->silences.begin(); entry != this->silences.end();) {
        const bool old = now - entry->second.confirmed > this->limit * limits_until_expiry;
        entry = old ? this->silences.erase(entry) : std::next(entry);
    }
    this->silences.emplace(head, silence_record{now, now}).first->second.confirmed = now;
}

bool group_stall_detector::is_stalled(const instance_id& head, double slowness, time_point now) const
{
    const auto found = this->silences.find(head);
    return found != this->silences.end() &&
           std::chrono::duration<double>(now - found->second.since) > this->limit * std::max(1.0, slowness);
}

} // namespace rml
