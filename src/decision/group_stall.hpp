/// Decides whether a group whose members all answer has lost a link between them, so that nothing that it
/// runs goes on. Answers the load of slow engines: each daemon has few requests there and finds them silent
/// at times, while the group goes on for others.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <map>

namespace rml {

class group_stall_detector
{
public:
    /// `usual_limit`: time without progress for any daemon after which a group of usual pace stands still.
    explicit group_stall_detector(milliseconds usual_limit) : limit(usual_limit) {}

    /// A daemon got nothing for longer than a pass takes.
    void on_silence(const instance_id& head, time_point now);
    /// A daemon got something from the group.
    void on_progress(const instance_id& head) { this->silences.erase(head); }

    /// `slowness`: factor on the group's times, 1 or more.
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
