#include "decision/quota.hpp"

#include <algorithm>

namespace rml {

namespace {

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Capacity of an account's token bucket, as time at the rate in force. Callers often send a few requests at
/// once.
constexpr double burst_seconds = 1.0;
/// Weight of the newest interval in the smoothed request rate. High, because grants last only 3 s.
constexpr double demand_gain = 0.5;
/// Ratio of the requested to the measured rate. Above 1, so that a growing account can exceed its last rate.
constexpr double demand_margin = 1.25;
/// Unanswered requests kept per account. More than the requests of one grant lifetime.
constexpr std::size_t max_unanswered = 8;
/// Rates below this are not requested.
constexpr double min_rate = 1e-3;

/// Max-min fair part of `share` for the demand `mine`, one of the demands in `wanted`.
double max_min_share(std::vector<double> wanted, double mine, double share)
{
    std::sort(wanted.begin(), wanted.end());
    auto open = wanted.size();
    for (const auto want : wanted) {
        const auto level = share / static_cast<double>(open);
        if (want >= level) {
            return std::min(mine, level);
        }
        share -= want;
        --open;
    }
    return mine;
}

} // namespace

void quota_owner::update_lease(time_point valid_until, time_point now)
{
    if (!this->lease_until || now >= *this->lease_until) {
        for (auto& [account, state] : this->accounts) {
            state.daemons.clear();
        }
        this->earliest_grant = now + this->lifetime;
    }
    this->lease_until = valid_until;
}

void quota_owner::update_account(const account_id& account, const quota_division& division, time_point now)
{
    const auto [entry, created] = this->accounts.try_emplace(account);
    entry->second.division = division;
    if (created) {
        entry->second.earliest_grant = now + limits::duty_lease + this->lifetime;
    }
}

double quota_owner::demand::in_force() const
{
    double largest = 0;
    for (const auto& entry : this->grants) {
        largest = std::max(largest, entry.rate);
    }
    return largest;
}

void quota_owner::expire(account_state& state, time_point now)
{
    for (auto entry = state.daemons.begin(); entry != state.daemons.end();) {
        auto& grants = entry->second.grants;
        grants.erase(std::remove_if(grants.begin(), grants.end(),
                                    [&](const counted_grant& grant) { return now >= grant.expires; }),
                     grants.end());
        const bool ended = grants.empty() && now >= entry->second.until;
        entry = ended ? state.daemons.erase(entry) : std::next(entry);
    }
}

quota_grant quota_owner::grant(const daemon_id& requester, const quota_request& request, time_point now)
{
    ++this->counts.requests;
    quota_grant answer{request.request_id, request.account, 0, this->lifetime};
    if (!this->lease_until || now >= *this->lease_until || now < this->earliest_grant) {
        ++this->counts.refused_lease;
        return answer;
    }
    const auto known = this->accounts.find(request.account);
    if (known == this->accounts.end()) {
        ++this->counts.refused_limit;
        return answer;
    }
    auto& state = known->second;
    if (now < state.earliest_grant) {
        ++this->counts.refused_lease;
        return answer;
    }
    expire(state, now);
    auto& own = state.daemons[requester];
    if (request.request_id >= own.last_request_id) {
        own.last_request_id = request.request_id;
        own.wanted = std::max(0.0, request.rate);
        own.until = now + this->lifetime;
    }
    std::vector<double> wanted;
    double others = 0;
    for (const auto& [daemon, entry] : state.daemons) {
        wanted.push_back(entry.wanted);
        others += daemon == requester ? 0 : entry.in_force();
    }
    const auto share = state.division.region_share();
    answer.rate = std::max(0.0, std::min(max_min_share(wanted, own.wanted, share), share - others));
    if (answer.rate > 0) {
        // A later grant of at least the same rate covers the earlier one, which keeps the list short.
        const auto covered = [&](const counted_grant& entry) { return entry.rate <= answer.rate; };
        own.grants.erase(std::remove_if(own.grants.begin(), own.grants.end(), covered), own.grants.end());
        own.grants.push_back({answer.rate, now + this->lifetime});
    } else {
        ++this->counts.refused_limit;
    }
    this->counts.grants = state.daemons.size();
    return answer;
}

double quota_owner::granted(const account_id& account, time_point now) const
{
    const auto known = this->accounts.find(account);
    double sum = 0;
    if (known != this->accounts.end()) {
        for (const auto& [daemon, entry] : known->second.daemons) {
            double largest = 0;
            for (const auto& grant : entry.grants) {
                largest = std::max(largest, now < grant.expires ? grant.rate : 0);
            }
            sum += largest;
        }
    }
    return sum;
}

double quota_client::account_state::rate(time_point now) const
{
    return this->division.floor() + (now < this->granted_until ? this->granted : 0);
}

void quota_client::account_state::refill(time_point now)
{
    if (now <= this->refilled_at) {
        return;
    }
    // A grant that expired since the last call adds tokens only until its expiry.
    const auto with_grant = std::clamp(this->granted_until, this->refilled_at, now) - this->refilled_at;
    this->tokens += this->division.floor() * to_seconds(now - this->refilled_at);
    this->tokens += this->granted * to_seconds(with_grant);
    this->tokens = std::min(this->tokens, std::max(1.0, this->rate(now) * burst_seconds));
    this->refilled_at = now;
}

void quota_client::update_account(const account_id& account, const quota_division& division, time_point now)
{
    const auto [entry, created] = this->accounts.try_emplace(account);
    auto& state = entry->second;
    if (created) {
        state.refilled_at = now;
        state.last_poll = now;
        state.tokens = 1; // admits the first request without a wait for tokens at the floor rate
    } else {
        state.refill(now);
    }
    state.division = division;
}

bool quota_client::try_acquire(const account_id& account, time_point now)
{
    const auto known = this->accounts.find(account);
    if (known == this->accounts.end()) {
        ++this->counts.refused;
        return false;
    }
    auto& state = known->second;
    ++state.arrivals;
    state.refill(now);
    if (state.tokens < 1) {
        ++this->counts.refused;
        return false;
    }
    state.tokens -= 1;
    ++this->counts.admitted;
    return true;
}

std::vector<quota_request> quota_client::poll(time_point now)
{
    std::vector<quota_request> requests;
    for (auto& [account, state] : this->accounts) {
        const auto since = now - state.last_poll;
        // The first request of an idle account sends a quota request without waiting for the interval.
        const bool was_idle = state.arrivals > 0 && state.wanted < min_rate;
        if (since < request_interval && !(was_idle && since > duration::zero())) {
            continue;
        }
        // The requests of an account that was idle count as spread over a whole interval.
        const auto measured = state.arrivals / to_seconds(std::max<duration>(since, request_interval));
        state.wanted = was_idle ? measured : state.wanted + demand_gain * (measured - state.wanted);
        state.arrivals = 0;
        state.last_poll = now;
        const auto wanted =
            std::min(state.wanted * demand_margin, state.division.limit) - state.division.floor();
        if (wanted < min_rate) {
            continue;
        }
        if (state.unanswered_requests.size() >= max_unanswered) {
            state.unanswered_requests.erase(state.unanswered_requests.begin());
        }
        state.unanswered_requests.emplace(this->next_request_id, now);
        requests.push_back({this->next_request_id++, account, wanted});
        ++this->counts.requests;
    }
    return requests;
}

void quota_client::accept(const quota_grant& answer, time_point now)
{
    const auto known = this->accounts.find(answer.account);
    if (known == this->accounts.end()) {
        ++this->counts.late_grants;
        return;
    }
    auto& state = known->second;
    const auto sent_request = state.unanswered_requests.find(answer.request_id);
    if (sent_request == state.unanswered_requests.end() || answer.request_id <= state.granted_request_id) {
        ++this->counts.late_grants;
        return;
    }
    const auto until = sent_request->second + std::min(answer.ttl, limits::quota_lifetime);
    state.unanswered_requests.erase(state.unanswered_requests.begin(), std::next(sent_request));
    if (now >= until) {
        ++this->counts.late_grants;
        return;
    }
    if (answer.rate <= 0) {
        return; // a refusal does not end the previous grant, which its owner still counts
    }
    state.refill(now);
    state.granted = answer.rate;
    state.granted_request_id = answer.request_id;
    state.granted_until = until;
}

double quota_client::rate(const account_id& account, time_point now) const
{
    const auto known = this->accounts.find(account);
    return known == this->accounts.end() ? 0 : known->second.rate(now);
}

} // namespace rml
