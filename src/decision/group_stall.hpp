/// Detects a group whose members all answer but which makes no progress because a link between them is lost.
/// Slow engines must not count as stalled: each daemon has few requests at such a group and sees them silent
/// at times, while the group makes progress on requests of other daemons.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <map>

namespace rml {

class group_stall_detector
{
public:
    /// `usual_limit`: time without progress for any daemon after which a group of usual speed counts as
    /// stalled.
    explicit group_stall_detector(milliseconds usual_limit) : limit(usual_limit) {}

    /// A daemon received nothing from the group for longer than one pass of the model takes.
    void on_silence(const instance_id& head, time_point now);
    /// A daemon received bytes from the group.
    void on_progress(const instance_id& head) { this->silences.erase(head); }

    /// `slowness`: factor on the group's service times, 1 or more.
    bool is_stalled(const instance_id& head, double slowness, time_point now) const;

private:
    struct silence_record
    {
        time_point since{};
        time_point confirmed{};
    };

    milliseconds limit;
    std::map<instance_id, silence_record> silences;
};

} // namespace rml
