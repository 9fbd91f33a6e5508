/// Rate limit of an account over all daemons. Every daemon has a permanent floor rate. The rest is divided
/// equally between regions, and the region's limit owner (`quota_owner`) grants it to the daemons that
/// request it (`quota_client`). All rates are in requests per second.
///
/// The sum of the rates in force never exceeds the limit, for three reasons. The lifetime of a grant starts
/// at the client when it sends the request and at the owner when it answers, so it ends at the client first.
/// The owner counts the largest unexpired grant of each daemon. A new owner grants nothing until the longest
/// grant of its predecessor has expired.
#pragma once

#include "base/ids.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rml {

/// Division of an account's limit. Every daemon derives it from the same objects.
struct quota_division
{
    double limit{0};              ///< over all daemons
    std::uint32_t max_daemons{1}; ///< from the entry policy, which permits no more daemons
    std::uint32_t regions{1};

    /// Rate that each daemon may use without a grant.
    double floor() const { return limits::quota_floor_share * this->limit / this->max_daemons; }
    /// Sum of the grants of one region.
    double region_share() const { return (1 - limits::quota_floor_share) * this->limit / this->regions; }
};

/// Message of a daemon to the owner. `request_id` increases with each request of a daemon, also across its
/// restarts.
struct quota_request
{
    std::uint64_t request_id{0};
    account_id account;
    double rate{0}; ///< requested on top of the floor
};

/// Message of the owner to a daemon. A rate of 0 is a refusal.
struct quota_grant
{
    std::uint64_t request_id{0};
    account_id account;
    double rate{0};
    milliseconds ttl{0}; ///< from the time at which the request was sent
};

struct quota_owner_stats
{
    std::uint64_t requests{0};
    std::uint64_t refused_lease{0}; ///< no valid lease, or grants of an earlier owner may be in force
    std::uint64_t refused_limit{0}; ///< no rate left, or an unknown account
    std::size_t grants{0}; ///< daemons with a demand or an unexpired grant, for the account last granted
};

/// The limit owner's side of the protocol, for one region.
class quota_owner
{
public:
    explicit quota_owner(milliseconds grant_lifetime = limits::quota_lifetime) : lifetime(grant_lifetime) {}

    /// Extends the lease to `valid_until`. After a gap in its validity the daemon is a new owner: it clears
    /// all grants and grants nothing until the longest earlier grant has expired. Accounts are kept, so that
    /// a daemon has them before it becomes the owner.
    void update_lease(time_point valid_until, time_point now);
    void destroy_lease() { this->lease_until.reset(); }

    /// Adds or changes an account. A new account may have had another owner under an older configuration, so
    /// nothing is granted until that owner's lease and grants have ended. A lowered limit takes effect once
    /// the unexpired grants have ended, within `limits::quota_lifetime`.
    void update_account(const account_id& account, const quota_division& division, time_point now);
    void destroy_account(const account_id& account) { this->accounts.erase(account); }

    /// Grants the daemon's max-min fair part of the region's share, by the rates that the daemons last
    /// requested.
    quota_grant grant(const daemon_id& requester, const quota_request& request, time_point now);

    /// Sum of the grants counted now.
    double granted(const account_id& account, time_point now) const;
    const quota_owner_stats& stats() const { return this->counts; }

private:
    struct counted_grant
    {
        double rate{0};
        time_point expires{};
    };
    struct demand
    {
        double wanted{0};
        std::uint64_t last_request_id{0};
        time_point until{};                ///< end of the demand unless a new request arrives
        std::vector<counted_grant> grants; ///< several, since a lost answer may leave an older one in force
        double in_force() const;
    };
    struct account_state
    {
        quota_division division;
        time_point earliest_grant{}; ///< when all grants of an earlier owner have expired
        std::map<daemon_id, demand> daemons;
    };

    static void expire(account_state& state, time_point now);

    milliseconds lifetime;
    std::optional<time_point> lease_until;
    time_point earliest_grant{};
    std::unordered_map<account_id, account_state> accounts;
    quota_owner_stats counts;
};

struct quota_client_stats
{
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    std::uint64_t requests{0};
    std::uint64_t late_grants{0}; ///< expired, duplicated or older than the grant in force
};

/// The requesting daemon's side of the protocol, for all accounts. Each account has a token bucket that is
/// refilled at the rate in force.
class quota_client
{
public:
    /// `first_request_id` makes the ids increase across restarts, for example the daemon's incarnation << 32.
    explicit quota_client(std::uint64_t first_request_id) : next_request_id(first_request_id) {}

    void update_account(const account_id& account, const quota_division& division, time_point now);
    void destroy_account(const account_id& account) { this->accounts.erase(account); }

    /// Takes a token for one request of the account; false if none is left or the account is unknown.
    bool try_acquire(const account_id& account, time_point now);

    /// Quota requests to send now: one per `request_interval` for each account whose demand exceeds its
    /// floor.
    std::vector<quota_request> poll(time_point now);
    void accept(const quota_grant& answer, time_point now);

    /// Rate in force: the floor plus the newest unexpired grant.
    double rate(const account_id& account, time_point now) const;
    const quota_client_stats& stats() const { return this->counts; }

    /// Three requests per grant lifetime, so that one lost message does not let a grant expire.
    static constexpr milliseconds request_interval = limits::quota_lifetime / 3;

private:
    struct account_state
    {
        quota_division division;
        double tokens{0};
        time_point refilled_at{};
        double granted{0};
        std::uint64_t granted_request_id{0};
        time_point granted_until{};
        double wanted{0}; ///< smoothed request rate, refused requests included
        std::uint32_t arrivals{0};
        time_point last_poll{};
        std::map<std::uint64_t, time_point> unanswered_requests; ///< sending time by request id

        double rate(time_point now) const;
        void refill(time_point now);
    };

    std::uint64_t next_request_id;
    std::unordered_map<account_id, account_state> accounts;
    quota_client_stats counts;
};

} // namespace rml
