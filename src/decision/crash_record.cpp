#include "decision/crash_record.hpp"

#include "base/limits.hpp"

#include <algorithm>
#include <utility>

namespace rml {

bool crash_record::acquit(time_point at)
{
    const auto before = this->weight();
    this->acquitted = std::max(this->acquitted.value_or(at), at);
    return this->weight() < before;
}

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

bool crash_record::counts_loss(std::uint64_t loss) const
{
    return std::any_of(this->counted_losses.begin(), this->counted_losses.end(),
                       [&](const counted_loss& other) { return other.loss == loss && this->counts(other); });
}

std::vector<time_point> crash_record::times() const
{
    std::vector<time_point> out;
    for (const auto& counted : this->counted_losses) {
        if (this->counts(counted)) {
            out.push_back(counted.at);
        }
    }
    std::sort(out.begin(), out.end());
    return out;
}

time_point crash_record::first_loss() const
{
    const auto at = this->times();
    return at.empty() ? time_point::max() : at.front();
}

time_point crash_record::latest_loss() const
{
    const auto at = this->times();
    return at.empty() ? time_point{} : at.back();
}

time_point crash_record::blocked_until() const
{
    const auto at = this->times();
    const duration first = this->part ? limits::part_block_time : limits::request_block_time;
    const auto growth = this->part ? limits::part_block_growth : limits::request_block_growth;
    auto block = first;
    for (std::size_t i = 1; i < at.size(); ++i) {
        if (at[i] - at[i - 1] >= first) {
            block = std::min<duration>(growth * block, limits::block_lifetime);
        }
    }
    return at.empty() ? time_point{} : at.back() + block;
}

bool crash_record::add_loss(const counted_loss& added)
{
    bool undecided = false;
    for (auto& entry : this->counted_losses) {
        if (entry.loss == added.loss) {
            entry.trial = entry.trial || added.trial;
            entry.at = std::min(entry.at, added.at);
            entry.sent = std::min(entry.sent, added.sent);
            return false;
        }
        undecided = undecided || !entry.decided;
    }
    if (!this->full()) {
        this->counted_losses.push_back(added);
        return !undecided;
    }
    const auto oldest =
        std::min_element(this->counted_losses.begin(), this->counted_losses.end(),
                         [](const counted_loss& a, const counted_loss& b) {
                             return std::make_pair(a.at, a.loss) < std::make_pair(b.at, b.loss);
                         });
    if (std::make_pair(added.at, added.loss) <= std::make_pair(oldest->at, oldest->loss)) {
        return false;
    }
    *oldest = added;
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

void crash_record::update_part_expiry(time_point now)
{
    this->expires = now + limits::crash_cleared_lifetime;
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
        if (!this->counts(counted)) {
            continue;
        }
        notice.losses.push_back({counted.loss, counted.decided && counted.explained,
                                 std::chrono::duration_cast<milliseconds>(now - counted.at), counted.trial,
                                 std::chrono::duration_cast<milliseconds>(counted.at - counted.sent)});
    }
    notice.part = this->part;
    if (this->own_acquittal) {
        notice.acquitted_age = std::chrono::duration_cast<milliseconds>(now - *this->own_acquittal);
    }
    notice.ttl = std::chrono::duration_cast<milliseconds>(this->expires - now);
    return notice;
}

} // namespace rml
