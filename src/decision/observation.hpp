/// Observation of engines: who observes which engine, what an observer reports, the duty holder's book of
/// reports, and the digest it publishes.
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

/// Observer of an engine among the live daemons of its region, by rendezvous hash. Empty without daemons.
daemon_id observer_of(const instance_id& instance, const std::vector<daemon_id>& live_daemons);

/// The engines that `self` observes.
std::vector<instance_id> engines_observed_by(const daemon_id& self, const std::vector<instance_id>& engines,
                                             const std::vector<daemon_id>& live_daemons);

/// Estimates how long a message was under way beyond the fastest one seen, from the sender's monotonic clock.
/// A message that a queue held back during a partition is thereby not taken for a fresh one. Several senders
/// may take turns, such as two holders during a partition.
class delay_estimator
{
public:
    /// Whether a message of this run of a sender was seen lately.
    bool has_session(std::uint16_t session) const;

    /// Delay of a message sent at `sent_ms` of the sender's clock (wraps) in run `session`. Not known for the
    /// first message of a run, which may be a stored one of a sender that has ended; for one that is not
    /// newer than the last one; and for one that came much faster than all before it, since it may stem from
    /// a queue that is only now being emptied.
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
    std::uint16_t age_ms{0};      ///< since the probe was sent; saturates at 65535
};

/// A status that changed, sent in full and at once.
struct full_entry
{
    engine_status report;
    std::uint16_t age_ms{0};
};

/// Reports of one observer to one duty holder.
struct observer_report
{
    std::uint16_t session{0}; ///< differs between runs of the observer
    std::uint32_t sent_ms{0}; ///< the observer's monotonic clock
    std::vector<full_entry> changes;
    std::vector<compact_entry> unchanged;
    std::vector<instance_id> unresponsive; ///< engines that do not answer
};

/// CBOR map of a report with the compact entries as one byte string.
std::string encode_observer_report(const observer_report& report);
/// Fails with `malformed`, or `too_large` beyond `limits::max_engines` entries.
result<observer_report> decode_observer_report(const std::string& bytes);

/// Hash of the parts of a status that say what the engine serves.
std::uint64_t status_fingerprint(const engine_status& report);

/// What an observer knows of one engine, for status pages.
struct observed_engine
{
    instance_id instance;
    bool answered{false};
    bool unresponsive{false};   ///< the last probe got no answer
    time_point probe_sent_at{}; ///< of the last probe with an answer
};

/// The engines that one daemon observes for one duty holder.
class engine_observer
{
public:
    explicit engine_observer(std::uint16_t session) : session(session) {}

    /// Takes the answer of a probe sent at `asked_at`. True if it is a change to report at once.
    bool record(const engine_status& report, time_point probe_sent_at);
    /// Takes a probe without an answer. True if it is a change to report at once.
    bool record_probe_failure(const instance_id& instance);
    /// Stops observing engines that are not in the list.
    void retain(const std::vector<instance_id>& engines);
    /// The holder changed or its link was new: the next report has every status in full.
    void restart_reports();

    /// Changes since the last report only. Empty lists: nothing to send.
    observer_report take_changes(time_point now);
    /// Changes in full and every other engine in its compact form.
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

/// What the duty holder knows of one engine.
struct observation
{
    engine_status report;
    time_point observed_at{};
    bool unresponsive{false}; ///< the last report says that it does not answer
};

/// The holder's book over the engines of one failure domain.
class observation_table
{
public:
    /// False when the book lacks a status that the report only refers to, because an earlier report was lost
    /// or this one is of unknown age: the observer has to send every status in full.
    bool apply(const daemon_id& observer, const observer_report& report, time_point received_at);
    /// Forgets engines that are not in the list.
    void retain(const std::vector<instance_id>& engines);

    /// Observation no older than `limits::observation_lifetime` of an engine that answered, or null.
    const observation* fresh(const instance_id& instance, time_point now) const;

private:
    struct table_entry
    {
        observation seen;
        bool known{false};
        std::uint64_t fingerprint{0};
        /// Time of a newer observation whose status the book lacks.
        std::optional<time_point> missed_at;
    };

    /// False when the entry refers to a status that the book does not hold.
    bool apply_compact(const compact_entry& entry, time_point observed_at);

    std::unordered_map<instance_id, table_entry> engines;
    std::unordered_map<std::uint64_t, instance_id> by_hash;
    std::unordered_map<daemon_id, delay_estimator> delays;
};

/// Health and load of one group, 2 bytes packed.
struct digest_entry
{
    bool healthy{false};      ///< every member serves as planned, by a fresh observation
    bool warm{false};         ///< the cold start under this epoch has ended; set by the duty holder
    std::uint8_t requests{0}; ///< running and queued at rank 0; saturates at 255
};

/// The facts that a duty holder publishes about its failure domain. 24 bytes and 2 per group.
struct digest
{
    std::uint32_t generation{0}; ///< of the configuration in force at the holder
    std::uint64_t plan_revision{0};
    bool lease_valid{false};
    std::uint16_t oldest_ms{0};       ///< age of the oldest observation behind a health bit
    std::uint16_t session{0};         ///< differs between holders and their runs
    std::uint32_t sent_ms{0};         ///< the holder's monotonic clock
    std::vector<digest_entry> groups; ///< in the order of the plan
};

/// What a digest states besides the plan and the book.
struct digest_context
{
    std::uint32_t generation{0};
    std::uint16_t session{0};
    bool lease_valid{false};
    time_point now{};
};

digest build_digest(const committed_plan& plan, const observation_table& observations,
                    const digest_context& context);

/// Packed bytes, little endian.
std::string encode_digest(const digest& record);
/// Fails with `malformed` on a wrong length or format number.
result<digest> decode_digest(const std::string& bytes);

} // namespace rml
