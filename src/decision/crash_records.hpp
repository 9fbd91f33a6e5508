/// Records of the requests and parts of prompts that were in flight on lost groups, in bounded memory, and
/// the verdicts that follow from them.
#pragma once

#include "base/ids.hpp"
#include "base/limits.hpp"
#include "base/time.hpp"
#include "decision/answered_features.hpp"
#include "decision/crash_notice.hpp"
#include "decision/crash_record.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace rml {

class crash_records
{
public:
    /// Time after a loss until which another loss that explains it can be reported.
    static constexpr milliseconds decision_delay = limits::correlated_loss_window + limits::loss_report_delay;

    /// What `decide` found out.
    struct decisions
    {
        std::vector<crash_notice> notices;
        std::size_t blocked{0};
    };

    crash_verdict check(request_fingerprint fingerprint, time_point now) const;
    crash_finding find_worst(const crash_features& features, time_point now) const;
    /// Time of the latest loss that counts against the request or a part of it; the start of the clock if
    /// there is none.
    time_point latest_loss(const crash_features& features) const;

    /// Adds a loss to those that explain others. Returns false if it is known.
    bool add_event(std::uint64_t loss, const group_run& lost, time_point at);
    /// Counts a loss against a whole request of this daemon.
    const crash_record& count_request(request_fingerprint whole, const crash_record::counted_loss& loss,
                                      time_point now);
    /// Counts a loss against a part of a request of this daemon.
    const crash_record& count_part(request_fingerprint part, const crash_record::counted_loss& loss,
                                   time_point now);
    /// The part did not crash a group at `at`. Returns the record if its losses count no more since then.
    const crash_record* acquit(request_fingerprint part, time_point at, time_point now);
    /// The request was answered. Removes its losses and its block, if any, and returns its record then.
    const crash_record* clear(request_fingerprint whole, time_point now);

    /// Decides on losses whose delay is over, and removes what has expired.
    decisions poll(time_point now);

    void apply(const crash_notice& notice, time_point now);
    std::vector<crash_notice> notices(time_point now) const;
    /// Notices of the records whose settled losses justify a refusal, also when their block is over. At most
    /// `limits::archived_crash_records`, those with the latest losses.
    std::vector<crash_notice> established(time_point now) const;

    const crash_record* find(request_fingerprint fingerprint) const;
    /// Failure domains of the recent losses of a request.
    std::vector<failure_domain_id> recent_domains(request_fingerprint fingerprint) const;

    std::size_t size() const { return this->records.size(); }
    /// Records evicted at the limit of `limits::crash_records`.
    std::uint64_t evicted() const { return this->evictions; }
    /// Bytes of the records and losses, without allocator overhead.
    std::size_t memory() const;

private:
    using counted_loss = crash_record::counted_loss;

    struct loss_event
    {
        std::uint64_t loss{0};
        fabric_domain_id fabric;
        failure_domain_id domain;
        time_point at{};
    };

    bool explained(const crash_record& known, const counted_loss& counted) const;
    /// Whether a part that was in flight on the lost group has more losses than this record; for the record
    /// of a whole request, at least as many.
    bool explained_by_part(const crash_record& known, const counted_loss& counted) const;
    /// Whether a feature that the request does not have has the same losses.
    bool ambiguous(const crash_record& known, const crash_features& features) const;
    /// Whether a record with several losses that are not known to have another cause lists the loss, so that
    /// it is no sign of a correlated loss.
    bool attributed(std::uint64_t loss) const;
    crash_verdict verdict_of(const crash_record& known, time_point now) const;
    /// Verdict on a whole request that is judged with its parts.
    crash_verdict whole_verdict(const crash_record& known, request_fingerprint whole, time_point now) const;

    /// What the classified losses that count say together.
    struct loss_summary
    {
        std::size_t losses{0};
        std::size_t unexplained{0}; ///< without another cause
        /// Incidents without another cause. Losses of targets to which the request had been sent before the
        /// first of them was lost are one incident: a request that was merely in flight on all of them has
        /// such losses, one that crashes its targets one after the other has not.
        std::size_t incidents{0};
        std::size_t trials{0};
        bool decided{true};       ///< no other loss can explain one of these any more
        bool unclassified{false}; ///< there are others that are not classified yet
    };
    /// `settled_only`: without losses that others may still explain.
    loss_summary summarize(const crash_record& known, time_point now, bool settled_only = false) const;
    bool established(const crash_record& known, time_point now) const;
    crash_verdict part_verdict(const crash_record& known, const crash_features& features,
                               time_point now) const;
    void count_loss(request_fingerprint fingerprint, crash_record& known, const counted_loss& added);
    crash_record& find_or_create(request_fingerprint fingerprint, time_point now);
    crash_record& find_or_create_part(request_fingerprint part, time_point now);
    void apply_part(const crash_notice& notice, time_point now);
    void decide(decisions& made, time_point now);
    void evict_record();

    std::unordered_map<std::uint64_t, crash_record> records; ///< by fingerprint
    std::deque<loss_event> recent_losses;
    std::vector<request_fingerprint> undecided;
    answered_features acquitted; ///< parts
    answered_features answered;  ///< whole requests
    time_point next_expiry{};
    std::uint64_t evictions{0};
};

} // namespace rml
