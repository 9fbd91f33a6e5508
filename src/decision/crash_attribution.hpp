/// Detects queries of death, requests that crash the group that runs them, and blocks them after at most two
/// lost groups.
///
/// A request is identified by its fingerprint. The loss of a group counts against the requests in flight on
/// it unless the loss is explained: another group of the same fabric or failure domain was lost within
/// `limits::correlated_loss_window`, and the request was not in flight on that group. A request is suspected
/// after one unexplained loss or two losses of any kind, and then runs only with a trial slot. After two
/// unexplained losses it is refused, and it is blocked once `limits::loss_report_delay` has passed without an
/// explanation. A request that is judged with its parts is refused after three losses in two unexplained
/// incidents, and runs only in trials after three losses in one, or after four of any kind. If it was
/// answered shortly before, it is refused only after the loss of a trial. An answer clears any request.
///
/// A part of a prompt may crash groups too, whatever request carries it. Losses count against the parts of
/// the requests in flight in the same way, since the last request with the part whose answer began and went
/// on. A part without such an answer is suspected after one loss and refused after two; one that had such an
/// answer at most `limits::crash_acquittal_lifetime` before may have one loss more. A loss is also explained
/// by a part with more losses that was in flight there, and never if the request ran in a trial. A request
/// that has only some of several parts with the same losses may run in a trial. A refused part may run in a
/// trial again after `limits::part_block_time`, which doubles with each such trial that fails.
#pragma once

#include "base/ids.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"
#include "decision/crash_notice.hpp"
#include "decision/crash_records.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace rml {

/// Result of the classification of a request of this daemon whose group was lost.
struct classified_request
{
    std::uint64_t ticket{0};
    request_fingerprint fingerprint;
    crash_verdict verdict{crash_verdict::run}; ///< never `hold`
    /// Failure domains of the request's recent losses, to avoid on a retry, since a blackout may spread to
    /// their other groups.
    std::vector<failure_domain_id> avoid_domains;
};

struct crash_changes
{
    std::vector<classified_request> classified;
    std::vector<crash_notice> notices;
};

struct crash_attribution_stats
{
    std::uint64_t losses{0};
    std::uint64_t suspects{0};   ///< requests classified as suspected
    std::uint64_t cleared{0};    ///< suspected requests that succeeded in a trial
    std::uint64_t correlated{0}; ///< requests not suspected, since their loss was correlated
    std::uint64_t blocked{0};    ///< requests blocked by a decision of this daemon
    std::uint64_t dropped{0};    ///< records evicted at the limit of `limits::crash_records`
    std::size_t records{0};
};

class crash_attribution
{
public:
    /// Bound on the losses in a notice.
    static constexpr std::size_t max_losses = crash_record::max_losses;

    /// Verdict for a request that arrives or is retried.
    crash_verdict check(request_fingerprint fingerprint, time_point now) const;

    /// Verdict for a request with its parts, the worst one of all. The whole request counts only after three
    /// losses: until then it may be repeated at once, unless one of its parts is suspected.
    crash_verdict check_features(const crash_features& features, time_point now) const;
    /// Like `check_features`, with the feature that has this verdict.
    crash_finding find_worst(const crash_features& features, time_point now) const;
    /// The whole request and its parts, those that may run only in a trial.
    std::vector<request_fingerprint> find_suspects(const crash_features& features, time_point now) const;
    /// Time of the latest loss that counts against the request or a part of it; the start of the clock if
    /// there is none.
    time_point latest_loss(const crash_features& features) const;

    /// Counts a request as sent to the group, directly before it is sent. `trial`: it was suspected, so that
    /// no other loss explains the loss of this group.
    void begin(std::uint64_t ticket, const crash_features& features, const group_run& target, bool trial,
               time_point now);
    /// For requests that are judged by `check`. A single loss makes them run in a trial, so that other losses
    /// explain the loss of a trial too.
    void begin(std::uint64_t ticket, request_fingerprint fingerprint, const group_run& target,
               time_point now);
    /// Acquits the parts of a request whose answer began at `began` and went on afterwards.
    crash_changes answer_continued(std::uint64_t ticket, time_point began, time_point now);
    /// Counts a request as ended without a loss of its group. A successful trial clears the request.
    crash_changes end(std::uint64_t ticket, bool succeeded, time_point now);

    /// Records the loss of a group at about `at`. Losses without a request of this daemon have to be recorded
    /// too, since they explain others. A repeated report of the same incarnation adds the requests begun
    /// since the first. A later `poll` returns the classification of the requests in flight on the group.
    crash_changes group_lost(const group_run& lost, time_point at, time_point now);

    /// Classifies requests and decides on losses whose delay is over. Must be called at least every 100 ms.
    crash_changes poll(time_point now);

    /// Applies a notice of another daemon.
    void apply(const crash_notice& notice, time_point now);
    /// Notices of all parts, and of whole requests with several losses, for a daemon that missed earlier
    /// ones.
    std::vector<crash_notice> notices(time_point now) const;
    /// Notices of the requests and parts whose losses justify a refusal and cannot be explained any more, for
    /// a store that outlasts the daemons. At most `limits::archived_crash_records`, those with the latest
    /// losses.
    std::vector<crash_notice> established(time_point now) const;

    /// Bytes of the records, losses and requests in flight, without allocator overhead.
    std::size_t memory() const;
    const crash_attribution_stats& stats() const { return this->counts; }

private:
    struct in_flight_request
    {
        crash_features features;
        group_run target;
        time_point sent{};
        bool trial{false};
        bool continued{false}; ///< its answer has begun and gone on
    };
    struct pending_classification
    {
        std::uint64_t ticket{0};
        request_fingerprint fingerprint;
        time_point due{};
    };

    void acquit(request_fingerprint part, time_point at, time_point now, crash_changes& changes);
    void count_request(const in_flight_request& request, std::uint64_t loss, time_point at, time_point now,
                       crash_changes& changes);

    crash_records records;
    std::unordered_map<std::uint64_t, in_flight_request> in_flight; ///< by ticket
    std::unordered_map<group_id, std::vector<std::uint64_t>> by_group;
    std::deque<pending_classification> unclassified;
    crash_attribution_stats counts;
};

} // namespace rml
