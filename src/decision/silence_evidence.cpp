#include "decision/silence_evidence.hpp"

#include <algorithm>

namespace rml {

namespace {

/// For requests that have had no byte yet. Callers leave a stream that sends nothing for 2 s; after half of
/// that a request can still be answered elsewhere.
constexpr milliseconds longest_start{1000};

} // namespace

duration silence_limit(const silence_context& context)
{
    const bool due = context.answering || context.doubted;
    return due ? context.usual : std::max<duration>(context.usual, longest_start);
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

std::size_t suspicion_votes::count_others(const instance_id& target, const daemon_id& than,
                                          time_point now) const
{
    const auto found = this->votes.find(target);
    if (found == this->votes.end()) {
        return 0;
    }
    const auto own = found->second.find(than);
    return this->count(target, now) - (own != found->second.end() && this->counts(own->second, now) ? 1 : 0);
}

std::vector<instance_id> suspicion_votes::voted_by(const daemon_id& from, time_point now) const
{
    std::vector<instance_id> out;
    for (const auto& [target, cast] : this->votes) {
        if (const auto own = cast.find(from); own != cast.end() && this->counts(own->second, now)) {
            out.push_back(target);
        }
    }
    return out;
}

void suspicion_votes::expire(time_point now)
{
    for (auto target = this->votes.begin(); target != this->votes.end();) {
        auto& cast = target->second;
        for (auto vote = cast.begin(); vote != cast.end();) {
            vote = this->counts(vote->second, now) ? std::next(vote) : cast.erase(vote);
        }
        target = cast.empty() ? this->votes.erase(target) : std::next(target);
    }
}

} // namespace rml
