/// Detects queries of death, requests that crash the group that runs them, and blocks them after at most two
/// lost groups.
///
/// A request is identified by its fingerprint. The loss of a group counts against the requests in flight on
/// it unless the loss is explained: another group of the same fabric or failure domain was lost within
/// `limits::correlated_loss_window`, and the request was not in flight on that group. A request is suspected
/// after one unexplained loss or two losses of any kind, and then runs only with a trial slot. After two
/// unexplained losses it is refused, and it is blocked once `limits::loss_report_delay` has passed without an
/// explanation.
///
/// A part of a prompt may crash groups too, whatever request carries it. Losses count against the parts of
/// the requests in flight in the same way. A request whose answer began and went on acquits its parts: their
/// earlier losses count no more. A loss is also explained by a part with more losses that was in flight
/// there.
#pragma once

#include "base/ids.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"
#include "decision/acquitted_parts.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rml {

/// Hash of account, path and body.
struct request_fingerprint
{
    std::uint64_t value{0};

    friend bool operator==(const request_fingerprint& a, const request_fingerprint& b)
    {
        return a.value == b.value;
    }
};

request_fingerprint make_fingerprint(const account_id& account, std::string_view path, std::string_view body);

/// Fingerprint of a part of a prompt. Differs from that of any request.
request_fingerprint make_part_fingerprint(std::string_view part);

/// What a request can be recognised by when it crashes groups.
struct crash_features
{
    request_fingerprint whole;
    /// Parts of the prompt that other requests may share; at most `limits::crash_parts` are used.
    std::vector<request_fingerprint> parts;
};

/// One incarnation of a group and its failure domains. `incarnation` is the one of decision/ramp.
struct group_run
{
    group_id group;
    std::uint64_t incarnation{0};
    fabric_domain_id fabric;
    failure_domain_id domain;
};

/// Whether a request may run now.
enum class crash_verdict
{
    run,     ///< may run on any slot
    trial,   ///< suspected, may run only with a trial slot
    hold,    ///< has an unclassified loss; check again after `limits::classification_delay`
    refuse,  ///< has two unexplained losses that may still be explained; must not run now
    blocked, ///< must not run
};

/// The feature of a request that has the worst verdict.
struct crash_finding
{
    crash_verdict verdict{crash_verdict::run};
    request_fingerprint fingerprint;
    bool part{false}; ///< a part of the prompt, not the whole request
};

/// One loss that counts against a fingerprint, as exchanged between daemons.
struct crash_loss
{
    std::uint64_t loss{0}; ///< identifies the group and its incarnation
    bool explained{false}; ///< final decision that the loss was correlated with another
    milliseconds age{0};   ///< time since the loss; parts only
};

/// State of a fingerprint, as exchanged between daemons. For a whole request, a notice of a higher version
/// replaces the state and one of the same version is merged with it. For a part, the losses are united and
/// the latest acquittal applies, so that the result does not depend on order, loss or repetition of notices.
struct crash_notice
{
    request_fingerprint fingerprint;
    std::uint64_t version{0}; ///< raised when a trial clears the request
    bool blocked{false};
    std::vector<crash_loss> losses;              ///< at most `crash_attribution::max_losses`
    milliseconds ttl{0};                         ///< remaining lifetime at the time of sending
    bool part{false};                            ///< the fingerprint is that of a part of a prompt
    std::optional<milliseconds> acquitted_age{}; ///< time since the last acquittal; parts only
};

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
    static constexpr std::size_t max_losses = 4;
    /// Losses that are kept of a part, the latest ones.
    static constexpr std::size_t max_part_losses = 8;

    /// Verdict for a request that arrives or is retried.
    crash_verdict check(request_fingerprint fingerprint, time_point now) const;

    /// Verdict for a request with its parts, the worst one of all. The whole request counts only when it must
    /// not run: after one loss it may be repeated at once, unless one of its parts is suspected.
    crash_verdict check_features(const crash_features& features, time_point now) const;
    /// Like `check_features`, with the feature that has this verdict.
    crash_finding find_worst(const crash_features& features, time_point now) const;

    /// Counts a request as sent to the group, directly before it is sent.
    void begin(std::uint64_t ticket, request_fingerprint fingerprint, const group_run& target, bool trial);
    void begin(std::uint64_t ticket, const crash_features& features, const group_run& target, bool trial);
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

    /// Bytes of the records, losses and requests in flight, without allocator overhead.
    std::size_t memory() const;
    const crash_attribution_stats& stats() const { return this->counts; }

private:
    struct counted_loss
    {
        std::uint64_t loss{0};
        time_point at{};
        bool decided{false};
        bool explained{false}; ///< valid once decided
    };
    struct record
    {
        std::uint64_t version{0};
        bool blocked{false};
        bool local{false}; ///< a request of this daemon was in flight on a lost group
        std::vector<counted_loss> counted_losses;
        time_point expires{};
        bool part{false};
        std::optional<time_point> acquitted; ///< parts: losses up to then do not count

        bool counts(const counted_loss& loss) const { return !this->acquitted || loss.at > *this->acquitted; }
        std::size_t weight() const;
        bool lists(std::uint64_t loss) const;
    };
    struct loss_event
    {
        std::uint64_t loss{0};
        fabric_domain_id fabric;
        failure_domain_id domain;
        time_point at{};
    };
    struct in_flight_request
    {
        crash_features features;
        group_run target;
        bool trial{false};
        bool continued{false}; ///< its answer has begun and gone on
    };
    struct pending_classification
    {
        std::uint64_t ticket{0};
        request_fingerprint fingerprint;
        time_point due{};
    };

    static std::uint64_t loss_key(const group_run& run);
    bool explained(const record& known, const counted_loss& counted) const;
    /// Whether a part that was in flight on the lost group has more losses than this record.
    bool explained_by_part(const record& known, const counted_loss& counted) const;
    /// Whether a feature that the request does not have has the same losses.
    bool ambiguous(const record& known, const crash_features& features) const;
    /// Whether a record with several losses lists the loss, so that it is no sign of a correlated loss.
    bool attributed(std::uint64_t loss) const;
    crash_verdict verdict_of(const record& known, time_point now) const;
    crash_verdict part_verdict(const record& known, const crash_features& features, time_point now) const;
    void count_loss(request_fingerprint fingerprint, record& known, std::uint64_t loss, time_point at);
    record& find_or_create(request_fingerprint fingerprint, time_point now);
    record& find_or_create_part(request_fingerprint part, time_point now);
    void count_request(const in_flight_request& request, std::uint64_t loss, time_point at, time_point now,
                       crash_changes& changes);
    void acquit(request_fingerprint part, time_point at, time_point now, crash_changes& changes);
    static void update_part_expiry(record& known);
    void apply_part(const crash_notice& notice, time_point now);
    std::vector<failure_domain_id> recent_domains(request_fingerprint fingerprint) const;
    crash_notice make_notice(request_fingerprint fingerprint, const record& known, time_point now) const;
    void decide(crash_changes& changes, time_point now);
    void evict_record();

    std::unordered_map<std::uint64_t, record> records;              ///< by fingerprint
    std::unordered_map<std::uint64_t, in_flight_request> in_flight; ///< by ticket
    std::unordered_map<group_id, std::vector<std::uint64_t>> by_group;
    std::deque<loss_event> recent_losses;
    std::deque<pending_classification> unclassified;
    std::vector<request_fingerprint> undecided;
    acquitted_parts acquitted;
    time_point next_expiry{};
    crash_attribution_stats counts;
};

} // namespace rml
