#include "decision/crash_record.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <utility>

namespace rml {

std::size_t crash_record::weight() const
{
    return static_cast<std::size_t>(
        std::count_if(this->counted_losses.begin(), this->counted_losses.end(),
                      [this](const counted_loss& loss) { return this->counts(loss); }));
}

bool crash_record::lists(std::uint64_t loss) const
{
    return std::any_of(this->counted_losses.begin(), this->counted_losses.end(),
                       [&](const counted_loss& other) { return other.loss == loss; });
}

bool crash_record::add_loss(std::uint64_t loss, time_point at)
{
    bool undecided = false;
    for (const auto& entry : this->counted_losses) {
        if (entry.loss == loss) {
            return false;
        }
        undecided = undecided || !entry.decided;
    }
    if (this->part && this->counted_losses.size() >= max_part_losses) {
        const auto oldest =
            std::min_element(this->counted_losses.begin(), this->counted_losses.end(),
                             [](const counted_loss& a, const counted_loss& b) {
                                 return std::make_pair(a.at, a.loss) < std::make_pair(b.at, b.loss);
                             });
        if (oldest->at < at) {
            *oldest = {loss, at, false, false};
        }
        return false;
    }
    if (!this->part && this->counted_losses.size() >= max_losses) {
        return false;
    }
    this->counted_losses.push_back({loss, at, false, false});
    return !undecided;
}

void crash_record::mark_explained(std::uint64_t loss)
{
    for (auto& entry : this->counted_losses) {
        if (entry.loss == loss) {
            entry.explained = true;
            entry.decided = true;
        }
    }
}

void crash_record::update_part_expiry()
{
    this->expires = this->acquitted ? *this->acquitted + limits::crash_cleared_lifetime : time_point{};
    for (const auto& counted : this->counted_losses) {
        if (this->counts(counted)) {
            this->expires = std::max(this->expires, counted.at + limits::block_lifetime);
        }
    }
}

crash_notice crash_record::make_notice(request_fingerprint fingerprint, time_point now) const
{
    crash_notice notice;
    notice.fingerprint = fingerprint;
    notice.version = this->version;
    notice.blocked = this->blocked;
    for (const auto& counted : this->counted_losses) {
        crash_loss loss{counted.loss, counted.decided && counted.explained};
        if (this->part) {
            loss.age = std::chrono::duration_cast<milliseconds>(now - counted.at);
        }
        notice.losses.push_back(loss);
    }
    notice.part = this->part;
    if (this->acquitted) {
        notice.acquitted_age = std::chrono::duration_cast<milliseconds>(now - *this->acquitted);
    }
    notice.ttl = std::chrono::duration_cast<milliseconds>(this->expires - now);
    return notice;
}

} // namespace rml
