/// Observation of engines: which daemon observes which engine, what an observer reports, the table in which
/// the duty holder collects the reports, and the digest that it publishes.
#pragma once

#include "base/failure.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "model/engine_status.hpp"
#include "model/plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rml {

/// Observer of an engine among the live daemons of its region, by rendezvous hash. Empty if there are none.
daemon_id observer_of(const instance_id& instance, const std::vector<daemon_id>& live_daemons);

/// The engines that `self` observes.
std::vector<instance_id> engines_observed_by(const daemon_id& self, const std::vector<instance_id>& engines,
                                             const std::vector<daemon_id>& live_daemons);

/// Estimates by how much a message was delayed beyond the fastest one received, from the sender's monotonic
/// clock. This detects messages that a queue held back during a partition. Messages of several senders may
/// alternate, for example of two holders during a partition.
class delay_estimator
{
public:
    /// Whether a message of this run of a sender is on record.
    bool has_session(std::uint16_t session) const;

    /// Delay of a message sent at `sent_ms` of the sender's clock (wraps) in run `session`. Unknown for the
    /// first message of a run, which may be a stored message of a sender that has ended; for a message sent
    /// before the last received one; and for a message that was much faster than all earlier ones, since
    /// those may have been held back in a queue that is being drained.
    std::optional<milliseconds> delay_of(std::uint16_t session, std::uint32_t sent_ms,
                                         time_point received_at);

private:
    struct run
    {
        std::uint16_t session{0};
        std::uint32_t last_sent{0};
        std::uint32_t sent_base{0}; ///< of the fastest message
        time_point received_base{};
        time_point received_last{};
    };

    std::vector<run> runs;
};

/// One engine in an observer's compact report: 20 bytes packed.
struct compact_entry
{
    std::uint64_t instance{0};    ///< hash of the instance id
    std::uint64_t fingerprint{0}; ///< hash of the status without its load figures
    std::uint8_t requests{0};     ///< running and queued; saturates at 255
    std::uint8_t warm_slots{0};   ///< saturates at 255
    std::uint16_t age_ms{0};      ///< time since the probe was sent; saturates at 65535
};

/// A changed status, sent immediately and in full.
struct full_entry
{
    engine_status report;
    std::uint16_t age_ms{0};
};

/// Report of one observer to one duty holder.
struct observer_report
{
    std::uint16_t session{0}; ///< differs between runs of the observer
    std::uint32_t sent_ms{0}; ///< the observer's monotonic clock
    std::vector<full_entry> changes;
    std::vector<compact_entry> unchanged;
    std::vector<instance_id> unresponsive; ///< engines that do not answer
};

/// Encodes a report as a CBOR map with the compact entries as one byte string.
std::string encode_observer_report(const observer_report& report);
/// Fails with `malformed`, or `too_large` beyond `limits::max_engines` entries.
result<observer_report> decode_observer_report(const std::string& bytes);

/// Hash of the fields of a status that describe what the engine serves.
std::uint64_t status_fingerprint(const engine_status& report);

/// State of one engine at its observer, for status pages.
struct observed_engine
{
    instance_id instance;
    bool answered{false};
    bool unresponsive{false};   ///< the last probe was not answered
    time_point probe_sent_at{}; ///< when the last answered probe was sent
};

/// The engines that one daemon observes for one duty holder.
class engine_observer
{
public:
    explicit engine_observer(std::uint16_t session) : session(session) {}

    /// Records the answer to a probe sent at `probe_sent_at`. True if the change has to be reported
    /// immediately.
    bool record(const engine_status& report, time_point probe_sent_at);
    /// Records a probe without an answer. True if the change has to be reported immediately.
    bool record_probe_failure(const instance_id& instance);
    /// Stops observing engines that are not in the list.
    void retain(const std::vector<instance_id>& engines);
    /// Makes the next report contain every status in full. Needed after a change of the holder or of its
    /// link.
    void restart_reports();

    /// Changes since the last report. There is nothing to send when all lists are empty.
    observer_report take_changes(time_point now);
    /// Changes in full, and every other engine as a compact entry.
    observer_report take_full_report(time_point now);

    std::vector<observed_engine> observed_engines() const;

private:
    struct observed
    {
        engine_status report;
        time_point probe_sent_at{};
        bool unresponsive{false};
        bool changed{true};
        bool answered{false};
    };

    observer_report take(time_point now, bool with_unchanged);

    std::uint16_t session{0};
    std::unordered_map<instance_id, observed> engines;
};

/// Last known state of one engine at the duty holder.
struct observation
{
    engine_status report;
    time_point observed_at{};
    bool unresponsive{false}; ///< the last report lists the engine as not answering
};

/// Observations of the engines of one failure domain at the duty holder.
class observation_table
{
public:
    /// Applies a report. False when the observer has to send every status in full: the report refers to a
    /// status that the table lacks because an earlier report was lost, or a report with changes was dropped
    /// because its age is unknown.
    bool apply(const daemon_id& observer, const observer_report& report, time_point received_at);
    /// Removes engines that are not in the list.
    void retain(const std::vector<instance_id>& engines);

    /// Observation of an answering engine, no older than `limits::observation_lifetime`, or null.
    const observation* fresh(const instance_id& instance, time_point now) const;

private:
    struct table_entry
    {
        observation seen;
        bool known{false};
        std::uint64_t fingerprint{0};
        /// Time of a newer observation whose status the table lacks.
        std::optional<time_point> missed_at;
    };

    /// False when the entry refers to a status that the table lacks.
    bool apply_compact(const compact_entry& entry, time_point observed_at);

    std::unordered_map<instance_id, table_entry> engines;
    std::unordered_map<std::uint64_t, instance_id> by_hash;
    std::unordered_map<daemon_id, delay_estimator> delays;
};

/// Health and load of one group, 2 bytes packed.
struct digest_entry
{
    bool healthy{false};      ///< a fresh observation of every member shows that it serves as planned
    bool warm{false};         ///< the cold start under this epoch has ended; set by the duty holder
    std::uint8_t requests{0}; ///< running and queued at rank 0; saturates at 255
};

/// State of a failure domain as published by its duty holder. 24 bytes, and 2 per group.
struct digest
{
    std::uint32_t generation{0}; ///< generation of the holder's configuration
    std::uint64_t plan_revision{0};
    bool lease_valid{false};
    std::uint16_t oldest_ms{0};       ///< age of the oldest observation behind a health bit
    std::uint16_t session{0};         ///< differs between holders and their runs
    std::uint32_t sent_ms{0};         ///< the holder's monotonic clock
    std::vector<digest_entry> groups; ///< in the order of the plan
};

/// Contents of a digest that come from neither the plan nor the observations.
struct digest_context
{
    std::uint32_t generation{0};
    std::uint16_t session{0};
    bool lease_valid{false};
    time_point now{};
};

digest build_digest(const committed_plan& plan, const observation_table& observations,
                    const digest_context& context);

/// Encodes a digest as packed bytes, little endian.
std::string encode_digest(const digest& record);
/// Fails with `malformed` on a wrong length or format number.
result<digest> decode_digest(const std::string& bytes);

} // namespace rml
