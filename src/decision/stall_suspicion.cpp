#include "decision/stall_suspicion.hpp"

#include <algorithm>

namespace rml {

namespace {

/// Timeout for the first byte of an answer. Callers abandon a stream that sends nothing for 2 s; after half
/// of that time another target can still answer the request.
constexpr milliseconds first_byte_timeout{1000};

} // namespace

duration stall_timeout(const stall_context& context)
{
    const bool due = context.streaming || context.suspected_by_peer;
    return due ? context.usual_gap : std::max<duration>(context.usual_gap, first_byte_timeout);
}

void suspicion_votes::record(const instance_id& target, const daemon_id& from, time_point now)
{
    this->votes[target][from] = now;
}

std::size_t suspicion_votes::count(const instance_id& target, time_point now) const
{
    const auto found = this->votes.find(target);
    if (found == this->votes.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const auto& vote) { return this->counts(vote.second, now); }));
}

std::size_t suspicion_votes::count_excluding(const instance_id& target, const daemon_id& excluded,
                                             time_point now) const
{
    const auto found = this->votes.find(target);
    if (found == this->votes.end()) {
        return 0;
    }
    const auto own = found->second.find(excluded);
    return this->count(target, now) - (own != found->second.end() && this->counts(own->second, now) ? 1 : 0);
}

std::vector<instance_id> suspicion_votes::suspected_by(const daemon_id& from, time_point now) const
{
    std::vector<instance_id> out;
    for (const auto& [target, target_votes] : this->votes) {
        if (const auto own = target_votes.find(from);
            own != target_votes.end() && this->counts(own->second, now)) {
            out.push_back(target);
        }
    }
    return out;
}

void suspicion_votes::expire(time_point now)
{
    for (auto target = this->votes.begin(); target != this->votes.end();) {
        auto& target_votes = target->second;
        for (auto vote = target_votes.begin(); vote != target_votes.end();) {
            vote = this->counts(vote->second, now) ? std::next(vote) : target_votes.erase(vote);
        }
        target = target_votes.empty() ? this->votes.erase(target) : std::next(target);
    }
}

} // namespace rml
