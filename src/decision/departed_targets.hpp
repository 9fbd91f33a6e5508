/// Incarnations of targets that have announced their end. A target that leaves never takes requests again
/// under the same incarnation, so neither an older registry entry nor another answer clears the record.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace rml {

/// One run of a target's process.
struct target_incarnation
{
    instance_id instance;
    std::int64_t started_ms{0}; ///< Unix ms by the target's clock

    friend bool operator<(const target_incarnation& a, const target_incarnation& b)
    {
        return a.instance == b.instance ? a.started_ms < b.started_ms : a.instance < b.instance;
    }
    friend bool operator==(const target_incarnation& a, const target_incarnation& b)
    {
        return a.instance == b.instance && a.started_ms == b.started_ms;
    }
};

/// How a daemon learned that a target leaves.
enum class departure_source
{
    answer,   ///< an answer of the target to this daemon
    registry, ///< its registry entry
    peer,     ///< the report of another daemon
};

class departed_targets
{
public:
    /// Returns false if the record exists.
    bool record(const target_incarnation& target, departure_source source, time_point now);
    bool contains(const target_incarnation& target) const { return this->records.count(target) != 0; }
    /// Records of the last `limits::departure_report_time` for the other daemons, at most
    /// `limits::departure_reports`. What other daemons reported is not passed on, so that it does not
    /// circulate without end.
    std::vector<target_incarnation> reportable(bool with_registry, time_point now) const;
    /// Removes records older than `limits::departure_lifetime`.
    void expire(time_point now);
    std::size_t size() const { return this->records.size(); }

private:
    struct record_state
    {
        time_point since{};
        departure_source source{departure_source::peer};
    };
    std::map<target_incarnation, record_state> records;
};

} // namespace rml
