/// Rate limit of an account over all daemons. Every daemon owns a floor for good; the rest is divided equally
/// between regions and granted on demand by the region's limit owner (`quota_owner`) to daemons that ask
/// (`quota_client`). All rates are in requests per second.
///
/// The sum of the rates in force stays at most the limit: a grant's lifetime runs at the client from sending
/// the ask and at the owner from answering, the owner counts the largest unexpired grant of each daemon, and
/// a new owner waits out the longest grant.
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

/// How the limit of an account is divided. Every daemon derives it from the same objects.
struct quota_division
{
    double limit{0};              ///< over all daemons
    std::uint32_t max_daemons{1}; ///< from the entry policy; more daemons must not run
    std::uint32_t regions{1};

    /// Rate that each daemon may always use.
    double floor() const { return limits::quota_floor_share * this->limit / this->max_daemons; }
    /// Sum of the grants of one region.
    double region_share() const { return (1 - limits::quota_floor_share) * this->limit / this->regions; }
};

/// Daemon to owner. `ask` grows with each ask of a daemon, also across its restarts.
struct quota_request
{
    std::uint64_t request_id{0};
    account_id account;
    double rate{0}; ///< wanted on top of the floor
};

/// Owner to daemon.
struct quota_grant
{
    std::uint64_t request_id{0};
    account_id account;
    double rate{0};
    milliseconds ttl{0}; ///< from the sending of the ask
};

struct quota_owner_stats
{
    std::uint64_t requests{0};
    std::uint64_t refused_lease{0}; ///< without a valid lease or while waiting out older grants
    std::uint64_t refused_limit{0}; ///< nothing left, or an unknown account
    std::size_t grants{0};          ///< now counted
};

/// The limit owner's side, for one region.
class quota_owner
{
public:
    explicit quota_owner(milliseconds grant_lifetime = limits::quota_lifetime) : lifetime(grant_lifetime) {}

    /// States that the lease is valid until `valid_until`. After a gap the daemon counts as a new owner,
    /// forgets all grants and waits out the longest one. Accounts stay, so each daemon can hold them before
    /// it owns.
    void update_lease(time_point valid_until, time_point now);
    void destroy_lease() { this->lease_until.reset(); }

    /// Adds or changes an account. A new account may have had another owner under an older configuration, so
    /// it waits until that owner's lease and grants have ended. A lowered limit is in force after the grants
    /// that are out, within `limits::quota_lifetime`.
    void update_account(const account_id& account, const quota_division& division, time_point now);
    void destroy_account(const account_id& account) { this->accounts.erase(account); }

    /// Grants the daemon's fair part: the region's share is filled equally over the rates last wanted.
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
        time_point until{};                ///< end of the demand without a new ask
        std::vector<counted_grant> grants; ///< a lost answer may leave an older one in force
        double in_force() const;
    };
    struct account_state
    {
        quota_division division;
        time_point ready{}; ///< end of the wait for grants of an earlier owner
        std::map<daemon_id, demand> daemons;
    };

    static void expire(account_state& state, time_point now);

    milliseconds lifetime;
    std::optional<time_point> lease_until;
    time_point ready{};
    std::unordered_map<account_id, account_state> accounts;
    quota_owner_stats counts;
};

struct quota_client_stats
{
    std::uint64_t admitted{0};
    std::uint64_t refused{0};
    std::uint64_t requests{0};
    std::uint64_t late_grants{0}; ///< expired, doubled or overtaken by a newer one
};

/// The asking daemon's side, for all accounts. Admission counts tokens that build up at the rate in force.
class quota_client
{
public:
    /// `first_ask` makes ask numbers grow across restarts, for example the daemon's incarnation << 32.
    explicit quota_client(std::uint64_t first_request_id) : next_request_id(first_request_id) {}

    void update_account(const account_id& account, const quota_division& division, time_point now);
    void destroy_account(const account_id& account) { this->accounts.erase(account); }

    /// Takes one request of the account, or refuses it. Unknown accounts are refused.
    bool try_acquire(const account_id& account, time_point now);

    /// Asks due now: for accounts that want more than their floor, one per `ask_interval`.
    std::vector<quota_request> poll(time_point now);
    void accept(const quota_grant& answer, time_point now);

    /// Rate in force: the floor and the newest grant while it lasts.
    double rate(const account_id& account, time_point now) const;
    const quota_client_stats& stats() const { return this->counts; }

    /// Three asks per grant lifetime, so that one lost message does not end a grant.
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
        double wanted{0}; ///< smoothed rate of requests, refused ones included
        std::uint32_t arrivals{0};
        time_point last_poll{};
        std::map<std::uint64_t, time_point> unanswered_requests; ///< sending times

        double rate(time_point now) const;
        void refill(time_point now);
    };

    std::uint64_t next_request_id;
    std::unordered_map<account_id, account_state> accounts;
    quota_client_stats counts;
};

} // namespace rml
